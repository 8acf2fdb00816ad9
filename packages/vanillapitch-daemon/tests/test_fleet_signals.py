"""Failure tests of membership with a real process that is paused and killed."""

import pathlib
import signal
import subprocess
import sys
import time

import msgspec
import pytest
from vanillapitch_core import SystemClock
from vanillapitch_core.membership import MemberState
from vanillapitch_daemon.assembly import build_daemon
from vanillapitch_daemon.main import start_daemon, stop_daemon
from vanillapitch_daemon.membership import GetMembers

pytestmark = pytest.mark.integration

OBSERVERS = 3
PAUSE_S = 3.0
DEAD_BOUND_S = 35.0


@pytest.fixture
def observers(make_settings, make_backend):
    """Start daemons in this process, with the first one as the seed of the others."""
    daemons, seeds = [], ()
    for _ in range(OBSERVERS):
        settings = make_settings(make_backend().server_port)
        settings = msgspec.structs.replace(settings, seeds=seeds)
        seeds = seeds or (settings.listen.gossip,)
        daemon = build_daemon(settings, clock=SystemClock())
        start_daemon(daemon)
        daemons.append(daemon)
    yield daemons, seeds
    for daemon in daemons:
        stop_daemon(daemon, drain_timeout_ms=5_000)


@pytest.fixture
def start_process(make_settings, make_backend, observers, tmp_path):
    """Start ``vanillapitchd`` with the same settings each time."""
    settings = make_settings(make_backend().server_port)
    settings = msgspec.structs.replace(settings, seeds=observers[1])
    path = pathlib.Path(tmp_path, "settings.json")
    document = msgspec.to_builtins(settings, builtin_types=(str,), enc_hook=str)
    path.write_bytes(msgspec.json.encode(document))
    processes = []

    def start():
        command = [
            sys.executable,
            "-c",
            "from vanillapitch_daemon.main import main; main()",
        ]
        processes.append(subprocess.Popen([*command, "--settings", str(path)]))
        return processes[-1], str(settings.listen.peers)

    yield start
    for process in processes:
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()


def find_records(observers, address):
    """Return the instances and states that observers have recorded for an address."""
    found = set()
    for daemon in observers:
        records = daemon.fleet.membership.ask(GetMembers())
        matching = [r for r in records if r.address == address]
        found |= {(r.instance, r.state) for r in matching} or {None}
    return found


def wait_for_state(observers, address, state, timeout_s):
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        found = find_records(observers, address)
        if None not in found and {seen for _, seen in found} == {state}:
            return next(iter(found))[0]
        time.sleep(0.05)
    raise AssertionError(f"expected {state}, found {found}")


def test_a_paused_process_evicts_no_member_and_recovers(observers, start_process):
    # Guards against a daemon that does not become alive again after a pause of 3 s, and
    # against one that declares the others dead since its pings timed out in the pause.
    daemons, _ = observers
    process, address = start_process()
    instance = wait_for_state(daemons, address, MemberState.ALIVE, 15)
    process.send_signal(signal.SIGSTOP)
    time.sleep(PAUSE_S)
    process.send_signal(signal.SIGCONT)
    time.sleep(3)
    assert wait_for_state(daemons, address, MemberState.ALIVE, 15) == instance
    for daemon in daemons:
        own = str(daemon.endpoint.instance).rpartition("/")[0]
        wait_for_state(daemons, own, MemberState.ALIVE, 1)


def test_a_killed_process_is_declared_dead_and_replaced(observers, start_process):
    # Guards against a new daemon that is taken for its predecessor at the same address;
    # the killed one has to be declared dead within 35 s.
    daemons, _ = observers
    process, address = start_process()
    first = wait_for_state(daemons, address, MemberState.ALIVE, 15)
    process.kill()
    process.wait()
    assert wait_for_state(daemons, address, MemberState.DEAD, DEAD_BOUND_S) == first
    start_process()
    assert wait_for_state(daemons, address, MemberState.ALIVE, 15) != first
