"""Model of the measurements file that ``make bench`` writes."""

from typing import Annotated

import msgspec

from vanillapitch_cli._documents import read_text
from vanillapitch_cli.exceptions import BadInputError

__all__ = ["Figure", "Measurements", "Target", "Timeline", "read_measurements"]

Text = Annotated[str, msgspec.Meta(max_length=200)]


class Figure(msgspec.Struct, kw_only=True, frozen=True):
    """One measured number.

    Attributes
    ----------
    scenario : str
        What was run.
    policy : str
        Variant that was run.
    name : str
        What was measured.
    value : float or None
        The number; None when it could not be measured.
    unit : str
        Its unit.
    """

    scenario: Text
    policy: Text
    name: Text
    value: float | None
    unit: Text


class Target(msgspec.Struct, kw_only=True, frozen=True):
    """A target and what was measured.

    Attributes
    ----------
    name : str
        What was measured.
    limit : float
        Bound of the target.
    value : float or None
        The number; None when it could not be measured.
    unit : str
        Unit of both.
    met : bool
        Whether the number is within the bound.
    """

    name: Text
    limit: float
    value: float | None
    unit: Text
    met: bool


class Timeline(msgspec.Struct, kw_only=True, frozen=True):
    """A measurement over time.

    Attributes
    ----------
    scenario, policy, name, unit : str
        As for a figure.
    points : tuple of (float, float)
        Seconds since the start of the run, and the value.
    """

    scenario: Text
    policy: Text
    name: Text
    unit: Text
    points: Annotated[tuple[tuple[float, float], ...], msgspec.Meta(max_length=20_000)]


class Measurements(msgspec.Struct, kw_only=True, frozen=True):
    """The whole file; fields that a report does not show are ignored.

    Attributes
    ----------
    figures : tuple of Figure
        Measured numbers.
    targets : tuple of Target
        Targets, met or missed.
    timelines : tuple of Timeline
        Measurements over time.
    """

    figures: Annotated[tuple[Figure, ...], msgspec.Meta(max_length=5_000)]
    targets: Annotated[tuple[Target, ...], msgspec.Meta(max_length=500)] = ()
    timelines: Annotated[tuple[Timeline, ...], msgspec.Meta(max_length=500)] = ()


def read_measurements(file: str) -> Measurements:
    """Read a measurements file.

    Parameters
    ----------
    file : str
        Path, or ``-`` for standard input.

    Returns
    -------
    Measurements
        The validated content.

    Raises
    ------
    BadInputError
        If the file cannot be read or a field is invalid.
    """
    try:
        return msgspec.json.decode(read_text(file), type=Measurements)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        reason, _, path = str(error).partition(" - at `")
        raise BadInputError(f"{path.rstrip('`') or '$'}: {reason}") from error
