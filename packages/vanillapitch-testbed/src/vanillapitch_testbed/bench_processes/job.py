"""Job and results of a caller process."""

import msgspec

__all__ = ["Job", "Sample"]


class Job(msgspec.Struct, kw_only=True):
    """What a caller process sends.

    Attributes
    ----------
    addresses : list of str
        Addresses that calls go to, chosen at random.
    compared_addresses : list of str
        If not empty, each call is followed by one to these addresses; the two
        alternate in the same thread, so that both meet the same noise.
    threads : int
        Upper bound of calls at the same time.
    """

    service: str
    target: str
    addresses: list[str]
    compared_addresses: list[str] = []
    rate_per_s: float = 100.0
    duration_s: float = 6.0
    threads: int = 32
    timeout_ms: int = 5_000
    seed: int = 1


class Sample(msgspec.Struct, kw_only=True, array_like=True):
    """One call.

    Attributes
    ----------
    at_s : float
        Arrival time since the start of the load.
    lag_ms : float
        Delay of the send after its arrival time.
    reason : str
        Refusal code, status or fault of a call without a good answer; else empty.
    compared : bool
        Whether the call went to a compared address.
    """

    at_s: float
    lag_ms: float
    latency_ms: float
    reason: str = ""
    compared: bool = False
