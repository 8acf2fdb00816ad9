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
# Slots and connections as in the Hanul deployment. All endpoints are in one zone, so
# that the distance between zones does not affect the choice of the endpoint.
DEPLOYMENT = Deployment(
    name="bench",
    region="gyeongbuk",
    zones=("gb-a",),
    services=(SERVICE,),
    slots=12,
)
RATE_PER_S = 250.0
# Fixed service time, so that the capacity is known: the slots of all endpoints divided
# by this time.
OVERLOAD_WORK_MS = 150.0
STRAGGLER_FACTOR = 10.0
SHIFT_PERIOD_MS = 50.0
SHIFT_FACTOR = 5.0
COLD_AFTER_FRACTION = 0.2
CRASH_INTERVAL_S = 0.25
_CRASH_TRIGGER = "crash-the-server"
_POLL_INTERVAL_S = 0.05
_RESTART_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Observations:
    """Observations of a fault that the samples of the load do not contain.

    Attributes
    ----------
    crashes : int
        Number of backend server processes that exited.
    crash_results : Counter
        Responses to the crashing request, by refusal code or status.
    """

    crashes: int = 0
    crash_results: Counter = dataclasses.field(default_factory=Counter)


# Applies a fault. The arguments are the fleet, the duration of the warm-up and the
# duration of the measurement, in seconds.
Fault = Callable[[Fleet, float, float], contextlib.AbstractContextManager[Observations]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A load, and the fault that is applied during it.

    Attributes
    ----------
    rate_per_s : float
        Calls per second of all caller processes together.
    work_ms : float or None
        Fixed service time; None for the distribution that the backend servers use.
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
def _shifting_load(fleet: Fleet, warm_up_s: float, measured_s: float) -> Iterator:
    """Make either half of the endpoints slow in turn while the other half is fast."""
    for index, vm in enumerate(fleet.vms):
        if index % 2:
            initial_factor, shift_factor = SHIFT_FACTOR, 1 / SHIFT_FACTOR
        else:
            initial_factor, shift_factor = 1.0, SHIFT_FACTOR
        fleet.set_scenario(
            vm,
            straggler_factor=initial_factor,
            load_shift_period_ms=SHIFT_PERIOD_MS,
            load_shift_factor=shift_factor,
        )
    yield Observations()


@contextlib.contextmanager
def _return_to_cold(fleet: Fleet, warm_up_s: float, measured_s: float) -> Iterator:
    after_s = warm_up_s + COLD_AFTER_FRACTION * measured_s
    timer = threading.Timer(after_s, fleet.turn_cold, [fleet.vms[0]])
    timer.start()
    try:
        yield Observations()
    finally:
        timer.cancel()
        timer.join()


@contextlib.contextmanager
def _fast_failure(fleet: Fleet, warm_up_s: float, measured_s: float) -> Iterator:
    fleet.set_scenario(fleet.vms[0], fail_status=500)
    yield Observations()


@contextlib.contextmanager
def _crashing_request(fleet: Fleet, warm_up_s: float, measured_s: float) -> Iterator:
    """Send a crashing request periodically, and restart backend servers that exit."""
    observations = Observations()
    stop = threading.Event()
    for vm in fleet.vms:
        fleet.set_scenario(vm, crash_on=_CRASH_TRIGGER)
    threads = [
        threading.Thread(
            target=_send_crashing_requests, args=(fleet, stop, observations)
        ),
        threading.Thread(target=_restart_exited, args=(fleet, stop, observations)),
    ]
    for thread in threads:
        thread.start()
    try:
        yield observations
    finally:
        stop.set()
        for thread in threads:
            thread.join()


def _send_crashing_requests(
    fleet: Fleet, stop: threading.Event, observations: Observations
) -> None:
    pool = urllib3.PoolManager()
    rng = random.Random(fleet.seed)
    # The request fingerprint covers the host. The same host through every daemon gives
    # every send the same fingerprint.
    headers = {"Host": "catalog.test"}
    while not stop.wait(CRASH_INTERVAL_S):
        call = Call(
            service=SERVICE.name,
            method="GET",
            target=f"/{SERVICE.name}/{_CRASH_TRIGGER}",
        )
        address = rng.choice(fleet.vms).callers
        send(pool, call, address=address, timeout_ms=3_000, headers=headers)
        observations.crash_results[call.code or f"status {call.status}"] += 1


def _restart_exited(
    fleet: Fleet, stop: threading.Event, observations: Observations
) -> None:
    while not stop.wait(_POLL_INTERVAL_S):
        for vm in fleet.vms:
            if not vm.backend.is_running():
                observations.crashes += 1
                vm.backend.start()
                _set_crash_trigger(fleet, vm)


def _set_crash_trigger(fleet: Fleet, vm) -> None:
    deadline_s = time.monotonic() + _RESTART_TIMEOUT_S
    while vm.backend.is_running() and time.monotonic() < deadline_s:
        with contextlib.suppress(FleetError):
            fleet.set_scenario(vm, crash_on=_CRASH_TRIGGER)
            return
        time.sleep(_POLL_INTERVAL_S)


def _capacity_per_s() -> float:
    return DEPLOYMENT.slots * SERVICE.endpoints / (OVERLOAD_WORK_MS / 1_000)


CAPACITY_PER_S = _capacity_per_s()
STEADY = "steady"
STRAGGLER = "one straggler"
COLD = "one cold again"
OVERLOAD = "twice capacity"
CRASH = "crashing request"
# The crashing request comes last because it replaces processes of backend servers.
SCENARIOS = (
    Scenario(name=STEADY, fault=_no_fault),
    Scenario(name=STRAGGLER, fault=_straggler),
    Scenario(name="shifting load", fault=_shifting_load),
    Scenario(name=COLD, fault=_return_to_cold),
    Scenario(name="one failing fast", fault=_fast_failure),
    Scenario(
        name=OVERLOAD,
        fault=_no_fault,
        rate_per_s=2 * CAPACITY_PER_S,
        work_ms=OVERLOAD_WORK_MS,
        caller_processes=4,
    ),
    Scenario(name=CRASH, fault=_crashing_request),
)
