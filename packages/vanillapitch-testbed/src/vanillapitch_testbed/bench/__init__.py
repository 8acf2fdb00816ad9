"""Benchmark of the picking policy against simple baselines, for ``make bench``."""

from vanillapitch_testbed.bench._model import Figure, Report, Target, Timeline
from vanillapitch_testbed.bench._run import BenchOptions, run_bench
from vanillapitch_testbed.bench._scenarios import SCENARIOS, Scenario

__all__ = [
    "SCENARIOS",
    "BenchOptions",
    "Figure",
    "Report",
    "Scenario",
    "Target",
    "Timeline",
    "run_bench",
]
