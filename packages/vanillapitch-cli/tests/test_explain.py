"""Tests of explaining one request from the logs of several daemons."""

import json

import pytest
from typer.testing import CliRunner
from vanillapitch_cli.main import app

INGRESS = (
    '{"at_ms":1020,"part":"ingress","event":"request","request_id":"a1",'
    '"status":503,"outcome":"overloaded","owners":["vm-1","vm-2"],"took_ms":20.0}'
)
OWNER = (
    '   0.1 vm-1 {"at_ms":1005,"part":"owner","event":"call_refused",'
    '"request_id":"a1","reason":"overloaded","running":9,"limit":9}'
)
OTHER = '{"at_ms":1001,"part":"owner","event":"call","request_id":"a12"}'


@pytest.fixture
def run(tmp_path):
    """Return a function that runs ``vanillapitch explain`` on two log files."""

    def run_explain(*lines, request_id="a1", options=()):
        first = tmp_path / "one.log"
        second = tmp_path / "two.log"
        first.write_text("\n".join(lines[::2]) + "\n")
        second.write_text("\n".join(lines[1::2]) + "\n")
        arguments = ["explain", request_id, str(first), str(second), *options]
        return CliRunner().invoke(app, arguments)

    return run_explain


def test_the_lines_of_all_daemons_are_ordered(run):
    # Guards against a missing cause: the owner's line is in another file than that of
    # the ingress, and the files contain other lines too.
    result = run(INGRESS, OWNER, "no JSON at all {", OTHER)
    assert result.exit_code == 0
    sentence, owner, ingress = result.output.splitlines()
    assert "status 503 after 20.0 ms" in sentence
    assert "more waiting than it could serve" in sentence
    assert "vm-1, vm-2" in sentence
    assert "owner/call_refused" in owner
    assert "ingress/request" in ingress


@pytest.mark.parametrize(
    ("line", "text"),
    [
        ('{"request_id":"a1","event":"caller_left"}', "given up by its caller"),
        ('{"request_id":"a1","event":"call"}', "log of its ingress is missing"),
        (
            '{"request_id":"a1","event":"request","outcome":"answered","status":200}',
            "got status 200 from an endpoint",
        ),
        (
            '{"request_id":"a1","event":"request","outcome":"deadline","status":504}',
            "no endpoint answered before its deadline",
        ),
    ],
)
def test_each_outcome_is_described(run, line, text):
    # Guards against a logged outcome that the explanation does not describe.
    assert text in run(line).output


def test_json_output_has_the_lines(run):
    # Guards against JSON output that lacks the lines of the request.
    explanation = json.loads(run(INGRESS, OWNER, options=["--json"]).output)
    assert explanation["request_id"] == "a1"
    assert [line["event"] for line in explanation["lines"]] == [
        "call_refused",
        "request",
    ]


def test_a_request_without_lines_fails(run):
    # Guards against exit code 0 for a request that is in none of the logs.
    result = run(INGRESS, request_id="zz")
    assert result.exit_code == 1
    assert "has no line" in result.output


def test_a_missing_file_is_bad_input(tmp_path):
    # Guards against a traceback, instead of an error that names the file, for a log
    # that does not exist.
    missing = str(tmp_path / "missing.log")
    result = CliRunner().invoke(app, ["explain", "a1", missing])
    assert result.exit_code == 2
    assert "missing.log" in result.output
