"""Grouping and rate limiting of a committer's writes to the store."""

import dataclasses
from collections import deque
from collections.abc import Iterator
from typing import Any

from vanillapitch_core.claims.changes import ClaimChange

__all__ = ["CommitQueue", "QueuedChange", "WriteBudget"]

# Waiting for further changes saves writes, which matters only when the write budget is
# low; otherwise it would only add latency (docs/decisions/claims.md).
GROUP_DELAY_MS = 2.0
# A delayed result can share a transaction with a claim. Only later sends of the same
# key need the result, and they get it from the holder until it is stored.
RESULT_DELAY_MS = 200.0
# The store accepts at most 128 operations and 1.5 MiB per transaction.
MAX_GROUP_CHANGES = 100
MAX_GROUP_BYTES = 768 * 1024
# These limits bound the memory of a backlog and the time to write it after the store
# was slow.
MAX_QUEUED_CHANGES = 4_000
MAX_QUEUED_BYTES = 4 * 1024 * 1024

# All 16 shards together use at most 240 writes per second; the platform's store handles
# several hundred.
WRITES_PER_SECOND_PER_SHARD = 15.0
# Lets a committer that was idle answer a few callers without delay.
BURST_WRITES = 8.0


class WriteBudget:
    """Token bucket for the write calls of one committer.

    Parameters
    ----------
    now_ms : float
        Current time, in milliseconds.
    writes_per_second : float
        Refill rate.
    """

    def __init__(self, *, now_ms: float, writes_per_second: float):
        self._tokens = BURST_WRITES
        self._refilled_at_ms = now_ms
        self._writes_per_second = writes_per_second

    def set_rate(self, now_ms: float, writes_per_second: float) -> None:
        """Set the refill rate, which depends on the number of the daemon's shards."""
        self._refill(now_ms)
        self._writes_per_second = writes_per_second

    def wait_ms(self, now_ms: float) -> float:
        """Return the time until a write is allowed, 0 when it is allowed now."""
        self._refill(now_ms)
        return max(0.0, (1 - self._tokens) * 1000 / self._writes_per_second)

    def is_half_full(self, now_ms: float) -> bool:
        """Return whether at least half of the burst tokens are left."""
        self._refill(now_ms)
        return self._tokens >= BURST_WRITES / 2

    def spend(self, now_ms: float) -> None:
        """Consume one token; unplanned writes may do so before `wait_ms` returns 0."""
        self._refill(now_ms)
        self._tokens -= 1

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._refilled_at_ms)
        self._refilled_at_ms = now_ms
        gained = elapsed_ms * self._writes_per_second / 1000
        self._tokens = min(BURST_WRITES, self._tokens + gained)


@dataclasses.dataclass(slots=True, kw_only=True)
class QueuedChange:
    """A change that waits to be written in a group.

    Attributes
    ----------
    change : ClaimChange
        The change.
    queued_at_ms : float
        Time at which the change was queued.
    expires_at_ms : float
        Time after which no caller waits for the change and it is not written.
    context : object
        Opaque value for the code that queued the change.
    """

    change: ClaimChange
    queued_at_ms: float
    expires_at_ms: float
    context: Any = None

    @property
    def is_urgent(self) -> bool:
        """Whether a caller waits for the change."""
        return self.change.is_urgent

    def due_at_ms(self, group_delay_ms: float) -> float:
        """Return when the change is due; the budget or another call may delay it."""
        return self.queued_at_ms + (
            group_delay_ms if self.is_urgent else RESULT_DELAY_MS
        )


class CommitQueue:
    """Queue of one committer's changes, which are written in groups.

    A group is taken when no call is in flight, the budget allows a write and a change
    is due. Changes that arrive before that join the group, so groups grow with the load
    and the number of writes per change falls.

    Parameters
    ----------
    budget : WriteBudget
        Limits the rate of groups.
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

        After a failed call to the store, changes that arrive during the next call are
        rejected at once, so that callers do not wait until an outage ends. Changes that
        arrive between two calls are still queued.

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
        """Remove and return the changes that no caller waits for any more."""
        expired = [queued for queued in self._queue if queued.expires_at_ms <= now_ms]
        self._remove(expired)
        return expired

    def next_group_at_ms(self, now_ms: float) -> float | None:
        """Return when to take a group; None during a call or when the queue is empty.

        Parameters
        ----------
        now_ms : float
            Current time, in milliseconds.
        """
        if self._in_flight or not self._queue:
            return None
        group_delay_ms = 0.0 if self.budget.is_half_full(now_ms) else GROUP_DELAY_MS
        due_at_ms = min(queued.due_at_ms(group_delay_ms) for queued in self._queue)
        if len(self._queue) >= MAX_GROUP_CHANGES:
            due_at_ms = now_ms
        return max(due_at_ms, now_ms + self.budget.wait_ms(now_ms))

    def take_group(self, now_ms: float) -> list[QueuedChange]:
        """Remove and return the next group; its call is in flight until `finish_group`.

        Urgent changes go first. A transaction may write a key only once, so a second
        change of a key stays in the queue for the next group.
        """
        self._in_flight = True
        self.budget.spend(now_ms)
        first_by_key: dict[str, QueuedChange] = {}
        for queued in self._queue:
            first_by_key.setdefault(queued.change.store_key, queued)
        ready = sorted(first_by_key.values(), key=lambda queued: not queued.is_urgent)
        group = list(_limit_group(ready))
        self._remove(group)
        return group

    def finish_group(self, *, failed: bool = False) -> None:
        """Record that the call has ended, and whether the store failed."""
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
        ids = {id(queued) for queued in removed}
        self._queue = deque(queued for queued in self._queue if id(queued) not in ids)
        self._queued_bytes -= sum(queued.change.size_bytes for queued in removed)


def _limit_group(ready: list[QueuedChange]) -> Iterator[QueuedChange]:
    size_bytes = 0
    for index, queued in enumerate(ready[:MAX_GROUP_CHANGES]):
        size_bytes += queued.change.size_bytes
        if index > 0 and size_bytes > MAX_GROUP_BYTES:
            return
        yield queued
