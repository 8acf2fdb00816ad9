"""Types of requests and their results inside the daemon."""

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
    """A completely received request of a caller.

    Attributes
    ----------
    request_id : str
        Unique id, also sent to the owner daemon and to the backend server.
    method, target, path, host : str
        Parts of the request line, and the host header; `target` is the path with the
        query.
    headers : list of Header
        End-to-end headers.
    body : bytes
        The complete body.
    timeout_ms : int or None
        Time until the deadline that the caller sent, in milliseconds, or None.
    attempt : int
        Attempt number that the caller sent, 1 by default.
    idempotency_key : str or None
        Idempotency key that the caller sent, or None.
    received_at_ms : float
        Monotonic time in milliseconds at which handling started.
    is_cancelled : callable
        Returns whether the caller has disconnected.
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
        The complete body.
    instance : str
        Endpoint that executed the request.
    replayed : bool
        Whether this is the recorded response of an earlier request with the same key.
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
