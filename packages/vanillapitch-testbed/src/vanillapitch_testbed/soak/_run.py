"""The run of a soak: load, faults, checks."""

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
    FAULTS,
    POISON,
    ActiveFault,
    FaultContext,
)

__all__ = ["SoakResult", "run_soak"]

_ACTIVE_FAULTS_MAX = 4
_TICK_S = 0.1
_UNDO_RETRY_S = 0.5
_UNDO_ATTEMPTS = 60
_BACKEND_RESTART_S = 0.5
_POISON_INTERVAL_S = 1.0
_POISON_SENDS = 8
# A quarantine is known to all daemons within this time after the second strike.
_QUARANTINE_BOUND_MS = 2_000
_CONVERGED_TIMEOUT_S = 9.0
# The administration API answers at most 200 revisions; zone changes are among them.
_HISTORY_ENTRIES = 50
_MAX_CALLS_PER_SECOND = 1_000
_CLOCK = SystemClock()


@dataclasses.dataclass(slots=True, kw_only=True)
class SoakResult:
    """What a soak did and found."""

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
        What to start.
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
        If the fleet does not start or a fault cannot be taken back.
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
        self._choice = random.Random(seed)
        self._context = FaultContext(fleet=fleet, choice=random.Random(seed + 1))
        self._active: list[tuple[float, ActiveFault]] = []
        self._counts: collections.Counter = collections.Counter()
        self._timeline: list[str] = []
        self._restart_at_s: dict[str, float] = {}
        self._started_s = 0.0
        self._stop = threading.Event()
        self._poison_calls: list[Call] = []
        # By identity: races of operators share a subject and may overlap.
        self._began_ms_by_fault: dict[int, int] = {}
        self._pauses: list[tuple[str, int, int]] = []

    def run(self) -> SoakResult:
        fleet = self._fleet
        for vm in fleet.vms:
            fleet.set_scenario(vm, crash_on=POISON)
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
        poisoner = threading.Thread(target=self._send_poison, daemon=True)
        self._started_s = time.monotonic()
        watch.start()
        load.start()
        poisoner.start()
        try:
            while time.monotonic() < self._started_s + self._seconds:
                self._tick()
                time.sleep(_TICK_S)
        finally:
            self._stop.set()
            load.stop()
        poisoner.join()
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
        room = _ACTIVE_FAULTS_MAX - len(self._active)
        if room > 0 and self._choice.random() < 0.15 * room:
            self._apply()

    def _apply(self) -> None:
        fault = self._choice.choice(FAULTS)
        applied_ms = _CLOCK.wall_ms()
        try:
            active = fault(self._context)
        except (FleetError, urllib3.exceptions.HTTPError):
            return  # its subject has another fault, or is out of reach by one
        self._context.subjects.add(active.subject)
        self._began_ms_by_fault[id(active)] = applied_ms
        self._note(active.name)
        self._counts[active.kind] += 1
        self._active.append((time.monotonic() + active.duration_s, active))

    def _undo(self, fault: ActiveFault) -> bool:
        try:
            fault.undo()
        except (FleetError, urllib3.exceptions.HTTPError) as error:
            self._note(f"not taken back yet: {fault.name}: {error}"[:160])
            return False
        self._note(f"taken back: {fault.name}")
        self._context.subjects.discard(fault.subject)
        began_ms = self._began_ms_by_fault.pop(id(fault))
        if fault.kind == "pause daemon":
            self._pauses.append((fault.subject, began_ms, _CLOCK.wall_ms()))
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
        raise FleetError(f"faults cannot be taken back: {names}")

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
            self._note(f"started backend {vm.name}")
            threading.Thread(target=self._arm, args=(vm,), daemon=True).start()

    def _arm(self, vm) -> None:
        """Let a backend server that starts crash on poison again."""
        for _ in range(50):
            with contextlib.suppress(FleetError):
                self._fleet.set_scenario(vm, crash_on=POISON)
                return
            time.sleep(0.1)

    def _send_poison(self) -> None:
        choice = random.Random(self._seed + 2)
        pool = urllib3.PoolManager()
        number = 0
        while not self._stop.wait(_POISON_INTERVAL_S * 4):
            number += 1
            service = choice.choice(self._fleet.deployment.services)
            target = f"/{service.name}/item?{POISON}{number}"
            for _ in range(_POISON_SENDS):
                vm = choice.choice(self._fleet.vms)
                call = Call(service=service.name, method="GET", target=target)
                send(pool, call, address=vm.callers, timeout_ms=2_000)
                self._poison_calls.append(call)
                if self._stop.wait(_POISON_INTERVAL_S):
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
        """Check I9: each change that was accepted is in the history."""
        context, fleet = self._context, self._fleet
        known = {entry["change_id"] for entry in fleet.history(fleet.vms[0])}
        for change_id in context.accepted_change_ids[-_HISTORY_ENTRIES:]:
            if change_id not in known:
                detail = f"the accepted change {change_id} is not in the history"
                context.violations.append(Violation(invariant="I9", detail=detail))

    def _check_poison(self, entries) -> list[Violation]:
        """Check that no daemon runs a crashing request after the quarantine's bound.

        A daemon that was paused less than the bound ago cannot know of the strikes
        (seed 21: paused from 5.1 to 11.2 s, it ran at once what had arrived
        meanwhile), so its runs are not counted.
        """
        runs_by_target: dict[str, list] = {}
        for entry in entries:
            if POISON in entry.target:
                runs_by_target.setdefault(entry.target, []).append(entry)
        violations = []
        for target, runs in runs_by_target.items():
            late = [
                run
                for run in runs[2:]
                if run.began_ms > runs[1].began_ms + _QUARANTINE_BOUND_MS
                and not self._was_paused(run)
            ]
            if late:
                detail = f"{target} ran {len(runs)} times, {len(late)} too late"
                detail += self._describe_poison(target)
                violations.append(Violation(invariant="quarantine", detail=detail))
        return violations

    def _was_paused(self, run) -> bool:
        addresses = [
            call.sent_to for call in self._poison_calls if call.nonce == run.nonce
        ]
        names = [vm.name for vm in self._fleet.vms if vm.callers in addresses]
        subjects = {f"daemon:{name}" for name in names}
        since_ms = run.began_ms - _QUARANTINE_BOUND_MS
        return any(
            subject in subjects and began_ms < run.began_ms and ended_ms > since_ms
            for subject, began_ms, ended_ms in self._pauses
        )

    def _describe_poison(self, target: str) -> str:
        return "".join(
            f"; {call.code or call.status} by {call.sent_to} at {call.sent_ms}"
            for call in self._poison_calls
            if call.target == target
        )

    def _result(self, calls: list[Call], watch: RevisionWatch) -> SoakResult:
        context = self._context
        for vm in self._fleet.vms:
            context.keep_counters(vm)
        counters = [kept for each in context.counters_by_vm.values() for kept in each]
        entries = self._fleet.journal()
        violations = context.violations + watch.violations
        violations += check_calls(calls, entries)
        violations += check_windows_of(context.windows, entries)
        violations += self._check_poison(entries)
        return SoakResult(
            seed=self._seed,
            calls=calls,
            faults_by_kind=dict(self._counts),
            violations=violations,
            max_in_flight=max(kept["max_in_flight"] for kept in counters),
            cold_failures=sum(kept["cold_failures"] for kept in counters),
            timeline=self._timeline,
        )

    def _note(self, text: str) -> None:
        self._timeline.append(f"{time.monotonic() - self._started_s:7.2f} s  {text}")
