"""Thread that stores the ends of claims after the callers got their responses."""

import dataclasses
import logging
import threading
from collections import defaultdict
from collections.abc import Callable

import pykka
from vanillapitch_core import Clock
from vanillapitch_core.claims import ChangeStatus, ClaimChange

from vanillapitch_daemon.claims._holder import EndStored
from vanillapitch_daemon.claims._routes import CommitRoutes
from vanillapitch_daemon.claims.exceptions import PeerNotReached, PeerReplyLost

__all__ = ["Recorder"]

BATCH_DELAY_MS = 20.0
COMMIT_TIMEOUT_MS = 3_000.0
FIRST_RETRY_MS = 500.0
MAX_RETRY_MS = 15_000.0
# While the store is down, no new keyed requests are executed, so only the ends of those
# in flight are queued. These limits still bound the memory of the queue.
MAX_PENDING_BYTES = 4 * 1024 * 1024
MAX_PENDING_COUNT = 20_000

_log = logging.getLogger("vanillapitch.claims")

_FINAL_STATUSES = (ChangeStatus.APPLIED, ChangeStatus.TAKEN)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Pending:
    claim_id: str
    change: ClaimChange
    due_at_ms: float
    failures: int = 0


class Recorder:
    """Sends the ends of claims to their committers in batches until they are stored.

    Parameters
    ----------
    routes : CommitRoutes
        Committers of the shards.
    holder : pykka.ActorRef
        Actor that is notified of stored ends.
    clock : Clock
        Source of time.
    count_event : callable
        Takes the name of each event.
    """

    def __init__(
        self,
        *,
        routes: CommitRoutes,
        holder: pykka.ActorRef,
        clock: Clock,
        count_event: Callable[[str], None],
    ):
        self._routes = routes
        self._holder = holder
        self._clock = clock
        self._count_event = count_event
        self._changed = threading.Condition()
        self._pending: list[_Pending] = []
        # Ends being sent; the limits cover them as well as the pending ones.
        self._sending_by_id: dict[str, _Pending] = {}
        self._held_bytes = 0
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="claims-recorder", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def has_capacity(self, size_bytes: int) -> bool:
        """Return whether a result of this size fits into the queue."""
        return self._held_bytes + size_bytes <= MAX_PENDING_BYTES

    def add(self, claim_id: str, change: ClaimChange) -> None:
        """Queue the end of a claim without blocking."""
        due_at_ms = self._clock.now_ms() + BATCH_DELAY_MS
        pending = _Pending(claim_id=claim_id, change=change, due_at_ms=due_at_ms)
        with self._changed:
            if self._held_count >= MAX_PENDING_COUNT:
                self._count_event("end_not_recorded")
                _log.error("claims: the queue is full; the end of a claim is dropped")
                return
            self._pending.append(pending)
            self._held_bytes += change.size_bytes
            self._changed.notify_all()

    def notify_stored(self, claim_id: str) -> None:
        """Notify the holder that the end of a claim is in the store."""
        try:
            self._holder.tell(EndStored(claim_id=claim_id))
        except pykka.ActorDeadError:
            _log.debug("claims: the holder stopped before the recorder")

    def flush(self, timeout_ms: float) -> bool:
        """Wait until all ends are stored, then stop the thread.

        Parameters
        ----------
        timeout_ms : float
            Time limit of the wait, in milliseconds.

        Returns
        -------
        bool
            Whether all ends were stored in time. Those being sent at the end of the
            time limit may still be stored.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        with self._changed:
            for pending in self._pending:
                pending.due_at_ms = self._clock.now_ms()
            self._changed.notify_all()
            while self._held_count:
                remaining_ms = deadline_ms - self._clock.now_ms()
                if remaining_ms <= 0:
                    break
                self._changed.wait(remaining_ms / 1000)
            unsent, unconfirmed = len(self._pending), len(self._sending_by_id)
            self._stopping = True
            self._changed.notify_all()
        if unsent or unconfirmed:
            _log.error(
                "claims: stopped before all ends were stored unsent=%d unconfirmed=%d",
                unsent,
                unconfirmed,
            )
        return not unsent and not unconfirmed

    @property
    def _held_count(self) -> int:
        return len(self._pending) + len(self._sending_by_id)

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._stopping and not (batch := self._take_due()):
                    self._changed.wait(self._wait_s())
                if self._stopping:
                    return
            self._send(batch)

    def _take_due(self) -> list[_Pending]:
        now_ms = self._clock.now_ms()
        batch = [each for each in self._pending if each.due_at_ms <= now_ms]
        if batch:
            self._pending = [each for each in self._pending if each.due_at_ms > now_ms]
            self._sending_by_id = {each.claim_id: each for each in batch}
        return batch

    def _wait_s(self) -> float | None:
        if not self._pending:
            return None
        due_at_ms = min(each.due_at_ms for each in self._pending)
        return max(0.0, due_at_ms - self._clock.now_ms()) / 1000

    def _send(self, batch: list[_Pending]) -> None:
        by_committer: dict[str, list[_Pending]] = defaultdict(list)
        for pending in batch:
            # Alternates between two committers: a failed one may be down although its
            # member record does not show it yet.
            rank = pending.failures % 2
            committer = self._routes.committer(pending.change.store_key, rank)
            if committer is None:
                committer = self._routes.committer(pending.change.store_key, 0)
            by_committer[committer].append(pending)
        for committer, group in by_committer.items():
            self._send_group(committer, group)

    def _send_group(self, committer: str, group: list[_Pending]) -> None:
        deadline_ms = self._clock.now_ms() + COMMIT_TIMEOUT_MS
        changes = [pending.change for pending in group]
        try:
            outcomes = self._routes.commit(committer, changes, deadline_ms)
            are_final = [outcome.status in _FINAL_STATUSES for outcome in outcomes]
        except (PeerNotReached, PeerReplyLost) as error:
            _log.warning("claims: recording the ends of claims failed: %s", error)
            are_final = [False] * len(group)
        except Exception:
            _log.exception("claims: unexpected error while recording ends of claims")
            are_final = [False] * len(group)
        for pending, is_final in zip(group, are_final, strict=True):
            if is_final:
                self._count_event("end_recorded")
                self.notify_stored(pending.claim_id)
            else:
                self._count_event("end_retried")
            self._settle(pending, is_final)

    def _settle(self, pending: _Pending, is_final: bool) -> None:
        """Release an end that is stored, or queue it again."""
        with self._changed:
            del self._sending_by_id[pending.claim_id]
            if is_final:
                self._held_bytes -= pending.change.size_bytes
            else:
                delay_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2**pending.failures)
                pending.failures += 1
                pending.due_at_ms = self._clock.now_ms() + delay_ms
                self._pending.append(pending)
            self._changed.notify_all()
