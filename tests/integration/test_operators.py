"""Tests of the command line of operators against real daemons and a simulated store."""

import json
import os
import pathlib
import subprocess
import sys
import time

import pytest
from vanillapitch_testbed.fleet import DEPLOYMENTS, Fleet

pytestmark = pytest.mark.integration

COMMAND = pathlib.Path(sys.executable).with_name("vanillapitch")
IN_FORCE_TIMEOUT_S = 3.0


@pytest.fixture(scope="module")
def fleet():
    with Fleet(deployment=DEPLOYMENTS["small"]) as started:
        yield started


def write_editor(directory, before, after, *, concurrent_change=""):
    """Write an editor script that replaces one text; return its path.

    The script first executes the Python statement `concurrent_change`, if any.
    """
    script = directory / "editor"
    script.write_text(
        f"#!{sys.executable}\nimport pathlib, subprocess, sys\n{concurrent_change}\n"
        "file = pathlib.Path(sys.argv[1])\n"
        f"file.write_text(file.read_text().replace({before!r}, {after!r}))\n"
    )
    script.chmod(0o700)
    return str(script)


def test_a_zone_leaves_and_returns_to_service_everywhere(fleet):
    # Guards against a zone change that a daemon has not adopted within 3 s.
    for command, zones_out in (("out", ["gb-a"]), ("in", [])):
        started_s = time.monotonic()
        result = fleet.run_cli("zone", command, "gb-a")
        assert result.returncode == 0, result.stderr
        tables = fleet.tables(fleet.vms[-1])
        assert tables["zones_out"] == zones_out
        remaining_s = IN_FORCE_TIMEOUT_S - (time.monotonic() - started_s)
        fleet.wait_revision(tables["revision"], remaining_s)


def test_two_operators_edit_one_table(fleet, tmp_path, monkeypatch):
    # Guards against a lost edit when another operator changes the table while it is
    # open in the editor: the command must report the conflict and save the edit, which
    # can then be applied to the new revision.
    command = [str(COMMAND), "pools", "apply", str(tmp_path / "other.json")]
    concurrent_change = f"subprocess.run({command!r}, check=True)"
    document = json.loads(fleet.run_cli("pools", "show", "--json").stdout)
    document["pools"][0]["zones"] = ["gb-b"]
    (tmp_path / "other.json").write_text(json.dumps(document))
    script = write_editor(
        tmp_path,
        '"shed_status": 503',
        '"shed_status": 429',
        concurrent_change=concurrent_change,
    )
    monkeypatch.setenv("VISUAL", script)
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    result = fleet.run_cli("pools", "edit", "--author", "second")
    assert result.returncode == 3, result.stderr
    (saved,) = tmp_path.glob("vanillapitch-pools-*.json")
    rebase = ("pools", "apply", str(saved), "--rebase", "--author", "second")
    rebased = fleet.run_cli(*rebase, vm=fleet.vms[-1])
    assert rebased.returncode == 0, rebased.stderr
    pools = fleet.tables(fleet.vms[0])["pools"]
    assert pools[0]["zones"] == ["gb-b"]
    assert {pool["shed_status"] for pool in pools} == {429}
    history = fleet.run_cli("pools", "history", "--limit", "1").stdout
    assert " by second, " in history


def test_status_lists_every_daemon(fleet):
    # Guards against a status command that omits a daemon, its members or the state of
    # the store.
    environment = dict(
        os.environ,
        VANILLAPITCH_ADMIN=" ".join(vm.admin for vm in fleet.vms),
        VANILLAPITCH_TOKEN="operator-token-of-the-testbed",
    )
    finished = subprocess.run(
        [COMMAND, "status", "--json"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
        check=True,
    )
    rows = json.loads(finished.stdout)["daemons"]
    assert len(rows) == len(fleet.vms)
    for row in rows:
        assert row["store"] == "up"
        assert row["members_by_state"] == {"alive": len(fleet.vms)}


def test_a_store_outage_changes_nothing(fleet):
    # Guards against a change that is reported as accepted while the store is down.
    before = fleet.tables(fleet.vms[0])
    fleet.store.terminate(10)
    result = fleet.run_cli("zone", "out", "gb-b", "--settle-timeout-ms", "500")
    assert result.returncode in (4, 5), result.stdout
    assert fleet.tables(fleet.vms[0]) == before
