"""The run of a soak: callers, faults in series and overlapping, checks."""

import asyncio
import collections
import contextlib
import dataclasses
import random
import time

from vanillapitch_testbed.platform_soak import _faults as faults
from vanillapitch_testbed.platform_soak._callers import Caller, Exchange
from vanillapitch_testbed.platform_soak._checks import check_promises
from vanillapitch_testbed.platform_soak._fleet import COLD_PER_S, SoakFleet
from vanillapitch_testbed.platform_standins import ServiceSpec, send_request

__all__ = ["SoakReport", "run_soak"]

CALLERS_PER_VM = 2
FAULTS_AT_ONCE = 3
GAP_S = (0.0, 1.2)
# One run in four has planned work alone, so that lost requests can be told apart.
PLANNED_ONLY_SHARE = 0.25
# After the last fault, all daemons must serve the newest route within the bound for
# configurations and that for a machine to be in touch again.
SETTLED_S = 5.0
MIN_SERVED_SHARE = 0.3
# A loss of all power while the store is away leaves nobody with a configuration, so the
# share is taken of the requests sent while the store was stable for this time.
STABLE_S = 3.0


@dataclasses.dataclass(slots=True, kw_only=True)
class SoakReport:
    """What a soak did and found.

    Attributes
    ----------
    seed : int
        Seed of the run.
    statuses : Counter of int
        Answers by status; 0 for none.
    faults : Counter of str
        Faults by name.
    violations : list of str
        A sentence for each broken promise.
    logs_by_node : dict of str to str
        What the daemons wrote, when a promise was broken.
    """

    seed: int
    statuses: collections.Counter[int]
    faults: collections.Counter[str]
    violations: list[str]
    logs_by_node: dict[str, str]


async def run_soak(*, seed: int, seconds: float, vms: int = 6) -> SoakReport:
    """Run a fleet of processes under load and random faults.

    Parameters
    ----------
    seed : int
        Seed of all choices.
    seconds : float
        Time in which faults begin.
    vms : int
        VMs, in three availability zones and two services.

    Returns
    -------
    SoakReport
        What was seen.
    """
    rng = random.Random(seed)
    zones = tuple("abc"[number % 3] for number in range(vms))
    services = [
        ServiceSpec(name="catalog", zones=zones[: vms // 2], slots=8),
        ServiceSpec(name="reserve", zones=zones[vms // 2 :], slots=8),
    ]
    fleet = SoakFleet(services=services, seed=seed)
    context = faults.Context(fleet=fleet, rng=rng)
    planned_only = rng.random() < PLANNED_ONLY_SHARE
    try:
        await fleet.start(cold_per_s=COLD_PER_S)
        fleet.change_routes(rng)
        callers = _make_callers(fleet, seed=seed)
        sending = [asyncio.create_task(caller.run()) for caller in callers]
        kinds = await _cause_faults(context, seconds=seconds, planned_only=planned_only)
        fleet.violations += await _check_settled(fleet)
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        return _report(
            fleet, context, callers, kinds, seed=seed, planned_only=planned_only
        )
    finally:
        await fleet.stop()


def _make_callers(fleet: SoakFleet, *, seed: int) -> list[Caller]:
    services = tuple(service.name for service in fleet.services)
    return [
        Caller(
            node=vm.settings.node,
            address=fleet.callers_address(vm),
            services=services,
            seed=seed * 1_000 + number,
        )
        for number, vm in enumerate(fleet.vms * CALLERS_PER_VM)
    ]


async def _cause_faults(
    context: faults.Context, *, seconds: float, planned_only: bool
) -> collections.Counter[str]:
    """Apply faults until the time is over, and wait until all are taken back."""
    kinds: collections.Counter[str] = collections.Counter()
    choices = faults.PLANNED if planned_only else faults.FAULTS
    until_s = time.monotonic() + seconds
    slots = asyncio.Semaphore(FAULTS_AT_ONCE)
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < until_s:
            await asyncio.sleep(context.rng.uniform(*GAP_S))
            await slots.acquire()
            fault = context.rng.choice(choices)
            group.create_task(_apply(fault, context, kinds, slots))
    return kinds


async def _apply(fault, context, kinds, slots) -> None:
    try:
        if await fault.apply(context):
            kinds[fault.name] += 1
    finally:
        slots.release()


async def _check_settled(fleet: SoakFleet) -> list[str]:
    """Tell which daemons do not serve the newest route after the last fault."""
    until_s = time.monotonic() + SETTLED_S
    behind = []
    for vm in fleet.vms:
        served = False
        while not served and time.monotonic() < until_s:
            with contextlib.suppress(OSError, TimeoutError):
                response = await send_request(
                    vm.settings.caller_address, f"{fleet.newest_prefix}x", timeout_s=1.0
                )
                served = response.status == 200
            await asyncio.sleep(0.05)
        if not served:
            behind.append(f"CONFIG: {vm.settings.node} does not serve the newest route")
    return behind


def _check_served(ended: list[Exchange], spans: list[faults.Span]) -> list[str]:
    harmed = [span for span in spans if span.what == "store_harmed"]
    owed = [
        exchange
        for exchange in ended
        if not any(
            span.since_s <= exchange.sent_s <= span.until_s + STABLE_S
            for span in harmed
        )
    ]
    served = sum(exchange.status == 200 for exchange in owed)
    if served < MIN_SERVED_SHARE * len(owed):
        return [f"RECOVER: {served} of {len(owed)} were served"]
    return []


def _report(
    fleet: SoakFleet,
    context: faults.Context,
    callers: list[Caller],
    kinds: collections.Counter[str],
    *,
    seed: int,
    planned_only: bool,
) -> SoakReport:
    exchanges: list[Exchange] = [
        exchange for caller in callers for exchange in caller.exchanges
    ]
    ended = [exchange for exchange in exchanges if exchange.ended_s]
    statuses = collections.Counter(exchange.status for exchange in ended)
    violations = check_promises(fleet, ended, context.spans, planned_only=planned_only)
    violations += _check_served(ended, context.spans)
    logs_by_node = {}
    if violations:
        logs_by_node = {vm.settings.node: fleet.log_of(vm) for vm in fleet.vms}
    return SoakReport(
        seed=seed,
        statuses=statuses,
        faults=kinds,
        violations=violations,
        logs_by_node=logs_by_node,
    )
