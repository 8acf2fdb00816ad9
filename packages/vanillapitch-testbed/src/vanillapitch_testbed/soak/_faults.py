"""Faults that a soak test applies and reverts."""

import dataclasses
import random
import signal
import threading
from collections.abc import Callable

import urllib3
from vanillapitch_core import SystemClock

from vanillapitch_testbed.checks import Violation, Window
from vanillapitch_testbed.fleet import Fleet, FleetError, Vm

__all__ = ["FAULTS", "CRASH_TRIGGER", "ActiveFault", "FaultContext"]

# Backend servers crash on a request whose target contains this text.
CRASH_TRIGGER = "poison="
_CLOCK = SystemClock()


@dataclasses.dataclass(slots=True, kw_only=True)
class FaultContext:
    """Fleet and random generator for the faults, and the records that they make.

    Attributes
    ----------
    windows : list of Window
        Periods in which backend servers must not receive new requests.
    violations : list of Violation
        Violations found while a fault was applied or reverted.
    counters_by_vm : dict
        Saved counters by VM name; those of a process that crashed are not saved.
    faulted_targets : set of str
        Targets of the active faults.
    accepted_change_ids : list of str
        Changes of the tables that were reported to operators as accepted.
    """

    fleet: Fleet
    rng: random.Random
    windows: list[Window] = dataclasses.field(default_factory=list)
    violations: list[Violation] = dataclasses.field(default_factory=list)
    counters_by_vm: dict[str, list[dict]] = dataclasses.field(default_factory=dict)
    faulted_targets: set[str] = dataclasses.field(default_factory=set)
    accepted_change_ids: list[str] = dataclasses.field(default_factory=list)

    def pick_vm(self, role: str) -> Vm:
        """Choose a VM whose ``backend`` or ``daemon`` process (`role`) has no fault.

        Raises
        ------
        FleetError
            If there is no running process without a fault in this role.
        """
        vms = [
            vm
            for vm in self.fleet.vms
            if f"{role}:{vm.name}" not in self.faulted_targets
            and getattr(vm, role).is_running()
        ]
        if not vms:
            raise FleetError(f"no {role} without a fault")
        return self.rng.choice(vms)

    def require_free(self, target: str) -> None:
        """Raise `FleetError` if a target has a fault."""
        if target in self.faulted_targets:
            raise FleetError(f"{target} has a fault")

    def save_counters(self, vm: Vm) -> None:
        """Save a backend server's counters, which are lost when its process exits."""
        try:
            counters = self.fleet.counters(vm)
        except FleetError:
            return
        self.counters_by_vm.setdefault(vm.name, []).append(counters)


@dataclasses.dataclass(slots=True, kw_only=True)
class ActiveFault:
    """A fault that has been applied and not yet reverted.

    Attributes
    ----------
    target : str
        Process, link or other part that the fault affects. A target has one fault at
        a time, except ``operators``, whose races may overlap.
    undo : callable
        Reverts the fault; it is called again later when it raises `FleetError`.
    """

    kind: str
    detail: str
    target: str
    duration_s: float
    undo: Callable[[], None]

    @property
    def name(self) -> str:
        """Kind and detail, as the timeline shows them."""
        return f"{self.kind} {self.detail}"


def _scenario_fault(name: str, make_fields: Callable[[random.Random], dict]):
    def apply(context: FaultContext) -> ActiveFault:
        vm = context.pick_vm("backend")
        fields = make_fields(context.rng)
        _set_scenario(context, vm, **fields)
        return ActiveFault(
            kind=name,
            detail=vm.name,
            target=f"backend:{vm.name}",
            duration_s=context.rng.uniform(0.5, 4.0),
            undo=lambda: _set_scenario(context, vm),
        )

    return apply


def _set_scenario(context: FaultContext, vm: Vm, **fields) -> None:
    if vm.backend.is_running():
        context.fleet.set_scenario(vm, crash_on=CRASH_TRIGGER, **fields)


def _turn_cold(context: FaultContext) -> ActiveFault:
    vm = context.pick_vm("backend")
    context.fleet.turn_cold(vm)
    return ActiveFault(
        kind="cold",
        detail=vm.name,
        target=f"backend:{vm.name}",
        duration_s=1.0,
        undo=lambda: None,
    )


def _kill_backend(context: FaultContext) -> ActiveFault:
    vm = context.pick_vm("backend")
    context.save_counters(vm)
    vm.backend.kill()
    return ActiveFault(
        kind="kill backend",
        detail=vm.name,
        target=f"backend:{vm.name}",
        duration_s=0.1,
        undo=lambda: None,  # the soak restarts backend servers that exited
    )


def _leave(context: FaultContext) -> ActiveFault:
    fleet, vm = context.fleet, context.pick_vm("backend")
    fleet.announce(vm, "leaving")
    process_ids = (vm.backend.pid, vm.daemon.pid)
    record_window = _make_window_recorder(context, "I7", {vm.name})

    def undo() -> None:
        # After a restart of either process, the backend server is announced as ready,
        # so it may receive requests in this period.
        if (vm.backend.pid, vm.daemon.pid) == process_ids:
            record_window()
        if vm.daemon.is_running():
            fleet.announce_until_accepted(vm)

    return ActiveFault(
        kind="leave",
        detail=vm.name,
        target=f"backend:{vm.name}",
        duration_s=context.rng.uniform(4.0, 7.0),
        undo=undo,
    )


def _make_window_recorder(
    context: FaultContext, invariant: str, servers: set[str]
) -> Callable[[], None]:
    """Return a function that records a period, which begins now, on its first call.

    A failed reversal is requested again, although its first request may have taken
    effect.
    """
    began_ms = _CLOCK.wall_ms()
    has_ended = False

    def record_window() -> None:
        nonlocal has_ended
        if has_ended:
            return
        has_ended = True
        window = Window(
            invariant=invariant,
            servers=frozenset(servers),
            began_ms=began_ms,
            ended_ms=_CLOCK.wall_ms(),
        )
        context.windows.append(window)

    return record_window


def _pause_daemon(context: FaultContext) -> ActiveFault:
    vm = context.pick_vm("daemon")
    vm.daemon.send_signal(signal.SIGSTOP)
    return ActiveFault(
        kind="pause daemon",
        detail=vm.name,
        target=f"daemon:{vm.name}",
        duration_s=context.rng.choice([0.3, 1.0, 3.0, 6.0]),
        undo=lambda: vm.daemon.send_signal(signal.SIGCONT),
    )


def _kill_daemon(context: FaultContext) -> ActiveFault:
    vm = context.pick_vm("daemon")
    vm.daemon.kill()
    return ActiveFault(
        kind="kill daemon",
        detail=vm.name,
        target=f"daemon:{vm.name}",
        duration_s=context.rng.uniform(0.2, 3.0),
        undo=lambda: context.fleet.restart_daemon(vm),
    )


def _stop_daemon(context: FaultContext) -> ActiveFault:
    vm = context.pick_vm("daemon")
    record_window = _make_window_recorder(context, "I7", {vm.name})
    vm.daemon.send_signal(signal.SIGTERM)

    def undo() -> None:
        code = vm.daemon.terminate(15.0)
        if code:
            detail = f"the daemon of {vm.name} stopped with exit code {code}"
            context.violations.append(Violation(invariant="I8", detail=detail))
        record_window()
        context.fleet.restart_daemon(vm)

    return ActiveFault(
        kind="stop daemon",
        detail=vm.name,
        target=f"daemon:{vm.name}",
        duration_s=context.rng.uniform(1.0, 5.0),
        undo=undo,
    )


def _link_fault(
    name: str, kinds: tuple[str, ...], make_fields, *, max_duration_s: float
):
    def apply(context: FaultContext) -> ActiveFault:
        fleet = context.fleet
        kind = context.rng.choice(kinds)
        link = kind
        if kind != "store":
            vms = fleet.vms
            if kind in ("peers", "gossip"):
                vms = [vm for vm in vms if vm.proxied]
            link = f"{context.rng.choice(vms).name}-{kind}"
        context.require_free(f"link:{link}")
        fleet.set_faults(link, **make_fields(context.rng))
        return ActiveFault(
            kind=f"{kind} {name}",
            detail=link,
            target=f"link:{link}",
            duration_s=context.rng.uniform(0.5, max_duration_s),
            undo=lambda: fleet.set_faults(link),
        )

    return apply


def _store_fault(name: str, make_fields: Callable[[random.Random], dict]):
    def apply(context: FaultContext) -> ActiveFault:
        context.require_free("store")
        context.fleet.set_store_faults(**make_fields(context.rng))
        return ActiveFault(
            kind=f"store {name}",
            detail="",
            target="store",
            duration_s=context.rng.uniform(0.5, 6.0),
            undo=context.fleet.set_store_faults,
        )

    return apply


def _cut_link(context: FaultContext) -> ActiveFault:
    fleet = context.fleet
    vm = context.rng.choice([vm for vm in fleet.vms if vm.proxied])
    link = f"{vm.name}-{context.rng.choice(['peers', 'callers'])}"
    context.require_free(f"link:{link}")
    fleet.cut_link(link)
    return ActiveFault(
        kind="cut",
        detail=link,
        target=f"link:{link}",
        duration_s=0.2,
        undo=lambda: None,
    )


def _zone_out(context: FaultContext) -> ActiveFault:
    fleet = context.fleet
    context.require_free("zones")
    zone = context.rng.choice(fleet.deployment.zones)
    operator_vm = _pick_running_vm(context)
    response = fleet.set_zone(zone, in_service=False, vm=operator_vm)
    servers = {vm.name for vm in fleet.vms if vm.zone == zone}
    record_window = _make_window_recorder(context, "I3", servers)

    def undo() -> None:
        if response.status == 200:
            record_window()
        _zone_in(context, zone)

    return ActiveFault(
        kind="zone out",
        detail=f"{zone} ({response.status})",
        target="zones",
        duration_s=context.rng.uniform(4.0, 8.0),
        undo=undo,
    )


def _zone_in(context: FaultContext, zone: str) -> None:
    """Put a zone back into service; raise `FleetError` for a retry when refused."""
    response = context.fleet.set_zone(
        zone, in_service=True, vm=_pick_running_vm(context)
    )
    if response.status != 200:
        raise FleetError(f"zone in {zone}: {response.status}")


def _pick_running_vm(context: FaultContext) -> Vm:
    vms = [vm for vm in context.fleet.vms if vm.daemon.is_running()]
    vms = [vm for vm in vms if not vm.daemon.stopped] or context.fleet.vms
    return context.rng.choice(vms)


def _race_operators(context: FaultContext) -> ActiveFault:
    """Let two operators change one revision concurrently; at most one may succeed."""
    first, second = _pick_running_vm(context), _pick_running_vm(context)
    statuses: list[int] = []
    base = context.fleet.tables(first)
    base_ms = base["routes"][0]["timeout_ms"]
    threads = [
        threading.Thread(
            target=_change_timeout, args=(context, vm, base, timeout_ms, statuses)
        )
        for vm, timeout_ms in ((first, base_ms + 1), (second, base_ms + 2))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if statuses.count(200) > 1:
        detail = f"two changes of revision {base['revision']} were accepted"
        context.violations.append(Violation(invariant="I9", detail=detail))
    return ActiveFault(
        kind="racing operators",
        detail=str(sorted(statuses)),
        target="operators",
        duration_s=0.5,
        undo=lambda: None,
    )


def _change_timeout(context, vm: Vm, base: dict, timeout_ms: int, statuses) -> None:
    routes = [dict(route, timeout_ms=timeout_ms) for route in base["routes"]]
    try:
        response = context.fleet.put_tables(vm, base=base, routes=routes)
    except urllib3.exceptions.HTTPError:
        statuses.append(0)
    else:
        statuses.append(response.status)
        if response.status == 200:
            context.accepted_change_ids.append(response.json()["change_id"])


FAULTS = (
    _scenario_fault("straggle", lambda rng: {"straggler_factor": rng.uniform(3, 20)}),
    _scenario_fault("fail fast", lambda rng: {"fail_status": rng.choice([500, 503])}),
    _scenario_fault("shed", lambda rng: {"shed": True}),
    _scenario_fault("drain", lambda rng: {"drain": True}),
    _scenario_fault("stall", lambda rng: {"stall": True}),
    _scenario_fault("cut answers", lambda rng: {"cut_answers": True}),
    _scenario_fault("late", lambda rng: {"late_ms": rng.uniform(100, 2_000)}),
    _turn_cold,
    _kill_backend,
    _leave,
    _pause_daemon,
    _kill_daemon,
    _stop_daemon,
    _store_fault("down", lambda rng: {"down": rng.choice(["refuse", "hang"])}),
    _store_fault("slow", lambda rng: {"slow_ms": rng.uniform(100, 2_000)}),
    _store_fault(
        "lost writes",
        lambda rng: {"lose_probability": 0.5, "seed": rng.randrange(1_000)},
    ),
    _link_fault(
        "slow",
        ("store", "peers", "gossip"),
        lambda rng: {"delay_ms": rng.uniform(20, 800), "jitter_ms": 100.0},
        max_duration_s=6.0,
    ),
    _link_fault(
        "lost answers",
        ("store", "peers"),
        lambda rng: {"lose_answer_share": rng.uniform(0.1, 0.6)},
        max_duration_s=5.0,
    ),
    _link_fault(
        "black hole",
        ("store", "peers", "gossip", "callers"),
        lambda rng: {"black_hole": True},
        max_duration_s=5.0,
    ),
    _link_fault(
        "half-close",
        ("peers", "callers"),
        lambda rng: {"half_close_share": 0.1},
        max_duration_s=4.0,
    ),
    _link_fault(
        "loss",
        ("peers", "gossip", "callers"),
        lambda rng: {"cut_share": rng.uniform(0.02, 0.3)},
        max_duration_s=5.0,
    ),
    _cut_link,
    _zone_out,
    _race_operators,
)
