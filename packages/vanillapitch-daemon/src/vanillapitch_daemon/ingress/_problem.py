"""Problem bodies (RFC 9457) of refusals."""

import msgspec
from vanillapitch_core import Refusal
from vanillapitch_wire.dispatch import Header

from vanillapitch_daemon.calls import Response

__all__ = ["make_problem_response"]

RETRY_AFTER_S = "1"


class _Problem(msgspec.Struct, kw_only=True):
    code: str
    title: str
    detail: str
    status: int
    outcome: str
    request_id: str


def make_problem_response(refusal: Refusal, request_id: str) -> Response:
    """Turn a refusal into the response that the caller gets.

    Parameters
    ----------
    refusal : Refusal
        The refusal.
    request_id : str
        Id of the refused request.

    Returns
    -------
    Response
        A response with an ``application/problem+json`` body.
    """
    problem = _Problem(
        code=refusal.code.value,
        title=refusal.code.title,
        detail=refusal.detail,
        status=refusal.code.status,
        outcome=refusal.outcome.value,
        request_id=request_id,
    )
    headers = [Header("Content-Type", "application/problem+json")]
    if refusal.code.status == 503:
        headers.append(Header("Retry-After", RETRY_AFTER_S))
    return Response(
        status=refusal.code.status,
        headers=headers,
        body=msgspec.json.encode(problem),
        instance="",
    )
