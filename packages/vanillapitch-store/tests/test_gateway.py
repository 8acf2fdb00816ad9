"""Tests of how the store client handles unusual responses."""

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
    """Responds to each call as set in the server's `respond`."""

    protocol_version = "HTTP/1.1"

    def do_POST(self):  # noqa: N802
        self.rfile.read(int(self.headers["Content-Length"]))
        self.server.paths.append(self.path)
        self.server.respond(self)

    def log_message(self, *arguments):
        """Suppress the access log."""


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


def make_response(status, body):
    def respond(handler):
        handler.send_response(status)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    return respond


def send_byte_by_byte(handler):
    handler.send_response(200)
    handler.send_header("Content-Length", "1000")
    handler.end_headers()
    for _ in range(20):
        handler.wfile.write(b" ")
        time.sleep(0.1)


@pytest.mark.parametrize(
    ("status", "body", "write_error", "read_error"),
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
def test_error_responses_show_whether_a_call_had_an_effect(
    gateway, client, status, body, write_error, read_error
):
    # Guards against a write that may have had an effect but raises StoreUnavailable,
    # which states that it had none, and against a read that raises
    # StoreOutcomeUnknown although it has no effect.
    gateway.respond = make_response(status, body)
    for operation, error in ((PUT, write_error), (Get(key="k"), read_error)):
        with pytest.raises(error) as raised:
            client.transact([], [operation])
        assert raised.type is error
    assert len(gateway.paths) == 2


def test_nested_write_counts_as_a_write(gateway, client):
    # Guards against a lost response reported as StoreUnavailable because the only write
    # is in a nested transaction, so that the call counts as a read.
    gateway.respond = make_response(503, b"")
    nested = Transaction(on_failure=(PUT,))
    with pytest.raises(StoreOutcomeUnknown):
        client.transact([], [nested])


def test_missing_lease_raises_lease_not_found(gateway, client):
    # Guards against a missing lease reported as a general rejection. The holder would
    # keep using the lost lease, and each of its claims would be rejected.
    body = b'{"code": 5, "message": "etcdserver: requested lease not found"}'
    gateway.respond = make_response(404, body)
    with pytest.raises(StoreLeaseNotFound):
        client.transact([], [PUT])


def test_response_sent_byte_by_byte_times_out(gateway, client):
    # Guards against a call without an overall time limit: a server that sends one byte
    # per 100 ms never exceeds the read timeout of 300 ms. The bound is 800 ms.
    gateway.respond = send_byte_by_byte
    started = time.monotonic()
    with pytest.raises(StoreOutcomeUnknown):
        client.transact([], [PUT])
    assert time.monotonic() - started < 2 * 0.3 + 0.2
