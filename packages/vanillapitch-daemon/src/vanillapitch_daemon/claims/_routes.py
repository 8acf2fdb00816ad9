"""Which daemon commits a change."""

from collections.abc import Iterable, Sequence

from vanillapitch_core.claims import (
    ChangeOutcome,
    ClaimChange,
    CommitterTable,
    shard_of,
)

from vanillapitch_daemon.claims._peers import ClaimsPeers

__all__ = ["CommitRoutes"]


class CommitRoutes:
    """Committers of every shard, replaced as a whole when members change.

    Parameters
    ----------
    instance : str
        Name of this daemon.
    peers : ClaimsPeers
        Calls to committers.
    """

    def __init__(self, *, instance: str, peers: ClaimsPeers):
        self._instance = instance
        self._peers = peers
        self._table = CommitterTable(instances=[instance])

    def set_members(self, instances: Iterable[str]) -> int:
        """Replace the live members; return how many shards this daemon commits."""
        table = CommitterTable(instances={*instances, self._instance})
        self._table = table
        return table.shard_count(self._instance)

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
        committers = self._table.committers(shard_of(store_key))
        if self._instance not in committers:
            committers = (*committers, self._instance)
        return committers[rank] if rank < len(committers) else None

    def commit(
        self, instance: str, changes: Sequence[ClaimChange], deadline_ms: float
    ) -> Sequence[ChangeOutcome]:
        """Call a committer; see `ClaimsPeers.commit`."""
        return self._peers.commit(instance, changes, deadline_ms)
