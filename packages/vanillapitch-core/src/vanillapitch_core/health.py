"""Outlier ejection of endpoints, based on the results of requests.

Only results of requests eject and restore endpoints. The result of a health or load
probe may be outdated or wrong, so it only changes how many failed requests lead to an
ejection, or makes the next trial request earlier.
"""

import dataclasses
import enum

from vanillapitch_core.exceptions import check_invariant

__all__ = [
    "EndpointHealth",
    "HealthState",
    "HealthStatus",
    "add_endpoint",
    "count_ejected",
    "max_ejected",
    "record_probe",
    "record_request",
    "remove_endpoint",
    "start_trial",
    "status",
]

EJECT_AFTER_FAILURES = 5
# An endpoint that fails faster than it normally answers looks idle and attracts
# requests, so it is ejected after fewer failures.
EJECT_AFTER_FAST_FAILURES = 3
EJECT_AFTER_FAILURES_WITH_FAILED_PROBE = 2
EJECTION_MS = 1_000.0
MAX_EJECTION_MS = 30_000.0
# Wrong evidence must not empty a pool.
MAX_EJECTED_SHARE = 1 / 3
SUCCESSES_TO_RESTORE = 2
PROBE_EVIDENCE_MS = 10_000.0
# A trial request without a result, because its caller disconnected, must not block
# recovery.
TRIAL_TIMEOUT_MS = 2_000.0


class HealthStatus(enum.Enum):
    """Whether the picker may send requests to an endpoint."""

    IN_USE = "in_use"
    EJECTED = "ejected"
    TRIAL_DUE = "trial_due"


@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointHealth:
    """Recorded failures and ejection state of one endpoint.

    Attributes
    ----------
    failures : int
        Consecutive failed requests.
    fast_failures : int
        Consecutive failed requests that ended faster than a normal answer.
    ejected : bool
        Whether the endpoint is ejected.
    trial_at_ms : float
        Time from which an ejected endpoint may get a trial request.
    trial_successes : int
        Consecutive trial requests that succeeded.
    ejections : int
        Recent ejections; each doubles the time until the next trial.
    failed_probe_until_ms : float
        Time until which a failed probe lowers the number of failures needed.
    """

    failures: int = 0
    fast_failures: int = 0
    ejected: bool = False
    trial_at_ms: float = 0.0
    trial_successes: int = 0
    ejections: int = 0
    failed_probe_until_ms: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class HealthState:
    """Health of all endpoints of a service.

    Attributes
    ----------
    endpoints_by_instance : dict of str to EndpointHealth
        Health by instance name.
    """

    endpoints_by_instance: dict[str, EndpointHealth] = dataclasses.field(
        default_factory=dict
    )


def add_endpoint(state: HealthState, *, instance: str) -> None:
    """Add an endpoint without recorded failures; a known endpoint is left unchanged.

    Parameters
    ----------
    state : HealthState
        Health of the service.
    instance : str
        Instance name.
    """
    state.endpoints_by_instance.setdefault(instance, EndpointHealth())


def remove_endpoint(state: HealthState, *, instance: str) -> None:
    """Remove an endpoint and restore others if the ejected share became too large.

    Parameters
    ----------
    state : HealthState
        Health of the service.
    instance : str
        Instance name.
    """
    state.endpoints_by_instance.pop(instance, None)
    ejected = [
        health for health in state.endpoints_by_instance.values() if health.ejected
    ]
    ejected.sort(key=lambda health: health.trial_at_ms)
    surplus = len(ejected) - max_ejected(len(state.endpoints_by_instance))
    for health in ejected[: max(0, surplus)]:
        _restore(health)
    _check_share(state)


def status(state: HealthState, *, instance: str, now_ms: float) -> HealthStatus:
    """Return whether an endpoint may be used.

    Parameters
    ----------
    state : HealthState
        Health of the service.
    instance : str
        Instance name.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    HealthStatus
        `IN_USE` also for an unknown endpoint.
    """
    health = state.endpoints_by_instance.get(instance)
    if health is None or not health.ejected:
        return HealthStatus.IN_USE
    if now_ms >= health.trial_at_ms:
        return HealthStatus.TRIAL_DUE
    return HealthStatus.EJECTED


def start_trial(state: HealthState, *, instance: str, now_ms: float) -> None:
    """Record that an ejected endpoint gets a trial request, so that only one runs.

    Parameters
    ----------
    state : HealthState
        Health of the service.
    instance : str
        Instance name.
    now_ms : float
        Current time in milliseconds.
    """
    health = state.endpoints_by_instance.get(instance)
    if health is not None and health.ejected:
        health.trial_at_ms = now_ms + TRIAL_TIMEOUT_MS


def record_request(
    state: HealthState, *, instance: str, failed: bool, fast: bool, now_ms: float
) -> None:
    """Record the result of a request, which may eject or restore the endpoint.

    Parameters
    ----------
    state : HealthState
        Health of the service.
    instance : str
        Instance name; an unknown one is ignored.
    failed : bool
        Whether the request failed because of the endpoint.
    fast : bool
        Whether it ended faster than a normal answer.
    now_ms : float
        Current time in milliseconds.
    """
    health = state.endpoints_by_instance.get(instance)
    if health is None:
        return
    if failed:
        _record_failure(state, health, fast=fast, now_ms=now_ms)
    else:
        _record_success(health, now_ms=now_ms)
    _check_share(state)


def record_probe(
    state: HealthState, *, instance: str, healthy: bool, now_ms: float
) -> None:
    """Record the result of a health or load probe, which is weak evidence.

    Parameters
    ----------
    state : HealthState
        Health of the service.
    instance : str
        Instance name; an unknown one is ignored.
    healthy : bool
        Whether the backend server reported itself healthy.
    now_ms : float
        Current time in milliseconds.
    """
    health = state.endpoints_by_instance.get(instance)
    if health is None:
        return
    if not healthy:
        health.failed_probe_until_ms = now_ms + PROBE_EVIDENCE_MS
        return
    health.failed_probe_until_ms = 0.0
    if health.ejected:
        health.trial_at_ms = min(health.trial_at_ms, now_ms + EJECTION_MS)


def count_ejected(state: HealthState) -> int:
    """Count the ejected endpoints.

    Parameters
    ----------
    state : HealthState
        Health of the service.

    Returns
    -------
    int
        Number of ejected endpoints.
    """
    return sum(health.ejected for health in state.endpoints_by_instance.values())


def max_ejected(endpoints: int) -> int:
    """Return how many endpoints may be ejected at once.

    Parameters
    ----------
    endpoints : int
        Number of endpoints.

    Returns
    -------
    int
        A third of the endpoints, at least one of two or more, none of a single one.
    """
    if endpoints < 2:
        return 0
    return max(1, int(endpoints * MAX_EJECTED_SHARE))


def _record_failure(
    state: HealthState, health: EndpointHealth, *, fast: bool, now_ms: float
) -> None:
    health.failures += 1
    health.fast_failures = health.fast_failures + 1 if fast else 0
    if health.ejected:
        _eject(health, now_ms=now_ms)
        return
    if not _has_enough_evidence(health, now_ms=now_ms):
        return
    if count_ejected(state) < max_ejected(len(state.endpoints_by_instance)):
        _eject(health, now_ms=now_ms)


def _has_enough_evidence(health: EndpointHealth, *, now_ms: float) -> bool:
    if health.failures >= EJECT_AFTER_FAILURES:
        return True
    if health.fast_failures >= EJECT_AFTER_FAST_FAILURES:
        return True
    failed_probe = now_ms < health.failed_probe_until_ms
    return failed_probe and health.failures >= EJECT_AFTER_FAILURES_WITH_FAILED_PROBE


def _eject(health: EndpointHealth, *, now_ms: float) -> None:
    duration_ms = min(MAX_EJECTION_MS, EJECTION_MS * 2**health.ejections)
    health.ejected = True
    health.trial_successes = 0
    health.trial_at_ms = now_ms + duration_ms
    # The duration reaches its maximum at 2**5.
    health.ejections = min(5, health.ejections + 1)


def _record_success(health: EndpointHealth, *, now_ms: float) -> None:
    health.failures = 0
    health.fast_failures = 0
    if not health.ejected:
        return
    health.trial_successes += 1
    health.trial_at_ms = now_ms
    if health.trial_successes >= SUCCESSES_TO_RESTORE:
        _restore(health)


def _restore(health: EndpointHealth) -> None:
    health.ejected = False
    health.failures = 0
    health.fast_failures = 0
    health.trial_successes = 0
    health.ejections = max(0, health.ejections - 1)


def _check_share(state: HealthState) -> None:
    endpoints = len(state.endpoints_by_instance)
    check_invariant(
        count_ejected(state) <= max_ejected(endpoints),
        f"at most {max_ejected(endpoints)} of {endpoints} endpoints are ejected",
    )
