"""Tests of metrics, administration and logs with complete daemons."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

import msgspec
import pytest
import urllib3
from vanillapitch_core import SystemClock
from vanillapitch_daemon.admin import BackendState
from vanillapitch_daemon.assembly import build_daemon
from vanillapitch_daemon.main import start_daemon, stop_daemon
from vanillapitch_daemon.owner import SetState

TOKEN = "t" * 16
COMMAND = pathlib.Path(sys.executable).with_name("vanillapitchd")


def call(address, path, method="GET", **options):
    headers = {"Authorization": f"Bearer {TOKEN}"}
    return urllib3.request(
        method,
        f"http://{address}{path}",
        headers=headers,
        retries=False,
        timeout=5,
        **options,
    )


def metric(daemon, name):
    for line in daemon.metrics.render().decode().splitlines():
        if line.startswith(f"vanillapitch_{name} "):
            return float(line.rpartition(" ")[2])
    return None


def test_calls_refusals_and_retries_are_counted(make_backend, make_daemons):
    # Guards against a call, refusal or retry that is missing from the metrics.
    backends = [make_backend(), make_backend()]
    daemon, other = make_daemons(*(backend.server_port for backend in backends))
    # The ingress does not know the state yet: it picks this owner, is refused and
    # retries.
    other.admission.ask(SetState(state="leaving"))
    url = daemon.callers.address
    calls = 0
    while not metric(daemon, 'retries_total{reason="not_run"}') and calls < 200:
        assert call(url, "/").status == 200
        calls += 1
    invalid = urllib3.request(
        "GET", f"http://{url}/", headers={"Request-Timeout-Ms": "soon"}
    )
    assert invalid.status == 400
    assert metric(daemon, 'calls_total{pool="catalog"}') == calls
    assert metric(daemon, 'latency_ms_count{pool="catalog"}') == calls
    assert metric(daemon, 'refusals_total{code="bad_request"}') == 1
    assert metric(daemon, 'refusals_total{code="leaving"}') == 0
    assert metric(daemon, 'retries_total{reason="not_run"}') >= 1
    assert metric(daemon, 'in_flight{role="ingress"}') == 0
    assert 1 <= metric(daemon, "limit") == daemon.load.current.limit <= 4
    assert metric(other, 'calls_total{pool="catalog"}') is None


def test_an_announcement_stops_and_resumes_work(make_backend, make_daemons):
    # Guards against requests to a backend server after it has announced that it leaves,
    # and against refusals after it has announced that it is ready again.
    backend = make_backend()
    (daemon,) = make_daemons(backend.server_port)
    callers = daemon.callers.address
    status = daemon.node.status()
    assert (status.state, status.endpoint_state) == ("alive", "cold")
    daemon.node.announce(BackendState.LEAVING)
    assert call(callers, "/").status == 503
    assert daemon.node.status().state == "leaving"
    daemon.node.announce(BackendState.READY)
    assert call(callers, "/").status == 200


@pytest.fixture
def start_process(tmp_path):
    """Start ``vanillapitchd`` as a process with a settings document."""
    processes = []

    def start(document):
        file = tmp_path / "settings.json"
        file.write_bytes(msgspec.json.encode(document, enc_hook=str))
        process = subprocess.Popen(
            [COMMAND, "--settings", str(file)],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ,
        )
        processes.append(process)
        return process

    yield start
    for process in processes:
        if process.poll() is None:
            process.kill()
        process.communicate()


def wait_ready(settings):
    deadline_s = time.monotonic() + 10
    while time.monotonic() < deadline_s:
        try:
            if call(settings.listen.admin, "/readyz").status == 200:
                return
        except urllib3.exceptions.HTTPError:
            time.sleep(0.05)
    raise AssertionError("the daemon did not become ready")


def test_a_process_serves_administration_and_drains(start_process, make_settings):
    # Guards against a daemon process whose administration API does not work, that exits
    # with an error on SIGTERM, or that writes a secret into its log.
    settings = make_settings(9)
    process = start_process(settings)
    wait_ready(settings)
    admin = settings.listen.admin
    status = call(admin, "/v1/status").json()
    assert status["instance"].startswith(f"{settings.listen.peers}/")
    assert status["zone"] == "zone-a"
    assert b"vanillapitch_tables_revision 0" in call(admin, "/metrics").data
    change = {"base_revision": 0, "pools": []}
    refused = call(admin, "/v1/tables", "PUT", body=json.dumps(change).encode())
    assert (refused.status, refused.json()["code"]) == (503, "store_unavailable")
    assert urllib3.request("GET", f"http://{admin}/v1/status").status == 401
    process.send_signal(signal.SIGTERM)
    _, log = process.communicate(timeout=20)
    assert process.returncode == 0
    assert " INFO main: Started instance=" in log
    assert " WARNING admin: Refused a request without the right token " in log
    assert settings.secrets.cluster_key not in log
    assert TOKEN not in log


def test_invalid_settings_end_the_process_with_one_line(start_process, make_settings):
    # Guards against a daemon that starts with invalid settings or prints a stack trace
    # instead of one line that names the field.
    document = msgspec.to_builtins(make_settings(9), enc_hook=str)
    document["limits"]["drain_timeout_s"] = 5
    process = start_process(document)
    _, log = process.communicate(timeout=20)
    assert process.returncode == 2
    assert log == "vanillapitchd: $.limits.drain_timeout_s: unknown field\n"


def test_the_daemon_imports_no_command_line_libraries():
    # Guards against imports of typer, rich, matplotlib or pydantic, which would count
    # towards the memory target of 32 MB.
    code = (
        "import sys, vanillapitch_daemon.main; "
        "print({'typer', 'rich', 'matplotlib', 'pydantic'} & sys.modules.keys())"
    )
    finished = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert finished.stdout.strip() == "set()"


def test_repeated_stop_signals_change_nothing():
    # Guards against a deadlock of the main thread, if a second SIGTERM interrupts it
    # while it holds a lock that the signal handler takes.
    code = (
        "from vanillapitch_daemon.main import install_stop_signals\n"
        "for _ in range(200):\n"
        "    wait_for_stop = install_stop_signals()\n"
        "    print('waiting', flush=True)\n"
        "    wait_for_stop()\n"
    )
    process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
    watchdog = threading.Timer(30, process.kill)
    watchdog.start()
    while process.stdout.readline():
        for _ in range(30):
            process.send_signal(signal.SIGTERM)
    assert process.wait() in (0, -signal.SIGTERM)
    watchdog.cancel()


def test_a_backend_server_gets_no_work_before_it_announces_itself(
    make_backend, make_settings, tables
):
    # Guards against requests to a backend server that has not announced that it is
    # ready, if the daemon does not wait for the announcement.
    backend = make_backend()
    settings = make_settings(backend.server_port)
    settings = msgspec.structs.replace(
        settings,
        backend=msgspec.structs.replace(settings.backend, announce_by_health=False),
    )
    daemon = build_daemon(settings, clock=SystemClock())
    daemon.snapshot.replace(tables)
    start_daemon(daemon)
    try:
        url = f"http://{daemon.callers.address}/"
        refused = urllib3.request("GET", url, retries=False, timeout=5)
        daemon.node.announce(BackendState.READY)
        accepted = urllib3.request("GET", url, retries=False, timeout=5)
    finally:
        stop_daemon(daemon, drain_timeout_ms=5_000)
    assert refused.json()["code"] == "no_endpoint"
    assert accepted.status == 200
