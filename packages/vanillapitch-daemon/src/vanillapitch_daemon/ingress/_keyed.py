"""Requests with an idempotency key run at most once."""

import hashlib
from collections.abc import Callable

from vanillapitch_core import Outcome, Refusal
from vanillapitch_core.claims import ClaimResult
from vanillapitch_wire.dispatch import Header

from vanillapitch_daemon.calls import Answer, CallerRequest, Response
from vanillapitch_daemon.claims import (
    Claim,
    ClaimGate,
    Executed,
    ExecutionUnknown,
    NotExecuted,
)
from vanillapitch_daemon.ingress._attempts import RoutedRequest

__all__ = ["make_claimer"]


def make_claimer(
    *, run_attempts: Callable[[RoutedRequest], Answer], gate: ClaimGate
) -> Callable[[RoutedRequest], Answer]:
    """Build the function that claims keyed requests before their attempts.

    Parameters
    ----------
    run_attempts : callable
        Makes the attempts of a request, see `make_retrier`.
    gate : ClaimGate
        The claims.

    Returns
    -------
    callable
        Takes a `RoutedRequest` and returns its `Answer`. A request that is idempotent
        or has no key is not claimed.
    """

    def run_claimed(routed: RoutedRequest) -> Answer:
        key = routed.request.idempotency_key
        if routed.idempotent or key is None:
            return run_attempts(routed)
        begun = gate.claim_key(
            key=key,
            route_pool=routed.pool,
            fingerprint=_fingerprint(routed.request),
            deadline_ms=routed.deadline_ms,
        )
        if isinstance(begun, ClaimResult):
            return _replayed(begun)
        if isinstance(begun, Refusal):
            return begun
        return _run(begun, routed)

    def _run(claim: Claim, routed: RoutedRequest) -> Answer:
        try:
            answer = run_attempts(routed)
        except BaseException:
            gate.finish(claim, ExecutionUnknown())
            raise
        gate.finish(claim, _ending(answer))
        return answer

    return run_claimed


def _fingerprint(request: CallerRequest) -> str:
    """Identify what a key was used for.

    The host is left out: a caller that sends again through another daemon's address
    may name that address as the host.
    """
    digest = hashlib.sha256(f"{request.method} {request.target}\n".encode())
    digest.update(request.body)
    return digest.hexdigest()


def _ending(answer: Answer) -> Executed | NotExecuted | ExecutionUnknown:
    if isinstance(answer, Response):
        return Executed(result=_recorded(answer))
    match answer.outcome:
        case Outcome.NOT_RUN:
            return NotExecuted()
        case Outcome.RAN:
            return Executed(result=None)
    return ExecutionUnknown()


def _recorded(response: Response) -> ClaimResult:
    return ClaimResult(
        status=response.status,
        headers=tuple((header.name, header.value) for header in response.headers),
        body=response.body,
        instance=response.instance,
    )


def _replayed(result: ClaimResult) -> Response:
    return Response(
        status=result.status,
        headers=[Header(name, value) for name, value in result.headers],
        body=result.body,
        instance=result.instance,
        replayed=True,
    )
