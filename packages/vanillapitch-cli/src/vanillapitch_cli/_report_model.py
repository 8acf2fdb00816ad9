"""Model of the measurements file that ``make bench`` writes."""

from typing import Annotated

import msgspec

from vanillapitch_cli._documents import read_text
from vanillapitch_cli.exceptions import BadInputError

__all__ = ["Measurement", "Measurements", "Target", "Timeline", "read_measurements"]

Text = Annotated[str, msgspec.Meta(max_length=200)]


class Measurement(msgspec.Struct, kw_only=True, frozen=True):
    """One measured value.

    Attributes
    ----------
    scenario : str
        Scenario that was executed.
    policy : str
        Variant of the scenario.
    name : str
        What was measured.
    value : float or None
        The value; None if it could not be measured.
    unit : str
        Unit of the value.
    """

    scenario: Text
    policy: Text
    name: Text
    value: float | None
    unit: Text


class Target(msgspec.Struct, kw_only=True, frozen=True):
    """A target and its measured value.

    Attributes
    ----------
    name : str
        What was measured.
    limit : float
        Bound of the target.
    value : float or None
        The value; None if it could not be measured.
    unit : str
        Unit of both.
    met : bool
        Whether the value is within the bound.
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
        As in `Measurement`.
    points : tuple of (float, float)
        Seconds since the start of the scenario, and the value.
    """

    scenario: Text
    policy: Text
    name: Text
    unit: Text
    points: Annotated[tuple[tuple[float, float], ...], msgspec.Meta(max_length=20_000)]


class Measurements(msgspec.Struct, kw_only=True, frozen=True):
    """Content of a measurements file; fields that the report does not show are ignored.

    Attributes
    ----------
    figures : tuple of Measurement
        Measured values.
    targets : tuple of Target
        Targets with their results.
    timelines : tuple of Timeline
        Measurements over time.
    """

    figures: Annotated[tuple[Measurement, ...], msgspec.Meta(max_length=5_000)]
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
