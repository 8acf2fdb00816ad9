"""Soak test: load, random faults and checks of the invariants."""

import collections
import contextlib
import dataclasses
import random
import threading
import time

import urllib3
from vanillapitch_core import SystemClock

from vanillapitch_testbed.callers import Call, Load, LoadOptions, send
from vanillapitch_testbed.checks import RevisionWatch, Violation, check_calls
from vanillapitch_testbed.checks import check_windows as check_windows_of
from vanillapitch_testbed.fleet import Deployment, Fleet, FleetError
from vanillapitch_testbed.soak._faults import (
    CRASH_TRIGGER,
    FAULTS,
    ActiveFault,
    FaultContext,
)

__all__ = ["SoakResult", "run_soak"]

_MAX_ACTIVE_FAULTS = 4
_TICK_S = 0.1
_UNDO_RETRY_S = 0.5
_UNDO_ATTEMPTS = 60
_BACKEND_RESTART_S = 0.5
_CRASHING_REQUEST_INTERVAL_S = 1.0
_CRASHING_REQUEST_SENDS = 8
# All daemons know of a quarantine within this time after the second strike.
_QUARANTINE_BOUND_MS = 2_000
_CONVERGED_TIMEOUT_S = 9.0
# Only the latest accepted changes are checked: the administration API returns at most
# 200 revisions, and these include zone changes.
_HISTORY_ENTRIES = 50
_MAX_CALLS_PER_SECOND = 1_000
_CLOCK = SystemClock()


@dataclasses.dataclass(slots=True, kw_only=True)
class SoakResult:
    """Calls, faults and violations of a soak test."""

    seed: int
    calls: list[Call]
    faults_by_kind: dict[str, int]
    violations: list[Violation]
    max_in_flight: int
    cold_failures: int
    timeline: list[str]


def run_soak(*, deployment: Deployment, seconds: float, seed: int) -> SoakResult:
    """Run a fleet under load and random faults, and check the invariants.

    Parameters
    ----------
    deployment : Deployment
        Deployment to start.
    seconds : float
        Duration of the load.
    seed : int
        Seed of all random choices.

    Returns
    -------
    SoakResult
        Counts and violations.

    Raises
    ------
    FleetError
        If the fleet does not start or a fault cannot be reverted.
    """
    fleet = Fleet(deployment=deployment, proxied=True, seed=seed)
    with fleet:
        soak = _Soak(fleet=fleet, seconds=seconds, seed=seed)
        return soak.run()


class _Soak:
    def __init__(self, *, fleet: Fleet, seconds: float, seed: int):
        self._fleet = fleet
        self._seconds = seconds
        self._seed = seed
        self._rng = random.Random(seed)
        self._context = FaultContext(fleet=fleet, rng=random.Random(seed + 1))
        self._active: list[tuple[float, ActiveFault]] = []
        self._counts: collections.Counter = collections.Counter()
        self._timeline: list[str] = []
        self._restart_at_s: dict[str, float] = {}
        self._started_s = 0.0
        self._stop = threading.Event()
        self._crashing_calls: list[Call] = []
        # By identity: races of operators have the same target and may overlap.
        self._started_ms_by_fault: dict[int, int] = {}
        self._pauses: list[tuple[str, int, int]] = []

    def run(self) -> SoakResult:
        fleet = self._fleet
        for vm in fleet.vms:
            fleet.set_scenario(vm, crash_on=CRASH_TRIGGER)
        load = Load(
            deployment=fleet.deployment,
            addresses=[vm.callers_proxy for vm in fleet.vms],
            options=LoadOptions(
                threads=16,
                max_calls=int(self._seconds * _MAX_CALLS_PER_SECOND),
                duration_s=self._seconds,
                timeout_ms=4_000,
                seed=self._seed,
                upload_bytes=(100_000, 2_000_000),
            ),
        )
        watch = RevisionWatch(fleet=fleet)
        crashing_thread = threading.Thread(
            target=self._send_crashing_requests, daemon=True
        )
        self._started_s = time.monotonic()
        watch.start()
        load.start()
        crashing_thread.start()
        try:
            while time.monotonic() < self._started_s + self._seconds:
                self._tick()
                time.sleep(_TICK_S)
        finally:
            self._stop.set()
            load.stop()
        crashing_thread.join()
        self._undo_all()
        calls = load.join()
        self._check_converged()
        self._check_history()
        watch.stop()
        return self._result(calls, watch)

    def _tick(self) -> None:
        self._restart_backends()
        now_s = time.monotonic()
        for due in [entry for entry in self._active if entry[0] <= now_s]:
            self._active.remove(due)
            if not self._undo(due[1]):
                self._active.append((now_s + _UNDO_RETRY_S, due[1]))
        free_slots = _MAX_ACTIVE_FAULTS - len(self._active)
        if free_slots > 0 and self._rng.random() < 0.15 * free_slots:
            self._apply()

    def _apply(self) -> None:
        fault = self._rng.choice(FAULTS)
        applied_ms = _CLOCK.wall_ms()
        try:
            active = fault(self._context)
        except (FleetError, urllib3.exceptions.HTTPError):
            return  # its target has a fault, or a fault makes it unreachable
        self._context.faulted_targets.add(active.target)
        self._started_ms_by_fault[id(active)] = applied_ms
        self._record_event(active.name)
        self._counts[active.kind] += 1
        self._active.append((time.monotonic() + active.duration_s, active))

    def _undo(self, fault: ActiveFault) -> bool:
        try:
            fault.undo()
        except (FleetError, urllib3.exceptions.HTTPError) as error:
            self._record_event(f"not reverted yet: {fault.name}: {error}"[:160])
            return False
        self._record_event(f"reverted: {fault.name}")
        self._context.faulted_targets.discard(fault.target)
        started_ms = self._started_ms_by_fault.pop(id(fault))
        if fault.kind == "pause daemon":
            self._pauses.append((fault.target, started_ms, _CLOCK.wall_ms()))
        return True

    def _undo_all(self) -> None:
        for _ in range(_UNDO_ATTEMPTS):
            self._restart_backends()
            remaining = [
                (at_s, fault) for at_s, fault in self._active if not self._undo(fault)
            ]
            self._active = remaining
            if not remaining and all(vm.backend.is_running() for vm in self._fleet.vms):
                return
            time.sleep(_UNDO_RETRY_S)
        names = [fault.name for _, fault in self._active]
        raise FleetError(f"faults cannot be reverted: {names}")

    def _restart_backends(self) -> None:
        now_s = time.monotonic()
        for vm in self._fleet.vms:
            if vm.backend.is_running():
                continue
            at_s = self._restart_at_s.setdefault(vm.name, now_s + _BACKEND_RESTART_S)
            if now_s < at_s:
                continue
            del self._restart_at_s[vm.name]
            vm.backend.start()
            self._record_event(f"started backend {vm.name}")
            threading.Thread(
                target=self._enable_crashes, args=(vm,), daemon=True
            ).start()

    def _enable_crashes(self, vm) -> None:
        """Set the crash trigger again on a backend server that is starting."""
        for _ in range(50):
            with contextlib.suppress(FleetError):
                self._fleet.set_scenario(vm, crash_on=CRASH_TRIGGER)
                return
            time.sleep(0.1)

    def _send_crashing_requests(self) -> None:
        rng = random.Random(self._seed + 2)
        pool = urllib3.PoolManager()
        number = 0
        while not self._stop.wait(_CRASHING_REQUEST_INTERVAL_S * 4):
            number += 1
            service = rng.choice(self._fleet.deployment.services)
            target = f"/{service.name}/item?{CRASH_TRIGGER}{number}"
            for _ in range(_CRASHING_REQUEST_SENDS):
                vm = rng.choice(self._fleet.vms)
                call = Call(service=service.name, method="GET", target=target)
                send(pool, call, address=vm.callers, timeout_ms=2_000)
                self._crashing_calls.append(call)
                if self._stop.wait(_CRASHING_REQUEST_INTERVAL_S):
                    return

    def _check_converged(self) -> None:
        context, fleet = self._context, self._fleet
        statuses = [fleet.status(vm) for vm in fleet.vms]
        highest = max(status["revision"] for status in statuses if status)
        try:
            fleet.wait_revision(highest, timeout_s=_CONVERGED_TIMEOUT_S)
        except FleetError as error:
            violation = Violation(invariant="I9", detail=str(error))
            context.violations.append(violation)

    def _check_history(self) -> None:
        """Check I9: each accepted change is in the history."""
        context, fleet = self._context, self._fleet
        history_ids = {entry["change_id"] for entry in fleet.history(fleet.vms[0])}
        for change_id in context.accepted_change_ids[-_HISTORY_ENTRIES:]:
            if change_id not in history_ids:
                detail = f"the accepted change {change_id} is not in the history"
                context.violations.append(Violation(invariant="I9", detail=detail))

    def _check_crashing_requests(self, entries) -> list[Violation]:
        """Check that no crashing request is executed after the quarantine's bound.

        Executions by a daemon that was paused within the bound before them are not
        counted, because it has not received the strikes: a daemon that resumed after
        6.1 s immediately executed the requests that had arrived during the pause.
        """
        executions_by_target: dict[str, list] = {}
        for entry in entries:
            if CRASH_TRIGGER in entry.target:
                executions_by_target.setdefault(entry.target, []).append(entry)
        violations = []
        for target, executions in executions_by_target.items():
            late = [
                execution
                for execution in executions[2:]
                if execution.began_ms > executions[1].began_ms + _QUARANTINE_BOUND_MS
                and not self._was_paused(execution)
            ]
            if late:
                detail = (
                    f"{target} was executed {len(executions)} times, "
                    f"{len(late)} of them after the bound"
                )
                detail += self._describe_crashing_calls(target)
                violations.append(Violation(invariant="quarantine", detail=detail))
        return violations

    def _was_paused(self, execution) -> bool:
        addresses = [
            call.sent_to
            for call in self._crashing_calls
            if call.nonce == execution.nonce
        ]
        names = [vm.name for vm in self._fleet.vms if vm.callers in addresses]
        targets = {f"daemon:{name}" for name in names}
        since_ms = execution.began_ms - _QUARANTINE_BOUND_MS
        return any(
            target in targets
            and started_ms < execution.began_ms
            and ended_ms > since_ms
            for target, started_ms, ended_ms in self._pauses
        )

    def _describe_crashing_calls(self, target: str) -> str:
        return "".join(
            f"; {call.code or call.status} from {call.sent_to}, sent at {call.sent_ms}"
            for call in self._crashing_calls
            if call.target == target
        )

    def _result(self, calls: list[Call], watch: RevisionWatch) -> SoakResult:
        context = self._context
        for vm in self._fleet.vms:
            context.save_counters(vm)
        counters = [one for saved in context.counters_by_vm.values() for one in saved]
        entries = self._fleet.journal()
        violations = context.violations + watch.violations
        violations += check_calls(calls, entries)
        violations += check_windows_of(context.windows, entries)
        violations += self._check_crashing_requests(entries)
        return SoakResult(
            seed=self._seed,
            calls=calls,
            faults_by_kind=dict(self._counts),
            violations=violations,
            max_in_flight=max(one["max_in_flight"] for one in counters),
            cold_failures=sum(one["cold_failures"] for one in counters),
            timeline=self._timeline,
        )

    def _record_event(self, text: str) -> None:
        self._timeline.append(f"{time.monotonic() - self._started_s:7.2f} s  {text}")
