"""Requests to an endpoint and the classification of its responses, without I/O."""

import dataclasses

from vanillapitch_wire.relay import Call, HeaderField, Reply

from vanillapitch_relay.http_client import (
    Headers,
    HttpRequest,
    HttpResponse,
    find_header,
)
from vanillapitch_relay.model import Ending, HeaderNames

__all__ = [
    "STATUS_OTHER_INSTANCE",
    "ResponseClassification",
    "build_request",
    "classify_response",
    "copy_response",
    "is_leaving",
]

# The endpoint is not the instance that the request names.
STATUS_OTHER_INSTANCE = 421
_LEAVING = b"1"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseClassification:
    """Classification of an endpoint's response.

    Attributes
    ----------
    ending : Ending
        How the call ended.
    reason : str
        Reason code; empty if the call was answered.
    failed : bool
        Whether it counts as a failure of the endpoint.
    """

    ending: Ending
    reason: str
    failed: bool


def build_request(
    call: Call, *, names: HeaderNames, instance: str, remaining_ms: float
) -> HttpRequest:
    """Build the request that is sent to the endpoint.

    Parameters
    ----------
    call : Call
        The call.
    names : HeaderNames
        Headers that the daemon sets itself.
    instance : str
        Instance that may execute it.
    remaining_ms : float
        Time until its deadline.

    Returns
    -------
    HttpRequest
        The request.
    """
    headers: Headers = [
        (field.name.encode("latin-1"), field.value.encode("latin-1"))
        for field in call.headers
    ]
    headers.append((names.deadline, str(int(remaining_ms)).encode()))
    headers.append((names.expected_instance, instance.encode("latin-1")))
    return HttpRequest(
        method=call.method,
        target=call.target,
        headers=headers,
        body=call.body,
        request_id=call.request_id.encode("latin-1"),
    )


def classify_response(
    response: HttpResponse, *, names: HeaderNames
) -> ResponseClassification:
    """Classify a complete response.

    Parameters
    ----------
    response : HttpResponse
        The response.
    names : HeaderNames
        Headers that the endpoint sets.

    Returns
    -------
    ResponseClassification
        ANSWERED if it may be forwarded to the caller.
    """
    is_not_executed = find_header(response.headers, names.not_executed)
    if is_not_executed or response.status == STATUS_OTHER_INSTANCE:
        return ResponseClassification(
            ending=Ending.REJECTED, reason="not_executed", failed=True
        )
    encoding = find_header(response.headers, b"content-encoding")
    if encoding not in (None, b"identity"):
        return ResponseClassification(
            ending=Ending.FAILED, reason="answer_encoded", failed=True
        )
    is_success = 200 <= response.status < 300
    if is_success and find_header(response.headers, names.signature) is None:
        return ResponseClassification(
            ending=Ending.FAILED, reason="answer_unsigned", failed=True
        )
    return ResponseClassification(
        ending=Ending.ANSWERED, reason="", failed=response.status >= 500
    )


def is_leaving(headers: Headers, *, names: HeaderNames) -> bool:
    """Return whether a response states that its endpoint is leaving."""
    value = find_header(headers, names.leaving)
    return value is not None and value.strip() == _LEAVING


def copy_response(reply: Reply, response: HttpResponse) -> None:
    """Copy an endpoint's response into the reply for the ingress."""
    reply.status = response.status
    reply.phrase = response.phrase
    reply.headers = [
        HeaderField(name=name.decode("latin-1"), value=value.decode("latin-1"))
        for name, value in response.headers
    ]
    reply.body = response.body
