"""Randomized soak of the deployment's programs on stand-ins of the platform.

Faults come from outside the programs: signals, a loopback proxy, the store and the
endpoints. Promises are checked from what callers and endpoints saw.
"""

from vanillapitch_testbed.platform_soak._run import SoakReport, run_soak

__all__ = ["SoakReport", "run_soak"]
