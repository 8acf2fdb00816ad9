"""Tests of the slopes and of the tables generated from them."""

import pytest
from vanillapitch_testbed.slopes import Point, fit
from vanillapitch_testbed.slopes._members import measure_simulated_members
from vanillapitch_testbed.slopes.page import Document, render


def test_fit_finds_the_line():
    """Guards against a swapped or scaled slope or intercept in every extrapolation."""
    points = [Point(x=x, values_by_figure={"a_ms": 2 + 3 * x}) for x in (1, 4, 9)]
    (slope,) = fit(name="n", per="call", points=points)
    assert (slope.name, slope.range_low, slope.range_high) == ("n.a_ms", 1, 9)
    assert slope.at(100) == pytest.approx(302)
    assert slope.r_squared == pytest.approx(1)


def test_page_shows_what_was_not_measured():
    """Guards against a failed measurement that the page reports as a met budget.

    A measurement that raises leaves no slope to compare with the budget.
    """
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
def test_daemon_holds_the_simulated_members():
    """Guards against slopes over members whose announcements the daemon dropped.

    A daemon whose receive buffer overflows, or that rejects the messages, holds fewer
    records than the number of members reported with the measurement.
    """
    points = measure_simulated_members((4, 40), window_s=1.0, settle_s=1.0)
    alive_counts = [point.values_by_figure["members_alive_count"] for point in points]
    assert alive_counts == [4, 40]
    for point in points:
        assert point.values_by_figure["resident_mb"] > 0
        assert point.values_by_figure["messages_per_s"] > 0
