"""Stable subset of a pool by rendezvous hashing."""

import hashlib
from collections.abc import Iterable

from vanillapitch_core.picking._state import Endpoint

__all__ = ["choose_subset"]


def choose_subset(
    *, ingress: str, endpoints: Iterable[Endpoint], size: int
) -> tuple[Endpoint, ...]:
    """Choose the endpoints that an ingress keeps connections to.

    Adding or removing an endpoint changes at most one member of the subset.

    Parameters
    ----------
    ingress : str
        Instance name of the ingress.
    endpoints : iterable of Endpoint
        The endpoints to choose from.
    size : int
        Size of the subset.

    Returns
    -------
    tuple of Endpoint
        At most `size` endpoints.
    """

    def weight(endpoint: Endpoint) -> bytes:
        pair = f"{ingress}|{endpoint.instance}".encode()
        return hashlib.blake2b(pair, digest_size=8).digest()

    return tuple(sorted(endpoints, key=weight)[:size])
