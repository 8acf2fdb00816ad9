"""Errors of the fleet launcher."""

from vanillapitch_core import VanillapitchError

__all__ = ["FleetError"]


class FleetError(VanillapitchError):
    """A process did not start, become ready or answer in time."""

    code = "fleet_failed"
