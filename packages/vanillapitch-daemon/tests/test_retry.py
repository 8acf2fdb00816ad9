"""Tests of what the caller is told after several attempts."""

import itertools

import pytest
from vanillapitch_core import ManualClock, Outcome, Refusal, RefusalCode
from vanillapitch_core.retries import MAX_ATTEMPTS
from vanillapitch_daemon.calls import CallerRequest, DispatchStatus, Response
from vanillapitch_daemon.ingress import make_retrier
from vanillapitch_daemon.ingress._attempts import Attempt, RoutedRequest

RESPONSE = Response(status=200, headers=[], body=b"", instance="c")
ENDINGS = {
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


def run(endings, **routed):
    """Run the attempts; return the answer and the endings that took place."""
    taken = []

    def attempt(routed, number, excluded):
        ending = endings[len(taken)]
        taken.append(ending)
        if ending == "response":
            answer, status = ENDINGS[ending]
        else:
            code, outcome, status = ENDINGS[ending]
            answer = Refusal(code=code, outcome=outcome, detail="")
        return Attempt(answer=answer, status=status, instance=f"i{len(taken)}")

    answer = make_retrier(attempt=attempt, clock=ManualClock())(make_routed(**routed))
    return answer, taken


@pytest.mark.parametrize(
    "endings", list(itertools.product(ENDINGS, repeat=MAX_ATTEMPTS))
)
@pytest.mark.parametrize("idempotent", [True, False])
def test_outcomes_are_true_for_every_sequence_of_attempts(endings, idempotent):
    # Guards against not_run after an attempt that may have run, a second run of a
    # request that is not idempotent, and a crashing request that is passed on.
    answer, taken = run(endings, idempotent=idempotent)
    may_have_run = [item for item in taken if item in ("response", "lost", "crash")]
    if isinstance(answer, Refusal):
        assert (answer.outcome is Outcome.NOT_RUN) == (not may_have_run)
    else:
        assert taken[-1] == "response"
    if not idempotent:
        assert len(may_have_run) <= 1
    assert "crash" not in taken[:-1]


def test_nested_daemons_do_not_retry():
    # Guards against retries that multiply along a chain of calls.
    _, taken = run(["full", "response"], idempotent=True, attempt=2)
    assert taken == ["full"]
