"""Points, slopes by least squares, and figures with their units."""

import statistics
from collections.abc import Sequence

import msgspec

__all__ = ["Point", "Slope", "fit"]


class Point(msgspec.Struct, kw_only=True, frozen=True):
    """What one load showed.

    Attributes
    ----------
    x : float
        Size of the load.
    values_by_figure : dict of str to float
        Measured values; the name of a figure ends with its unit.
    """

    x: float
    values_by_figure: dict[str, float]


class Slope(msgspec.Struct, kw_only=True, frozen=True):
    """A straight line through the points of a figure.

    Attributes
    ----------
    name : str
        Name of the measurement and the figure; the figure ends with its unit.
    per : str
        Unit of the load.
    slope, intercept : float
        Change of the figure per unit of load, and its value without load.
    r_squared : float
        Share of the variance that the line explains.
    range_low, range_high : float
        Smallest and largest load measured.
    points : list of list of float
        Pairs of load and value.
    """

    name: str
    per: str
    slope: float
    intercept: float
    r_squared: float
    range_low: float
    range_high: float
    points: list[list[float]]

    def at(self, x: float) -> float:
        """Return the value of the line at a load."""
        return self.intercept + self.slope * x


def fit(*, name: str, per: str, points: Sequence[Point]) -> list[Slope]:
    """Fit a line to each figure of a measurement.

    Parameters
    ----------
    name : str
        Name of the measurement.
    per : str
        Unit of the load.
    points : sequence of Point
        The loads; a figure needs at least two of them.

    Returns
    -------
    list of Slope
        One for each figure.
    """
    figures = {figure: None for point in points for figure in point.values_by_figure}
    return [
        _fit_figure(
            name,
            per,
            figure,
            [point for point in points if figure in point.values_by_figure],
        )
        for figure in figures
    ]


def _fit_figure(name: str, per: str, figure: str, points: Sequence[Point]) -> Slope:
    loads = [point.x for point in points]
    values = [point.values_by_figure[figure] for point in points]
    line = statistics.linear_regression(loads, values)
    mean = statistics.fmean(values)
    total = sum((value - mean) ** 2 for value in values)
    rest = sum(
        (value - line.intercept - line.slope * load) ** 2
        for load, value in zip(loads, values, strict=True)
    )
    return Slope(
        name=f"{name}.{figure}",
        per=per,
        slope=line.slope,
        intercept=line.intercept,
        r_squared=1.0 if total == 0 else 1.0 - rest / total,
        range_low=min(loads),
        range_high=max(loads),
        points=[list(pair) for pair in zip(loads, values, strict=True)],
    )
