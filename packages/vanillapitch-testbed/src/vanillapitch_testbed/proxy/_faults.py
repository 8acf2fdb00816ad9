"""Faults of a link and its counters."""

import msgspec

__all__ = ["Faults", "LinkCounters"]


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults that are in force on a link.

    Attributes
    ----------
    delay_ms, jitter_ms : float
        Delay of each piece of data in each direction, and its random addition.
    refuse : bool
        Closes new connections at once.
    black_hole : bool
        Holds all data back until this is false again; UDP datagrams are lost.
    lose_answer_share : float
        Probability that an answer is dropped and its connection cut, after the
        request passed.
    half_close_share : float
        Probability that the sending direction towards the target is closed in the
        middle of a piece of a request.
    cut_share : float
        Probability that a piece of data is dropped and its connection cut; for UDP,
        that a datagram is lost.
    rate_bytes_per_s : int
        Limit of each connection's direction; 0 for none.
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
    """Counts of a link since its start."""

    connections: int = 0
    refused: int = 0
    lost_answers: int = 0
    half_closed: int = 0
    cut: int = 0
    bytes: int = 0
    datagrams: int = 0
    datagrams_lost: int = 0
