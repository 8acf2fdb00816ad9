"""Writes the tables of ``docs/CAPACITY.md`` from measured slopes.

Run ``python -m vanillapitch_testbed.slopes.page build/slopes.json docs/CAPACITY.md``.
Text between the markers ``<!-- begin NAME -->`` and ``<!-- end NAME -->`` is replaced.
"""

import argparse
import pathlib
import re
import sys

import msgspec

from vanillapitch_testbed.slopes._figures import Slope
from vanillapitch_testbed.slopes._size import EXTRAPOLATIONS, Extrapolation

__all__ = ["Document", "main", "render"]


class Document(msgspec.Struct, kw_only=True, frozen=True):
    """Output of the slopes.

    Attributes
    ----------
    command : str
        Command that measured.
    python : str
        Version of Python.
    measured_at : str
        Time of the run.
    duration_s : float
        Duration of the run.
    baseline : dict of str to float
        Resident memory of processes that only import, in MB.
    errors_by_name : dict of str to str
        Measurements that failed.
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
    """Replace the generated parts of a page.

    Parameters
    ----------
    text : str
        The page.
    document : Document
        The slopes.

    Returns
    -------
    str
        The page with new tables.
    """
    tables_by_name = {
        "run": _run_lines(document),
        "slopes": _slope_lines(document),
        "extrapolation": _extrapolation_lines(document),
    }
    for name, lines in tables_by_name.items():
        begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        pattern = re.compile(re.escape(begin) + ".*?" + re.escape(end), re.DOTALL)
        part = "\n".join([begin, "", *lines, "", end])
        text = pattern.sub(lambda _, part=part: part, text)
    return text


def _run_lines(document: Document) -> list[str]:
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


def _slope_lines(document: Document) -> list[str]:
    lines = [
        "| figure | without load | slope | per | r² | range | measured values |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for slope in document.slopes:
        values = ", ".join(_number(value) for _, value in slope.points)
        lines.append(
            f"| `{slope.name}` | {_number(slope.intercept)} | {_number(slope.slope)} "
            f"| {slope.per} | {slope.r_squared:.2f} "
            f"| {_number(slope.range_low)} to {_number(slope.range_high)} | {values} |"
        )
    return lines


def _extrapolation_lines(document: Document) -> list[str]:
    slopes_by_name = {slope.name: slope for slope in document.slopes}
    lines = [
        "| role | quantity | mechanism | slope used | range | at two years | figure "
        "| budget | result |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for line in EXTRAPOLATIONS:
        slope = slopes_by_name.get(line.slope)
        lines.append(_extrapolation_line(line, slope))
    return lines


def _extrapolation_line(line: Extrapolation, slope: Slope | None) -> str:
    start = f"| {line.role} | {line.quantity} | {line.mechanism} | `{line.slope}` "
    if slope is None:
        return start + "| | | | | not measured |"
    load = f"{_number(line.load)} {slope.per}"
    in_range = slope.range_low <= line.load <= slope.range_high
    value = _value(line, slope)
    result, budget = "no budget of its own", ""
    if line.budget is not None:
        result = "met" if value <= line.budget else "**missed**"
        budget = f"{_number(line.budget)} {line.unit}"
    note = "" if in_range else " (extrapolated)"
    return (
        f"{start}| {_number(slope.range_low)} to {_number(slope.range_high)} "
        f"| {load}{note} | {_number(value)} {line.unit} | {budget} | {result} |"
    )


def _value(line: Extrapolation, slope: Slope) -> float:
    if line.is_bounded:
        return max(slope.points)[1]
    if line.without_base:
        return slope.slope * line.load
    return slope.at(line.load)


def _number(value: float) -> str:
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
