"""Tests of the result that a caller gets after several attempts."""

import itertools

import pytest
from vanillapitch_core import ManualClock, Outcome, Refusal, RefusalCode
from vanillapitch_core.retries import MAX_ATTEMPTS
from vanillapitch_daemon.calls import CallerRequest, DispatchStatus, Response
from vanillapitch_daemon.ingress import make_retrier
from vanillapitch_daemon.ingress._attempts import Attempt, RoutedRequest

RESPONSE = Response(status=200, headers=[], body=b"", instance="c")
ATTEMPTS_BY_NAME = {
    "response": (RESPONSE, DispatchStatus.RESPONSE),
    "full": (RefusalCode.OVERLOADED, Outcome.NOT_RUN, DispatchStatus.REFUSED),
    "lost": (RefusalCode.BACKEND_FAILED, Outcome.UNKNOWN, DispatchStatus.LOST),
    "crash": (RefusalCode.BACKEND_CRASHED, Outcome.UNKNOWN, DispatchStatus.REFUSED),
    "none": (RefusalCode.NO_ENDPOINT, Outcome.NOT_RUN, None),
}


def make_routed(*, idempotent, attempt=1):
    request = CallerRequest(
        request_id="r",
        method="GET",
        target="/",
        path="/",
        host="a",
        headers=[],
        body=b"",
        timeout_ms=None,
        attempt=attempt,
        idempotency_key=None,
        received_at_ms=0.0,
        is_cancelled=lambda: False,
    )
    return RoutedRequest(
        request=request,
        pool="p",
        priority=5,
        idempotent=idempotent,
        deadline_ms=1_000.0,
        revision=1,
    )


def run_attempts(attempt_names, **routed):
    """Make the attempts; return the result and the names of the attempts made."""
    attempted = []

    def attempt(routed, number, excluded):
        attempt_name = attempt_names[len(attempted)]
        attempted.append(attempt_name)
        if attempt_name == "response":
            result, status = ATTEMPTS_BY_NAME[attempt_name]
        else:
            code, outcome, status = ATTEMPTS_BY_NAME[attempt_name]
            result = Refusal(code=code, outcome=outcome, detail="")
        return Attempt(result=result, status=status, instance=f"i{len(attempted)}")

    result = make_retrier(attempt=attempt, clock=ManualClock())(make_routed(**routed))
    return result, attempted


@pytest.mark.parametrize(
    "attempt_names", list(itertools.product(ATTEMPTS_BY_NAME, repeat=MAX_ATTEMPTS))
)
@pytest.mark.parametrize("idempotent", [True, False])
def test_outcomes_are_true_for_every_sequence_of_attempts(attempt_names, idempotent):
    # Guards against the outcome not_run after an attempt that may have been executed,
    # against a second execution of a request that is not idempotent, and against a
    # retry after a crash.
    result, attempted = run_attempts(attempt_names, idempotent=idempotent)
    possibly_executed = [
        item for item in attempted if item in ("response", "lost", "crash")
    ]
    if isinstance(result, Refusal):
        assert (result.outcome is Outcome.NOT_RUN) == (not possibly_executed)
    else:
        assert attempted[-1] == "response"
    if not idempotent:
        assert len(possibly_executed) <= 1
    assert "crash" not in attempted[:-1]


def test_nested_daemons_do_not_retry():
    # Guards against retries that multiply along a chain of calls: a request that
    # arrives as a second attempt must not be retried.
    _, attempted = run_attempts(["full", "response"], idempotent=True, attempt=2)
    assert attempted == ["full"]
