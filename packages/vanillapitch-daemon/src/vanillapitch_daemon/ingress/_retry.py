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
    *, attempt: Attempter, clock: Clock
) -> Callable[[RoutedRequest], Answer]:
    """Build the function that makes the attempts of a request.

    Parameters
    ----------
    attempt : callable
        Makes one attempt, see `make_attempter`.
    clock : Clock
        Source of time.

    Returns
    -------
    callable
        Takes a `RoutedRequest` and returns its `Answer`.
    """

    def run_attempts(routed: RoutedRequest) -> Answer:
        excluded: frozenset[str] = frozenset()
        first_number = routed.request.attempt
        last: Attempt | None = None
        for number in range(first_number, first_number + ATTEMPTS_MAX):
            if clock.now_ms() >= routed.deadline_ms:
                return last.answer if last else _make_deadline_refusal()
            current = attempt(routed, number, excluded)
            if current.status is None and last is not None:
                # No further endpoint: the refusal of the one that was tried says more.
                return last.answer
            last = current
            if not _may_retry(routed, current):
                return current.answer
            excluded |= {current.instance}
        return last.answer

    return run_attempts


def _may_retry(routed: RoutedRequest, last: Attempt) -> bool:
    if isinstance(last.answer, Response) or last.status is None:
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
