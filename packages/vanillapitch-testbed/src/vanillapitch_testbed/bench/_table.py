"""Text tables of the benchmark's results."""

from vanillapitch_testbed.bench._model import Measurement, Report

__all__ = ["format_report"]


def format_report(report: Report) -> str:
    """Return tables of measurements by scenario and policy, and the targets."""
    policies = list(dict.fromkeys(measurement.policy for measurement in report.figures))
    lines = []
    for scenario in dict.fromkeys(
        measurement.scenario for measurement in report.figures
    ):
        measurements = [item for item in report.figures if item.scenario == scenario]
        lines += ["", scenario, _format_row("", "", policies)]
        lines += _format_scenario(measurements, policies)
    lines += ["", "targets"]
    for target in report.targets:
        met = "met   " if target.met else "MISSED"
        value = _format_value(target.value)
        lines.append(
            f"{met} {target.name}: {value} (limit {target.limit:g}) {target.unit}"
        )
    return "\n".join(lines[1:])


def _format_scenario(measurements: list[Measurement], policies: list[str]) -> list[str]:
    rows = []
    for name, unit in dict.fromkeys((item.name, item.unit) for item in measurements):
        values = {item.policy: item.value for item in measurements if item.name == name}
        cells = [_format_value(values[p]) if p in values else "-" for p in policies]
        rows.append(_format_row(name, unit, cells))
    return rows


def _format_row(name: str, unit: str, cells: list[str]) -> str:
    return f"  {name:<44}{unit:<16}" + "".join(f"{cell:>18}" for cell in cells)


def _format_value(value: float | None) -> str:
    if value is None:
        return "not measured"
    return f"{value:.0f}" if value == int(value) else f"{value:.2f}"
