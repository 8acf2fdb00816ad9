"""Check of the quarantine before the attempts of a request."""

from collections.abc import Callable

from vanillapitch_daemon.calls import RequestResult, Response
from vanillapitch_daemon.ingress._attempts import RoutedRequest
from vanillapitch_daemon.quarantine import QUARANTINE_REFUSAL, Quarantine

__all__ = ["make_quarantine_check"]


def make_quarantine_check(
    *, run_attempts: Callable[[RoutedRequest], RequestResult], quarantine: Quarantine
) -> Callable[[RoutedRequest], RequestResult]:
    """Build the function that refuses quarantined requests before their attempts.

    Parameters
    ----------
    run_attempts : callable
        Runs a request that is not quarantined.
    quarantine : Quarantine
        The strikes.

    Returns
    -------
    callable
        Takes a `RoutedRequest` and returns its `RequestResult`.
    """

    def run_checked(routed: RoutedRequest) -> RequestResult:
        if quarantine.contains(routed.request):
            return QUARANTINE_REFUSAL
        answer = run_attempts(routed)
        # A recorded answer of a keyed request did not run again.
        if isinstance(answer, Response) and not answer.replayed:
            quarantine.record_answer(routed.request)
        return answer

    return run_checked
