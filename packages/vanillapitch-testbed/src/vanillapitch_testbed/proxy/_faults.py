"""Faults of a link and its counters."""

import msgspec

__all__ = ["Faults", "LinkCounters"]


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Active faults of a link.

    Attributes
    ----------
    delay_ms, jitter_ms : float
        Delay of each chunk in each direction, and its maximum random addition.
    refuse : bool
        Resets new connections immediately.
    black_hole : bool
        Holds all data until this is false again; UDP datagrams are dropped.
    lose_answer_share : float
        Probability that the first chunk of a response is dropped and its connection
        reset, after the request was forwarded.
    half_close_share : float
        Probability that the direction to the target is closed in the middle of a
        chunk of a request.
    cut_share : float
        Probability that a chunk is dropped and its connection reset; for UDP, that a
        datagram is dropped.
    rate_bytes_per_s : int
        Rate limit of each direction of a connection; 0 for none.
    """

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    refuse: bool = False
    black_hole: bool = False
    lose_answer_share: float = 0.0
    half_close_share: float = 0.0
    cut_share: float = 0.0
    rate_bytes_per_s: int = 0


class LinkCounters(msgspec.Struct, kw_only=True):
    """Counters of a link since its start."""

    connections: int = 0
    refused: int = 0
    lost_answers: int = 0
    half_closed: int = 0
    cut: int = 0
    bytes: int = 0
    datagrams: int = 0
    datagrams_lost: int = 0
