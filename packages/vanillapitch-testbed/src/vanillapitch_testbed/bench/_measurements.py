"""Measurements and timelines of one scenario with one policy."""

import dataclasses
import math
from collections import Counter
from collections.abc import Sequence

from vanillapitch_testbed.bench._counters import Counters
from vanillapitch_testbed.bench._model import Measurement, Timeline
from vanillapitch_testbed.bench._scenarios import CRASH, Observations, Scenario
from vanillapitch_testbed.bench_processes.job import Sample
from vanillapitch_testbed.callers import percentile_ms

__all__ = ["ScenarioResult", "make_measurements", "make_ratios", "make_timelines"]

_PROBE_BUDGET_PERCENT = 1.0
_TIMELINE_STEP_S = 0.5
_QUANTILES_BY_NAME = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
_RATIO_NAMES = (*_QUANTILES_BY_NAME, "goodput")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ScenarioResult:
    """Raw result of one scenario with one policy.

    Attributes
    ----------
    samples : list of Sample
        Calls of all callers, those of the warm-up included.
    warm_up_s, measured_s : float
        Duration of the warm-up, and of the measurement after it.
    before, after : Counters
        Counters before the warm-up and after the load.
    slots : int
        Requests that a warm backend server handles at the same time.
    """

    scenario: Scenario
    samples: list[Sample]
    warm_up_s: float
    measured_s: float
    before: Counters
    after: Counters
    observations: Observations
    slots: int


def make_measurements(result: ScenarioResult, *, policy: str) -> list[Measurement]:
    """Compute the measurements of a scenario."""
    values = _latency_values(result) + _load_values(result)
    if result.scenario.name == CRASH:
        values += _crash_values(result.observations)
    return [
        Measurement(
            scenario=result.scenario.name,
            policy=policy,
            name=name,
            value=value,
            unit=unit,
        )
        for name, value, unit in values
    ]


def _latency_values(result: ScenarioResult) -> list[tuple[str, float | None, str]]:
    measured_samples = [s for s in result.samples if s.at_s >= result.warm_up_s]
    latencies_ms = sorted(
        sample.latency_ms for sample in measured_samples if not sample.reason
    )
    latencies_with_warm_up_ms = sorted(
        s.latency_ms for s in result.samples if not s.reason
    )
    lags_ms = sorted(sample.lag_ms for sample in measured_samples)
    reasons = Counter(sample.reason for sample in measured_samples if sample.reason)
    failed_in_warm_up = sum(
        bool(s.reason) for s in result.samples if s.at_s < result.warm_up_s
    )
    values = [
        (name, percentile_ms(latencies_ms, quantile) if latencies_ms else None, "ms")
        for name, quantile in _QUANTILES_BY_NAME.items()
    ]
    p99_with_warm_up_ms = (
        percentile_ms(latencies_with_warm_up_ms, 0.99)
        if latencies_with_warm_up_ms
        else None
    )
    values += [
        ("p99 with warm-up", p99_with_warm_up_ms, "ms"),
        ("calls", len(measured_samples), "calls"),
        ("goodput", len(latencies_ms) / result.measured_s, "calls/s"),
        ("calls without good answer", sum(reasons.values()), "calls"),
        ("calls without good answer in warm-up", failed_in_warm_up, "calls"),
    ]
    values += [
        (f"refused {reason}", count, "calls")
        for reason, count in sorted(reasons.items())
    ]
    values.append(("caller lag p99", percentile_ms(lags_ms, 0.99), "ms"))
    return values


def _load_values(result: ScenarioResult) -> list[tuple[str, float | None, str]]:
    before, after = result.before, result.after
    calls = after.calls - before.calls
    retries = after.retries - before.retries
    cold_failures = _count_cold_failures(before, after)
    return [
        ("most in flight", after.max_in_flight, "requests"),
        ("borne when warm", result.slots, "requests"),
        ("beyond what a cold server bears", cold_failures, "requests"),
        ("retries", 100.0 * retries / calls if calls else None, "% of calls"),
        ("probe load", _probe_load_percent(result), "% of slot time"),
        ("probe budget", _PROBE_BUDGET_PERCENT, "% of slot time"),
    ]


def _count_cold_failures(before: Counters, after: Counters) -> int:
    count = 0
    for name, failures in after.cold_failures.items():
        earlier = before.cold_failures.get(name, 0)
        # The counter of a restarted backend server starts from zero.
        count += failures - earlier if failures >= earlier else failures
    return count


def _probe_load_percent(result: ScenarioResult) -> float:
    """Return the highest share of slot time that any daemon used for probes.

    Only the duration of the scenario counts. This is stricter than the budget of the
    daemon, which accrues unused slot time for later probes.
    """
    elapsed_ms = (result.after.at_s - result.before.at_s) * 1_000
    slot_ms = elapsed_ms * result.slots
    used_ms = [
        after_ms - before_ms
        for before_ms, after_ms in zip(
            result.before.probe_ms, result.after.probe_ms, strict=True
        )
    ]
    return 100.0 * max(used_ms) / slot_ms


def _crash_values(observations: Observations) -> list[tuple[str, float, str]]:
    values = [("crashes of backend servers", observations.crashes, "crashes")]
    values += [
        (f"crashing request answered {code}", count, "calls")
        for code, count in sorted(observations.crash_results.items())
    ]
    return values


def make_ratios(
    measurements: Sequence[Measurement], *, reference: str
) -> list[Measurement]:
    """Compute latencies and goodput of the baselines as multiples of the reference.

    Parameters
    ----------
    measurements : sequence of Measurement
        Measurements of all policies.
    reference : str
        Policy that the other policies are compared with.

    Returns
    -------
    list of Measurement
        One for each compared measurement of a baseline; its value is None where a
        measurement is missing.
    """
    values = {
        (measurement.scenario, measurement.name): measurement.value
        for measurement in measurements
        if measurement.policy == reference
    }
    ratios = []
    for measurement in measurements:
        if measurement.policy == reference or measurement.name not in _RATIO_NAMES:
            continue
        reference_value = values.get((measurement.scenario, measurement.name))
        ratio = (
            measurement.value / reference_value
            if reference_value and measurement.value is not None
            else None
        )
        ratios.append(
            Measurement(
                scenario=measurement.scenario,
                policy=measurement.policy,
                name=f"{measurement.name} by that of {reference}",
                value=ratio,
                unit="times",
            )
        )
    return ratios


def make_timelines(result: ScenarioResult, *, policy: str) -> list[Timeline]:
    """Compute goodput and maximum latency for each time step of a scenario."""
    duration_s = result.warm_up_s + result.measured_s
    steps = math.ceil(duration_s / _TIMELINE_STEP_S)
    counts = [0] * steps
    max_latencies_ms = [0.0] * steps
    for sample in result.samples:
        if sample.reason:
            continue
        step = min(steps - 1, int(sample.at_s / _TIMELINE_STEP_S))
        counts[step] += 1
        max_latencies_ms[step] = max(max_latencies_ms[step], sample.latency_ms)
    times = [step * _TIMELINE_STEP_S for step in range(steps)]
    rates = [count / _TIMELINE_STEP_S for count in counts]
    points_by_name = {
        ("goodput", "calls/s"): list(zip(times, rates, strict=True)),
        ("greatest latency", "ms"): list(zip(times, max_latencies_ms, strict=True)),
    }
    return [
        Timeline(
            scenario=result.scenario.name,
            policy=policy,
            name=name,
            unit=unit,
            points=points,
        )
        for (name, unit), points in points_by_name.items()
    ]
