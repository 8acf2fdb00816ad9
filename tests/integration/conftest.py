"""Shared fixtures: a small fleet of real processes."""

import contextlib
import signal
import threading
import time

import pytest
import urllib3
from vanillapitch_testbed.callers import Call, send
from vanillapitch_testbed.checks import check_calls
from vanillapitch_testbed.fleet import DEPLOYMENTS, Fleet


@pytest.fixture(scope="session")
def shared_fleet():
    """Start one fleet for the session; `fleet` resets it before and after each test."""
    options = {"service_ms": 2, "warm_requests": 20, "warm_ms": 1_000}
    with Fleet(
        deployment=DEPLOYMENTS["small"],
        proxied=True,
        backend_options=options,
        limits={"drain_timeout_ms": 15_000},
    ) as fleet:
        yield fleet


@pytest.fixture
def fleet(shared_fleet):
    """Provide the fleet without faults, with all processes running."""
    reset_fleet(shared_fleet)
    yield shared_fleet
    reset_fleet(shared_fleet)


def reset_fleet(fleet):
    """Clear all faults, restart ended processes, return all zones to service."""
    fleet.set_store_faults()
    fleet.set_faults("store")
    for vm in fleet.vms:
        vm.daemon.send_signal(signal.SIGCONT)
        if not vm.backend.is_running():
            vm.backend.start()
        if not vm.daemon.is_running():
            fleet.restart_daemon(vm)
    for vm in fleet.vms:
        fleet.announce_until_accepted(vm)
        fleet.set_scenario(vm)
    for zone in fleet.tables(fleet.vms[0])["zones_out"]:
        assert fleet.set_zone(zone, in_service=True).status == 200


@pytest.fixture
def calls(fleet):
    """Collect the calls of a test, and check the invariants for them at its end."""
    recorded = []
    yield recorded
    violations = check_calls(recorded, fleet.journal())
    assert not violations, "\n".join(map(str, violations))


@pytest.fixture
def call(fleet, calls):
    """Return a function that sends a call through a daemon and records it."""
    pool = urllib3.PoolManager(maxsize=16, retries=False)

    def send_call(target, *, vm, method="GET", key="", body=b"", **options):
        service = target.strip("/").split("/")[0]
        record = Call(service=service, method=method, target=target, key=key)
        send(pool, record, address=vm.callers, body=body, **options)
        calls.append(record)
        return record

    yield send_call
    pool.clear()


@pytest.fixture
def in_background():
    """Return a function that runs another one in a thread.

    It returns a function that waits for the result. All threads are joined at the
    end of the test.
    """
    threads = []

    def run(function, *arguments, **options):
        results = []

        def target():
            results.append(function(*arguments, **options))

        thread = threading.Thread(target=target, daemon=True)
        threads.append(thread)
        thread.start()

        def result(timeout_s=30.0):
            thread.join(timeout_s)
            assert results, "the background call did not end before the timeout"
            return results[0]

        return result

    yield run
    for thread in threads:
        thread.join(30)


def eventually(condition, *, timeout_s, interval_s=0.05):
    """Poll a condition until it is true or the timeout is over; return its last value.

    An `HTTPError` in the condition counts as false.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = False
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            value = condition()
        if value or time.monotonic() > deadline_s:
            return value
        time.sleep(interval_s)


@pytest.fixture
def within():
    """Return `eventually`, which tests cannot import under importlib mode."""
    return eventually
