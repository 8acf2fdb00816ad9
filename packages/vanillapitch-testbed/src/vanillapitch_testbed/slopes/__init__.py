"""Measured slopes: what one daemon spends against the size of its load.

Run ``python -m vanillapitch_testbed.slopes --out build/slopes.json``.
"""

from vanillapitch_testbed.slopes._figures import Point, Slope, fit
from vanillapitch_testbed.slopes._process import Sample, Spent, sample
from vanillapitch_testbed.slopes._stand_in import MemberStandIn

__all__ = ["MemberStandIn", "Point", "Sample", "Slope", "Spent", "fit", "sample"]
