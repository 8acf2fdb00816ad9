"""Tests of authenticated connections between daemons."""

import socket
import time

import pytest
from vanillapitch_core import SystemClock
from vanillapitch_wire import (
    CallCancelled,
    CallTimedOut,
    ConnectFailed,
    HandshakeFailed,
    Server,
    connect,
)
from vanillapitch_wire.dispatch import (
    OWNER_SERVICE,
    DispatchReply,
    DispatchRequest,
    LoadReport,
    OwnerClient,
    OwnerProcessor,
)

KEY = b"k" * 32
MAX_FRAME_BYTES = 20_000_000


class EchoHandler:
    """Replies with the request's body after the delay in ms given by its target."""

    def dispatch(self, request):
        time.sleep(float(request.target) / 1000)
        return DispatchReply(
            request_id=request.request_id,
            status=200,
            headers=[],
            body=request.body,
            refusal_code="",
            outcome="ran",
            detail="",
            report=LoadReport(
                in_flight=0, limit=1, state="ready", latency_ms=1.0, revision=1
            ),
            instance="a",
        )


@pytest.fixture
def server():
    server = Server(
        address=("127.0.0.1", 0),
        cluster_key=KEY,
        processors_by_service={OWNER_SERVICE: OwnerProcessor(EchoHandler())},
        max_frame_bytes=MAX_FRAME_BYTES,
        worker_threads=4,
    )
    server.start()
    yield server
    server.close()


def open_connection(server, key=KEY):
    return connect(
        address=("127.0.0.1", server.port),
        cluster_key=key,
        max_frame_bytes=MAX_FRAME_BYTES,
        timeout_ms=1000,
    )


def call(connection, *, body=b"", delay_ms=0, timeout_ms=5000, is_cancelled=None):
    client = connection.client(OWNER_SERVICE, OwnerClient)
    request = DispatchRequest(
        request_id="r1",
        pool="p",
        method="GET",
        target=str(delay_ms),
        headers=[],
        body=body,
        remaining_ms=timeout_ms,
        attempt=1,
        priority=5,
        idempotent=True,
        revision=1,
    )
    clock = SystemClock()
    return connection.call(
        send=lambda: client.send_dispatch(request),
        receive=client.recv_dispatch,
        clock=clock,
        deadline_ms=clock.now_ms() + timeout_ms,
        is_cancelled=is_cancelled,
    )


def test_call_returns_the_reply_with_a_large_body(server):
    # Guards against a frame limit below the body limit, with which a call with an 8 MiB
    # body would fail.
    body = bytes(range(256)) * 32_768
    assert call(open_connection(server), body=body).body == body


def test_wrong_key_is_rejected(server):
    # Guards against a handshake that accepts a client with another key. Such a client
    # could read and change the daemon's state.
    with pytest.raises(HandshakeFailed):
        open_connection(server, key=b"x" * 32)


def test_server_ignores_bytes_without_a_handshake(server):
    # Guards against a server that serves calls before the client has proved the key: 64
    # bytes that are not a valid proof must close the connection.
    with socket.create_connection(("127.0.0.1", server.port), timeout=5) as sock:
        sock.recv(32)
        sock.sendall(b"\0" * 64)
        assert sock.recv(1) == b""


def test_refused_connection_raises_connect_failed():
    # Guards against a refused connection reported as a lost call. ConnectFailed states
    # that no byte was sent, whereas a lost call may have been executed.
    with socket.create_server(("127.0.0.1", 0)) as unused:
        address = unused.getsockname()
    with pytest.raises(ConnectFailed):
        connect(
            address=address,
            cluster_key=KEY,
            max_frame_bytes=MAX_FRAME_BYTES,
            timeout_ms=1000,
        )


def test_late_reply_ends_the_call(server):
    # Guards against a call that waits past its deadline of 100 ms because the reply
    # takes 500 ms, and against the late reply as the result of a later call: the
    # connection that receives it must not count as reusable.
    connection = open_connection(server)
    with pytest.raises(CallTimedOut):
        call(connection, body=b"first", delay_ms=500, timeout_ms=100)
    time.sleep(0.6)
    assert connection.is_stale()
    assert call(open_connection(server), body=b"second").body == b"second"


def test_cancelled_call_ends_early(server):
    # Guards against a call that waits for its reply, here for 2 s, although its caller
    # has disconnected.
    with pytest.raises(CallCancelled):
        call(open_connection(server), delay_ms=2000, is_cancelled=lambda: True)


def test_closed_idle_connection_is_stale(server):
    # Guards against reuse of a connection that the peer closed while it was idle: the
    # next call on it would be lost.
    connection = open_connection(server)
    call(connection)
    assert not connection.is_stale()
    server.close()
    time.sleep(0.05)
    assert connection.is_stale()
