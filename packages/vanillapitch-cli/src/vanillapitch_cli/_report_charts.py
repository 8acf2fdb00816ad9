"""Charts of measurements as SVG, drawn with matplotlib."""

import io
from collections.abc import Sequence

import matplotlib

from vanillapitch_cli._report_model import Measurement, Timeline

__all__ = ["draw_bars", "draw_lines"]

# The SVG backend needs no display. The fixed salt makes the output reproducible.
matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "vanillapitch"
matplotlib.rcParams["text.parse_math"] = False

_WIDTH_INCHES = 7.0
_BAR_HEIGHT_INCHES = 0.35
_LINES_HEIGHT_INCHES = 3.0


def draw_bars(name: str, measurements: Sequence[Measurement]) -> str:
    """Draw one measurement of several policies as bars.

    Parameters
    ----------
    name : str
        What was measured.
    measurements : sequence of Measurement
        One measurement per policy, all in one unit.

    Returns
    -------
    str
        An SVG element.
    """
    from matplotlib.figure import Figure as Canvas

    height_inches = 1.0 + _BAR_HEIGHT_INCHES * len(measurements)
    canvas = Canvas(figsize=(_WIDTH_INCHES, height_inches), layout="constrained")
    axes = canvas.subplots()
    values = [measurement.value or 0.0 for measurement in measurements]
    bars = axes.barh(range(len(measurements)), values, color="#4c72b0")
    axes.set_yticks(
        range(len(measurements)), [measurement.policy for measurement in measurements]
    )
    axes.invert_yaxis()
    axes.bar_label(
        bars, [_format_value(measurement) for measurement in measurements], padding=3
    )
    axes.margins(x=0.15)
    axes.set_xlabel(measurements[0].unit)
    axes.set_title(name)
    return _to_svg(canvas)


def draw_lines(name: str, timelines: Sequence[Timeline]) -> str:
    """Draw one measurement of several policies over time, as lines.

    Parameters
    ----------
    name : str
        What was measured.
    timelines : sequence of Timeline
        One timeline per policy, all in one unit.

    Returns
    -------
    str
        An SVG element.
    """
    from matplotlib.figure import Figure as Canvas

    canvas = Canvas(figsize=(_WIDTH_INCHES, _LINES_HEIGHT_INCHES), layout="constrained")
    axes = canvas.subplots()
    for timeline in timelines:
        seconds = [point[0] for point in timeline.points]
        values = [point[1] for point in timeline.points]
        axes.plot(seconds, values, label=timeline.policy, linewidth=1.2)
    axes.set_xlabel("s")
    axes.set_ylabel(timelines[0].unit)
    axes.set_ylim(bottom=0)
    axes.set_title(name)
    axes.legend(loc="best")
    return _to_svg(canvas)


def _format_value(measurement: Measurement) -> str:
    return "not measured" if measurement.value is None else f"{measurement.value:.4g}"


def _to_svg(canvas) -> str:
    buffer = io.StringIO()
    canvas.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]
