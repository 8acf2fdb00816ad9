"""Requests to an endpoint and what its answers mean, without I/O."""

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
    "AnswerVerdict",
    "build_request",
    "judge_answer",
    "put_answer",
]

# The endpoint is not the instance that the request names.
STATUS_OTHER_INSTANCE = 421


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerVerdict:
    """What an endpoint's answer means.

    Attributes
    ----------
    ending : Ending
        How the call ended.
    reason : str
        Why, unless it was answered.
    failed : bool
        Whether it counts as a failure of the endpoint.
    """

    ending: Ending
    reason: str
    failed: bool


def build_request(
    call: Call, *, names: HeaderNames, instance: str, remaining_ms: float
) -> HttpRequest:
    """Build the request that the endpoint gets.

    Parameters
    ----------
    call : Call
        The call.
    names : HeaderNames
        Headers that the daemon sets itself.
    instance : str
        Instance that may run it.
    remaining_ms : float
        What is left until its deadline.

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


def judge_answer(answer: HttpResponse, *, names: HeaderNames) -> AnswerVerdict:
    """Tell what a whole answer means.

    Parameters
    ----------
    answer : HttpResponse
        The answer.
    names : HeaderNames
        Headers that the endpoint sets.

    Returns
    -------
    AnswerVerdict
        ANSWERED if it may be passed on.
    """
    is_marked = find_header(answer.headers, names.not_executed)
    if is_marked or answer.status == STATUS_OTHER_INSTANCE:
        return AnswerVerdict(ending=Ending.REJECTED, reason="not_executed", failed=True)
    encoding = find_header(answer.headers, b"content-encoding")
    if encoding not in (None, b"identity"):
        return AnswerVerdict(ending=Ending.FAILED, reason="answer_encoded", failed=True)
    is_success = 200 <= answer.status < 300
    if is_success and find_header(answer.headers, names.signature) is None:
        return AnswerVerdict(
            ending=Ending.FAILED, reason="answer_unsigned", failed=True
        )
    return AnswerVerdict(ending=Ending.ANSWERED, reason="", failed=answer.status >= 500)


def put_answer(reply: Reply, answer: HttpResponse) -> None:
    """Put an endpoint's answer into the reply for the ingress."""
    reply.status = answer.status
    reply.phrase = answer.phrase
    reply.headers = [
        HeaderField(name=name.decode("latin-1"), value=value.decode("latin-1"))
        for name, value in answer.headers
    ]
    reply.body = answer.body
