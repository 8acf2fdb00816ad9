"""Long randomised tests of a fleet of real processes, for ``make soak``."""

from vanillapitch_testbed.soak._run import SoakResult, run_soak

__all__ = ["SoakResult", "run_soak"]
