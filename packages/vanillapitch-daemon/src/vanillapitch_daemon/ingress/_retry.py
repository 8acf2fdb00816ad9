"""Attempts and retries of one request."""

from collections.abc import Callable

from vanillapitch_core import Clock, Outcome, Refusal, RefusalCode

from vanillapitch_daemon.calls import Answer, Response
from vanillapitch_daemon.ingress._attempts import Attempt, Attempter, RoutedRequest

__all__ = ["make_retrier"]

ATTEMPTS_MAX = 3

_NOT_RETRIED_CODES = frozenset(
    {
        RefusalCode.BACKEND_CRASHED,
        RefusalCode.CANCELLED,
        RefusalCode.DEADLINE_NOT_RUN,
        RefusalCode.DEADLINE_UNKNOWN,
        RefusalCode.RESPONSE_TOO_LARGE,
    }
)


def make_retrier(
    *,
    attempt: Attempter,
    clock: Clock,
    count_retry: Callable[[str], None] = lambda reason: None,
) -> Callable[[RoutedRequest], Answer]:
    """Build the function that makes the attempts of a request.

    Parameters
    ----------
    attempt : callable
        Makes one attempt, see `make_attempter`.
    clock : Clock
        Source of time.
    count_retry : callable
        Takes the reason of each retry, the code of the refusal before it.

    Returns
    -------
    callable
        Takes a `RoutedRequest` and returns its `Answer`.
    """

    def run_attempts(routed: RoutedRequest) -> Answer:
        excluded: frozenset[str] = frozenset()
        refusal: Refusal | None = None
        failed_code: RefusalCode | None = None
        first_number = routed.request.attempt
        for number in range(first_number, first_number + ATTEMPTS_MAX):
            if clock.now_ms() >= routed.deadline_ms:
                return refusal or _make_deadline_refusal()
            current = attempt(routed, number, excluded)
            if failed_code is not None and current.status is not None:
                count_retry(failed_code.value)
            if isinstance(current.answer, Response):
                return current.answer
            failed_code = current.answer.code
            refusal = _merge_refusals(refusal, current)
            if not _may_retry(routed, current):
                break
            excluded |= {current.instance}
        return refusal

    return run_attempts


def _merge_refusals(earlier: Refusal | None, last: Attempt) -> Refusal:
    if earlier is None:
        return last.answer
    if last.status is None:
        # No further endpoint: the refusal of the one that was tried says more.
        return earlier
    if (
        earlier.outcome is not Outcome.NOT_RUN
        and last.answer.outcome is Outcome.NOT_RUN
    ):
        # The earlier attempt may have run, so the whole request may have.
        return earlier
    return last.answer


def _may_retry(routed: RoutedRequest, last: Attempt) -> bool:
    if last.status is None:
        return False
    if routed.request.attempt > 1 or last.answer.code in _NOT_RETRIED_CODES:
        return False
    return last.answer.outcome is Outcome.NOT_RUN or routed.idempotent


def _make_deadline_refusal() -> Refusal:
    return Refusal(
        code=RefusalCode.DEADLINE_NOT_RUN,
        outcome=Outcome.NOT_RUN,
        detail="The deadline passed before the request ran.",
    )
