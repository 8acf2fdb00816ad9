"""Model of the measurements file.

It must stay compatible with the reader of ``vanillapitch report``.
"""

import msgspec

__all__ = ["Measurement", "Report", "Target", "Timeline"]


class Measurement(msgspec.Struct, kw_only=True, frozen=True):
    """One measured value of a scenario with a policy.

    Attributes
    ----------
    value : float or None
        The value; None if it could not be measured.
    """

    scenario: str
    policy: str
    name: str
    value: float | None
    unit: str


class Target(msgspec.Struct, kw_only=True, frozen=True):
    """A target of the design page and its measured value.

    Attributes
    ----------
    limit : float
        Bound from the design page; never derived from a measurement.
    met : bool
        Whether the value is within the bound; False if it was not measured.
    """

    name: str
    limit: float
    value: float | None
    unit: str
    met: bool


class Timeline(msgspec.Struct, kw_only=True, frozen=True):
    """A measurement over time.

    Attributes
    ----------
    points : list of tuple of float
        Seconds since the start of the load, and the value.
    """

    scenario: str
    policy: str
    name: str
    unit: str
    points: list[tuple[float, float]]


class Report(msgspec.Struct, kw_only=True):
    """Content of the measurements file."""

    figures: list[Measurement]
    targets: list[Target]
    timelines: list[Timeline]
