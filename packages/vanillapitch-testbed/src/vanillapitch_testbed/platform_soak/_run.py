"""Runs a soak: callers, overlapping faults and the final checks."""

import asyncio
import collections
import contextlib
import dataclasses
import random
import time

from vanillapitch_testbed.platform_soak import _faults as faults
from vanillapitch_testbed.platform_soak._callers import Caller, Exchange
from vanillapitch_testbed.platform_soak._checks import check_guarantees
from vanillapitch_testbed.platform_soak._fleet import COLD_PER_S, SoakFleet
from vanillapitch_testbed.platform_standins import ServiceSpec, send_request

__all__ = ["SoakReport", "run_soak"]

CALLERS_PER_VM = 2
MAX_ACTIVE_FAULTS = 3
FAULT_INTERVAL_S = (0.0, 1.2)
# One soak in four has only planned maintenance, so that every lost request is a
# violation and not the effect of a fault.
PLANNED_ONLY_SHARE = 0.25
# After the last fault, all daemons must serve the newest route within the bound for
# configuration changes plus the bound for a VM to reconnect.
RECOVERY_TIMEOUT_S = 5.0
MIN_SERVED_SHARE = 0.3
# Daemons that are all killed while the store is unavailable restart without any
# configuration, so the served share counts only requests sent without store faults at
# the time and for this long before.
STORE_RECOVERY_S = 3.0


@dataclasses.dataclass(slots=True, kw_only=True)
class SoakReport:
    """Responses, faults and violations of a soak.

    Attributes
    ----------
    seed : int
        Seed of the soak.
    statuses : Counter of int
        Responses by status; 0 for none.
    faults : Counter of str
        Faults by name.
    violations : list of str
        One sentence for each violation of a guarantee.
    logs_by_node : dict of str to str
        Logs of the daemons; empty without violations.
    """

    seed: int
    statuses: collections.Counter[int]
    faults: collections.Counter[str]
    violations: list[str]
    logs_by_node: dict[str, str]


async def run_soak(
    *,
    seed: int,
    seconds: float,
    vms: int = 6,
    choices: tuple[faults.Fault, ...] = faults.ALL_FAULTS,
) -> SoakReport:
    """Run a fleet of processes under load and random faults.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    seconds : float
        Time during which faults are started.
    vms : int
        Number of VMs, in three availability zones and two services.
    choices : tuple of Fault
        Faults from which a soak with unplanned ones draws.

    Returns
    -------
    SoakReport
        Responses, faults and violations.
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
        fault_counts = await _cause_faults(
            context,
            seconds=seconds,
            choices=faults.PLANNED if planned_only else choices,
        )
        fleet.violations += await _check_recovered(fleet)
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        return _report(
            fleet, context, callers, fault_counts, seed=seed, planned_only=planned_only
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
    context: faults.Context, *, seconds: float, choices: tuple[faults.Fault, ...]
) -> collections.Counter[str]:
    """Apply faults for some time, and wait until all are removed."""
    fault_counts: collections.Counter[str] = collections.Counter()
    until_s = time.monotonic() + seconds
    semaphore = asyncio.Semaphore(MAX_ACTIVE_FAULTS)
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < until_s:
            await asyncio.sleep(context.rng.uniform(*FAULT_INTERVAL_S))
            await semaphore.acquire()
            fault = context.rng.choice(choices)
            group.create_task(_apply(fault, context, fault_counts, semaphore))
    return fault_counts


async def _apply(fault, context, fault_counts, semaphore) -> None:
    try:
        if await fault.apply(context):
            fault_counts[fault.name] += 1
    except Exception as error:
        # A daemon did not start or stop in time, for example; the report keeps its log.
        context.fleet.violations.append(f"FAULT: {fault.name} failed: {error!r}")
    finally:
        semaphore.release()


async def _check_recovered(fleet: SoakFleet) -> list[str]:
    """Return a violation for each daemon that does not serve the newest route."""
    until_s = time.monotonic() + RECOVERY_TIMEOUT_S
    not_recovered = []
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
            not_recovered.append(
                f"CONFIG: {vm.settings.node} does not serve the newest route"
            )
    return not_recovered


def _check_served(finished: list[Exchange], periods: list[faults.Period]) -> list[str]:
    outages = [period for period in periods if period.condition == "store_harmed"]
    eligible = [
        exchange
        for exchange in finished
        if not any(
            period.since_s <= exchange.sent_s <= period.until_s + STORE_RECOVERY_S
            for period in outages
        )
    ]
    served = sum(exchange.status == 200 for exchange in eligible)
    if served < MIN_SERVED_SHARE * len(eligible):
        return [f"RECOVER: {served} of {len(eligible)} requests were served"]
    return []


def _report(
    fleet: SoakFleet,
    context: faults.Context,
    callers: list[Caller],
    fault_counts: collections.Counter[str],
    *,
    seed: int,
    planned_only: bool,
) -> SoakReport:
    exchanges: list[Exchange] = [
        exchange for caller in callers for exchange in caller.exchanges
    ]
    finished = [exchange for exchange in exchanges if exchange.ended_s]
    statuses = collections.Counter(exchange.status for exchange in finished)
    violations = check_guarantees(
        fleet, finished, context.periods, planned_only=planned_only
    )
    violations += _check_served(finished, context.periods)
    logs_by_node = {}
    if violations:
        logs_by_node = {vm.settings.node: fleet.log_of(vm) for vm in fleet.vms}
    return SoakReport(
        seed=seed,
        statuses=statuses,
        faults=fault_counts,
        violations=violations,
        logs_by_node=logs_by_node,
    )
