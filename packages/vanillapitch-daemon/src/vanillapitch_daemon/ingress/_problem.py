"""Problem bodies (RFC 9457) of refusals."""

from collections.abc import Callable

import msgspec
from vanillapitch_core import Refusal
from vanillapitch_wire.dispatch import Header

from vanillapitch_daemon.calls import Response
from vanillapitch_daemon.metrics import Metrics

__all__ = ["RefusalHandler", "make_refusal_handler"]

RETRY_AFTER_S = "1"


class _Problem(msgspec.Struct, kw_only=True):
    code: str
    title: str
    detail: str
    status: int
    outcome: str
    request_id: str


RefusalHandler = Callable[[Refusal, str], Response]


def make_refusal_handler(*, metrics: Metrics) -> RefusalHandler:
    """Build the function that converts refusals to responses and counts them.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the daemon.

    Returns
    -------
    callable
        Takes a refusal and the id of the request and returns a response with an
        ``application/problem+json`` body.
    """

    def refuse(refusal: Refusal, request_id: str) -> Response:
        metrics.count_refusal(refusal.code)
        return _make_problem_response(refusal, request_id)

    return refuse


def _make_problem_response(refusal: Refusal, request_id: str) -> Response:
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
