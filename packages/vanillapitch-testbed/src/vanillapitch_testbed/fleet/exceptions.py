"""Errors of the fleet launcher."""

from vanillapitch_core import VanillapitchError

__all__ = ["FleetError"]


class FleetError(VanillapitchError):
    """A process failed or did not respond in time, or refused an operation."""

    code = "fleet_failed"
