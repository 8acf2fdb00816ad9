"""Order of a service's endpoints for one request, from the owners' reports."""

import dataclasses
import random
from collections.abc import Iterable

from vanillapitch_relay.endpoint_speed import EndpointSpeed
from vanillapitch_relay.model import EndpointState

__all__ = ["USABLE_STATES", "Candidate", "order_candidates"]

USABLE_STATES = (EndpointState.READY, EndpointState.COLD, EndpointState.FAILING)
# Moving between availability zones costs about 1 ms and is paid per byte; a busier
# endpoint nearby is preferred up to this difference in cost.
OTHER_ZONE_COST = 0.25
# A body of 60 KB, the users' usual upload, costs a sixth of its worth between zones. It
# goes there only when the endpoints nearby are slow or full.
OTHER_ZONE_COST_PER_MB = 16.0
BYTES_PER_MB = 1_000_000
# An endpoint that fails half of its requests costs three times as much.
FAILURE_WEIGHT = 4.0
COLD_COST = 1.0
# Chosen only where no other endpoint is left. Health checks may be false, so requests
# that may be repeated try it again, one in `TRIAL_SHARE`.
FAILING_COST = 100.0
TRIAL_SHARE = 0.05
FULL_COST = 4.0
# Ties are broken at random, so that ingresses with the same reports spread.
JITTER = 0.05


@dataclasses.dataclass(slots=True, kw_only=True)
class Candidate:
    """An endpoint with what is known of it.

    Attributes
    ----------
    node : str
        Its owner.
    zone : str
        Its availability zone.
    state : EndpointState
        State in the last report.
    limit : int
        Requests that its owner admits at once; 0 while a cold endpoint has used up
        its rate.
    in_flight, waiting : int
        Requests that run and wait, according to the last report.
    sent_since_report : int
        Calls of this daemon that the report does not contain.
    speed_percent : int
        Speed in the last report.
    failure_percent : int
        Share of recent requests that failed.
    reported_at_ms : float
        When the report arrived.
    """

    node: str
    zone: str
    state: EndpointState
    limit: int
    in_flight: int
    waiting: int
    sent_since_report: int
    speed_percent: int
    failure_percent: int
    reported_at_ms: float


def order_candidates(
    candidates: Iterable[Candidate],
    *,
    zone: str,
    now_ms: float,
    rng: random.Random,
    may_try_failing: bool = False,
    body_bytes: int = 0,
) -> list[str]:
    """Order the usable endpoints, the best first.

    Parameters
    ----------
    candidates : iterable of Candidate
        Endpoints of the service.
    zone : str
        Availability zone of this daemon.
    now_ms : float
        Current time in milliseconds.
    rng : random.Random
        Source of randomness.
    may_try_failing : bool
        Whether the request may try an endpoint that failed the last ones.
    body_bytes : int
        Size of the request's body.

    Returns
    -------
    list of str
        Nodes of the owners.
    """
    other_zone_cost = OTHER_ZONE_COST + OTHER_ZONE_COST_PER_MB * (
        body_bytes / BYTES_PER_MB
    )
    costs = []
    for candidate in candidates:
        if candidate.state not in USABLE_STATES:
            continue
        cost = _cost(candidate, now_ms=now_ms)
        if candidate.zone != zone:
            cost += other_zone_cost
        if candidate.state is EndpointState.FAILING and may_try_failing:
            is_idle = candidate.in_flight + candidate.sent_since_report == 0
            if is_idle and rng.random() < TRIAL_SHARE:
                cost = 0.0
        costs.append((cost * (1.0 + JITTER * rng.random()), candidate.node))
    return [node for _, node in sorted(costs)]


def _cost(candidate: Candidate, *, now_ms: float) -> float:
    reported = EndpointSpeed(
        percent=candidate.speed_percent, measured_ms=candidate.reported_at_ms
    )
    speed = reported.estimate_percent(now_ms=now_ms) / 100.0
    load = candidate.in_flight + candidate.waiting + candidate.sent_since_report
    occupancy = load / candidate.limit if candidate.limit else 1.0 + load
    queueing = occupancy**2
    if occupancy >= 1.0:
        queueing += FULL_COST * (occupancy - 1.0) + 1.0
    cost = speed * (1.0 + queueing)
    cost *= 1.0 + FAILURE_WEIGHT * candidate.failure_percent / 100.0
    if candidate.state is EndpointState.COLD:
        cost += COLD_COST
    elif candidate.state is EndpointState.FAILING:
        cost += FAILING_COST
    return cost
