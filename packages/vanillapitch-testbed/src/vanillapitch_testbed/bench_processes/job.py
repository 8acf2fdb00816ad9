"""Job and samples of a caller process."""

import msgspec

__all__ = ["Job", "Sample"]


class Job(msgspec.Struct, kw_only=True):
    """Load that a caller process sends.

    Attributes
    ----------
    addresses : list of str
        Addresses of which each call uses one at random.
    compared_addresses : list of str
        If not empty, each call is followed by a call to one of these addresses. The
        two kinds alternate in the same thread, so that noise of the machine affects
        both alike.
    threads : int
        Maximum number of concurrent calls.
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
    """Result of one call.

    Attributes
    ----------
    at_s : float
        Scheduled arrival time since the start of the load.
    lag_ms : float
        Delay of the send after its scheduled time.
    reason : str
        Refusal code, error status or ``wrong answer`` of a failed call; empty for a
        successful one.
    compared : bool
        Whether the call went to one of `Job.compared_addresses`.
    """

    at_s: float
    lag_ms: float
    latency_ms: float
    reason: str = ""
    compared: bool = False
