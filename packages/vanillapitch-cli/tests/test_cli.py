"""Tests of the command line against a real administration server."""

import json
import os
import pathlib
import stat
import subprocess
import sys

import pytest
from typer.testing import CliRunner
from vanillapitch_cli.main import app
from vanillapitch_core.tables import Pool
from vanillapitch_testbed.loopback import make_loopback_address

COMMAND = pathlib.Path(sys.executable).with_name("vanillapitch")


@pytest.fixture
def run(running_admin, monkeypatch, tmp_path):
    """Return a function that runs a command; the environment names server and token."""
    monkeypatch.setenv("VANILLAPITCH_ADMIN", running_admin.address)
    monkeypatch.setenv("VANILLAPITCH_TOKEN", running_admin.token)
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))

    def invoke(*arguments, **options):
        return CliRunner().invoke(app, ["--author", "ishikari", *arguments], **options)

    return invoke


@pytest.fixture
def edit_with(monkeypatch, tmp_path):
    """Return a function that sets an editor, which replaces a text in the file."""

    def install(before, after, exit_code=0):
        script = tmp_path / "editor"
        script.write_text(
            f"#!{sys.executable}\nimport pathlib, sys\n"
            "file = pathlib.Path(sys.argv[1])\n"
            f"file.write_text(file.read_text().replace({before!r}, {after!r}))\n"
            f"sys.exit({exit_code})\n"
        )
        script.chmod(script.stat().st_mode | stat.S_IXUSR)
        monkeypatch.delenv("VISUAL", raising=False)
        monkeypatch.setenv("EDITOR", str(script))

    return install


def _find_saved_files(directory):
    return list(directory.glob("vanillapitch-*.json"))


def _catalog(**fields):
    return (Pool(name="catalog", service="catalog", **fields),)


def test_show_prints_a_table_and_json_that_apply_accepts(run, tmp_path):
    # Guards against a JSON output of show that apply rejects, so that it would have to
    # be converted, and against an outdated base_revision that apply accepts.
    assert "catalog" in run("pools", "show").stdout
    shown = json.loads(run("routes", "show", "--json").stdout)
    assert shown["base_revision"] == 1
    shown["routes"][0]["timeout_ms"] = 77
    file = tmp_path / "routes.json"
    file.write_text(json.dumps(shown))
    assert run("routes", "apply", str(file)).exit_code == 0
    assert run("routes", "apply", "-", input=json.dumps(shown)).exit_code == 3
    assert "77" in run("routes", "show", "shop").stdout
    assert run("routes", "show", "none").exit_code == 1


def test_apply_accepts_a_plain_list(run, running_admin, tmp_path):
    # Guards against apply requiring base_revision, which an operator who writes the
    # first tables as a plain list does not know.
    file = tmp_path / "pools.json"
    file.write_text('[{"name": "catalog", "service": "catalog", "zones": ["gb-a"]}]')
    assert run("pools", "apply", str(file)).exit_code == 0
    assert running_admin.configuration.tables().pools == _catalog(zones=("gb-a",))
    file.write_text("[{]")
    assert run("pools", "apply", str(file)).exit_code == 2


def test_edit_applies_and_removes_its_file(run, edit_with, running_admin, tmp_path):
    # Guards against an edit that is not applied, or whose temporary file remains, and
    # against an unchanged table that creates a revision.
    edit_with('"shed_status": 503', '"shed_status": 429')
    result = run("pools", "edit")
    assert (result.exit_code, result.stderr) == (0, "")
    tables = running_admin.configuration.tables()
    assert (tables.pools, tables.author) == (_catalog(shed_status=429), "ishikari")
    assert _find_saved_files(tmp_path) == []
    edit_with("nothing", "nothing")
    assert "Nothing to change" in run("pools", "edit").stdout
    assert running_admin.configuration.tables().revision == 2
    history = run("pools", "history").stdout
    assert "$.pools[catalog].shed_status: 503 -> 429" in history
    assert json.loads(run("routes", "history", "--json").stdout)["history"] == [
        entry for entry in _history(running_admin) if entry["revision"] == 1
    ]


def _history(running_admin):
    entries = running_admin.request("GET", "/v1/tables/history")[1]["history"]
    for entry in entries:
        paths = [item for item in entry["changes"] if ".routes[" in item["path"]]
        entry["changes"] = paths
    return entries


def test_a_conflict_names_the_change_and_a_rebase_keeps_both(
    run, edit_with, running_admin, tmp_path
):
    # Guards against an edit that overwrites another operator's change made while the
    # editor was open, and against an edit that is lost in such a conflict.
    edit_with('"shed_status": 503', '"shed_status": 429')
    running_admin.configuration.before_change = lambda configuration: (
        configuration.write("hanul", pools=_catalog(zones=("gb-a",)))
    )
    result = run("pools", "edit")
    assert result.exit_code == 3
    assert "revision 2 by hanul" in result.stderr
    assert '$.pools[catalog].zones: [] -> ["gb-a"]' in result.stderr
    (saved_file,) = _find_saved_files(tmp_path)
    assert f"pools apply {saved_file} --rebase" in result.stderr
    assert run("pools", "apply", str(saved_file)).exit_code == 3
    assert run("pools", "apply", str(saved_file), "--rebase").exit_code == 0
    both = _catalog(zones=("gb-a",), shed_status=429)
    assert running_admin.configuration.tables().pools == both


def test_a_rebase_of_the_same_field_is_refused(run, edit_with, running_admin, tmp_path):
    # Guards against a rebase that silently chooses one value when both operators
    # changed the same field.
    edit_with('"shed_status": 503', '"shed_status": 429')
    running_admin.configuration.before_change = lambda configuration: (
        configuration.write("hanul", pools=_catalog(shed_status=500))
    )
    result = run("pools", "edit")
    assert "both edits change $.pools[catalog].shed_status" in result.stderr
    (saved_file,) = _find_saved_files(tmp_path)
    assert run("pools", "apply", str(saved_file), "--rebase").exit_code == 3
    assert running_admin.configuration.tables().pools == _catalog(shed_status=500)
    assert saved_file.exists()


@pytest.mark.parametrize(
    ("before", "after", "path"),
    [
        ("{", "", "$"),
        ('"service": "catalog"', '"service": "CATALOG"', "$.pools[0].service"),
        ('"name": "catalog"', '"name": "other"', "$.routes[0].pool"),
        ('"base_revision": 1', '"base_revision": 0', "$.base_revision"),
    ],
)
def test_an_invalid_edit_is_saved(
    run, edit_with, running_admin, tmp_path, before, after, path
):
    # Guards against an edit that is deleted because a mistake in it made it invalid,
    # and against an error that does not name the field.
    edit_with(before, after)
    result = run("pools", "edit")
    assert result.exit_code == 2
    assert f"vanillapitch: {path}: " in result.stderr
    (saved_file,) = _find_saved_files(tmp_path)
    assert str(saved_file) in result.stderr
    assert after in saved_file.read_text()
    assert running_admin.configuration.tables().revision == 1


def test_an_editor_that_fails_applies_nothing(run, edit_with, running_admin):
    # Guards against applying an edit that the operator abandoned, for which the editor
    # exits with a code other than 0.
    edit_with('"shed_status": 503', '"shed_status": 429', exit_code=1)
    assert run("pools", "edit").exit_code == 1
    assert running_admin.configuration.tables().revision == 1


def test_the_outcome_after_a_lost_response_is_found(
    run, edit_with, lossy_admin, running_admin
):
    # Guards against a failure reported for a change that is in force because the
    # response to it was lost.
    edit_with('"shed_status": 503', '"shed_status": 429')
    result = run("--admin", lossy_admin, "pools", "edit")
    assert (result.exit_code, result.stderr) == (0, "")
    assert "Applied as revision 2" in result.stdout
    assert running_admin.configuration.tables().revision == 2
    assert run("zone", "out", "gb-a", "--admin", lossy_admin).exit_code == 0
    assert running_admin.configuration.tables().zones_out == ("gb-a",)


@pytest.mark.parametrize(
    ("fault", "exit_code"),
    [("unknown_applied", 0), ("unknown_not_applied", 4), ("unavailable", 5)],
)
def test_the_exit_code_reports_the_outcome_in_a_store_outage(
    run, edit_with, running_admin, fault, exit_code
):
    # Guards against success or failure reported for a change whose outcome is unknown
    # because the store is down: exit code 4 is for unknown, 5 for not applied.
    running_admin.configuration.fault = fault
    edit_with('"shed_status": 503', '"shed_status": 429')
    short_timeout = ("--settle-timeout-ms", "300")
    assert run("pools", "edit", *short_timeout).exit_code == exit_code
    assert run("zone", "out", "gb-b", *short_timeout).exit_code == exit_code


def test_a_lost_response_and_a_later_change_give_a_conflict(
    run, edit_with, running_admin, lossy_admin
):
    # Guards against an unknown outcome reported after a lost response although another
    # change replaced the base revision, so that this one can no longer be accepted.
    edit_with('"shed_status": 503', '"shed_status": 429')
    running_admin.configuration.before_change = lambda configuration: (
        configuration.write("hanul", pools=_catalog(zones=("gb-a",)))
    )
    result = run("--admin", lossy_admin, "pools", "edit")
    assert result.exit_code == 3
    assert running_admin.configuration.tables().author == "hanul"


def test_zones_go_out_and_come_back(run, running_admin):
    # Guards against a misspelled zone that is accepted and takes nothing out of
    # service, and against a zone that does not return to service.
    assert run("zone", "out", "gb-z").exit_code == 2
    assert run("zone", "out", "gb-a").exit_code == 0
    assert running_admin.configuration.tables().zones_out == ("gb-a",)
    zones = json.loads(run("zone", "list", "--json").stdout)["zones"]
    assert zones[0] == {"zone": "gb-a", "in_service": False, "members": 2}
    assert "gb-a" in run("zone", "list").stdout
    assert run("zone", "in", "gb-a").exit_code == 0
    assert running_admin.configuration.tables().zones_out == ()


def test_another_address_is_tried(run, running_admin):
    # Guards against a command that fails because the first of its addresses refuses
    # connections, and against exit code 0 when all addresses do.
    unreachable = make_loopback_address()
    both = ("--admin", unreachable, "--admin", running_admin.address)
    assert run("zone", "out", "gb-a", *both).exit_code == 0
    result = run("status", "--json", *both)
    rows = json.loads(result.stdout)["daemons"]
    assert result.exit_code == 0
    assert "cannot connect" in rows[0]["error"]
    assert rows[1]["slots"] == 12
    assert run("status", "--admin", unreachable).exit_code == 5
    assert run("pools", "show", "--admin", unreachable).exit_code == 5


def test_wrong_tokens_and_options_are_refused(run, monkeypatch, tmp_path):
    # Guards against exit code 0 for a command that had no effect because its token or
    # an option is invalid, and against a token that is printed.
    token_file = tmp_path / "token"
    token_file.write_text("wrong-token-of-tests\n")
    result = run("pools", "show", "--token-file", str(token_file))
    assert result.exit_code == 1
    assert "wrong-token" not in result.output
    assert run("pools", "show", "--admin", "localhost:80").exit_code == 2
    assert run("pools", "none").exit_code == 2
    monkeypatch.delenv("VANILLAPITCH_TOKEN")
    assert run("pools", "show").exit_code == 2
    monkeypatch.delenv("VANILLAPITCH_ADMIN")
    assert run("pools", "show").exit_code == 2


@pytest.mark.parametrize(
    ("content", "exit_code"),
    [
        ('{"pools": [{"name": "a", "service": "a"}]}', 0),
        ('{"routes": [{"name": "r", "pool": "elsewhere"}]}', 0),
        ('{"routes": [{"name": "r", "pool": "b"}], "pools": []}', 2),
        ('{"routes": [], "pools": [], "base_revision": 4}', 0),
        ('{"pools": [{"name": "a"}]}', 2),
        ('{"color": 1}', 2),
        ("[]", 2),
        ("{", 2),
    ],
)
def test_check_needs_no_daemon(tmp_path, content, exit_code):
    # Guards against an invalid file that is detected only when it is applied.
    file = tmp_path / "tables.json"
    file.write_text(content)
    assert CliRunner().invoke(app, ["check", str(file)]).exit_code == exit_code


def test_the_installed_command_reports_exit_codes(running_admin, tmp_path):
    # Guards against an installed entry point that does not return the exit code of the
    # command or prints a traceback for an expected error.
    environment = {
        **os.environ,
        "VANILLAPITCH_ADMIN": running_admin.address,
        "VANILLAPITCH_TOKEN": "wrong",
    }
    for token, expected in [("wrong", 1), (running_admin.token, 0)]:
        environment["VANILLAPITCH_TOKEN"] = token
        finished = subprocess.run(
            [COMMAND, "zone", "list", "--json"],
            env=environment,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert finished.returncode == expected
        assert "Traceback" not in finished.stderr
