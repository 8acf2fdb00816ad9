"""Charts of measurements as SVG, drawn with matplotlib."""

import io
from collections.abc import Sequence

import matplotlib

from vanillapitch_cli._report_model import Figure, Timeline

__all__ = ["draw_bars", "draw_lines"]

# Without a display, and with the same bytes for the same measurements.
matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "vanillapitch"
matplotlib.rcParams["text.parse_math"] = False

_WIDTH_INCHES = 7.0
_BAR_HEIGHT_INCHES = 0.35
_LINES_HEIGHT_INCHES = 3.0


def draw_bars(name: str, figures: Sequence[Figure]) -> str:
    """Draw one measured number of several policies.

    Parameters
    ----------
    name : str
        What was measured.
    figures : sequence of Figure
        One figure a policy, in one unit.

    Returns
    -------
    str
        An SVG element.
    """
    from matplotlib.figure import Figure as Canvas

    height_inches = 1.0 + _BAR_HEIGHT_INCHES * len(figures)
    canvas = Canvas(figsize=(_WIDTH_INCHES, height_inches), layout="constrained")
    axes = canvas.subplots()
    values = [figure.value or 0.0 for figure in figures]
    bars = axes.barh(range(len(figures)), values, color="#4c72b0")
    axes.set_yticks(range(len(figures)), [figure.policy for figure in figures])
    axes.invert_yaxis()
    axes.bar_label(bars, [_label(figure) for figure in figures], padding=3)
    axes.margins(x=0.15)
    axes.set_xlabel(figures[0].unit)
    axes.set_title(name)
    return _to_svg(canvas)


def draw_lines(name: str, timelines: Sequence[Timeline]) -> str:
    """Draw one measurement of several policies over time.

    Parameters
    ----------
    name : str
        What was measured.
    timelines : sequence of Timeline
        One timeline a policy, in one unit.

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


def _label(figure: Figure) -> str:
    return "not measured" if figure.value is None else f"{figure.value:.4g}"


def _to_svg(canvas) -> str:
    buffer = io.StringIO()
    canvas.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]
