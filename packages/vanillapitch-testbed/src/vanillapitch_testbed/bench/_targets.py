"""Targets of the design page, compared with the figures."""

from collections.abc import Callable, Sequence

from vanillapitch_testbed.bench._added import SEVERAL_CALLERS
from vanillapitch_testbed.bench._model import Figure, Target
from vanillapitch_testbed.bench._scenarios import (
    CAPACITY_PER_S,
    COLD,
    FULL,
    STEADY,
    STRAGGLER,
)

__all__ = ["judge"]

ADDED_P99_MS = 1.0
STRAGGLER_RATIO = 1.5
FULL_GOODPUT_PERCENT = 95.0
RETRIES_PERCENT = 10.0
PROBES_PERCENT = 1.0

_Lookup = Callable[[str, str], float | None]


def judge(figures: Sequence[Figure], *, policy: str) -> list[Target]:
    """Compare the figures of a policy with the targets; None is not met."""
    values = {
        (figure.scenario, figure.name): figure.value
        for figure in figures
        if figure.policy == policy
    }

    def lookup(scenario: str, name: str) -> float | None:
        return values.get((scenario, name))

    targets = _latency_targets(lookup) + _cold_targets(lookup)
    goodput = lookup(FULL, "goodput")
    share = None if goodput is None else 100.0 * goodput / CAPACITY_PER_S
    targets.append(
        _at_least(
            "goodput at twice capacity", FULL_GOODPUT_PERCENT, share, "% of capacity"
        )
    )
    for name, limit, unit in (
        ("retries", RETRIES_PERCENT, "% of calls"),
        ("probe load", PROBES_PERCENT, "% of slot time"),
    ):
        found = [
            value
            for key, value in values.items()
            if key[1] == name and value is not None
        ]
        label = f"{name}, greatest of all scenarios"
        targets.append(_at_most(label, limit, max(found, default=None), unit))
    return targets


def _latency_targets(lookup: _Lookup) -> list[Target]:
    targets = []
    for callers in ("1 caller", f"{SEVERAL_CALLERS} callers"):
        name = f"added p99, {callers}"
        targets.append(_at_most(name, ADDED_P99_MS, lookup(STEADY, name), "ms"))
    without_ms, with_ms = lookup(STEADY, "p99"), lookup(STRAGGLER, "p99")
    ratio = with_ms / without_ms if without_ms and with_ms else None
    name = "p99 with one straggler by p99 without"
    targets.append(_at_most(name, STRAGGLER_RATIO, ratio, "times"))
    return targets


def _cold_targets(lookup: _Lookup) -> list[Target]:
    return [
        _at_most(
            "requests beyond what a server that is cold again bears",
            0.0,
            lookup(COLD, "beyond what a cold server bears"),
            "requests",
        ),
        _at_most(
            "calls without good answer with one server cold again",
            0.0,
            lookup(COLD, "calls without good answer"),
            "calls",
        ),
    ]


def _at_most(name: str, limit: float, value: float | None, unit: str) -> Target:
    met = value is not None and value <= limit
    return Target(name=name, limit=limit, value=value, unit=unit, met=met)


def _at_least(name: str, limit: float, value: float | None, unit: str) -> Target:
    met = value is not None and value >= limit
    return Target(name=name, limit=limit, value=value, unit=unit, met=met)
