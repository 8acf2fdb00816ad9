"""Selection of the committer of a change."""

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

# Computing the table takes about 15 ms for 710 members. Computing it after every change
# would use most of the CPU time while the members change often, for example while the
# fleet starts.
RECOMPUTE_INTERVAL_MS = 1_000.0

# A suspect may just be slow to answer pings. If it is down, the claim is sent to the
# next committer.
_COMMITTING_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


class CommitRoutes:
    """Committers of every shard, recomputed after changes of the members.

    Parameters
    ----------
    instance : str
        Instance name of this daemon, which is always a member.
    peers : ClaimsPeers
        Calls to committers.
    clock : Clock
        Source of time.
    on_shard_count : callable
        Called with the number of shards whose preferred committer is this daemon,
        at the start and after each recomputation.
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
        self._computed_at_ms = -RECOMPUTE_INTERVAL_MS
        self._table = CommitterTable(instances=self._members)
        on_shard_count(self._table.shard_count(instance))

    def record_member(self, instance: str, *, is_live: bool) -> None:
        """Record that a member is live or not, without recomputing the committers."""
        with self._lock:
            before = len(self._members)
            if is_live:
                self._members.add(instance)
            elif instance != self._instance:
                self._members.discard(instance)
            if len(self._members) != before:
                self._is_outdated = True

    def refresh(self) -> CommitterTable:
        """Return the committers, recomputed if members changed.

        They are recomputed at most once per `RECOMPUTE_INTERVAL_MS`.
        """
        if not self._is_outdated:
            return self._table
        with self._lock:
            now_ms = self._clock.now_ms()
            is_due = now_ms - self._computed_at_ms >= RECOMPUTE_INTERVAL_MS
            if not self._is_outdated or not is_due:
                return self._table
            self._is_outdated = False
            self._computed_at_ms = now_ms
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
            Rank of the committer, 0 for the preferred one.

        Returns
        -------
        str or None
            The committer; this daemon comes last if it is not ranked. None if there is
            no committer of this rank.
        """
        committers = self.refresh().committers(shard_of(store_key))
        if self._instance not in committers:
            committers = (*committers, self._instance)
        return committers[rank] if rank < len(committers) else None

    def commit(
        self, instance: str, changes: Sequence[ClaimChange], deadline_ms: float
    ) -> Sequence[ChangeOutcome]:
        """Send changes to a committer; see `ClaimsPeers.commit`."""
        return self._peers.commit(instance, changes, deadline_ms)


def make_claims_subscriber(routes: CommitRoutes) -> Callable[[MemberChanged], None]:
    """Return a subscriber that updates the committers when members change.

    Parameters
    ----------
    routes : CommitRoutes
        Committers to update.

    Returns
    -------
    callable
        Subscriber of `MemberChanged`.
    """

    def on_member_changed(effect: MemberChanged) -> None:
        is_live = effect.record.state in _COMMITTING_STATES
        routes.record_member(effect.record.instance, is_live=is_live)

    return on_member_changed
