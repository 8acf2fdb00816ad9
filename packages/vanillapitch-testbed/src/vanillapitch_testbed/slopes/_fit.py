"""Measured points and the lines fitted to them by least squares."""

import statistics
from collections.abc import Sequence

import msgspec

__all__ = ["Point", "Slope", "fit"]


class Point(msgspec.Struct, kw_only=True, frozen=True):
    """Values measured at one load.

    Attributes
    ----------
    x : float
        Size of the load.
    values_by_figure : dict of str to float
        Measured values by name of the metric, which ends with its unit.
    """

    x: float
    values_by_figure: dict[str, float]


class Slope(msgspec.Struct, kw_only=True, frozen=True):
    """A straight line fitted to the points of one metric.

    Attributes
    ----------
    name : str
        ``measurement.metric``; the name of the metric ends with its unit.
    per : str
        Unit of the load.
    slope, intercept : float
        Change of the metric per unit of load, and its value without load.
    r_squared : float
        Coefficient of determination; 1 for constant values.
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
        """Return the value of the line at the given load."""
        return self.intercept + self.slope * x


def fit(*, name: str, per: str, points: Sequence[Point]) -> list[Slope]:
    """Fit a line to each metric of a measurement.

    Parameters
    ----------
    name : str
        Name of the measurement.
    per : str
        Unit of the load.
    points : sequence of Point
        Measured points; each metric needs at least two.

    Returns
    -------
    list of Slope
        One for each metric.
    """
    metrics = {metric: None for point in points for metric in point.values_by_figure}
    return [
        _fit_metric(
            name,
            per,
            metric,
            [point for point in points if metric in point.values_by_figure],
        )
        for metric in metrics
    ]


def _fit_metric(name: str, per: str, metric: str, points: Sequence[Point]) -> Slope:
    loads = [point.x for point in points]
    values = [point.values_by_figure[metric] for point in points]
    line = statistics.linear_regression(loads, values)
    mean = statistics.fmean(values)
    total_variation = sum((value - mean) ** 2 for value in values)
    residual_variation = sum(
        (value - line.intercept - line.slope * load) ** 2
        for load, value in zip(loads, values, strict=True)
    )
    return Slope(
        name=f"{name}.{metric}",
        per=per,
        slope=line.slope,
        intercept=line.intercept,
        r_squared=1.0
        if total_variation == 0
        else 1.0 - residual_variation / total_variation,
        range_low=min(loads),
        range_high=max(loads),
        points=[list(pair) for pair in zip(loads, values, strict=True)],
    )
