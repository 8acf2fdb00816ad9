"""Tests of the HTML report of measurements."""

import json
import sys

import pytest
from typer.testing import CliRunner
from vanillapitch_cli._report_command import render_report
from vanillapitch_cli._report_model import read_measurements
from vanillapitch_cli.main import app

MEASUREMENTS = {
    "started_at": "2026-12-04",
    "figures": [
        {
            "scenario": "one <straggler>",
            "policy": policy,
            "name": "p99",
            "value": value,
            "unit": "ms",
        }
        for policy, value in (("picker", 12.5), ("random", None))
    ],
    "targets": [
        {
            "name": "p99 & <more>",
            "limit": 1.5,
            "value": value,
            "unit": "times",
            "met": met,
        }
        for value, met in ((1.25, True), (None, False))
    ],
    "timelines": [
        {
            "scenario": "zone out",
            "policy": "picker",
            "name": "calls to the zone",
            "unit": "1/s",
            "points": [[0, 10], [1.5, 0]],
        }
    ],
}


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "bench.json"
    path.write_text(json.dumps(MEASUREMENTS))
    return path


def test_a_page_shows_every_measurement_and_escapes_names(file):
    # Guards against a measurement that the page lacks, and against a name with markup
    # that is not escaped.
    drawn = []

    def draw(name, items):
        drawn.append((name, len(items)))
        return "<svg></svg>"

    page = render_report(read_measurements(str(file)), draw_bars=draw, draw_lines=draw)
    assert drawn == [("p99", 2), ("calls to the zone", 1)]
    assert "one &lt;straggler&gt;" in page
    assert "<straggler>" not in page
    assert "12.5" in page
    assert "not measured" in page


def test_a_page_shows_every_target_as_met_or_missed(file):
    # Guards against a missed or unmeasured target that the page shows as met or lacks.
    page = render_report(
        read_measurements(str(file)),
        draw_bars=lambda name, items: "",
        draw_lines=lambda name, items: "",
    )
    rows = [row for row in page.splitlines() if "p99 &amp; &lt;more&gt;" in row]
    assert ["met" in row for row in rows] == [True, False]
    assert ["missed" in row for row in rows] == [False, True]
    assert all("1.5" in row for row in rows)


def test_a_missing_library_and_bad_files_have_clear_errors(file, tmp_path, monkeypatch):
    # Guards against a traceback, instead of an error that names the cause, if
    # matplotlib is not installed or the file is invalid.
    out = tmp_path / "report.html"
    monkeypatch.delitem(sys.modules, "vanillapitch_cli._report_charts", raising=False)
    monkeypatch.setitem(sys.modules, "matplotlib", None)
    result = CliRunner().invoke(app, ["report", str(file), "--out", str(out)])
    assert (result.exit_code, out.exists()) == (1, False)
    assert "vanillapitch-cli[report]" in result.stderr
    file.write_text('{"figures": [{"scenario": 1}]}')
    result = CliRunner().invoke(app, ["report", str(file), "--out", str(out)])
    assert result.exit_code == 2
    assert "$.figures[0].scenario" in result.stderr


def test_charts_are_drawn_and_repeatable(file, tmp_path):
    # Guards against a report without charts, and against random ids or dates in the
    # SVG, with which equal measurements would give different files.
    pytest.importorskip("matplotlib", reason="the extra report is not installed")
    pages = []
    for name in ("first.html", "second.html"):
        out = tmp_path / name
        result = CliRunner().invoke(app, ["report", str(file), "--out", str(out)])
        assert result.exit_code == 0, result.output
        pages.append(out.read_text())
    assert pages[0] == pages[1]
    assert pages[0].count("<svg") == 2
