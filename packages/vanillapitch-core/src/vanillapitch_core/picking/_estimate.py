"""Estimates of an endpoint's latency, load and failure rate."""

from collections.abc import Iterable

from vanillapitch_core.picking._state import Endpoint, Service

__all__ = [
    "SLOW_FACTOR",
    "baseline_latency_ms",
    "estimate_failures",
    "estimate_latency_ms",
    "estimate_occupancy",
    "record_failure_sample",
    "record_latency_sample",
]

LATENCY_WEIGHT = 0.1
# An overdue call is stronger evidence than an answer; its effect ends with the call.
OVERDUE_WEIGHT = 0.3
# An endpoint that is classified as slow gets mostly trial requests, so each of its few
# answers has a higher weight.
TRIAL_WEIGHT = 0.5
# Differences in latency below this factor are treated as noise.
SLOW_FACTOR = 1.5
# One slow answer, such as that to a large upload, must not divert all requests: a
# sample of 10 times the estimate raises the estimate to 1.9 times.
MAX_SAMPLE_FACTOR = 10.0
FAILURE_WEIGHT = 0.2
FAILURE_HALF_LIFE_MS = 2_000.0
# The half-life of a report is the latency, because the requests that it counts end
# after one latency on average.
MIN_REPORT_HALF_LIFE_MS = 1.0


def record_latency_sample(
    endpoint: Endpoint, *, latency_ms: float, baseline_ms: float
) -> None:
    """Add the latency of an answer to the moving average.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint that answered.
    latency_ms : float
        The latency.
    baseline_ms : float
        Typical latency of the service; 0 if unknown.
    """
    if endpoint.latency_ms == 0.0:
        endpoint.latency_ms = max(latency_ms, 1e-3)
        return
    sample_ms = min(latency_ms, endpoint.latency_ms * MAX_SAMPLE_FACTOR)
    is_slow = endpoint.latency_ms > SLOW_FACTOR * baseline_ms
    endpoint.recovering = is_slow and latency_ms <= SLOW_FACTOR * baseline_ms
    is_significant = sample_ms < endpoint.latency_ms or sample_ms > 3 * baseline_ms
    weight = TRIAL_WEIGHT if is_slow and is_significant else LATENCY_WEIGHT
    endpoint.latency_ms += weight * (sample_ms - endpoint.latency_ms)


def estimate_latency_ms(endpoint: Endpoint, *, now_ms: float) -> float:
    """Estimate the latency, counting outstanding calls that are overdue.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    float
        Milliseconds; 0 before the first answer.
    """
    estimate_ms = endpoint.latency_ms
    if estimate_ms == 0.0:
        return 0.0
    for started_at_ms in endpoint.outstanding.values():
        age_ms = now_ms - started_at_ms
        if age_ms <= estimate_ms:
            break
        sample_ms = min(age_ms, estimate_ms * MAX_SAMPLE_FACTOR)
        estimate_ms += OVERDUE_WEIGHT * (sample_ms - estimate_ms)
    return estimate_ms


def baseline_latency_ms(endpoints: Iterable[Endpoint]) -> float:
    """Return the typical latency: the lower median of the known latencies.

    Parameters
    ----------
    endpoints : iterable of Endpoint
        Endpoints of a pool.

    Returns
    -------
    float
        Milliseconds; 0 if no latency is known.
    """
    latencies_ms = sorted(
        endpoint.latency_ms for endpoint in endpoints if endpoint.latency_ms > 0.0
    )
    return latencies_ms[(len(latencies_ms) - 1) // 2] if latencies_ms else 0.0


def estimate_occupancy(endpoint: Endpoint, service: Service, *, now_ms: float) -> float:
    """Estimate the load as a share of the limit, including one more call.

    The additional call matters for a cold endpoint, whose limit may be 1.

    As a report ages, its count of requests from other ingresses is gradually replaced
    by an estimate: the own calls times the average number of other requests per own
    call.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    service : Service
        The service of the endpoint.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    float
        More than 1 if the endpoint is full.
    """
    own = len(endpoint.outstanding)
    report = endpoint.report
    if report is None:
        return float(own + 1)
    age_ms = max(0.0, now_ms - endpoint.report_at_ms)
    half_life_ms = max(MIN_REPORT_HALF_LIFE_MS, endpoint.latency_ms)
    report_weight = 0.5 ** (age_ms / half_life_ms)
    expected_others = (
        own * service.mean_others_in_flight / max(0.5, service.mean_own_in_flight)
    )
    others = (
        report_weight * endpoint.others_in_flight
        + (1.0 - report_weight) * expected_others
    )
    return (own + others + 1.0) / max(1, report.limit)


def record_failure_sample(endpoint: Endpoint, *, failed: bool, now_ms: float) -> None:
    """Add a result to the moving average of failures.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    failed : bool
        Whether the call failed.
    now_ms : float
        Current time in milliseconds.
    """
    share = estimate_failures(endpoint, now_ms=now_ms)
    endpoint.failure_share = share + FAILURE_WEIGHT * (float(failed) - share)
    endpoint.failure_at_ms = now_ms


def estimate_failures(endpoint: Endpoint, *, now_ms: float) -> float:
    """Estimate the share of calls that fail.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    float
        From 0 to 1; decays with the time since the last result.
    """
    if endpoint.failure_share == 0.0:
        return 0.0
    age_ms = max(0.0, now_ms - endpoint.failure_at_ms)
    return endpoint.failure_share * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)
