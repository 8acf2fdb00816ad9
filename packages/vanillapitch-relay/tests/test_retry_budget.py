"""Share of one daemon in the retry budget of all daemons."""

import random

import pytest
from vanillapitch_relay.model import Bounds
from vanillapitch_relay.retry_budget import SharedRetryBudget

BOUNDS = Bounds(
    grace_ms=6_000.0,
    retry_ratio=0.2,
    retry_slack=56.0,
    retry_window_ms=10_000.0,
    cold_overshoot=1.5,
    cold_slack=5.0,
    reconnect_ms=3_000.0,
)


def count_allowed_retries(budgets, service, requests, *, rng, span_ms=10_000.0):
    """Send requests through random daemons and return how many may be retried."""
    retries = 0
    for number in range(requests):
        now_ms = 50_000.0 + number * span_ms / requests
        budget = rng.choice(budgets)
        budget.record_request(service, now_ms=now_ms)
        retries += budget.take(service, now_ms=now_ms)
    return retries


@pytest.mark.parametrize("daemons", [1, 10, 90])
@pytest.mark.parametrize("requests", [10, 800, 4_000])
def test_all_daemons_together_stay_within_the_bound(daemons, requests):
    # Guards against daemons that each use the slack of the whole deployment, so that
    # their retries together exceed 0.2 per request plus 56.
    budgets = [
        SharedRetryBudget(bounds=BOUNDS, daemons=daemons) for _ in range(daemons)
    ]
    retries = count_allowed_retries(budgets, "stock", requests, rng=random.Random(1))
    assert retries <= BOUNDS.retry_ratio * requests + BOUNDS.retry_slack


def test_retries_of_callers_leave_budget_for_their_calls():
    # Guards against retries that exceed the bound of a called service (390 where 368
    # were allowed): a retried execution sends its two nested calls again, and these
    # count as retries to the called service.
    budgets = [SharedRetryBudget(bounds=BOUNDS, daemons=12) for _ in range(12)]
    rng = random.Random(2)
    at_callers = count_allowed_retries(budgets, "ticket-desk", 800, rng=rng)
    at_called = count_allowed_retries(budgets, "bale-ledger", 1_562, rng=rng)
    allowed = BOUNDS.retry_ratio * 1_562 + BOUNDS.retry_slack
    assert at_called + 2 * at_callers <= allowed


def test_the_window_slides():
    # Guards against a used budget that does not become free when its retries leave the
    # window of 10 s.
    budget = SharedRetryBudget(bounds=BOUNDS, daemons=1)
    first = sum(budget.take("stock", now_ms=1_000.0) for _ in range(100))
    assert 0 < first < 100
    assert not budget.take("stock", now_ms=10_999.0)
    assert budget.take("stock", now_ms=11_001.0)
