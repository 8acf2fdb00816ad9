"""Tests of the recorder of the ends of claims, with scripted committers."""

import threading

import pytest
from vanillapitch_core import SystemClock
from vanillapitch_core.claims import (
    ChangeOutcome,
    ChangeStatus,
    ClaimRecord,
    ClaimState,
    finish_change,
)
from vanillapitch_daemon.claims import _recorder
from vanillapitch_daemon.claims._recorder import Recorder

APPLIED = ChangeOutcome(status=ChangeStatus.APPLIED)


class ScriptedRoutes:
    """Committers named like the keys; the one named ``slow`` answers on release."""

    def __init__(self):
        self.errors = []
        self.sent = threading.Semaphore(0)
        self.released = threading.Event()

    def committer(self, store_key, rank):
        return store_key

    def commit(self, committer, changes, deadline_ms):
        self.sent.release()
        if self.errors:
            raise self.errors.pop()
        if committer == "slow":
            self.released.wait(5)
        return [APPLIED] * len(changes)


class Holder:
    def tell(self, message):
        """Ignore that an end is stored."""


@pytest.fixture
def routes():
    routes = ScriptedRoutes()
    yield routes
    routes.released.set()


@pytest.fixture
def recorder(routes):
    recorder = Recorder(
        routes=routes,
        holder=Holder(),
        clock=SystemClock(),
        count_event=lambda event: None,
    )
    recorder.start()
    return recorder


def add(recorder, claim_id, store_key):
    record = ClaimRecord(claim_id=claim_id, fingerprint="f", holder="h")
    change = finish_change(store_key, record, state=ClaimState.DONE)
    recorder.add(claim_id, change)
    return change


def test_a_stop_reports_each_end_that_is_not_stored_once(recorder, routes, caplog):
    # Guards against a report that counts stored ends, or an end twice.
    add(recorder, "c1", "fast")
    add(recorder, "c2", "slow")
    assert routes.sent.acquire(timeout=5)
    assert routes.sent.acquire(timeout=5)
    assert not recorder.flush(100)
    assert "unsent=0 unconfirmed=1" in caplog.text


def test_ends_that_are_being_sent_count_for_the_limits(recorder, routes, monkeypatch):
    # Guards against a queue that grows beyond its limits while a committer is slow.
    monkeypatch.setattr(_recorder, "MAX_PENDING_COUNT", 1)
    change = add(recorder, "c1", "slow")
    assert routes.sent.acquire(timeout=5)
    room_bytes = _recorder.MAX_PENDING_BYTES - change.size_bytes
    assert recorder.has_capacity(room_bytes)
    assert not recorder.has_capacity(room_bytes + 1)
    add(recorder, "c2", "fast")
    routes.released.set()
    assert recorder.flush(5_000)
    assert recorder.has_capacity(_recorder.MAX_PENDING_BYTES)
    assert not routes.sent.acquire(blocking=False)


def test_an_unexpected_error_does_not_stop_the_recording(recorder, routes, monkeypatch):
    # Guards against ends that are never stored because one call failed unexpectedly.
    monkeypatch.setattr(_recorder, "FIRST_RETRY_MS", 10.0)
    routes.errors = [RuntimeError("broken")]
    add(recorder, "c1", "fast")
    assert routes.sent.acquire(timeout=5)
    assert recorder.flush(5_000)
