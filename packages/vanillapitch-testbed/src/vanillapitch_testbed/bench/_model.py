"""Model of the measurements file, in step with the reader of `vanillapitch report`."""

import msgspec

__all__ = ["Figure", "Report", "Target", "Timeline"]


class Figure(msgspec.Struct, kw_only=True, frozen=True):
    """One measured number of a scenario and policy."""

    scenario: str
    policy: str
    name: str
    value: float | None
    unit: str


class Target(msgspec.Struct, kw_only=True, frozen=True):
    """A target of the design page and what was measured.

    Attributes
    ----------
    limit : float
        Bound from the design page; never derived from a measurement.
    met : bool
        Whether the value is within the bound; false when it was not measured.
    """

    name: str
    limit: float
    value: float | None
    unit: str
    met: bool


class Timeline(msgspec.Struct, kw_only=True, frozen=True):
    """A measurement over time; the points are (seconds, value)."""

    scenario: str
    policy: str
    name: str
    unit: str
    points: list[tuple[float, float]]


class Report(msgspec.Struct, kw_only=True):
    """Content of the measurements file."""

    figures: list[Figure]
    targets: list[Target]
    timelines: list[Timeline]
