"""Selection of the daemon that commits the claims of a shard."""

import hashlib
import heapq
from collections.abc import Iterable

from vanillapitch_core.claims.record import SHARD_COUNT

__all__ = ["CommitterTable", "rank_committers"]

# The first is preferred; the others are used when it does not answer.
RANKED_COMMITTER_COUNT = 3


def rank_committers(
    shard: int, instances: Iterable[str], count: int = RANKED_COMMITTER_COUNT
) -> tuple[str, ...]:
    """Order members by rendezvous hash.

    Daemons with the same member list select the same committer, and the departure of a
    member moves only its own shards. Daemons that select different committers cause
    more writes, but every write is a compare-and-swap, so claims stay correct.

    Parameters
    ----------
    shard : int
        The shard.
    instances : iterable of str
        Live members.
    count : int
        Number of members to return.

    Returns
    -------
    tuple of str
        The first `count` members, the preferred one first.
    """

    def weight(instance: str) -> tuple[bytes, str]:
        text = f"{shard}\0{instance}".encode()
        return hashlib.blake2b(text, digest_size=8).digest(), instance

    return tuple(heapq.nlargest(count, instances, key=weight))


class CommitterTable:
    """Committers of every shard for one set of members.

    Parameters
    ----------
    instances : iterable of str
        Live members.
    """

    def __init__(self, *, instances: Iterable[str]):
        members = tuple(sorted(set(instances)))
        self._committers_by_shard = tuple(
            rank_committers(shard, members) for shard in range(SHARD_COUNT)
        )

    def committers(self, shard: int) -> tuple[str, ...]:
        """Return the committers of a shard, the preferred one first."""
        return self._committers_by_shard[shard]

    def shard_count(self, instance: str) -> int:
        """Return the number of shards whose preferred committer is `instance`."""
        return sum(
            committers[:1] == (instance,) for committers in self._committers_by_shard
        )
