"""Command that renders a measurements file as an HTML page."""

import html
import pathlib
from collections.abc import Callable, Sequence
from typing import Annotated, TypeVar

import typer

from vanillapitch_cli._report_model import (
    Measurement,
    Measurements,
    Target,
    Timeline,
    read_measurements,
)
from vanillapitch_cli.exceptions import BadInputError, FailedError

__all__ = ["render_report", "report"]

# Measurements have dozens of names; charts of all would hide the ones to compare.
_CHARTED_NAMES = frozenset({"p50", "p99", "p99.9", "goodput"})

Item = TypeVar("Item", Measurement, Timeline)
DrawBars = Callable[[str, Sequence[Measurement]], str]
DrawLines = Callable[[str, Sequence[Timeline]], str]

_STYLE = """
body { font: 15px/1.4 sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; }
table { border-collapse: collapse; }
th, td { border-bottom: 1px solid #ddd; padding: 0.2em 1em 0.2em 0; text-align: left; }
td.value { text-align: right; font-variant-numeric: tabular-nums; }
svg { max-width: 100%; height: auto; }
"""


def report(
    file: Annotated[str, typer.Argument(help="Measurements file of make bench.")],
    out: Annotated[pathlib.Path, typer.Option("--out", help="HTML file to write.")],
) -> None:
    """Make an HTML report from measurements; needs the extra "report"."""
    measurements = read_measurements(file)
    try:
        # Imported here because only this command needs matplotlib.
        from vanillapitch_cli import _report_charts
    except ImportError as error:
        raise FailedError(
            "matplotlib is not installed; install vanillapitch-cli[report]"
        ) from error
    page = render_report(
        measurements,
        draw_bars=_report_charts.draw_bars,
        draw_lines=_report_charts.draw_lines,
    )
    try:
        out.write_text(page, encoding="utf-8")
    except OSError as error:
        raise BadInputError(f"cannot write {str(out)!r}: {error.strerror}") from error
    typer.echo(f"Wrote {out}.")


def render_report(
    measurements: Measurements, *, draw_bars: DrawBars, draw_lines: DrawLines
) -> str:
    """Return the HTML page.

    Parameters
    ----------
    measurements : Measurements
        Content of the page.
    draw_bars, draw_lines : callable
        Draw one chart as an SVG element.

    Returns
    -------
    str
        A page without references to other files.
    """
    scenarios = dict.fromkeys(
        item.scenario for item in (*measurements.figures, *measurements.timelines)
    )
    sections = [_format_targets_table(measurements.targets)]
    for scenario in scenarios:
        scenario_measurements = [
            item for item in measurements.figures if item.scenario == scenario
        ]
        lines = [item for item in measurements.timelines if item.scenario == scenario]
        sections.append(f"<h2>{html.escape(scenario)}</h2>")
        sections += [
            draw_bars(*group)
            for group in _group_by_name(_select_charted(scenario_measurements))
        ]
        sections += [draw_lines(*group) for group in _group_by_name(lines)]
        sections.append(_format_measurements_table(scenario_measurements))
    body = "\n".join(sections)
    return (
        '<!DOCTYPE html>\n<html lang="en">\n<head>\n<meta charset="utf-8">\n'
        f"<title>vanillapitch measurements</title>\n<style>{_STYLE}</style>\n</head>\n"
        f"<body>\n<h1>vanillapitch measurements</h1>\n{body}\n</body>\n</html>\n"
    )


def _select_charted(measurements: Sequence[Measurement]) -> list[Measurement]:
    """Return the measurements to draw; the table below the charts has all of them."""
    return [
        measurement
        for measurement in measurements
        if measurement.name in _CHARTED_NAMES
    ]


def _group_by_name(items: Sequence[Item]) -> list[tuple[str, list[Item]]]:
    groups: dict[tuple[str, str], list[Item]] = {}
    for item in items:
        groups.setdefault((item.name, item.unit), []).append(item)
    return [(name, group) for (name, _), group in groups.items()]


def _format_targets_table(targets: Sequence[Target]) -> str:
    if not targets:
        return ""
    rows = [
        "<tr><th>target</th><th>limit</th><th>value</th><th>unit</th><th></th></tr>"
    ]
    for target in targets:
        value = "not measured" if target.value is None else f"{target.value:.6g}"
        name, unit = map(html.escape, (target.name, target.unit))
        rows.append(
            f'<tr><td>{name}</td><td class="value">{target.limit:g}</td>'
            f'<td class="value">{value}</td><td>{unit}</td>'
            f"<td>{'met' if target.met else 'missed'}</td></tr>"
        )
    return "<h2>Targets</h2>\n<table>\n" + "\n".join(rows) + "\n</table>"


def _format_measurements_table(measurements: Sequence[Measurement]) -> str:
    if not measurements:
        return ""
    policies = list(dict.fromkeys(measurement.policy for measurement in measurements))
    header_cells = "".join(f"<th>{html.escape(policy)}</th>" for policy in policies)
    rows = [f"<tr><th>measurement</th>{header_cells}<th>unit</th></tr>"]
    for name, group in _group_by_name(measurements):
        by_policy = {measurement.policy: measurement for measurement in group}
        cells = "".join(
            _format_value_cell(by_policy.get(policy)) for policy in policies
        )
        unit = html.escape(group[0].unit)
        rows.append(f"<tr><td>{html.escape(name)}</td>{cells}<td>{unit}</td></tr>")
    return "<table>\n" + "\n".join(rows) + "\n</table>"


def _format_value_cell(measurement: Measurement | None) -> str:
    if measurement is None:
        return "<td></td>"
    value = "not measured" if measurement.value is None else f"{measurement.value:.6g}"
    return f'<td class="value">{value}</td>'
