"""Counts and latency percentiles of calls."""

import collections
import dataclasses
import math

from vanillapitch_testbed.callers._call import Call

__all__ = ["ServiceSummary", "percentile_ms", "summarize"]


@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceSummary:
    """Calls of one service; the percentiles cover backend servers' responses only."""

    service: str
    calls: int
    responses: int
    failed_responses: int
    refusals_by_code: dict[str, int]
    p50_ms: float
    p99_ms: float
    p999_ms: float


def percentile_ms(latencies_ms: list[float], share: float) -> float:
    """Return the lowest latency that `share` of the sorted latencies do not exceed."""
    if not latencies_ms:
        return 0.0
    index = math.ceil(share * len(latencies_ms)) - 1
    return latencies_ms[max(0, index)]


def summarize(calls: list[Call]) -> list[ServiceSummary]:
    """Summarize the calls of each service, sorted by service name."""
    calls_by_service: dict[str, list[Call]] = {}
    for call in calls:
        calls_by_service.setdefault(call.service, []).append(call)
    return [
        _summarize_service(service, calls_by_service[service])
        for service in sorted(calls_by_service)
    ]


def _summarize_service(service: str, calls: list[Call]) -> ServiceSummary:
    answered = [call for call in calls if call.answered]
    latencies_ms = sorted(call.latency_ms for call in answered)
    codes = collections.Counter(call.code for call in calls if call.code)
    return ServiceSummary(
        service=service,
        calls=len(calls),
        responses=len(answered),
        failed_responses=sum(call.status >= 400 for call in answered),
        refusals_by_code=dict(codes),
        p50_ms=percentile_ms(latencies_ms, 0.5),
        p99_ms=percentile_ms(latencies_ms, 0.99),
        p999_ms=percentile_ms(latencies_ms, 0.999),
    )
