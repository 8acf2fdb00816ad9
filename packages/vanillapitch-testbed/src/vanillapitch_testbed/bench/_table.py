"""Tables of the benchmark as text."""

from vanillapitch_testbed.bench._model import Figure, Report

__all__ = ["format_report"]


def format_report(report: Report) -> str:
    """Return the figures by scenario and policy, with ratios, and the targets."""
    policies = list(dict.fromkeys(figure.policy for figure in report.figures))
    lines = []
    for scenario in dict.fromkeys(figure.scenario for figure in report.figures):
        figures = [item for item in report.figures if item.scenario == scenario]
        lines += ["", scenario, _row("", "", policies)]
        lines += _scenario_rows(figures, policies)
    lines += ["", "targets"]
    for target in report.targets:
        met = "met   " if target.met else "MISSED"
        value = _number(target.value)
        lines.append(
            f"{met} {target.name}: {value} (limit {target.limit:g}) {target.unit}"
        )
    return "\n".join(lines[1:])


def _scenario_rows(figures: list[Figure], policies: list[str]) -> list[str]:
    rows = []
    for name, unit in dict.fromkeys((item.name, item.unit) for item in figures):
        values = {item.policy: item.value for item in figures if item.name == name}
        cells = [_number(values[p]) if p in values else "-" for p in policies]
        rows.append(_row(name, unit, cells))
    return rows


def _row(name: str, unit: str, cells: list[str]) -> str:
    return f"  {name:<44}{unit:<16}" + "".join(f"{cell:>18}" for cell in cells)


def _number(value: float | None) -> str:
    if value is None:
        return "not measured"
    return f"{value:.0f}" if value == int(value) else f"{value:.2f}"
