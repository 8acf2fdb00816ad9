"""Figures and timelines of one scenario with one policy."""

import dataclasses
import math
from collections import Counter
from collections.abc import Sequence

from vanillapitch_testbed.bench._counters import Counters
from vanillapitch_testbed.bench._model import Figure, Timeline
from vanillapitch_testbed.bench._scenarios import CRASH, Observations, Scenario
from vanillapitch_testbed.bench_processes.job import Sample
from vanillapitch_testbed.callers import percentile_ms

__all__ = ["Measured", "make_figures", "make_ratios", "make_timelines"]

_PROBE_BUDGET_PERCENT = 1.0
_TIMELINE_STEP_S = 0.5
_SHARES_BY_NAME = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
_COMPARED_NAMES = (*_SHARES_BY_NAME, "goodput")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measured:
    """Raw result of one scenario with one policy.

    Attributes
    ----------
    before, after : Counters
        Counters before the warm-up and after the load.
    """

    scenario: Scenario
    samples: list[Sample]
    warm_up_s: float
    measured_s: float
    before: Counters
    after: Counters
    observations: Observations
    slots: int


def make_figures(measured: Measured, *, policy: str) -> list[Figure]:
    """Compute the figures of a scenario."""
    values = _latency_values(measured) + _load_values(measured)
    if measured.scenario.name == CRASH:
        values += _crash_values(measured.observations)
    return [
        Figure(
            scenario=measured.scenario.name,
            policy=policy,
            name=name,
            value=value,
            unit=unit,
        )
        for name, value, unit in values
    ]


def _latency_values(measured: Measured) -> list[tuple[str, float | None, str]]:
    used = [s for s in measured.samples if s.at_s >= measured.warm_up_s]
    good = sorted(sample.latency_ms for sample in used if not sample.reason)
    good_with_start = sorted(s.latency_ms for s in measured.samples if not s.reason)
    lags = sorted(sample.lag_ms for sample in used)
    reasons = Counter(sample.reason for sample in used if sample.reason)
    refused_in_warm_up = sum(
        bool(s.reason) for s in measured.samples if s.at_s < measured.warm_up_s
    )
    values = [
        (name, percentile_ms(good, share) if good else None, "ms")
        for name, share in _SHARES_BY_NAME.items()
    ]
    with_start_ms = percentile_ms(good_with_start, 0.99) if good_with_start else None
    values += [
        ("p99 with warm-up", with_start_ms, "ms"),
        ("calls", len(used), "calls"),
        ("goodput", len(good) / measured.measured_s, "calls/s"),
        ("calls without good answer", sum(reasons.values()), "calls"),
        ("calls without good answer in warm-up", refused_in_warm_up, "calls"),
    ]
    values += [
        (f"refused {reason}", count, "calls")
        for reason, count in sorted(reasons.items())
    ]
    values.append(("caller lag p99", percentile_ms(lags, 0.99), "ms"))
    return values


def _load_values(measured: Measured) -> list[tuple[str, float | None, str]]:
    before, after = measured.before, measured.after
    calls = after.calls - before.calls
    retries = after.retries - before.retries
    cold_failures = _count_cold_failures(before, after)
    return [
        ("most in flight", after.max_in_flight, "requests"),
        ("borne when warm", measured.slots, "requests"),
        ("beyond what a cold server bears", cold_failures, "requests"),
        ("retries", 100.0 * retries / calls if calls else None, "% of calls"),
        ("probe load", _probe_load_percent(measured), "% of slot time"),
        ("probe budget", _PROBE_BUDGET_PERCENT, "% of slot time"),
    ]


def _count_cold_failures(before: Counters, after: Counters) -> int:
    count = 0
    for name, failures in after.cold_failures.items():
        known = before.cold_failures.get(name, 0)
        # A backend server that was started again counts from zero.
        count += failures - known if failures >= known else failures
    return count


def _probe_load_percent(measured: Measured) -> float:
    """Return the highest share of slot time that a daemon used for probes.

    The share is that of the scenario alone, which is stricter than the budget: the
    budget lets a daemon use later what it has saved.
    """
    elapsed_ms = (measured.after.at_s - measured.before.at_s) * 1_000
    slot_ms = elapsed_ms * measured.slots
    used_ms = [
        after_ms - before_ms
        for before_ms, after_ms in zip(
            measured.before.probe_ms, measured.after.probe_ms, strict=True
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


def make_ratios(figures: Sequence[Figure], *, reference: str) -> list[Figure]:
    """Compute the latencies and goodput of the baselines as multiples of `reference`.

    Parameters
    ----------
    figures : sequence of Figure
        Figures of all policies.
    reference : str
        Policy that the others are compared with.
    """
    values = {
        (figure.scenario, figure.name): figure.value
        for figure in figures
        if figure.policy == reference
    }
    ratios = []
    for figure in figures:
        if figure.policy == reference or figure.name not in _COMPARED_NAMES:
            continue
        base = values.get((figure.scenario, figure.name))
        ratio = figure.value / base if base and figure.value is not None else None
        ratios.append(
            Figure(
                scenario=figure.scenario,
                policy=figure.policy,
                name=f"{figure.name} by that of {reference}",
                value=ratio,
                unit="times",
            )
        )
    return ratios


def make_timelines(measured: Measured, *, policy: str) -> list[Timeline]:
    """Compute goodput and the greatest latency over the time of a scenario."""
    duration_s = measured.warm_up_s + measured.measured_s
    steps = math.ceil(duration_s / _TIMELINE_STEP_S)
    counts = [0] * steps
    worst_ms = [0.0] * steps
    for sample in measured.samples:
        if sample.reason:
            continue
        step = min(steps - 1, int(sample.at_s / _TIMELINE_STEP_S))
        counts[step] += 1
        worst_ms[step] = max(worst_ms[step], sample.latency_ms)
    times = [step * _TIMELINE_STEP_S for step in range(steps)]
    rates = [count / _TIMELINE_STEP_S for count in counts]
    points_by_name = {
        ("goodput", "calls/s"): list(zip(times, rates, strict=True)),
        ("greatest latency", "ms"): list(zip(times, worst_ms, strict=True)),
    }
    return [
        Timeline(
            scenario=measured.scenario.name,
            policy=policy,
            name=name,
            unit=unit,
            points=points,
        )
        for (name, unit), points in points_by_name.items()
    ]
