"""Selection of the daemons that watch the store for their zone."""

import hashlib
from collections.abc import Iterable

__all__ = ["WATCHERS_PER_ZONE", "choose_by_rendezvous"]

# While one watcher is paused or leaving, the other one keeps the zone independent of
# peers in other zones.
WATCHERS_PER_ZONE = 2


def choose_by_rendezvous(
    *, purpose: str, instances: Iterable[str], count: int
) -> list[str]:
    """Choose instances by rendezvous hashing.

    Every daemon that knows the same instances chooses the same ones.

    Parameters
    ----------
    purpose : str
        Purpose of the choice, for example a zone; it is hashed with each instance.
    instances : iterable of str
        Candidates.
    count : int
        Number of instances to choose.

    Returns
    -------
    list of str
        Instances, highest weight first. Adding or removing a candidate
        changes at most one of them.
    """

    def weight(instance: str) -> bytes:
        text = f"{purpose} {instance}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(instances, key=weight, reverse=True)[:count]
