"""When a committer writes to the store and which changes go together."""

import dataclasses
from collections import deque
from collections.abc import Iterator
from typing import Any

from vanillapitch_core.claims.changes import ClaimChange

__all__ = ["CommitQueue", "QueuedChange", "WriteBudget"]

# Gathering saves writes only when they are scarce; with a well-filled budget it would
# just delay callers (docs/decisions/claims.md).
GATHER_MS = 2.0
# Results wait for claims to go along with; nobody waits for them but second senders,
# who ask the holder meanwhile.
RESULT_DELAY_MS = 200.0
# The service takes 128 operations and 1.5 MiB per transaction.
MAX_GROUP_CHANGES = 100
MAX_GROUP_BYTES = 768 * 1024
# Bounds memory and the time that a backlog takes after the store was slow.
MAX_QUEUED_CHANGES = 4_000
MAX_QUEUED_BYTES = 4 * 1024 * 1024

# 16 shards together use at most 240 of the several hundred writes a second that the
# platform's service handles.
WRITES_PER_SECOND_PER_SHARD = 15.0
# Lets a committer that was idle answer a few callers without delay.
BURST_WRITES = 8.0


class WriteBudget:
    """Token bucket for the write calls of one committer.

    Parameters
    ----------
    now_ms : float
        Present time, in milliseconds.
    writes_per_second : float
        Rate at which tokens return.
    """

    def __init__(self, *, now_ms: float, writes_per_second: float):
        self._tokens = BURST_WRITES
        self._filled_at_ms = now_ms
        self._writes_per_second = writes_per_second

    def set_rate(self, now_ms: float, writes_per_second: float) -> None:
        """Change the rate when shards move."""
        self._fill(now_ms)
        self._writes_per_second = writes_per_second

    def wait_ms(self, now_ms: float) -> float:
        """Return the time until a write is allowed, 0 when it is allowed now."""
        self._fill(now_ms)
        return max(0.0, (1 - self._tokens) * 1000 / self._writes_per_second)

    def is_plentiful(self, now_ms: float) -> bool:
        """Tell whether at least half of the burst is left."""
        self._fill(now_ms)
        return self._tokens >= BURST_WRITES / 2

    def spend(self, now_ms: float) -> None:
        """Take the token of one write; may be called early for unplanned writes."""
        self._fill(now_ms)
        self._tokens -= 1

    def _fill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._filled_at_ms)
        self._filled_at_ms = now_ms
        gained = elapsed_ms * self._writes_per_second / 1000
        self._tokens = min(BURST_WRITES, self._tokens + gained)


@dataclasses.dataclass(slots=True, kw_only=True)
class QueuedChange:
    """A change that waits for its group.

    Attributes
    ----------
    change : ClaimChange
        The change.
    queued_at_ms : float
        When it arrived.
    expires_at_ms : float
        After this time nobody waits for it, and it is not written.
    context : object
        Opaque reference for the caller of the queue.
    """

    change: ClaimChange
    queued_at_ms: float
    expires_at_ms: float
    context: Any = None

    @property
    def is_urgent(self) -> bool:
        """Whether a caller waits for the change."""
        return self.change.is_urgent

    def due_at_ms(self, gather_ms: float) -> float:
        """Return when to write the change at the latest, budget permitting."""
        return self.queued_at_ms + (gather_ms if self.is_urgent else RESULT_DELAY_MS)


class CommitQueue:
    """Changes of one committer, gathered into groups.

    A group is taken when no call is in flight, the budget allows a write and a change
    is due. Since changes gather meanwhile, groups grow with the load and writes per
    change fall.

    Parameters
    ----------
    budget : WriteBudget
        Limits the number of groups.
    """

    def __init__(self, *, budget: WriteBudget):
        self.budget = budget
        self._queue: deque[QueuedChange] = deque()
        self._queued_bytes = 0
        self._in_flight = False
        self._store_failed = False

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, queued: QueuedChange) -> bool:
        """Queue a change.

        While the store fails, only the changes that arrive between two calls are
        queued, and the rest is told at once, so that callers do not wait out an outage.

        Returns
        -------
        bool
            False when the change is not queued and has no effect.
        """
        if self._store_failed and self._in_flight:
            return False
        size_bytes = self._queued_bytes + queued.change.size_bytes
        if len(self._queue) >= MAX_QUEUED_CHANGES or size_bytes > MAX_QUEUED_BYTES:
            return False
        self._queue.append(queued)
        self._queued_bytes = size_bytes
        return True

    def expire(self, now_ms: float) -> list[QueuedChange]:
        """Remove and return changes that nobody waits for any more."""
        expired = [each for each in self._queue if each.expires_at_ms <= now_ms]
        self._remove(expired)
        return expired

    def next_group_at_ms(self, now_ms: float) -> float | None:
        """Return when to take a group; None while a call is in flight or without work.

        Parameters
        ----------
        now_ms : float
            Present time, in milliseconds.
        """
        if self._in_flight or not self._queue:
            return None
        gather_ms = 0.0 if self.budget.is_plentiful(now_ms) else GATHER_MS
        due_at_ms = min(each.due_at_ms(gather_ms) for each in self._queue)
        if len(self._queue) >= MAX_GROUP_CHANGES:
            due_at_ms = now_ms
        return max(due_at_ms, now_ms + self.budget.wait_ms(now_ms))

    def take_group(self, now_ms: float) -> list[QueuedChange]:
        """Take the next group; the call is in flight until `finish_group`.

        Urgent changes go first. A transaction may write a key only once, so a second
        change of a key stays in the queue for the next group.
        """
        self._in_flight = True
        self.budget.spend(now_ms)
        first_by_key: dict[str, QueuedChange] = {}
        for each in self._queue:
            first_by_key.setdefault(each.change.store_key, each)
        ready = sorted(first_by_key.values(), key=lambda each: not each.is_urgent)
        group = list(_bounded(ready))
        self._remove(group)
        return group

    def finish_group(self, *, failed: bool = False) -> None:
        """Note that the call is no longer in flight, and whether the store failed."""
        self._in_flight = False
        self._store_failed = failed

    def take_all(self) -> list[QueuedChange]:
        """Remove and return all queued changes, for shutdown."""
        queued = list(self._queue)
        self._remove(queued)
        return queued

    def _remove(self, removed: list[QueuedChange]) -> None:
        if not removed:
            return
        ids = {id(each) for each in removed}
        self._queue = deque(each for each in self._queue if id(each) not in ids)
        self._queued_bytes -= sum(each.change.size_bytes for each in removed)


def _bounded(ready: list[QueuedChange]) -> Iterator[QueuedChange]:
    size_bytes = 0
    for index, each in enumerate(ready[:MAX_GROUP_CHANGES]):
        size_bytes += each.change.size_bytes
        if index > 0 and size_bytes > MAX_GROUP_BYTES:
            return
        yield each
