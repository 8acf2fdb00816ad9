"""Tests of what the store client makes of unusual answers."""

import http.server
import threading
import time

import pytest
from vanillapitch_store import (
    EtcdGatewayStore,
    Get,
    Put,
    StoreCompacted,
    StoreLeaseNotFound,
    StoreOutcomeUnknown,
    StoreRejected,
    StoreUnavailable,
    Transaction,
)

PUT = Put(key="k", value=b"v")


class ScriptedHandler(http.server.BaseHTTPRequestHandler):
    """Answers every call with the server's status and body."""

    protocol_version = "HTTP/1.1"

    def do_POST(self):  # noqa: N802
        self.rfile.read(int(self.headers["Content-Length"]))
        self.server.paths.append(self.path)
        self.server.answer(self)

    def log_message(self, *arguments):
        """Keep the output of tests free of access logs."""


@pytest.fixture
def gateway():
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), ScriptedHandler)
    server.daemon_threads = True
    server.paths = []
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield server
    server.shutdown()
    server.server_close()


@pytest.fixture
def client(gateway):
    address = f"127.0.0.1:{gateway.server_port}"
    client = EtcdGatewayStore(addresses=[address], timeout_ms=300)
    yield client
    client.close()


def answering(status, body):
    def answer(handler):
        handler.send_response(status)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    return answer


def trickling(handler):
    handler.send_response(200)
    handler.send_header("Content-Length", "1000")
    handler.end_headers()
    for _ in range(20):
        handler.wfile.write(b" ")
        time.sleep(0.1)


@pytest.mark.parametrize(
    ("status", "body", "writing_error", "reading_error"),
    [
        (503, b"overloaded", StoreOutcomeUnknown, StoreUnavailable),
        (503, b'{"code": 14}', StoreOutcomeUnknown, StoreUnavailable),
        (504, b'{"code": 4}', StoreOutcomeUnknown, StoreUnavailable),
        (429, b'{"code": 8}', StoreUnavailable, StoreUnavailable),
        (400, b'{"code": 3}', StoreRejected, StoreRejected),
        (400, b'{"code": 11}', StoreCompacted, StoreCompacted),
        (200, b"not json", StoreOutcomeUnknown, StoreUnavailable),
        (200, b'{"responses": [{}]}', StoreOutcomeUnknown, StoreUnavailable),
        (302, b"", StoreOutcomeUnknown, StoreUnavailable),
    ],
)
def test_answers_tell_effects_apart(
    gateway, client, status, body, writing_error, reading_error
):
    # Guards against a write that may have had an effect and is called unavailable, and
    # against a reading that reports an unknown outcome.
    gateway.answer = answering(status, body)
    for operation, error in ((PUT, writing_error), (Get(key="k"), reading_error)):
        with pytest.raises(error) as raised:
            client.transact([], [operation])
        assert raised.type is error
    assert len(gateway.paths) == 2


def test_nested_write_counts_as_a_write(gateway, client):
    # Guards against a nested write whose lost answer is called unavailable.
    gateway.answer = answering(503, b"")
    nested = Transaction(on_failure=(PUT,))
    with pytest.raises(StoreOutcomeUnknown):
        client.transact([], [nested])


def test_missing_lease_is_told_apart(gateway, client):
    # Guards against claims that are refused for as long as a lost lease is kept.
    body = b'{"code": 5, "message": "etcdserver: requested lease not found"}'
    gateway.answer = answering(404, body)
    with pytest.raises(StoreLeaseNotFound):
        client.transact([], [PUT])


def test_trickling_answer_is_given_up_in_time(gateway, client):
    # Guards against a call that lasts as long as single bytes arrive.
    gateway.answer = trickling
    started = time.monotonic()
    with pytest.raises(StoreOutcomeUnknown):
        client.transact([], [PUT])
    assert time.monotonic() - started < 2 * 0.3 + 0.2
