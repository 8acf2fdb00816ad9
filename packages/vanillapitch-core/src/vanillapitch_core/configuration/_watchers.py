"""Choice of the daemons that watch the store for their zone."""

import hashlib
from collections.abc import Iterable

__all__ = ["WATCHERS_PER_ZONE", "choose_by_rendezvous"]

# One may be paused or leaving without the zone falling back to peers of other zones.
WATCHERS_PER_ZONE = 2


def choose_by_rendezvous(
    *, purpose: str, instances: Iterable[str], count: int
) -> list[str]:
    """Choose the same members at every daemon that sees the same instances.

    Parameters
    ----------
    purpose : str
        What they are chosen for, for example a zone; varies the choice.
    instances : iterable of str
        Candidates.
    count : int
        Members to choose.

    Returns
    -------
    list of str
        Instances, highest weight first. A candidate that comes or goes changes at
        most one of them.
    """

    def weight(instance: str) -> bytes:
        text = f"{purpose} {instance}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(instances, key=weight, reverse=True)[:count]
