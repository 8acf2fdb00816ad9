"""Conversion of parsed HTTP requests to `CallerRequest`."""

import re
import uuid
from collections.abc import Callable

from vanillapitch_core import Clock, Outcome, Refusal, RefusalCode, VanillapitchError
from vanillapitch_wire.dispatch import Header
from waitress.parser import HTTPRequestParser

from vanillapitch_daemon.calls import CallerRequest
from vanillapitch_daemon.ingress._headers import keep_end_to_end

__all__ = ["RequestRejected", "make_caller_request", "make_request_id"]

TIMEOUT_HEADER = "REQUEST_TIMEOUT_MS"
ATTEMPT_HEADER = "REQUEST_ATTEMPT"
KEY_HEADER = "IDEMPOTENCY_KEY"
TIMEOUT_MAX_MS = 3_600_000
ATTEMPT_MAX = 1_000
_KEY_PATTERN = re.compile(r"[!-~]{1,128}")
# The daemon sets these headers itself on requests to the backend server.
_OWN_HEADERS = frozenset(
    {TIMEOUT_HEADER, ATTEMPT_HEADER, "CONTENT_LENGTH", "REQUEST_ID"}
)


class RequestRejected(VanillapitchError):
    """A request is invalid.

    Parameters
    ----------
    refusal : Refusal
        Refusal for the caller.
    """

    code = "bad_request"

    def __init__(self, *, refusal: Refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


def make_request_id() -> str:
    """Return a new unique request id."""
    return uuid.uuid4().hex


def make_caller_request(
    parsed: HTTPRequestParser,
    *,
    request_id: str,
    clock: Clock,
    is_cancelled: Callable[[], bool],
) -> CallerRequest:
    """Validate a parsed request and convert it.

    Parameters
    ----------
    parsed : HTTPRequestParser
        The complete request.
    request_id : str
        Id of the request.
    clock : Clock
        Source of time.
    is_cancelled : callable
        Returns whether the caller has disconnected.

    Returns
    -------
    CallerRequest
        The converted request.

    Raises
    ------
    RequestRejected
        If a header that the daemon reads is invalid.
    """
    headers = parsed.headers
    return CallerRequest(
        request_id=request_id,
        method=parsed.command,
        target=_make_target(parsed),
        path=parsed.path or "/",
        host=headers.get("HOST", ""),
        headers=_make_headers(headers),
        body=_read_body(parsed),
        timeout_ms=_parse_timeout(headers.get(TIMEOUT_HEADER)),
        attempt=_parse_attempt(headers.get(ATTEMPT_HEADER)),
        idempotency_key=_parse_key(headers.get(KEY_HEADER)),
        received_at_ms=clock.now_ms(),
        is_cancelled=is_cancelled,
    )


def _make_target(parsed: HTTPRequestParser) -> str:
    target = parsed.request_uri
    if target.startswith("/"):
        return target
    # Absolute form (RFC 9112, section 3.2.2): the backend server gets origin form.
    path = parsed.path or "/"
    return f"{path}?{parsed.query}" if parsed.query else path


def _make_headers(headers: dict[str, str]) -> list[Header]:
    return keep_end_to_end(
        Header(name.replace("_", "-").title(), value)
        for name, value in headers.items()
        if name not in _OWN_HEADERS
    )


def _read_body(parsed: HTTPRequestParser) -> bytes:
    if parsed.body_rcv is None:
        return b""
    return parsed.get_body_stream().read()


def _parse_timeout(text: str | None) -> int | None:
    if text is None:
        return None
    return _parse_integer(text, name="Request-Timeout-Ms", maximum=TIMEOUT_MAX_MS)


def _parse_attempt(text: str | None) -> int:
    if text is None:
        return 1
    return _parse_integer(text, name="Request-Attempt", maximum=ATTEMPT_MAX)


def _parse_integer(text: str, *, name: str, maximum: int) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 9):
        raise _reject(f"{name} must be a whole number.")
    return min(int(text), maximum)


def _parse_key(text: str | None) -> str | None:
    if text is None or _KEY_PATTERN.fullmatch(text):
        return text
    raise _reject(
        "Idempotency-Key must have 1 to 128 printable ASCII characters.",
        code=RefusalCode.KEY_INVALID,
    )


def _reject(
    detail: str, code: RefusalCode = RefusalCode.BAD_REQUEST
) -> RequestRejected:
    return RequestRejected(
        refusal=Refusal(code=code, outcome=Outcome.NOT_RUN, detail=detail)
    )
