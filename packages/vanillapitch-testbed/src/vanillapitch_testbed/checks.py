"""Verification of the invariants from journals, calls and the daemons' status."""

import dataclasses
import threading
from collections.abc import Iterable

from vanillapitch_testbed.backend import JournalEntry
from vanillapitch_testbed.callers import Call
from vanillapitch_testbed.fleet import Fleet

__all__ = [
    "LEAVE_BOUND_MS",
    "KeyedCounts",
    "RevisionWatch",
    "Violation",
    "Window",
    "check_responses",
    "check_calls",
    "check_keys",
    "check_not_run",
    "check_overload",
    "check_windows",
    "count_keys",
]

# Bound of invariants I3 and I7 on the design page.
LEAVE_BOUND_MS = 3_000
_POLL_INTERVAL_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """A violated invariant."""

    invariant: str
    detail: str

    def __str__(self) -> str:
        return f"{self.invariant}: {self.detail}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Window:
    """A period in which backend servers may start no requests after the bound.

    The bound, `LEAVE_BOUND_MS`, counts from the start of the period.

    Attributes
    ----------
    invariant : str
        ``I3`` for a zone out of service, ``I7`` for a leaving endpoint.
    servers : frozenset of str
        Names of the backend servers.
    began_ms, ended_ms : int
        Wall time at which the change was accepted, and at which its reversal was
        requested.
    """

    invariant: str
    servers: frozenset[str]
    began_ms: int
    ended_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class KeyedCounts:
    """Counts of keyed requests by how often they were executed.

    `lost` requests got a response or the outcome ``ran`` without an execution.
    """

    once: int = 0
    twice: int = 0
    lost: int = 0
    not_run: int = 0


def check_keys(entries: Iterable[JournalEntry]) -> list[Violation]:
    """Check I6: no key is executed twice."""
    entries_by_key = _group_by_key(entries)
    return [
        Violation(
            invariant="I6",
            detail=f"key {key} was executed {len(executions)} times: "
            + ", ".join(
                f"{execution.server} at {execution.began_ms} ({execution.nonce})"
                for execution in executions
            ),
        )
        for key, executions in entries_by_key.items()
        if len(executions) > 1
    ]


def count_keys(calls: list[Call], entries: Iterable[JournalEntry]) -> KeyedCounts:
    """Count the keyed requests by how often they were executed."""
    entries_by_key = _group_by_key(entries)
    counts = KeyedCounts()
    calls_by_key: dict[str, list[Call]] = {}
    for call in calls:
        if call.key:
            calls_by_key.setdefault(call.key, []).append(call)
    for key, calls_of_key in calls_by_key.items():
        executions = len(entries_by_key.get(key, []))
        if executions == 1:
            counts.once += 1
        elif executions > 1:
            counts.twice += 1
        elif any(call.answered or call.outcome == "ran" for call in calls_of_key):
            counts.lost += 1
        else:
            counts.not_run += 1
    return counts


def check_not_run(
    calls: list[Call], entries: Iterable[JournalEntry]
) -> list[Violation]:
    """Check I5: no request that was refused as `not_run` was executed."""
    entries_by_nonce = {entry.nonce: entry for entry in entries if entry.nonce}
    violations = []
    for call in calls:
        execution = entries_by_nonce.get(call.nonce)
        if call.outcome == "not_run" and execution is not None:
            detail = f"{call.code} ({call.nonce}, {call.target}) from {call.sent_to}"
            detail += f" was executed on {execution.server}, status {execution.status}"
            violations.append(Violation(invariant="I5", detail=detail))
    return violations


def check_responses(
    calls: list[Call], entries: Iterable[JournalEntry]
) -> list[Violation]:
    """Check I4: responses are complete, match their calls and had an execution."""
    nonces = {entry.nonce for entry in entries}
    violations = []
    for call in calls:
        if call.fault:
            detail = f"{call.fault} ({call.nonce}, {call.target}) from {call.sent_to}"
            violations.append(Violation(invariant="I4", detail=detail))
        elif call.code == "partial_answer":
            detail = f"partial response ({call.nonce}) from {call.sent_to}"
            violations.append(Violation(invariant="I4", detail=detail))
        elif call.answered and not call.replayed and call.nonce not in nonces:
            detail = (
                f"response {call.status} without an execution "
                f"({call.nonce}, {call.target})"
            )
            violations.append(Violation(invariant="I4", detail=detail))
    return violations


def check_windows(
    windows: Iterable[Window], entries: list[JournalEntry]
) -> list[Violation]:
    """Check I3 and I7: no excluded server starts a request after the bound."""
    violations = []
    for window in windows:
        bound_ms = window.began_ms + LEAVE_BOUND_MS
        for entry in entries:
            is_late = bound_ms < entry.began_ms < window.ended_ms
            if is_late and entry.server in window.servers:
                late_ms = entry.began_ms - window.began_ms
                detail = (
                    f"{entry.server} started a request {late_ms} ms after the change "
                    f"({entry.nonce}, {entry.target}, at {entry.began_ms})"
                )
                violations.append(Violation(invariant=window.invariant, detail=detail))
    return violations


def check_overload(fleet: Fleet, counters_by_vm: dict[str, dict]) -> list[Violation]:
    """Check I2: no backend server had more requests in flight than slots."""
    violations = []
    slots = fleet.deployment.slots
    for name, counters in counters_by_vm.items():
        if counters["max_in_flight"] > slots:
            detail = (
                f"{name} had {counters['max_in_flight']} requests in flight "
                f"with {slots} slots"
            )
            violations.append(Violation(invariant="I2", detail=detail))
        if counters["cold_failures"]:
            detail = f"{name} failed {counters['cold_failures']} requests while cold"
            violations.append(Violation(invariant="I2", detail=detail))
    return violations


def check_calls(calls: list[Call], entries: list[JournalEntry]) -> list[Violation]:
    """Check the invariants that need only calls and journals."""
    violations = check_keys(entries)
    violations += check_not_run(calls, entries)
    violations += check_responses(calls, entries)
    lost = count_keys(calls, entries).lost
    if lost:
        detail = f"{lost} keyed requests got a response without an execution"
        violations.append(Violation(invariant="I4", detail=detail))
    return violations


class RevisionWatch:
    """Polls the daemons' status for a revision that decreases (I9).

    A restarted daemon counts as a new one, so revisions are compared within one process
    id.

    Parameters
    ----------
    fleet : Fleet
        The daemons to poll.
    """

    def __init__(self, *, fleet: Fleet):
        self._fleet = fleet
        self._revisions_by_process: dict[tuple[str, int], int] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.violations: list[Violation] = []

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(_POLL_INTERVAL_S):
            for vm in self._fleet.vms:
                self._poll(vm)

    def _poll(self, vm) -> None:
        process_id = vm.daemon.pid
        if not vm.daemon.is_running() or vm.daemon.stopped:
            return
        status = self._fleet.status(vm)
        if status is None or vm.daemon.pid != process_id:
            return
        revision = status["revision"]
        process = (vm.name, process_id)
        earlier = self._revisions_by_process.get(process, 0)
        if revision < earlier:
            detail = f"the revision of {vm.name} fell from {earlier} to {revision}"
            self.violations.append(Violation(invariant="I9", detail=detail))
        self._revisions_by_process[process] = max(earlier, revision)


def _group_by_key(entries: Iterable[JournalEntry]) -> dict[str, list[JournalEntry]]:
    entries_by_key: dict[str, list[JournalEntry]] = {}
    for entry in entries:
        if entry.key:
            entries_by_key.setdefault(entry.key, []).append(entry)
    return entries_by_key
