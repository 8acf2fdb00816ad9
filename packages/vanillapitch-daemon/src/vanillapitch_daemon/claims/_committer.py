"""Group committer: an actor that queues changes and a thread that writes them."""

import concurrent.futures
import dataclasses
import logging
import math
import queue
import threading
from collections.abc import Sequence

import pykka
from vanillapitch_core import Clock
from vanillapitch_core.claims import (
    ChangeOutcome,
    ChangeStatus,
    ClaimChange,
    CommitQueue,
    QueuedChange,
    WriteBudget,
)
from vanillapitch_core.claims.batching import WRITES_PER_SECOND_PER_SHARD

from vanillapitch_daemon.claims._store_writer import StoreWriter

__all__ = ["Committer", "GroupDone", "GroupDue", "PendingCommit", "ShardsChanged"]

_NO_EFFECT = ChangeOutcome(status=ChangeStatus.NO_EFFECT)

_log = logging.getLogger("vanillapitch.claims")


class PendingCommit:
    """Changes of one commit call, with a future of their outcomes.

    Parameters
    ----------
    changes : sequence of ClaimChange
        The changes; must not be empty.
    expires_at_ms : float
        Monotonic time in milliseconds after which they are no longer written.

    Attributes
    ----------
    future : concurrent.futures.Future
        Outcomes in the order of the changes.
    """

    def __init__(self, *, changes: Sequence[ClaimChange], expires_at_ms: float):
        self.changes = changes
        self.expires_at_ms = expires_at_ms
        self.future: concurrent.futures.Future = concurrent.futures.Future()
        self._outcomes: list[ChangeOutcome | None] = [None] * len(changes)
        self._pending_count = len(changes)

    def set_outcome(self, index: int, outcome: ChangeOutcome) -> None:
        """Record the outcome of one change; called only by the actor."""
        self._outcomes[index] = outcome
        self._pending_count -= 1
        if self._pending_count == 0:
            self.future.set_result(tuple(self._outcomes))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardsChanged:
    """Reports a new number of shards whose preferred committer is this daemon."""

    shard_count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupDue:
    """Reports that the next group is due."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupDone:
    """Reports that the write of a group has ended.

    Attributes
    ----------
    group : list of QueuedChange
        The changes.
    outcomes : list of ChangeOutcome
        Their outcomes, in the same order.
    """

    group: list[QueuedChange]
    outcomes: list[ChangeOutcome]


class Committer(pykka.ThreadingActor):
    """Collects changes into groups and has them written one group at a time.

    Parameters
    ----------
    writer : StoreWriter
        Writes the groups.
    clock : Clock
        Source of time.
    """

    use_daemon_thread = True

    def __init__(self, *, writer: StoreWriter, clock: Clock):
        super().__init__()
        self._clock = clock
        self._queue = CommitQueue(
            budget=WriteBudget(
                now_ms=clock.now_ms(), writes_per_second=WRITES_PER_SECOND_PER_SHARD
            )
        )
        self._thread = _WriterThread(writer=writer, clock=clock, actor=self.actor_ref)
        self._wake_at_ms = math.inf

    def on_start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def on_stop(self) -> None:
        """Complete the queued changes as having no effect, and stop the thread."""
        self._complete_without_effect(self._queue.take_all())
        self._thread.stop()

    def on_receive(self, message) -> None:
        """Handle one message."""
        match message:
            case PendingCommit():
                self._queue_changes(message)
            case GroupDue():
                self._wake_at_ms = math.inf
                self._take_group()
            case GroupDone():
                self._complete_group(message)
            case ShardsChanged():
                rate = WRITES_PER_SECOND_PER_SHARD * max(1, message.shard_count)
                self._queue.budget.set_rate(self._clock.now_ms(), rate)
        self._schedule()

    def _queue_changes(self, commit: PendingCommit) -> None:
        for index, change in enumerate(commit.changes):
            queued = QueuedChange(
                change=change,
                queued_at_ms=self._clock.now_ms(),
                expires_at_ms=commit.expires_at_ms,
                context=(commit, index),
            )
            if not self._queue.add(queued):
                commit.set_outcome(index, _NO_EFFECT)

    def _take_group(self) -> None:
        now_ms = self._clock.now_ms()
        self._complete_without_effect(self._queue.expire(now_ms))
        due_at_ms = self._queue.next_group_at_ms(now_ms)
        if due_at_ms is not None and due_at_ms <= now_ms:
            self._thread.write(self._queue.take_group(now_ms))

    def _complete_group(self, done: GroupDone) -> None:
        failed = any(
            outcome.status in (ChangeStatus.NO_EFFECT, ChangeStatus.LOST)
            for outcome in done.outcomes
        )
        self._queue.finish_group(failed=failed)
        for queued, outcome in zip(done.group, done.outcomes, strict=True):
            commit, index = queued.context
            commit.set_outcome(index, outcome)

    def _complete_without_effect(self, changes: list[QueuedChange]) -> None:
        for queued in changes:
            commit, index = queued.context
            commit.set_outcome(index, _NO_EFFECT)

    def _schedule(self) -> None:
        due_at_ms = self._queue.next_group_at_ms(self._clock.now_ms())
        if due_at_ms is not None and due_at_ms < self._wake_at_ms:
            self._wake_at_ms = due_at_ms
            self._thread.wake_at(due_at_ms)


class _WriterThread:
    """Thread that wakes the actor when a group is due and writes groups."""

    def __init__(self, *, writer: StoreWriter, clock: Clock, actor: pykka.ActorRef):
        self._writer = writer
        self._clock = clock
        self._actor = actor
        self._commands: queue.SimpleQueue = queue.SimpleQueue()
        self._thread = threading.Thread(
            target=self._run, name="claims-writer", daemon=True
        )

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._commands.put(None)

    def wake_at(self, at_ms: float) -> None:
        self._commands.put(at_ms)

    def write(self, group: list[QueuedChange]) -> None:
        self._commands.put(group)

    def _run(self) -> None:
        wake_at_ms: float | None = None
        while True:
            try:
                command = self._commands.get(timeout=self._wait_s(wake_at_ms))
            except queue.Empty:
                wake_at_ms = None
                self._notify_committer(GroupDue())
                continue
            match command:
                case None:
                    return
                case list():
                    outcomes = self._write(command)
                    self._notify_committer(GroupDone(group=command, outcomes=outcomes))
                case _:
                    wake_at_ms = command

    def _wait_s(self, wake_at_ms: float | None) -> float | None:
        if wake_at_ms is None:
            return None
        return max(0.0, wake_at_ms - self._clock.now_ms()) / 1000

    def _write(self, group: list[QueuedChange]) -> list[ChangeOutcome]:
        try:
            return self._writer.write([queued.change for queued in group])
        except Exception:
            _log.exception("claims: unexpected error while writing a group")
            return [ChangeOutcome(status=ChangeStatus.LOST)] * len(group)

    def _notify_committer(self, message) -> None:
        try:
            self._actor.tell(message)
        except pykka.ActorDeadError:
            _log.debug("claims: the committer stopped before its writer thread")
