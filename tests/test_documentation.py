"""Tests that the documentation agrees with the code."""

import pathlib
import re

import pytest
from vanillapitch_core.outcome import RefusalCode
from vanillapitch_daemon.metrics import Metrics

REPOSITORY = pathlib.Path(__file__).parents[1]
PAGES = [REPOSITORY / "README.md", *sorted((REPOSITORY / "docs").glob("*.md"))]


def test_the_callers_page_lists_every_refusal_with_its_status():
    # Guards against a refusal code that is added or gets another status without a
    # change of the callers' page.
    page = (REPOSITORY / "docs" / "callers.md").read_text()
    listed = dict(re.findall(r"^\| `(\w+)` \| (\d{3}) \|", page, flags=re.MULTILINE))
    assert listed == {code.value: str(code.status) for code in RefusalCode}


def test_the_operators_page_explains_every_metric_and_code():
    # Guards against a metric or a refusal code that is added without a description.
    page = (REPOSITORY / "docs" / "operators.md").read_text()
    names = re.findall(r"^# TYPE (\w+)", Metrics().render().decode(), re.MULTILINE)
    assert names
    for name in [*names, *(code.value for code in RefusalCode)]:
        assert f"`{name}`" in page


def test_every_promise_names_a_test_that_exists():
    # Guards against a promise in the README whose test was renamed, moved or removed.
    page = (REPOSITORY / "README.md").read_text()
    promises = re.findall(r"\[`(test_\w+)`\]\(([^)]+)\)", page)
    assert promises
    for test, file in promises:
        assert f"def {test}(" in (REPOSITORY / file).read_text()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_between_pages_lead_to_files(page):
    # Guards against a link to a file that was renamed, moved or removed.
    for target in re.findall(r"\]\(([^)#]+)[^)]*\)", page.read_text()):
        assert "://" in target or (page.parent / target).exists()
