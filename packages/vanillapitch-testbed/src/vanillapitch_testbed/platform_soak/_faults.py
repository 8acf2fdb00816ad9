"""Faults of the soak; each is applied, lasts for a time and is taken back."""

import asyncio
import dataclasses
import random
import signal
import time
from collections.abc import Awaitable, Callable

from vanillapitch_testbed.platform_soak._fleet import SoakFleet
from vanillapitch_testbed.platform_standins import EndpointFaults, Refusal, StoreFaults
from vanillapitch_testbed.platform_standins._fleet import Vm
from vanillapitch_testbed.proxy import Faults

__all__ = ["FAULTS", "PLANNED", "Context", "Fault", "Span"]

ANSWER_FAULTS = (
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
RESTART_S = (0.1, 1.0)
DRAIN_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Span:
    """Time in which something was so.

    Attributes
    ----------
    what : str
        ``leaving``, ``zone_out`` or ``store_harmed``.
    subject : str
        Node or availability zone; empty for the store.
    since_s, until_s : float
        Monotonic times.
    """

    what: str
    subject: str
    since_s: float
    until_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Context:
    """What faults act on and what they record.

    Attributes
    ----------
    fleet : SoakFleet
        The fleet.
    rng : random.Random
        Source of choices.
    spans : list of Span
        Times that the checks need.
    busy : set of str
        What has a fault at present.
    """

    fleet: SoakFleet
    rng: random.Random
    spans: list[Span] = dataclasses.field(default_factory=list)
    busy: set[str] = dataclasses.field(default_factory=set)

    def pick(self, part: str) -> Vm | None:
        """Choose a VM whose part (``daemon``, ``endpoint``, ``link``) has no fault."""
        free = [
            vm for vm in self.fleet.vms if f"{part}:{vm.settings.node}" not in self.busy
        ]
        return self.rng.choice(free) if free else None

    async def pause(self, low_s: float = 0.3, high_s: float = 3.0) -> None:
        """Wait for the length of a fault."""
        await asyncio.sleep(self.rng.uniform(low_s, high_s))


def _on(part: str, body: Callable[[Context, Vm], Awaitable[None]]):
    async def apply(context: Context) -> bool:
        vm = context.pick(part)
        if vm is None:
            return False
        subject = f"{part}:{vm.settings.node}"
        context.busy.add(subject)
        try:
            await body(context, vm)
        finally:
            context.busy.discard(subject)
        return True

    return apply


async def _kill(context: Context, vm: Vm) -> None:
    await context.fleet.kill_daemon(vm)
    await context.pause(*RESTART_S)
    await context.fleet.start_daemon(vm)
    await context.pause()


async def _freeze(context: Context, vm: Vm) -> None:
    context.fleet.signal(vm, signal.SIGSTOP)
    await context.pause()
    context.fleet.signal(vm, signal.SIGCONT)
    await context.pause(0.5, 1.0)


async def _reload(context: Context, vm: Vm) -> None:
    for _ in range(context.rng.randrange(1, 4)):
        context.fleet.signal(vm, signal.SIGHUP)
        await context.pause(0.0, 0.3)


async def _stop(context: Context, vm: Vm) -> None:
    context.fleet.signal(vm, signal.SIGTERM)
    await context.pause(0.0, 0.5)
    context.fleet.signal(vm, signal.SIGTERM)
    code = await context.fleet.wait_for_exit(vm)
    if code != 0:
        context.fleet.violations.append(f"{vm.settings.node} stopped with code {code}")
    await context.pause(*RESTART_S)
    await context.fleet.start_daemon(vm)
    await context.pause()


async def _crash_endpoint(context: Context, vm: Vm) -> None:
    await vm.endpoint.stop()
    await context.pause(0.1, 1.5)
    cold_s = context.rng.choice((0.0, 3.0))
    await vm.endpoint.restart(cold_s=cold_s, new_instance=context.rng.random() < 0.7)
    await context.pause(0.2, 1.0)


async def _drain_endpoint(context: Context, vm: Vm) -> None:
    """Let an endpoint leave, serve for a while, end and come back as another."""
    endpoint = vm.endpoint
    leave = context.rng.choice((endpoint.drain, endpoint.deregister))
    try:
        acknowledged = await leave() == 200
    except (OSError, TimeoutError):
        acknowledged = False
    since_s = time.monotonic()
    await asyncio.sleep(DRAIN_S + context.rng.uniform(0.5, 2.0))
    if acknowledged:
        span = Span(
            what="leaving",
            subject=vm.settings.node,
            since_s=since_s,
            until_s=time.monotonic(),
        )
        context.spans.append(span)
    await endpoint.stop()
    await context.pause(0.1, 1.0)
    await endpoint.restart()


async def _spoil_answers(context: Context, vm: Vm) -> None:
    vm.endpoint.faults = EndpointFaults(
        response=context.rng.choice(ANSWER_FAULTS),
        count=context.rng.randrange(1, 40),
        unhealthy=context.rng.random() < 0.2,
    )
    await context.pause()
    vm.endpoint.faults = EndpointFaults()


async def _slow(context: Context, vm: Vm) -> None:
    vm.endpoint.work_s, vm.endpoint.speed_percent = 0.1, 400
    await context.pause()
    vm.endpoint.work_s, vm.endpoint.speed_percent = 0.01, 100


async def _harm_link(context: Context, vm: Vm) -> None:
    """Delay, cut, silence or half-close what callers send and endpoints answer."""
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


async def _take_zone_out(context: Context) -> bool:
    zone = context.rng.choice(("a", "b", "c"))
    if "zone" in context.busy:
        return False
    context.busy.add("zone")
    store = context.fleet.store
    store.put(f"op/evacuate/{zone}", b"{}")
    since_s = time.monotonic()
    await context.pause(2.0, 9.0)
    span = Span(
        what="zone_out", subject=zone, since_s=since_s, until_s=time.monotonic()
    )
    context.spans.append(span)
    store.delete(f"op/evacuate/{zone}")
    context.busy.discard("zone")
    return True


async def _change_configuration(context: Context) -> bool:
    for _ in range(context.rng.randrange(1, 6)):
        context.fleet.change_routes(context.rng)
        await context.pause(0.0, 0.3)
    return True


async def _harm_store(context: Context) -> bool:
    """Turn callers of the store away, slow it down, lose answers or its history."""
    if "store" in context.busy:
        return False
    context.busy.add("store")
    rng, store = context.rng, context.fleet.store
    hosts = None
    if rng.random() < 0.5:
        count = rng.randrange(1, len(context.fleet.vms))
        hosts = set(rng.sample(context.fleet.store_hosts(), count))
    store.faults = rng.choice(
        (
            StoreFaults(refusal=rng.choice(list(Refusal)), refused_hosts=hosts),
            StoreFaults(refusal=Refusal.SILENT, leases_pause=rng.random() < 0.5),
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
    span = Span(
        what="store_harmed", subject="", since_s=since_s, until_s=time.monotonic()
    )
    context.spans.append(span)
    context.busy.discard("store")
    return True


async def _lose_all_power(context: Context) -> bool:
    """Kill every daemon at once, shortly after a change."""
    fleet = context.fleet
    nodes = {f"daemon:{vm.settings.node}" for vm in fleet.vms}
    if nodes & context.busy:
        return False
    context.busy |= nodes
    fleet.change_routes(context.rng)
    await context.pause(0.0, 0.4)
    await asyncio.gather(*(fleet.kill_daemon(vm) for vm in fleet.vms))
    await context.pause(*RESTART_S)
    await asyncio.gather(*(fleet.start_daemon(vm) for vm in fleet.vms))
    await context.pause(0.5, 1.5)
    context.busy -= nodes
    return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A kind of fault.

    Attributes
    ----------
    name : str
        Its name.
    apply : callable
        Applies it and takes it back; returns whether there was something to harm.
    """

    name: str
    apply: Callable[[Context], Awaitable[bool]]


PLANNED = (
    Fault(name="reload", apply=_on("daemon", _reload)),
    Fault(name="stop", apply=_on("daemon", _stop)),
    Fault(name="drain", apply=_on("endpoint", _drain_endpoint)),
    Fault(name="zone_out", apply=_take_zone_out),
    Fault(name="configuration", apply=_change_configuration),
)
# Common faults stand more than once.
FAULTS = (
    *PLANNED,
    Fault(name="kill", apply=_on("daemon", _kill)),
    Fault(name="freeze", apply=_on("daemon", _freeze)),
    Fault(name="crash", apply=_on("endpoint", _crash_endpoint)),
    *(Fault(name="answers", apply=_on("endpoint", _spoil_answers)),) * 2,
    Fault(name="slow", apply=_on("endpoint", _slow)),
    *(Fault(name="link", apply=_on("link", _harm_link)),) * 2,
    *(Fault(name="store", apply=_harm_store),) * 2,
    Fault(name="power", apply=_lose_all_power),
)
