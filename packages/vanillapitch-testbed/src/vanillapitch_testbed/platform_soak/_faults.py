"""Faults of the soak; each is applied, lasts for some time and is removed."""

import asyncio
import contextlib
import dataclasses
import random
import signal
import time
from collections.abc import Awaitable, Callable

from vanillapitch_testbed.platform_soak._fleet import SoakFleet
from vanillapitch_testbed.platform_standins import (
    EndpointFaults,
    Refusal,
    StoreFaults,
    send_request,
)
from vanillapitch_testbed.platform_standins._fleet import Vm
from vanillapitch_testbed.proxy import Faults

__all__ = [
    "ALL_FAULTS",
    "FAULTS",
    "LIMITS_AND_RESTORES",
    "PLANNED",
    "Context",
    "Fault",
    "Period",
]

RESPONSE_FAULTS = (
    "truncated",
    "reset",
    "silent",
    "extra",
    "late",
    "unframed",
    "garbage",
    "shed",
    "error",
    "encoded",
)
RESTART_DELAY_S = (0.1, 1.0)
DRAIN_S = 2.0
# A daemon must act on the current state this long after its connections went silent.
CONTACT_S = 3.0
RATE_LIMITS_PER_S = (0.5, 3.0, 9.5)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Period:
    """Period in which a condition held.

    Attributes
    ----------
    condition : str
        ``leaving``, ``limited``, ``zone_out`` or ``store_harmed``.
    subject : str
        Node or availability zone; empty for the store.
    since_s, until_s : float
        Monotonic times.
    limit_per_s : float
        Requests per second that a limited endpoint names.
    """

    condition: str
    subject: str
    since_s: float
    until_s: float
    limit_per_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Context:
    """State that the faults share.

    Attributes
    ----------
    fleet : SoakFleet
        The fleet.
    rng : random.Random
        Source of the random choices.
    periods : list of Period
        Periods that the checks need.
    faulted_components : set of str
        Components with a fault, as ``part:node``, ``zone`` or ``store``.
    """

    fleet: SoakFleet
    rng: random.Random
    periods: list[Period] = dataclasses.field(default_factory=list)
    faulted_components: set[str] = dataclasses.field(default_factory=set)

    def pick(self, part: str) -> Vm | None:
        """Choose a VM whose part (``daemon``, ``endpoint``, ``link``) has no fault."""
        free = [
            vm
            for vm in self.fleet.vms
            if f"{part}:{vm.settings.node}" not in self.faulted_components
        ]
        return self.rng.choice(free) if free else None

    def add_store_period(self, since_s: float) -> None:
        """Record that the store had faults from a time until now."""
        self.periods.append(
            Period(
                condition="store_harmed",
                subject="",
                since_s=since_s,
                until_s=time.monotonic(),
            )
        )

    async def pause(self, low_s: float = 0.3, high_s: float = 3.0) -> None:
        """Wait for a random time, such as the duration of a fault."""
        await asyncio.sleep(self.rng.uniform(low_s, high_s))


def _on_vm(part: str, body: Callable[[Context, Vm], Awaitable[bool | None]]):
    """Return a fault of a free VM; `body` returns False if it was not applied."""

    async def apply(context: Context) -> bool:
        vm = context.pick(part)
        if vm is None:
            return False
        subject = f"{part}:{vm.settings.node}"
        context.faulted_components.add(subject)
        try:
            return await body(context, vm) is not False
        finally:
            context.faulted_components.discard(subject)

    return apply


async def _kill_daemon(context: Context, vm: Vm) -> None:
    await context.fleet.kill_daemon(vm)
    await context.pause(*RESTART_DELAY_S)
    await context.fleet.start_daemon(vm)
    await context.pause()


async def _pause_daemon(context: Context, vm: Vm) -> None:
    context.fleet.signal(vm, signal.SIGSTOP)
    await context.pause()
    context.fleet.signal(vm, signal.SIGCONT)
    await context.pause(0.5, 1.0)


async def _reload_daemon(context: Context, vm: Vm) -> None:
    for _ in range(context.rng.randrange(1, 4)):
        context.fleet.signal(vm, signal.SIGHUP)
        await context.pause(0.0, 0.3)


async def _stop_daemon(context: Context, vm: Vm) -> None:
    context.fleet.signal(vm, signal.SIGTERM)
    await context.pause(0.0, 0.5)
    context.fleet.signal(vm, signal.SIGTERM)
    code = await context.fleet.wait_for_exit(vm)
    if code != 0:
        context.fleet.violations.append(
            f"{vm.settings.node} stopped with exit code {code}"
        )
    await context.pause(*RESTART_DELAY_S)
    await context.fleet.start_daemon(vm)
    await context.pause()


async def _crash_endpoint(context: Context, vm: Vm) -> None:
    await vm.endpoint.stop()
    await context.pause(0.1, 1.5)
    cold_s = context.rng.choice((0.0, 3.0))
    await vm.endpoint.restart(cold_s=cold_s, new_instance=context.rng.random() < 0.7)
    await context.pause(0.2, 1.0)


async def _drain_endpoint(context: Context, vm: Vm) -> None:
    """Drain or deregister an endpoint, then stop it and start another incarnation."""
    endpoint = vm.endpoint
    endpoint.faults = EndpointFaults(says_leaving=True)
    leave = context.rng.choice((endpoint.drain, endpoint.deregister))
    try:
        acknowledged = await leave() == 200
    except (OSError, TimeoutError):
        acknowledged = False
    since_s = time.monotonic()
    await asyncio.sleep(DRAIN_S + context.rng.uniform(0.5, 2.0))
    if acknowledged:
        period = Period(
            condition="leaving",
            subject=vm.settings.node,
            since_s=since_s,
            until_s=time.monotonic(),
        )
        context.periods.append(period)
    await endpoint.stop()
    await context.pause(0.1, 1.0)
    endpoint.faults = EndpointFaults()
    await endpoint.restart()


async def _corrupt_responses(context: Context, vm: Vm) -> None:
    vm.endpoint.faults = EndpointFaults(
        response=context.rng.choice(RESPONSE_FAULTS),
        count=context.rng.randrange(1, 40),
        unhealthy=context.rng.random() < 0.2,
    )
    await context.pause()
    vm.endpoint.faults = EndpointFaults()


async def _slow_endpoint(context: Context, vm: Vm) -> None:
    vm.endpoint.work_s, vm.endpoint.speed_percent = 0.1, 400
    await context.pause()
    vm.endpoint.work_s, vm.endpoint.speed_percent = 0.01, 100


async def _limit_endpoint(context: Context, vm: Vm) -> None:
    """Make an endpoint name a request rate in its responses."""
    limit_per_s = context.rng.choice(RATE_LIMITS_PER_S)
    vm.endpoint.faults = EndpointFaults(rate_limit=str(limit_per_s))
    since_s = time.monotonic()
    await context.pause(5.0, 9.0)
    period = Period(
        condition="limited",
        subject=vm.settings.node,
        since_s=since_s,
        until_s=time.monotonic(),
        limit_per_s=limit_per_s,
    )
    context.periods.append(period)
    vm.endpoint.faults = EndpointFaults()


async def _degrade_link(context: Context, vm: Vm) -> None:
    """Delay, cut, black-hole, half-close or refuse connections of one proxy."""
    rng = context.rng
    link = rng.choice(context.fleet.links(vm))
    link.faults = rng.choice(
        (
            Faults(delay_ms=30.0, jitter_ms=60.0),
            Faults(cut_share=0.1),
            Faults(lose_answer_share=0.3),
            Faults(half_close_share=0.2),
            Faults(black_hole=True),
            Faults(refuse=True),
        )
    )
    if rng.random() < 0.3:
        link.cut()
    await context.pause()
    link.faults = Faults()


async def _evacuate_zone(context: Context) -> bool:
    zone = context.rng.choice(("a", "b", "c"))
    if "zone" in context.faulted_components:
        return False
    context.faulted_components.add("zone")
    store = context.fleet.store
    store.put(f"op/evacuate/{zone}", b"{}")
    since_s = time.monotonic()
    await context.pause(2.0, 9.0)
    period = Period(
        condition="zone_out", subject=zone, since_s=since_s, until_s=time.monotonic()
    )
    context.periods.append(period)
    store.delete(f"op/evacuate/{zone}")
    context.faulted_components.discard("zone")
    return True


async def _change_configuration(context: Context) -> bool:
    for _ in range(context.rng.randrange(1, 6)):
        context.fleet.change_routes(context.rng)
        await context.pause(0.0, 0.3)
    return True


async def _degrade_store(context: Context) -> bool:
    """Make the store reject calls, delay or lose responses, or serve stale data.

    It may also reset connections, revoke leases and compact the history.
    """
    if "store" in context.faulted_components:
        return False
    context.faulted_components.add("store")
    rng, store = context.rng, context.fleet.store
    hosts = None
    if rng.random() < 0.5:
        count = rng.randrange(1, len(context.fleet.vms))
        hosts = set(rng.sample(context.fleet.store_hosts(), count))
    store.faults = rng.choice(
        (
            StoreFaults(refusal=rng.choice(list(Refusal)), refused_hosts=hosts),
            StoreFaults(refusal=Refusal.SILENT, pause_leases=rng.random() < 0.5),
            StoreFaults(delay_s=0.24),
            StoreFaults(lost_responses=0.5, late_s=rng.choice((0.0, 1.0, 4.0))),
            StoreFaults(stale_s=6.0),
        )
    )
    since_s = time.monotonic()
    if rng.random() < 0.5:
        store.cut_connections()
    if rng.random() < 0.3:
        store.revoke_leases()
    await context.pause(0.5, 6.0)
    if rng.random() < 0.5:
        store.compact_history()
    store.faults = StoreFaults()
    context.add_store_period(since_s)
    context.faulted_components.discard("store")
    return True


async def _silence_store(context: Context) -> bool:
    """Make the open connections to the store silent, and change the configuration.

    A daemon without another fault must know the new route when it has had the time to
    notice the silence.
    """
    if "store" in context.faulted_components:
        return False
    context.faulted_components.add("store")
    fleet = context.fleet
    fleet.change_routes(context.rng)
    await context.pause(0.0, 0.5)
    fleet.store.silence_connections()
    silent_s = time.monotonic()
    await context.pause(0.2, 0.9)
    fleet.change_routes(context.rng)
    target = f"{fleet.newest_prefix}x"
    faulted: set[str] = set()
    while time.monotonic() < silent_s + CONTACT_S:
        faulted |= context.faulted_components
        await asyncio.sleep(0.05)
    for vm in fleet.vms:
        node = vm.settings.node
        if f"daemon:{node}" in faulted:
            continue
        with contextlib.suppress(OSError, TimeoutError):
            response = await send_request(vm.settings.caller_address, target)
            # Each change removes the route of the one before.
            if response.status == 404 and target.startswith(fleet.newest_prefix):
                fleet.violations.append(
                    f"CONFIG: {node} does not know a route {CONTACT_S} s after its "
                    "connections to the store went silent"
                )
    context.faulted_components.discard("store")
    return True


async def _forget_departure(context: Context, vm: Vm) -> bool:
    """Deregister an endpoint in an outage, kill its daemon, send a late heartbeat."""
    rng, fleet, endpoint = context.rng, context.fleet, vm.endpoint
    components = {f"daemon:{vm.settings.node}", "store"}
    if components & context.faulted_components:
        return False
    context.faulted_components |= components
    late_heartbeat = endpoint.prepare_announcement()
    fleet.store.faults = StoreFaults(refusal=Refusal.BUSY)
    since_s = time.monotonic()
    acknowledged = False
    with contextlib.suppress(OSError, TimeoutError):
        acknowledged = await endpoint.deregister() == 200
    departed_s = time.monotonic()
    kills_first = rng.random() < 0.5
    if kills_first:
        await fleet.kill_daemon(vm)
    await context.pause(0.2, 1.0)
    fleet.store.faults = StoreFaults()
    context.add_store_period(since_s)
    if not kills_first:
        await context.pause(1.2, 2.0)
        await fleet.kill_daemon(vm)
    await context.pause(*RESTART_DELAY_S)
    await fleet.start_daemon(vm)
    await context.pause(0.5, 1.5)
    with contextlib.suppress(OSError, TimeoutError):
        await late_heartbeat()
    await context.pause(2.5, 3.5)
    if acknowledged:
        context.periods.append(
            Period(
                condition="leaving",
                subject=vm.settings.node,
                since_s=departed_s,
                until_s=time.monotonic(),
            )
        )
    await endpoint.stop()
    await endpoint.restart()
    await context.pause(0.5, 1.0)
    context.faulted_components -= components
    return True


async def _spoil_phrases(context: Context, vm: Vm) -> None:
    vm.endpoint.faults = EndpointFaults(response="high_phrase", count=20)
    await context.pause()
    vm.endpoint.faults = EndpointFaults()


async def _restore_store(context: Context) -> bool:
    """Take the store away for a moment and restore it from a copy seconds old."""
    if "store" in context.faulted_components:
        return False
    context.faulted_components.add("store")
    store = context.fleet.store
    copy = store.copy()
    await context.pause(0.5, 6.0)
    since_s = time.monotonic()
    store.faults = StoreFaults(refusal=Refusal.RESET)
    store.cut_connections()
    await context.pause(0.0, 2.0)
    store.faults = StoreFaults()
    store.restore(copy)
    context.add_store_period(since_s)
    context.faulted_components.discard("store")
    return True


async def _kill_all_daemons(context: Context) -> bool:
    """Kill all daemons at the same time, shortly after a configuration change."""
    fleet = context.fleet
    nodes = {f"daemon:{vm.settings.node}" for vm in fleet.vms}
    if nodes & context.faulted_components:
        return False
    context.faulted_components |= nodes
    fleet.change_routes(context.rng)
    await context.pause(0.0, 0.4)
    await asyncio.gather(*(fleet.kill_daemon(vm) for vm in fleet.vms))
    await context.pause(*RESTART_DELAY_S)
    await asyncio.gather(*(fleet.start_daemon(vm) for vm in fleet.vms))
    await context.pause(0.5, 1.5)
    context.faulted_components -= nodes
    return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A type of fault.

    Attributes
    ----------
    name : str
        Name in the report.
    apply : callable
        Applies and removes the fault; returns false if every candidate already has
        a fault.
    """

    name: str
    apply: Callable[[Context], Awaitable[bool]]


PLANNED = (
    Fault(name="reload", apply=_on_vm("daemon", _reload_daemon)),
    Fault(name="stop", apply=_on_vm("daemon", _stop_daemon)),
    Fault(name="drain", apply=_on_vm("endpoint", _drain_endpoint)),
    Fault(name="zone_out", apply=_evacuate_zone),
    Fault(name="configuration", apply=_change_configuration),
)
# Faults listed more than once are chosen more often.
FAULTS = (
    *PLANNED,
    Fault(name="kill", apply=_on_vm("daemon", _kill_daemon)),
    Fault(name="freeze", apply=_on_vm("daemon", _pause_daemon)),
    Fault(name="crash", apply=_on_vm("endpoint", _crash_endpoint)),
    *(Fault(name="answers", apply=_on_vm("endpoint", _corrupt_responses)),) * 2,
    Fault(name="slow", apply=_on_vm("endpoint", _slow_endpoint)),
    *(Fault(name="link", apply=_on_vm("link", _degrade_link)),) * 2,
    *(Fault(name="store", apply=_degrade_store),) * 2,
    Fault(name="power", apply=_kill_all_daemons),
)
# The regression cases of earlier seeds draw from these two, so they stay as they are.
LIMITS_AND_RESTORES = (
    *FAULTS,
    *(Fault(name="limit", apply=_on_vm("endpoint", _limit_endpoint)),) * 2,
    *(Fault(name="restore", apply=_restore_store),) * 2,
)
ALL_FAULTS = (
    *LIMITS_AND_RESTORES,
    *(Fault(name="silence", apply=_silence_store),) * 2,
    *(Fault(name="forget", apply=_on_vm("endpoint", _forget_departure)),) * 2,
    Fault(name="phrases", apply=_on_vm("endpoint", _spoil_phrases)),
)
