"""Generates the tables of ``docs/CAPACITY.md`` from measured slopes.

Run ``python -m vanillapitch_testbed.slopes.page build/slopes.json docs/CAPACITY.md``.
Text between the markers ``<!-- begin NAME -->`` and ``<!-- end NAME -->`` is replaced.
"""

import argparse
import pathlib
import re
import sys

import msgspec

from vanillapitch_testbed.slopes._fit import Slope
from vanillapitch_testbed.slopes._size import EXTRAPOLATIONS, Extrapolation

__all__ = ["Document", "main", "render"]


class Document(msgspec.Struct, kw_only=True, frozen=True):
    """Content of the file of measured slopes.

    Attributes
    ----------
    command : str
        Command that measured the slopes.
    python : str
        Version of Python.
    measured_at : str
        End of the measurements, as text.
    duration_s : float
        Duration of the measurements.
    baseline : dict of str to float
        Resident memory in MB of processes without a daemon, by their imports.
    errors_by_name : dict of str to str
        Errors of the measurements that failed.
    slopes : list of Slope
        All slopes.
    """

    command: str
    python: str
    measured_at: str
    duration_s: float
    baseline: dict[str, float]
    errors_by_name: dict[str, str]
    slopes: list[Slope]


def render(text: str, document: Document) -> str:
    """Replace the generated sections of a page.

    Parameters
    ----------
    text : str
        The page.
    document : Document
        The measured slopes.

    Returns
    -------
    str
        The page with new tables.
    """
    tables_by_name = {
        "run": _format_overview(document),
        "slopes": _format_slopes(document),
        "extrapolation": _format_extrapolations(document),
    }
    for name, lines in tables_by_name.items():
        begin_marker, end_marker = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        pattern = re.compile(
            re.escape(begin_marker) + ".*?" + re.escape(end_marker), re.DOTALL
        )
        section = "\n".join([begin_marker, "", *lines, "", end_marker])
        text = pattern.sub(lambda _, section=section: section, text)
    return text


def _format_overview(document: Document) -> list[str]:
    lines = [
        f"Measured by `{document.command}` on {document.measured_at} with Python "
        f"{document.python} in {document.duration_s:.0f} s.",
        "",
        "| process without a daemon | resident memory |",
        "| --- | --- |",
    ]
    lines += [
        f"| {name.removesuffix('_resident_mb').replace('_', ' ')} | {value:.1f} MB |"
        for name, value in document.baseline.items()
    ]
    lines += [
        f"\nNot measured: {name} ({error})."
        for name, error in document.errors_by_name.items()
    ]
    return lines


def _format_slopes(document: Document) -> list[str]:
    lines = [
        "| figure | without load | slope | per | r² | range | measured values |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for slope in document.slopes:
        values = ", ".join(_format_number(value) for _, value in slope.points)
        lines.append(
            f"| `{slope.name}` | {_format_number(slope.intercept)} "
            f"| {_format_number(slope.slope)} "
            f"| {slope.per} | {slope.r_squared:.2f} "
            f"| {_format_number(slope.range_low)} "
            f"to {_format_number(slope.range_high)} | {values} |"
        )
    return lines


def _format_extrapolations(document: Document) -> list[str]:
    slopes_by_name = {slope.name: slope for slope in document.slopes}
    lines = [
        "| role | quantity | mechanism | slope used | range | at two years | figure "
        "| budget | result |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for extrapolation in EXTRAPOLATIONS:
        slope = slopes_by_name.get(extrapolation.slope)
        lines.append(_format_extrapolation(extrapolation, slope))
    return lines


def _format_extrapolation(extrapolation: Extrapolation, slope: Slope | None) -> str:
    row_start = (
        f"| {extrapolation.role} | {extrapolation.quantity} "
        f"| {extrapolation.mechanism} | `{extrapolation.slope}` "
    )
    if slope is None:
        return row_start + "| | | | | not measured |"
    load = f"{_format_number(extrapolation.load)} {slope.per}"
    in_range = slope.range_low <= extrapolation.load <= slope.range_high
    value = _extrapolate(extrapolation, slope)
    result, budget = "no budget of its own", ""
    if extrapolation.budget is not None:
        result = "met" if value <= extrapolation.budget else "**missed**"
        budget = f"{_format_number(extrapolation.budget)} {extrapolation.unit}"
    range_note = "" if in_range else " (extrapolated)"
    return (
        f"{row_start}| {_format_number(slope.range_low)} "
        f"to {_format_number(slope.range_high)} | {load}{range_note} "
        f"| {_format_number(value)} {extrapolation.unit} | {budget} | {result} |"
    )


def _extrapolate(extrapolation: Extrapolation, slope: Slope) -> float:
    if extrapolation.is_bounded:
        return max(slope.points)[1]
    if extrapolation.excludes_intercept:
        return slope.slope * extrapolation.load
    return slope.at(extrapolation.load)


def _format_number(value: float) -> str:
    if value == 0:
        return "0"
    if abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def main() -> int:
    """Write the tables into the page."""
    parser = argparse.ArgumentParser(prog="vanillapitch_testbed.slopes.page")
    parser.add_argument("slopes", type=pathlib.Path)
    parser.add_argument("page", type=pathlib.Path)
    options = parser.parse_args()
    document = msgspec.json.decode(options.slopes.read_bytes(), type=Document)
    text = options.page.read_text()
    options.page.write_text(render(text, document))
    return 0


if __name__ == "__main__":
    sys.exit(main())
