"""One call and the verification of its answer."""

import dataclasses
import hashlib
import json
import time
import uuid

import urllib3
from vanillapitch_core import SystemClock

__all__ = ["Call", "send"]

_CLOCK = SystemClock()


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """A send of a caller and what came back.

    Attributes
    ----------
    nonce : str
        Unique for each send; the backend server echoes and journals it.
    status : int
        Status of the answer; 0 when there was none.
    code, outcome : str
        Refusal code and outcome; for a call without an answer, ``not_sent`` or
        ``connection_lost`` and what the caller knows.
    fault : str
        What is wrong with the answer; empty when it is complete and belongs to the
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
        """Whether a backend server's answer came back."""
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
    """Send a call to a daemon, and record and verify its answer.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Connections of the caller.
    call : Call
        The call; it is filled in.
    address : str
        Address of the daemon for callers.
    body : bytes
        Request body.
    timeout_ms : int
        Deadline that the call carries.
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
        # The same through every daemon, as from callers that use one name: the
        # fingerprint of a crashing request covers the host.
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
            # A daemon answers at the deadline; the margin covers its answer's way.
            timeout=timeout_ms / 1_000 + 2.0,
        )
    except (urllib3.exceptions.NewConnectionError, ConnectionRefusedError):
        call.code, call.outcome = "not_sent", "not_run"
    except urllib3.exceptions.HTTPError as error:
        call.code, call.outcome = "connection_lost", "unknown"
        if isinstance(error, urllib3.exceptions.IncompleteRead):
            call.code = "partial_answer"
    else:
        _read(call, response, body)
    call.latency_ms = (time.perf_counter() - started_s) * 1_000
    return call


def _read(call: Call, response: urllib3.BaseHTTPResponse, body: bytes) -> None:
    call.status = response.status
    call.replayed = response.headers.get("Idempotent-Replayed") == "true"
    call.instance = response.headers.get("Vanillapitch-Instance", "")
    content_type = response.headers.get("Content-Type", "")
    if content_type.startswith("application/problem+json"):
        _read_refusal(call, response.data)
    elif response.status < 300:
        call.fault = _answer_fault(call, response.data, body)
    elif response.headers.get("Nonce", call.nonce) != call.nonce and not call.replayed:
        call.fault = "foreign answer"


def _read_refusal(call: Call, data: bytes) -> None:
    try:
        problem = json.loads(data)
        call.code, call.outcome = problem["code"], problem["outcome"]
    except (ValueError, KeyError, TypeError):
        call.code, call.outcome = "unreadable", "unknown"
        call.fault = f"unreadable refusal {data[:80]!r}"


def _answer_fault(call: Call, data: bytes, body: bytes) -> str:
    try:
        answer = json.loads(data)
    except ValueError:
        return f"partial answer of {len(data)} bytes"
    call.server = answer.get("server", "")
    if answer.get("digest") != hashlib.sha256(body).hexdigest():
        return "answer to another body"
    if answer.get("target") != call.target:
        return f"answer to another target {answer.get('target')!r}"
    # A replayed answer belongs to the first send, which has another nonce.
    if answer.get("nonce") != call.nonce and not call.replayed:
        return "foreign answer"
    return ""
