"""One call and the verification of its response."""

import dataclasses
import hashlib
import http.client
import json
import time
import uuid

import urllib3
from vanillapitch_core import SystemClock

__all__ = ["Call", "send"]

_CLOCK = SystemClock()


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """One request of a caller and its result.

    Attributes
    ----------
    nonce : str
        Unique for each call; the backend server echoes it and records it in its
        journal.
    status : int
        HTTP status of the response; 0 when there was none.
    code, outcome : str
        Refusal code and outcome; empty after a backend server's response. Without a
        complete response: ``not_sent`` and ``not_run``, or ``connection_lost`` or
        ``partial_answer`` and ``unknown``.
    fault : str
        Error found in the response; empty when it is complete and belongs to the
        call.
    """

    service: str
    method: str
    target: str
    key: str = ""
    nonce: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)
    sent_to: str = ""
    sent_ms: int = 0
    latency_ms: float = 0.0
    status: int = 0
    code: str = ""
    outcome: str = ""
    replayed: bool = False
    instance: str = ""
    server: str = ""
    fault: str = ""

    @property
    def answered(self) -> bool:
        """Whether a backend server's response was received."""
        return self.status > 0 and not self.code


def send(
    pool: urllib3.PoolManager,
    call: Call,
    *,
    address: str,
    body: bytes = b"",
    timeout_ms: int = 10_000,
    headers: dict[str, str] | None = None,
) -> Call:
    """Send a call to a daemon, and record and verify the response.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Connection pool of the caller.
    call : Call
        Call to send; its result is recorded in it.
    address : str
        Address of the daemon for callers.
    body : bytes
        Request body.
    timeout_ms : int
        Time to the deadline, sent as ``Request-Timeout-Ms``.
    headers : dict, optional
        Further request headers.

    Returns
    -------
    Call
        The same call.
    """
    call.sent_to = address
    call.sent_ms = _CLOCK.wall_ms()
    all_headers = {
        # The fingerprint of a crashing request covers the host, so the host must be
        # the same at every daemon, as it is for callers that use one host name.
        "Host": "shop.example",
        "Nonce": call.nonce,
        "Request-Timeout-Ms": str(timeout_ms),
    }
    if call.key:
        all_headers["Idempotency-Key"] = call.key
    all_headers.update(headers or {})
    started_s = time.perf_counter()
    try:
        response = pool.request(
            call.method,
            f"http://{address}{call.target}",
            body=body or None,
            headers=all_headers,
            retries=False,
            # A daemon responds at the deadline; 2 s are left for its response to
            # arrive.
            timeout=timeout_ms / 1_000 + 2.0,
        )
    except (urllib3.exceptions.NewConnectionError, ConnectionRefusedError):
        call.code, call.outcome = "not_sent", "not_run"
    except urllib3.exceptions.HTTPError as error:
        call.code, call.outcome = "connection_lost", "unknown"
        # urllib3 wraps the error of a body that ends early in a `ProtocolError`.
        if isinstance(error.__cause__, http.client.IncompleteRead):
            call.code = "partial_answer"
    else:
        _record_response(call, response, body)
    call.latency_ms = (time.perf_counter() - started_s) * 1_000
    return call


def _record_response(
    call: Call, response: urllib3.BaseHTTPResponse, body: bytes
) -> None:
    call.status = response.status
    call.replayed = response.headers.get("Idempotent-Replayed") == "true"
    call.instance = response.headers.get("Vanillapitch-Instance", "")
    content_type = response.headers.get("Content-Type", "")
    if content_type.startswith("application/problem+json"):
        _record_refusal(call, response.data)
    elif response.status < 300:
        call.fault = _response_fault(call, response.data, body)
    elif response.headers.get("Nonce", call.nonce) != call.nonce and not call.replayed:
        call.fault = "response to another request"


def _record_refusal(call: Call, data: bytes) -> None:
    try:
        problem = json.loads(data)
        call.code, call.outcome = problem["code"], problem["outcome"]
    except (ValueError, KeyError, TypeError):
        call.code, call.outcome = "unreadable", "unknown"
        call.fault = f"unreadable refusal {data[:80]!r}"


def _response_fault(call: Call, data: bytes, body: bytes) -> str:
    try:
        document = json.loads(data)
    except ValueError:
        return f"response of {len(data)} bytes is not JSON"
    call.server = document.get("server", "")
    if document.get("digest") != hashlib.sha256(body).hexdigest():
        return "response to another body"
    if document.get("target") != call.target:
        return f"response to another target {document.get('target')!r}"
    # A replayed response carries the nonce of the request that was executed.
    if document.get("nonce") != call.nonce and not call.replayed:
        return "response to another request"
    return ""
