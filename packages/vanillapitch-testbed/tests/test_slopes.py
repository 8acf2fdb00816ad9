"""Tests of the slopes: a wrong line or an unheard stand-in makes the page wrong."""

import pytest
from vanillapitch_testbed.slopes import Point, fit
from vanillapitch_testbed.slopes._members import measure_stand_in_members
from vanillapitch_testbed.slopes.page import Document, render


def test_fit_finds_the_line():
    """Guards against slopes and intercepts that are exchanged or scaled."""
    points = [Point(x=x, values_by_figure={"a_ms": 2 + 3 * x}) for x in (1, 4, 9)]
    (slope,) = fit(name="n", per="call", points=points)
    assert (slope.name, slope.range_low, slope.range_high) == ("n.a_ms", 1, 9)
    assert slope.at(100) == pytest.approx(302)
    assert slope.r_squared == pytest.approx(1)


def test_page_shows_what_was_not_measured():
    """Guards against a failed measurement that looks like a budget that is met."""
    document = Document(
        command="c",
        python="3",
        measured_at="t",
        duration_s=1,
        baseline={},
        errors_by_name={"calls": "FleetError: refused"},
        slopes=[],
    )
    text = "a\n<!-- begin run -->\nold\n<!-- end run -->\nb\n"
    text += "<!-- begin extrapolation -->\n<!-- end extrapolation -->\n"
    page = render(text, document)
    assert "old" not in page
    assert "calls (FleetError: refused)" in page
    assert "not measured |" in page
    assert "| met |" not in page


@pytest.mark.integration
def test_daemon_holds_the_stand_in_members():
    """Guards against slopes over members that the daemon never heard of."""
    points = measure_stand_in_members((4, 40), window_s=1.0, settle_s=1.0)
    held = [point.values_by_figure["members_alive_count"] for point in points]
    assert held == [4, 40]
    for point in points:
        assert point.values_by_figure["resident_mb"] > 0
        assert point.values_by_figure["messages_per_s"] > 0
