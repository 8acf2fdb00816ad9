"""The list of tests that may fail because of a known fault."""

import pathlib

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
TESTS = """
import pytest
@pytest.mark.parametrize("number", [1, 2])
def test_listed(number):
    assert number == 1
def test_other():
    assert {other}
"""


@pytest.fixture
def run_listed(pytester):
    """Run two tests of which KNOWN-RED.txt lists one, by default ``test_listed``."""

    def run(*, other, name="test_listed"):
        pytester.makeconftest((ROOT / "conftest.py").read_text(encoding="utf-8"))
        pytester.makepyfile(test_some=TESTS.format(other=other))
        entry = f"1. A fault\n   test: test_some.py::{name}\n"
        (pytester.path / "KNOWN-RED.txt").write_text(entry, encoding="utf-8")
        return pytester.runpytest_subprocess("-p", "no:cacheprovider")

    return run


def test_a_listed_test_may_fail_and_is_printed(run_listed):
    # Guards against a listed failure that ends CI, or that CI passes over in silence.
    result = run_listed(other=True)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(
        [
            "KNOWN-RED.txt: xfailed test_some.py::test_listed?2?",
            "KNOWN-RED.txt: xpassed test_some.py::test_listed?1?",
        ]
    )


def test_other_failures_end_the_run(run_listed):
    # Guards against a list that also excuses tests it does not name.
    assert run_listed(other=False).ret == pytest.ExitCode.TESTS_FAILED


def test_a_listed_test_must_exist(run_listed):
    # Guards against an entry that stays after its test was renamed or removed.
    result = run_listed(other=True, name="test_missing")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*no such test: test_some.py::test_missing*"])
