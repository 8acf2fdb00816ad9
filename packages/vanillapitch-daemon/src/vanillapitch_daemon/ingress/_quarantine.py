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
        Executes a request that is not quarantined.
    quarantine : Quarantine
        Strikes of requests.

    Returns
    -------
    callable
        Takes a `RoutedRequest` and returns its `RequestResult`.
    """

    def run_unless_quarantined(routed: RoutedRequest) -> RequestResult:
        if quarantine.contains(routed.request):
            return QUARANTINE_REFUSAL
        result = run_attempts(routed)
        # A replayed response is not a new execution, so it clears no strikes.
        if isinstance(result, Response) and not result.replayed:
            quarantine.record_response(routed.request)
        return result

    return run_unless_quarantined
