"""Types of a call on its way through the daemon."""

import dataclasses
import enum
from collections.abc import Callable

from vanillapitch_core import Refusal
from vanillapitch_wire.dispatch import Header

__all__ = [
    "RequestResult",
    "CallerRequest",
    "DispatchStatus",
    "Response",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A complete request of a caller.

    Attributes
    ----------
    request_id : str
        Unique id, also sent on inner calls.
    method, target, path, host : str
        Request line parts; `target` is the path with the query.
    headers : list of Header
        End-to-end headers.
    body : bytes
        The whole body.
    timeout_ms : int or None
        Remaining milliseconds that the caller gave, or None.
    attempt : int
        Attempt number that the caller gave, 1 by default.
    idempotency_key : str or None
        The caller's key, or None.
    received_at_ms : float
        Monotonic time at which handling began.
    is_cancelled : callable
        Tells whether the caller disconnected.
    """

    request_id: str
    method: str
    target: str
    path: str
    host: str
    headers: list[Header]
    body: bytes
    timeout_ms: int | None
    attempt: int
    idempotency_key: str | None
    received_at_ms: float
    is_cancelled: Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A complete response of a backend server.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of Header
        End-to-end headers.
    body : bytes
        The whole body.
    instance : str
        Endpoint that ran the request.
    replayed : bool
        Whether this is the recorded response of an earlier request.
    """

    status: int
    headers: list[Header]
    body: bytes
    instance: str
    replayed: bool = False


RequestResult = Response | Refusal


class DispatchStatus(enum.StrEnum):
    """How one attempt at an endpoint ended."""

    RESPONSE = "response"
    REFUSED = "refused"
    CONNECT_FAILED = "connect_failed"
    LOST = "lost"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
