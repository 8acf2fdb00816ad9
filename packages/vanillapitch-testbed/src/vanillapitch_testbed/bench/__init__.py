"""Benchmark of the picking policy against simple baselines (``make bench``)."""

from vanillapitch_testbed.bench._model import Measurement, Report, Target, Timeline
from vanillapitch_testbed.bench._run import BenchOptions, run_bench
from vanillapitch_testbed.bench._scenarios import SCENARIOS, Scenario

__all__ = [
    "SCENARIOS",
    "BenchOptions",
    "Measurement",
    "Report",
    "Scenario",
    "Target",
    "Timeline",
    "run_bench",
]
