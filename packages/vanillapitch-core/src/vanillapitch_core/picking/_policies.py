"""Policies that choose among the usable endpoints."""

import dataclasses
import random
from collections.abc import Callable, Sequence

from vanillapitch_core import health
from vanillapitch_core.picking._estimate import (
    SLOW_FACTOR,
    baseline_latency_ms,
    estimate_failures,
    estimate_latency_ms,
    estimate_occupancy,
)
from vanillapitch_core.picking._state import (
    Endpoint,
    EndpointState,
    PickerState,
    Service,
)

__all__ = [
    "PickPolicy",
    "Selection",
    "choose_by_score",
    "choose_least_in_flight",
    "choose_random",
    "choose_round_robin",
]

# At 75% load, 3 candidates lead to a third fewer refusals than 2.
CANDIDATE_COUNT = 3
MAX_OUTSTANDING_BEFORE_ANSWER = 1

OCCUPANCY_WEIGHT = 3.0
FAILURE_WEIGHT = 10.0
OTHER_ZONE_COST = 0.1
OTHER_REGION_COST = 1.0

# One trial request in 400 picks keeps the share of a straggler well below the 1% of
# calls that p99 leaves out.
MAX_TRIAL_SPACING_PICKS = 400
MIN_TRIAL_SPACING_PICKS = 10
# A cold endpoint needs calls to warm up, and a new one to be measured, even while the
# other endpoints have free capacity.
COLD_TRIAL_SPACING_PICKS = 20
# With little traffic, trial requests are spaced by time instead of picks.
MAX_TRIAL_SPACING_MS = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Selection:
    """The endpoints to choose from.

    Attributes
    ----------
    picker : PickerState
        State of the picker.
    service : Service
        The service of the endpoints.
    subset : sequence of Endpoint
        The ingress's stable subset without excluded endpoints; may be empty.
    usable : sequence of Endpoint
        All usable endpoints without excluded ones; not empty.
    now_ms : float
        Current time in milliseconds.
    rng : random.Random
        Source of randomness.
    """

    picker: PickerState
    service: Service
    subset: Sequence[Endpoint]
    usable: Sequence[Endpoint]
    now_ms: float
    rng: random.Random


PickPolicy = Callable[[Selection], Endpoint]


def choose_random(selection: Selection) -> Endpoint:
    """Choose at random; a baseline for comparisons.

    Parameters
    ----------
    selection : Selection
        The endpoints to choose from.

    Returns
    -------
    Endpoint
        The choice.
    """
    return selection.rng.choice(selection.subset or selection.usable)


def choose_round_robin(selection: Selection) -> Endpoint:
    """Choose in rotation; a baseline for comparisons.

    Parameters
    ----------
    selection : Selection
        The endpoints to choose from.

    Returns
    -------
    Endpoint
        The choice.
    """
    endpoints = selection.subset or selection.usable
    return endpoints[selection.service.picks % len(endpoints)]


def choose_least_in_flight(selection: Selection) -> Endpoint:
    """Choose the endpoint with the fewest own calls; a baseline for comparisons.

    Parameters
    ----------
    selection : Selection
        The endpoints to choose from.

    Returns
    -------
    Endpoint
        The choice; random among equals.
    """
    endpoints = selection.subset or selection.usable
    fewest = min(len(endpoint.outstanding) for endpoint in endpoints)
    return selection.rng.choice(
        [endpoint for endpoint in endpoints if len(endpoint.outstanding) == fewest]
    )


def choose_by_score(selection: Selection) -> Endpoint:
    """Choose the best score among a few randomly sampled candidates.

    Sampling prevents ingresses with the same stale reports from all choosing the same
    endpoint.

    Parameters
    ----------
    selection : Selection
        The endpoints to choose from.

    Returns
    -------
    Endpoint
        The choice.
    """
    subset = selection.subset or selection.usable
    # The baseline includes excluded endpoints: on a retry, the only endpoint left may
    # be the straggler.
    baseline_ms = baseline_latency_ms(selection.service.endpoints_by_instance.values())
    trial = _find_trial(selection, subset, baseline_ms=baseline_ms)
    if trial is not None:
        return trial
    for endpoints in (subset, selection.usable):
        preferred = [
            endpoint for endpoint in endpoints if _is_preferred(endpoint, selection)
        ]
        if preferred:
            return _choose_best(selection, preferred, baseline_ms=baseline_ms)
    return _choose_fallback(selection, subset)


def _find_trial(
    selection: Selection, endpoints: Sequence[Endpoint], *, baseline_ms: float
) -> Endpoint | None:
    """Find an endpoint that is due for a trial request."""
    for endpoint in endpoints:
        if endpoint.outstanding or selection.now_ms < endpoint.backoff_until_ms:
            continue
        health_status = health.status(
            selection.service.health,
            instance=endpoint.instance,
            now_ms=selection.now_ms,
        )
        if health_status is health.HealthStatus.TRIAL_DUE:
            return endpoint
        if health_status is health.HealthStatus.IN_USE and _is_starved(
            endpoint, selection, baseline_ms=baseline_ms
        ):
            return endpoint
    return None


def _is_starved(
    endpoint: Endpoint, selection: Selection, *, baseline_ms: float
) -> bool:
    waited_picks = selection.service.picks - endpoint.last_pick_number
    if _needs_answers(endpoint) and waited_picks >= COLD_TRIAL_SPACING_PICKS:
        return True
    if endpoint.latency_ms <= SLOW_FACTOR * baseline_ms:
        return False
    if selection.now_ms - endpoint.last_pick_at_ms >= MAX_TRIAL_SPACING_MS:
        return True
    ratio = 1.0 if endpoint.recovering else endpoint.latency_ms / baseline_ms
    return waited_picks >= min(
        MAX_TRIAL_SPACING_PICKS, MIN_TRIAL_SPACING_PICKS * ratio**2
    )


def _needs_answers(endpoint: Endpoint) -> bool:
    report = endpoint.report
    if report is None or not endpoint.answered:
        return True
    return report.state is EndpointState.COLD


def _is_preferred(endpoint: Endpoint, selection: Selection) -> bool:
    if selection.now_ms < endpoint.backoff_until_ms:
        return False
    if (
        not endpoint.answered
        and len(endpoint.outstanding) >= MAX_OUTSTANDING_BEFORE_ANSWER
    ):
        return False
    health_status = health.status(
        selection.service.health, instance=endpoint.instance, now_ms=selection.now_ms
    )
    return health_status is health.HealthStatus.IN_USE


def _choose_best(
    selection: Selection, endpoints: list[Endpoint], *, baseline_ms: float
) -> Endpoint:
    size = min(len(endpoints), CANDIDATE_COUNT)
    candidates = selection.rng.sample(endpoints, size)
    return min(
        candidates,
        key=lambda endpoint: _score(endpoint, selection, baseline_ms=baseline_ms),
    )


def _score(endpoint: Endpoint, selection: Selection, *, baseline_ms: float) -> float:
    now_ms = selection.now_ms
    occupancy = estimate_occupancy(endpoint, selection.service, now_ms=now_ms)
    load = 1.0 + OCCUPANCY_WEIGHT * occupancy**2 + _distance(endpoint, selection)
    failures = 1.0 + FAILURE_WEIGHT * estimate_failures(endpoint, now_ms=now_ms)
    latency_ms = estimate_latency_ms(endpoint, now_ms=now_ms)
    slowness = 1.0
    if baseline_ms > 0.0 and latency_ms > SLOW_FACTOR * baseline_ms:
        slowness = (latency_ms / (SLOW_FACTOR * baseline_ms)) ** 2
    return load * failures * slowness


def _distance(endpoint: Endpoint, selection: Selection) -> float:
    if endpoint.region != selection.picker.region:
        return OTHER_REGION_COST
    return 0.0 if endpoint.zone == selection.picker.zone else OTHER_ZONE_COST


def _choose_fallback(selection: Selection, endpoints: Sequence[Endpoint]) -> Endpoint:
    """Choose among endpoints of which none is preferred; the owner may still admit."""

    def rank(endpoint: Endpoint) -> tuple[bool, float, int]:
        health_status = health.status(
            selection.service.health,
            instance=endpoint.instance,
            now_ms=selection.now_ms,
        )
        ejected = health_status is not health.HealthStatus.IN_USE
        backoff_ms = max(0.0, endpoint.backoff_until_ms - selection.now_ms)
        return (ejected, backoff_ms, len(endpoint.outstanding))

    return min(endpoints, key=rank)
