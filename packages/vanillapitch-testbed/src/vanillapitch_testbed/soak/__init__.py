"""Long randomised runs of a real fleet under faults, for ``make soak``."""

from vanillapitch_testbed.soak._run import SoakResult, run_soak

__all__ = ["SoakResult", "run_soak"]
