"""Comparison of the measurements with the targets of the design page."""

from collections.abc import Callable, Sequence

from vanillapitch_testbed.bench._added_latency import SEVERAL_CALLERS
from vanillapitch_testbed.bench._model import Measurement, Target
from vanillapitch_testbed.bench._scenarios import (
    CAPACITY_PER_S,
    COLD,
    OVERLOAD,
    STEADY,
    STRAGGLER,
)

__all__ = ["evaluate_targets"]

MAX_ADDED_P99_MS = 1.0
MAX_STRAGGLER_RATIO = 1.5
MIN_OVERLOAD_GOODPUT_PERCENT = 95.0
MAX_RETRIES_PERCENT = 10.0
MAX_PROBES_PERCENT = 1.0

_Lookup = Callable[[str, str], float | None]


def evaluate_targets(
    measurements: Sequence[Measurement], *, policy: str
) -> list[Target]:
    """Compare the measurements of a policy with the targets.

    A target whose value was not measured counts as missed.
    """
    values = {
        (measurement.scenario, measurement.name): measurement.value
        for measurement in measurements
        if measurement.policy == policy
    }

    def lookup(scenario: str, name: str) -> float | None:
        return values.get((scenario, name))

    targets = _latency_targets(lookup) + _cold_targets(lookup)
    goodput = lookup(OVERLOAD, "goodput")
    goodput_percent = None if goodput is None else 100.0 * goodput / CAPACITY_PER_S
    targets.append(
        _target_at_least(
            "goodput at twice capacity",
            MIN_OVERLOAD_GOODPUT_PERCENT,
            goodput_percent,
            "% of capacity",
        )
    )
    for name, limit, unit in (
        ("retries", MAX_RETRIES_PERCENT, "% of calls"),
        ("probe load", MAX_PROBES_PERCENT, "% of slot time"),
    ):
        measured_values = [
            value
            for key, value in values.items()
            if key[1] == name and value is not None
        ]
        label = f"{name}, greatest of all scenarios"
        targets.append(
            _target_at_most(label, limit, max(measured_values, default=None), unit)
        )
    return targets


def _latency_targets(lookup: _Lookup) -> list[Target]:
    targets = []
    for callers in ("1 caller", f"{SEVERAL_CALLERS} callers"):
        name = f"added p99, {callers}"
        targets.append(
            _target_at_most(name, MAX_ADDED_P99_MS, lookup(STEADY, name), "ms")
        )
    steady_p99_ms, straggler_p99_ms = lookup(STEADY, "p99"), lookup(STRAGGLER, "p99")
    ratio = (
        straggler_p99_ms / steady_p99_ms if steady_p99_ms and straggler_p99_ms else None
    )
    name = "p99 with one straggler by p99 without"
    targets.append(_target_at_most(name, MAX_STRAGGLER_RATIO, ratio, "times"))
    return targets


def _cold_targets(lookup: _Lookup) -> list[Target]:
    return [
        _target_at_most(
            "requests beyond what a server that is cold again bears",
            0.0,
            lookup(COLD, "beyond what a cold server bears"),
            "requests",
        ),
        _target_at_most(
            "calls without good answer with one server cold again",
            0.0,
            lookup(COLD, "calls without good answer"),
            "calls",
        ),
    ]


def _target_at_most(name: str, limit: float, value: float | None, unit: str) -> Target:
    met = value is not None and value <= limit
    return Target(name=name, limit=limit, value=value, unit=unit, met=met)


def _target_at_least(name: str, limit: float, value: float | None, unit: str) -> Target:
    met = value is not None and value >= limit
    return Target(name=name, limit=limit, value=value, unit=unit, met=met)
