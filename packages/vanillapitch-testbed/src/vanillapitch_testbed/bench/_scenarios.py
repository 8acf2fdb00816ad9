"""Scenarios of the benchmark: the load and the fault of each."""

import contextlib
import dataclasses
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator

import urllib3

from vanillapitch_testbed.callers import Call, send
from vanillapitch_testbed.fleet import Deployment, Fleet, FleetError, Service

__all__ = ["DEPLOYMENT", "SCENARIOS", "Observations", "Scenario"]

SERVICE = Service(name="catalog", endpoints=4, kind="read", service_ms=40.0)
# Slots and connections as at Hanul; one zone, so that no policy depends on distance.
DEPLOYMENT = Deployment(
    name="bench",
    region="gyeongbuk",
    zones=("gb-a",),
    services=(SERVICE,),
    slots=12,
)
RATE_PER_S = 250.0
# Fixed, so that the capacity is known: slots of all endpoints divided by this time.
FULL_WORK_MS = 150.0
STRAGGLER_FACTOR = 10.0
SHIFT_PERIOD_MS = 50.0
SHIFT_FACTOR = 5.0
COLD_AFTER_SHARE = 0.2
CRASH_INTERVAL_S = 0.25
_CRASH_TEXT = "crash-the-server"
_POLL_INTERVAL_S = 0.05
_RESTART_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Observations:
    """What a fault observed besides the load.

    Attributes
    ----------
    crashes : int
        Ends of backend servers.
    crash_results : Counter
        Answers to the crashing request by code.
    """

    crashes: int = 0
    crash_results: Counter = dataclasses.field(default_factory=Counter)


# Applies a fault; the arguments are the fleet, the time until the measurement begins
# and its length, in seconds.
Fault = Callable[[Fleet, float, float], contextlib.AbstractContextManager[Observations]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A load and a fault.

    Attributes
    ----------
    rate_per_s : float
        Calls a second of all callers together.
    work_ms : float or None
        Fixed service time; None for the distribution of the backend servers.
    """

    name: str
    fault: Fault
    rate_per_s: float = RATE_PER_S
    work_ms: float | None = None
    caller_processes: int = 2

    @property
    def target(self) -> str:
        """Request target of the calls."""
        query = "" if self.work_ms is None else f"?work_ms={self.work_ms:g}"
        return f"/{SERVICE.name}/item{query}"


@contextlib.contextmanager
def _no_fault(fleet: Fleet, warm_up_s: float, measured_s: float) -> Iterator:
    yield Observations()


@contextlib.contextmanager
def _straggler(fleet: Fleet, warm_up_s: float, measured_s: float) -> Iterator:
    fleet.set_scenario(fleet.vms[0], straggler_factor=STRAGGLER_FACTOR)
    yield Observations()


@contextlib.contextmanager
def _shifting(fleet: Fleet, warm_up_s: float, measured_s: float) -> Iterator:
    """Let one half of the endpoints be slow while the other half is fast."""
    for index, vm in enumerate(fleet.vms):
        if index % 2:
            first, factor = SHIFT_FACTOR, 1 / SHIFT_FACTOR
        else:
            first, factor = 1.0, SHIFT_FACTOR
        fleet.set_scenario(
            vm,
            straggler_factor=first,
            load_shift_period_ms=SHIFT_PERIOD_MS,
            load_shift_factor=factor,
        )
    yield Observations()


@contextlib.contextmanager
def _cold_again(fleet: Fleet, warm_up_s: float, measured_s: float) -> Iterator:
    after_s = warm_up_s + COLD_AFTER_SHARE * measured_s
    timer = threading.Timer(after_s, fleet.turn_cold, [fleet.vms[0]])
    timer.start()
    try:
        yield Observations()
    finally:
        timer.cancel()
        timer.join()


@contextlib.contextmanager
def _failing(fleet: Fleet, warm_up_s: float, measured_s: float) -> Iterator:
    fleet.set_scenario(fleet.vms[0], fail_status=500)
    yield Observations()


@contextlib.contextmanager
def _crashing(fleet: Fleet, warm_up_s: float, measured_s: float) -> Iterator:
    """Send a crashing request again and again, and restart what it ends."""
    observations = Observations()
    stop = threading.Event()
    for vm in fleet.vms:
        fleet.set_scenario(vm, crash_on=_CRASH_TEXT)
    threads = [
        threading.Thread(target=_send_crashing, args=(fleet, stop, observations)),
        threading.Thread(target=_restart_ended, args=(fleet, stop, observations)),
    ]
    for thread in threads:
        thread.start()
    try:
        yield observations
    finally:
        stop.set()
        for thread in threads:
            thread.join()


def _send_crashing(
    fleet: Fleet, stop: threading.Event, observations: Observations
) -> None:
    pool = urllib3.PoolManager()
    choice = random.Random(fleet.seed)
    # The host is part of a request's fingerprint, so it must not name the daemon.
    headers = {"Host": "catalog.test"}
    while not stop.wait(CRASH_INTERVAL_S):
        call = Call(
            service=SERVICE.name,
            method="GET",
            target=f"/{SERVICE.name}/{_CRASH_TEXT}",
        )
        address = choice.choice(fleet.vms).callers
        send(pool, call, address=address, timeout_ms=3_000, headers=headers)
        observations.crash_results[call.code or f"status {call.status}"] += 1


def _restart_ended(
    fleet: Fleet, stop: threading.Event, observations: Observations
) -> None:
    while not stop.wait(_POLL_INTERVAL_S):
        for vm in fleet.vms:
            if not vm.backend.is_running():
                observations.crashes += 1
                vm.backend.start()
                _set_crash_text(fleet, vm)


def _set_crash_text(fleet: Fleet, vm) -> None:
    deadline_s = time.monotonic() + _RESTART_TIMEOUT_S
    while vm.backend.is_running() and time.monotonic() < deadline_s:
        with contextlib.suppress(FleetError):
            fleet.set_scenario(vm, crash_on=_CRASH_TEXT)
            return
        time.sleep(_POLL_INTERVAL_S)


def _capacity_per_s() -> float:
    return DEPLOYMENT.slots * SERVICE.endpoints / (FULL_WORK_MS / 1_000)


CAPACITY_PER_S = _capacity_per_s()
STEADY = "steady"
STRAGGLER = "one straggler"
COLD = "one cold again"
FULL = "twice capacity"
CRASH = "crashing request"
# The crashing request is last, because it replaces processes of backend servers.
SCENARIOS = (
    Scenario(name=STEADY, fault=_no_fault),
    Scenario(name=STRAGGLER, fault=_straggler),
    Scenario(name="shifting load", fault=_shifting),
    Scenario(name=COLD, fault=_cold_again),
    Scenario(name="one failing fast", fault=_failing),
    Scenario(
        name=FULL,
        fault=_no_fault,
        rate_per_s=2 * CAPACITY_PER_S,
        work_ms=FULL_WORK_MS,
        caller_processes=4,
    ),
    Scenario(name=CRASH, fault=_crashing),
)
