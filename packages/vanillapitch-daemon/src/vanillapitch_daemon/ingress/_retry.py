"""Attempts and retries of one request."""

import threading
from collections.abc import Callable

from vanillapitch_core import Clock, Outcome, Refusal, RefusalCode, retries

from vanillapitch_daemon.calls import CallerRequest, RequestResult, Response
from vanillapitch_daemon.ingress._attempts import Attempt, Attempter, RoutedRequest

__all__ = ["make_retrier"]


def make_retrier(
    *,
    attempt: Attempter,
    clock: Clock,
    record_crash: Callable[[CallerRequest, str], None] = lambda request, instance: None,
    count_retry: Callable[[str], None] = lambda reason: None,
) -> Callable[[RoutedRequest], RequestResult]:
    """Build the function that makes the attempts of a request.

    All requests that the function handles share one retry budget.

    Parameters
    ----------
    attempt : callable
        Makes one attempt, see `make_attempter`.
    clock : Clock
        Source of time.
    record_crash : callable
        Takes a request whose execution crashed a backend server, and the endpoint.
    count_retry : callable
        Takes the reason of each retry decision after a failed attempt.

    Returns
    -------
    callable
        Takes a `RoutedRequest` and returns its `RequestResult`.
    """
    budget = retries.RetryBudget()
    lock = threading.Lock()

    def run_attempts(routed: RoutedRequest) -> RequestResult:
        with lock:
            retries.record_call(budget)
        excluded: frozenset[str] = frozenset()
        refusal: Refusal | None = None
        first_number = routed.request.attempt
        for number in range(first_number, first_number + retries.MAX_ATTEMPTS):
            if clock.now_ms() >= routed.deadline_ms:
                return refusal or _make_deadline_refusal()
            # Callers may have disconnected while this daemon was paused.
            if routed.request.is_cancelled():
                return refusal or _make_cancelled_refusal()
            current = attempt(routed, number, excluded)
            if isinstance(current.result, Response):
                return current.result
            refusal = _merge_refusals(refusal, current)
            if current.result.code is RefusalCode.BACKEND_CRASHED:
                record_crash(routed.request, current.instance)
            if current.status is None:
                break
            reason = decide(routed, current, number - first_number + 1)
            count_retry(reason.value)
            if not reason.is_retry:
                break
            excluded |= {current.instance}
        return refusal

    def decide(
        routed: RoutedRequest, last: Attempt, attempts: int
    ) -> retries.RetryReason:
        with lock:
            return retries.decide_retry(
                budget,
                code=last.result.code,
                outcome=last.result.outcome,
                idempotent=routed.idempotent,
                attempt=attempts,
                request_attempt=routed.request.attempt,
                remaining_ms=routed.deadline_ms - clock.now_ms(),
            )

    return run_attempts


def _merge_refusals(earlier: Refusal | None, last: Attempt) -> Refusal:
    if earlier is None:
        return last.result
    if last.status is None:
        # No further endpoint could be picked; the refusal of the endpoint that was
        # tried is more specific.
        return earlier
    if (
        earlier.outcome is not Outcome.NOT_RUN
        and last.result.outcome is Outcome.NOT_RUN
    ):
        # The earlier attempt may have been executed, so the outcome of the request is
        # not ``not_run``.
        return earlier
    return last.result


def _make_deadline_refusal() -> Refusal:
    return Refusal(
        code=RefusalCode.DEADLINE_NOT_RUN,
        outcome=Outcome.NOT_RUN,
        detail="The deadline passed before the request ran.",
    )


def _make_cancelled_refusal() -> Refusal:
    return Refusal(
        code=RefusalCode.CANCELLED,
        outcome=Outcome.NOT_RUN,
        detail="The caller disconnected before the request ran.",
    )
