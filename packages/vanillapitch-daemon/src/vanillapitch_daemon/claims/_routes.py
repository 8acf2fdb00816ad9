"""Which daemon commits a change."""

import threading
from collections.abc import Callable, Sequence

from vanillapitch_core import Clock
from vanillapitch_core.claims import (
    ChangeOutcome,
    ClaimChange,
    CommitterTable,
    shard_of,
)
from vanillapitch_core.membership import MemberChanged, MemberState

from vanillapitch_daemon.claims._peers import ClaimsPeers

__all__ = ["CommitRoutes", "make_claims_subscriber"]

# Choosing anew takes about 15 ms for 710 members, and a fleet that starts or changes
# members quickly would do little else.
CHOICE_INTERVAL_MS = 1_000.0

# A suspect may only be slow to answer pings; a claim that it does not commit goes on
# to the next committer.
_COMMITTING_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


class CommitRoutes:
    """Committers of every shard, chosen anew after members changed.

    Parameters
    ----------
    instance : str
        Name of this daemon, which is always a member.
    peers : ClaimsPeers
        Calls to committers.
    clock : Clock
        Source of time.
    on_shard_count : callable
        Takes the number of shards that this daemon commits whenever it is chosen anew.
    """

    def __init__(
        self,
        *,
        instance: str,
        peers: ClaimsPeers,
        clock: Clock,
        on_shard_count: Callable[[int], None],
    ):
        self._instance = instance
        self._peers = peers
        self._clock = clock
        self._on_shard_count = on_shard_count
        self._lock = threading.Lock()
        self._members = {instance}
        self._is_outdated = False
        self._chosen_at_ms = -CHOICE_INTERVAL_MS
        self._table = CommitterTable(instances=self._members)
        on_shard_count(self._table.shard_count(instance))

    def record_member(self, instance: str, *, is_live: bool) -> None:
        """Note that a member appeared or is gone; returns at once."""
        with self._lock:
            before = len(self._members)
            if is_live:
                self._members.add(instance)
            elif instance != self._instance:
                self._members.discard(instance)
            if len(self._members) != before:
                self._is_outdated = True

    def refresh(self) -> CommitterTable:
        """Return the committers, chosen anew if members changed since a while ago."""
        if not self._is_outdated:
            return self._table
        with self._lock:
            now_ms = self._clock.now_ms()
            is_due = now_ms - self._chosen_at_ms >= CHOICE_INTERVAL_MS
            if not self._is_outdated or not is_due:
                return self._table
            self._is_outdated = False
            self._chosen_at_ms = now_ms
            members = tuple(self._members)
        table = CommitterTable(instances=members)
        self._table = table
        self._on_shard_count(table.shard_count(self._instance))
        return table

    def committer(self, store_key: str, rank: int) -> str | None:
        """Return a committer of a claim.

        Parameters
        ----------
        store_key : str
            Key of the claim.
        rank : int
            0 for the preferred committer.

        Returns
        -------
        str or None
            This daemon itself after all ranked committers; None after that.
        """
        committers = self.refresh().committers(shard_of(store_key))
        if self._instance not in committers:
            committers = (*committers, self._instance)
        return committers[rank] if rank < len(committers) else None

    def commit(
        self, instance: str, changes: Sequence[ClaimChange], deadline_ms: float
    ) -> Sequence[ChangeOutcome]:
        """Call a committer; see `ClaimsPeers.commit`."""
        return self._peers.commit(instance, changes, deadline_ms)


def make_claims_subscriber(routes: CommitRoutes) -> Callable[[MemberChanged], None]:
    """Return a subscriber that keeps the committers in step with the members.

    Parameters
    ----------
    routes : CommitRoutes
        Committers.

    Returns
    -------
    callable
        Subscriber of `MemberChanged`.
    """

    def feed(effect: MemberChanged) -> None:
        is_live = effect.record.state in _COMMITTING_STATES
        routes.record_member(effect.record.instance, is_live=is_live)

    return feed
