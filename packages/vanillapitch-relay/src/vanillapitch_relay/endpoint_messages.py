"""Requests to an endpoint and the classification of its answers, without I/O."""

import dataclasses

from vanillapitch_wire.relay import Call, HeaderField, Reply

from vanillapitch_relay.http_client import (
    Headers,
    HttpAnswer,
    HttpRequest,
    find_header,
)
from vanillapitch_relay.model import Ending, HeaderNames

__all__ = [
    "STATUS_OTHER_INSTANCE",
    "AnswerClassification",
    "build_request",
    "classify_answer",
    "copy_answer",
]

# The endpoint is not the instance that the request names.
STATUS_OTHER_INSTANCE = 421


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerClassification:
    """Classification of an endpoint's answer.

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


def classify_answer(answer: HttpAnswer, *, names: HeaderNames) -> AnswerClassification:
    """Classify a complete answer.

    Parameters
    ----------
    answer : HttpAnswer
        The answer.
    names : HeaderNames
        Headers that the endpoint sets.

    Returns
    -------
    AnswerClassification
        ANSWERED if it may be forwarded to the caller.
    """
    is_not_executed = find_header(answer.headers, names.not_executed)
    if is_not_executed or answer.status == STATUS_OTHER_INSTANCE:
        return AnswerClassification(
            ending=Ending.REJECTED, reason="not_executed", failed=True
        )
    encoding = find_header(answer.headers, b"content-encoding")
    if encoding not in (None, b"identity"):
        return AnswerClassification(
            ending=Ending.FAILED, reason="answer_encoded", failed=True
        )
    is_success = 200 <= answer.status < 300
    if is_success and find_header(answer.headers, names.signature) is None:
        return AnswerClassification(
            ending=Ending.FAILED, reason="answer_unsigned", failed=True
        )
    return AnswerClassification(
        ending=Ending.ANSWERED, reason="", failed=answer.status >= 500
    )


def copy_answer(reply: Reply, answer: HttpAnswer) -> None:
    """Copy an endpoint's answer into the reply for the ingress."""
    reply.status = answer.status
    reply.phrase = answer.phrase
    reply.headers = [
        HeaderField(name=name.decode("latin-1"), value=value.decode("latin-1"))
        for name, value in answer.headers
    ]
    reply.body = answer.body
