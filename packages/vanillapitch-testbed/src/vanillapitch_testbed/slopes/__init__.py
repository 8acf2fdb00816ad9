"""Measures how the resource usage of one daemon grows with its load.

A slope is a straight line fitted to the measurements at several loads.

Run ``python -m vanillapitch_testbed.slopes --out build/slopes.json``.
"""

from vanillapitch_testbed.slopes._fit import Point, Slope, fit
from vanillapitch_testbed.slopes._process import ResourceUsage, Sample, sample
from vanillapitch_testbed.slopes._simulated_members import SimulatedMembers

__all__ = [
    "Point",
    "ResourceUsage",
    "Sample",
    "SimulatedMembers",
    "Slope",
    "fit",
    "sample",
]
