"""Ranking of a service's endpoints for one request, by the owners' reports."""

import dataclasses
import random
from collections.abc import Iterable

from vanillapitch_relay.endpoint_speed import EndpointSpeed
from vanillapitch_relay.model import EndpointState

__all__ = ["USABLE_STATES", "Candidate", "order_candidates"]

USABLE_STATES = (EndpointState.READY, EndpointState.COLD, EndpointState.FAILING)
# A request to another availability zone takes about 1 ms longer and is charged per
# byte, so a busier endpoint in the same zone is preferred up to this cost difference.
OTHER_ZONE_COST = 0.25
# Sending a body of 60 KB, the users' typical upload, between zones costs a sixth of the
# value of the request. It is sent to another zone only when the endpoints in its own
# zone are slow or full.
OTHER_ZONE_COST_PER_MB = 16.0
BYTES_PER_MB = 1_000_000
# An endpoint that fails half of its requests costs three times as much.
FAILURE_WEIGHT = 4.0
COLD_COST = 1.0
# A failing endpoint is chosen only if no other one is left. Since health checks may be
# wrong, `TRIAL_SHARE` of the idempotent requests is sent to it as a trial.
FAILING_COST = 100.0
TRIAL_SHARE = 0.05
FULL_COST = 4.0
# Ties are broken at random, so that ingresses with the same reports choose different
# endpoints.
JITTER = 0.05


@dataclasses.dataclass(slots=True, kw_only=True)
class Candidate:
    """An endpoint with its last reported state.

    Attributes
    ----------
    node : str
        Its owner.
    zone : str
        Its availability zone.
    state : EndpointState
        State in the last report.
    limit : int
        Maximum number of concurrent requests; 0 while a cold endpoint that executes
        nothing has used up its rate.
    in_flight, waiting : int
        Running and waiting requests in the last report.
    sent_since_report : int
        Calls of this daemon that the report does not contain.
    speed_percent : int
        Speed in the last report.
    failure_percent : int
        Share of recent requests that failed, in the last report.
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
        Whether the request may be sent to a failing endpoint as a trial.
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
