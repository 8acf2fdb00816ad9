"""Retry and hedging decisions within a budget that is a share of the calls."""

import dataclasses
import enum

from vanillapitch_core.outcome import Outcome, RefusalCode

__all__ = [
    "HedgeReason",
    "RetryBudget",
    "RetryReason",
    "decide_hedge",
    "decide_retry",
    "record_call",
]

# Retries must stay within 10% of the calls. The share is lower, because saved and
# initial retries add to it: with a share of 10% and 50 saved retries at each of four
# ingresses, 13.8% of 1,500 calls were retried.
BUDGET_SHARE = 0.07
# Allows retries of the first calls after a start; 3 retries are at most 10% from the
# thirtieth call on.
INITIAL_RETRIES = 3.0
# Bounds a burst of retries after a long time without failures.
MAX_AVAILABLE_RETRIES = 10.0
# Deployed pools have at most four endpoints, so a request reaches the only one that
# is up.
MAX_ATTEMPTS = 4
HEDGED_METHODS = frozenset({"GET", "HEAD"})

# Refusals that concern one endpoint, so another endpoint of the pool may accept.
_ENDPOINT_REFUSALS = frozenset(
    {
        RefusalCode.OVERLOADED,
        RefusalCode.ZONE_OUT,
        RefusalCode.LEAVING,
        RefusalCode.NO_ENDPOINT,
        RefusalCode.MEMORY_FULL,
        RefusalCode.DEADLINE_NOT_RUN,
        RefusalCode.BACKEND_FAILED,
    }
)


class RetryReason(enum.StrEnum):
    """Why a request is or is not sent again; the label of a counter."""

    NOT_RUN = "not_run"
    IDEMPOTENT = "idempotent"
    CRASHED = "crashed"
    INNER_ATTEMPT = "inner_attempt"
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    NOT_RETRYABLE = "not_retryable"
    NOT_IDEMPOTENT = "not_idempotent"
    PAST_DEADLINE = "past_deadline"
    NO_BUDGET = "no_budget"

    @property
    def is_retry(self) -> bool:
        """Whether the request is sent again."""
        return self in (RetryReason.NOT_RUN, RetryReason.IDEMPOTENT)


class HedgeReason(enum.StrEnum):
    """Why a request is or is not hedged; the label of a counter."""

    SLOW = "slow"
    DISABLED = "disabled"
    INNER_ATTEMPT = "inner_attempt"
    NOT_A_READ = "not_a_read"
    NOT_SLOW = "not_slow"
    PAST_DEADLINE = "past_deadline"
    NO_BUDGET = "no_budget"

    @property
    def is_hedge(self) -> bool:
        """Whether a second copy is sent."""
        return self is HedgeReason.SLOW


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Token bucket that is filled by calls and drained by retries and hedged requests.

    Attributes
    ----------
    share : float
        Retries allowed per call.
    available_retries : float
        Retries that may be sent now.
    calls : int
        Calls since the start.
    retries : int
        Retries and hedged requests since the start.
    """

    share: float = BUDGET_SHARE
    available_retries: float = INITIAL_RETRIES
    calls: int = 0
    retries: int = 0


def record_call(budget: RetryBudget) -> None:
    """Add a call's share to the budget; once per call, not per attempt.

    Parameters
    ----------
    budget : RetryBudget
        The budget of the ingress.
    """
    budget.calls += 1
    filled = budget.available_retries + budget.share
    budget.available_retries = min(MAX_AVAILABLE_RETRIES, filled)


def decide_retry(
    budget: RetryBudget,
    *,
    code: RefusalCode,
    outcome: Outcome,
    idempotent: bool,
    attempt: int,
    request_attempt: int,
    remaining_ms: float,
    expected_latency_ms: float = 0.0,
) -> RetryReason:
    """Decide whether to retry after a failed attempt.

    A retry is charged to the budget.

    Parameters
    ----------
    budget : RetryBudget
        The budget of the ingress.
    code : RefusalCode
        How the attempt failed.
    outcome : Outcome
        What is known about its execution.
    idempotent : bool
        Whether the request may be executed more than once.
    attempt : int
        Number of this attempt at this daemon, starting at 1.
    request_attempt : int
        Value of the caller's ``Request-Attempt``, 1 when absent. From 2 on, the
        caller retries, and the daemon does not, so that only one layer retries.
    remaining_ms : float
        Milliseconds until the deadline.
    expected_latency_ms : float
        Shortest time that another attempt is expected to take.

    Returns
    -------
    RetryReason
        The decision and its reason.
    """
    refused = _find_no_retry_reason(
        code=code,
        outcome=outcome,
        idempotent=idempotent,
        attempt=attempt,
        request_attempt=request_attempt,
    )
    if refused is not None:
        return refused
    if remaining_ms <= max(0.0, expected_latency_ms):
        return RetryReason.PAST_DEADLINE
    if not _take_token(budget):
        return RetryReason.NO_BUDGET
    if outcome is Outcome.NOT_RUN:
        return RetryReason.NOT_RUN
    return RetryReason.IDEMPOTENT


def decide_hedge(
    budget: RetryBudget,
    *,
    enabled: bool = False,
    method: str,
    idempotent: bool,
    request_attempt: int,
    age_ms: float,
    hedge_after_ms: float,
    remaining_ms: float,
) -> HedgeReason:
    """Decide whether a slow read is also sent to another endpoint.

    A hedged request is charged to the budget.

    Parameters
    ----------
    budget : RetryBudget
        The budget of the ingress.
    enabled : bool
        Whether hedging is enabled; off by default, because no measurement has shown
        a benefit.
    method : str
        Request method.
    idempotent : bool
        Whether the request may be executed more than once.
    request_attempt : int
        Value of the caller's ``Request-Attempt``, 1 when absent.
    age_ms : float
        How long the attempt has been outstanding, in milliseconds.
    hedge_after_ms : float
        High quantile of the pool's latency, in milliseconds.
    remaining_ms : float
        Milliseconds until the deadline.

    Returns
    -------
    HedgeReason
        The decision and its reason.
    """
    if not enabled:
        return HedgeReason.DISABLED
    if request_attempt >= 2:
        return HedgeReason.INNER_ATTEMPT
    if not idempotent or method not in HEDGED_METHODS:
        return HedgeReason.NOT_A_READ
    if age_ms < hedge_after_ms:
        return HedgeReason.NOT_SLOW
    if remaining_ms <= 0:
        return HedgeReason.PAST_DEADLINE
    if not _take_token(budget):
        return HedgeReason.NO_BUDGET
    return HedgeReason.SLOW


def _find_no_retry_reason(
    *,
    code: RefusalCode,
    outcome: Outcome,
    idempotent: bool,
    attempt: int,
    request_attempt: int,
) -> RetryReason | None:
    if code is RefusalCode.BACKEND_CRASHED:
        return RetryReason.CRASHED
    if code not in _ENDPOINT_REFUSALS or outcome is Outcome.RAN:
        return RetryReason.NOT_RETRYABLE
    if request_attempt >= 2:
        return RetryReason.INNER_ATTEMPT
    if attempt >= MAX_ATTEMPTS:
        return RetryReason.TOO_MANY_ATTEMPTS
    if outcome is Outcome.UNKNOWN and not idempotent:
        return RetryReason.NOT_IDEMPOTENT
    return None


def _take_token(budget: RetryBudget) -> bool:
    # The tolerance absorbs rounding: ten additions of 0.1 must allow one retry.
    if budget.available_retries < 1.0 - 1e-9:
        return False
    budget.available_retries = max(0.0, budget.available_retries - 1.0)
    budget.retries += 1
    return True
