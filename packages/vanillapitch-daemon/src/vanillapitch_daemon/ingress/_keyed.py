"""At-most-once execution of requests with an idempotency key."""

import hashlib
from collections.abc import Callable

from vanillapitch_core import Outcome, Refusal
from vanillapitch_core.claims import ClaimResult
from vanillapitch_wire.dispatch import Header

from vanillapitch_daemon.calls import CallerRequest, RequestResult, Response
from vanillapitch_daemon.claims import (
    Claim,
    ClaimGate,
    Executed,
    ExecutionUnknown,
    NotExecuted,
)
from vanillapitch_daemon.ingress._attempts import RoutedRequest

__all__ = ["make_claim_check"]


def make_claim_check(
    *, run_attempts: Callable[[RoutedRequest], RequestResult], gate: ClaimGate
) -> Callable[[RoutedRequest], RequestResult]:
    """Build the function that claims the key of a request before its attempts.

    Parameters
    ----------
    run_attempts : callable
        Makes the attempts of a request, see `make_retrier`.
    gate : ClaimGate
        Gate that makes and finishes claims.

    Returns
    -------
    callable
        Takes a `RoutedRequest` and returns its `RequestResult`. A request that is
        idempotent or has no key is not claimed.
    """

    def run_claimed(routed: RoutedRequest) -> RequestResult:
        key = routed.request.idempotency_key
        if routed.idempotent or key is None:
            return run_attempts(routed)
        claim_outcome = gate.claim_key(
            key=key,
            route_pool=routed.pool,
            fingerprint=_fingerprint(routed.request),
            deadline_ms=routed.deadline_ms,
        )
        if isinstance(claim_outcome, ClaimResult):
            return _make_replayed_response(claim_outcome)
        if isinstance(claim_outcome, Refusal):
            return claim_outcome
        return _execute(claim_outcome, routed)

    def _execute(claim: Claim, routed: RoutedRequest) -> RequestResult:
        try:
            result = run_attempts(routed)
        except BaseException:
            gate.finish(claim, ExecutionUnknown())
            raise
        gate.finish(claim, _classify_result(result))
        return result

    return run_claimed


def _fingerprint(request: CallerRequest) -> str:
    """Return a digest that identifies the request that a key was used for.

    The host is left out, because a caller that resends a request through another daemon
    may send the address of that daemon as the host.
    """
    digest = hashlib.sha256(f"{request.method} {request.target}\n".encode())
    digest.update(request.body)
    return digest.hexdigest()


def _classify_result(
    result: RequestResult,
) -> Executed | NotExecuted | ExecutionUnknown:
    if isinstance(result, Response):
        return Executed(result=_make_claim_result(result))
    match result.outcome:
        case Outcome.NOT_RUN:
            return NotExecuted()
        case Outcome.RAN:
            return Executed(result=None)
    return ExecutionUnknown()


def _make_claim_result(response: Response) -> ClaimResult:
    return ClaimResult(
        status=response.status,
        headers=tuple((header.name, header.value) for header in response.headers),
        body=response.body,
        instance=response.instance,
    )


def _make_replayed_response(result: ClaimResult) -> Response:
    return Response(
        status=result.status,
        headers=[Header(name, value) for name, value in result.headers],
        body=result.body,
        instance=result.instance,
        replayed=True,
    )
