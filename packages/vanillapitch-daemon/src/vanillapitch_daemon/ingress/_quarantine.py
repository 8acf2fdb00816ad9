"""Check of the quarantine before the attempts of a request."""

from collections.abc import Callable

from vanillapitch_daemon.calls import Answer, Response
from vanillapitch_daemon.ingress._attempts import RoutedRequest
from vanillapitch_daemon.quarantine import QUARANTINE_REFUSAL, Quarantine

__all__ = ["make_quarantine_check"]


def make_quarantine_check(
    *, run: Callable[[RoutedRequest], Answer], quarantine: Quarantine
) -> Callable[[RoutedRequest], Answer]:
    """Build the function that refuses quarantined requests before their attempts.

    Parameters
    ----------
    run : callable
        Runs a request that is not quarantined.
    quarantine : Quarantine
        The strikes.

    Returns
    -------
    callable
        Takes a `RoutedRequest` and returns its `Answer`.
    """

    def run_checked(routed: RoutedRequest) -> Answer:
        if quarantine.contains(routed.request):
            return QUARANTINE_REFUSAL
        answer = run(routed)
        # A recorded answer of a keyed request did not run again.
        if isinstance(answer, Response) and not answer.replayed:
            quarantine.record_answer(routed.request)
        return answer

    return run_checked
