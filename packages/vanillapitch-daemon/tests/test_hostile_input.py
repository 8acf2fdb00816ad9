"""Tests of the listeners of the daemon with malformed input."""

import socket
import struct
import threading

import pytest
import urllib3
from hypothesis import strategies as st
from vanillapitch_wire.handshake import start_handshake

HTTP = st.lists(
    st.sampled_from(
        [
            b"GET / HTTP/1.1\r\n",
            b"POST /v1/tables HTTP/1.1\r\n",
            b"Host: shop.example\r\n",
            b"Content-Length: 5\r\n",
            b"Content-Length: -1\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Request-Timeout-Ms: 1e999\r\n",
            b"Idempotency-Key: \xff\r\n",
            b"Authorization: Bearer \xe9\r\n",
            b"5\r\nabcde\r\n",
            b"0\r\n\r\n",
            b"[" * 200,
            b"\r\n",
            b"\x00\xff",
        ]
    ),
    max_size=9,
).map(b"".join)
# A frame has a length before its Thrift message.
FRAMES = st.one_of(
    st.binary(max_size=60),
    st.binary(max_size=60).map(lambda data: struct.pack("!I", len(data)) + data),
    st.builds(
        lambda name, data: (
            struct.pack("!IIi", 12 + len(name) + len(data), 0x80010001, len(name))
            + name
            + struct.pack("!i", 1)
            + data
        ),
        st.sampled_from([b"owner:dispatch", b"peers:sync_digests", b"none", b":"]),
        st.binary(max_size=60),
    ),
)


def send(address, messages, *, is_authenticated=False):
    for message in messages:
        with socket.create_connection((address.host, address.port), 5) as sock:
            if is_authenticated:
                start_handshake(sock, b"k" * 32)
            sock.sendall(message)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )


def send_datagrams(address, messages):
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        for message in messages:
            sock.sendto(message, (address.host, address.port))


@pytest.mark.parametrize(
    "name", ["callers", "admin", "peers", "authenticated", "gossip"]
)
def test_random_bytes_at_a_listener_end_no_thread(
    make_backend, make_daemons, draw_examples, name
):
    # Guards against a malformed message that ends a thread of the daemon, which then
    # listens but no longer accepts, answers or spreads anything.
    (daemon,) = make_daemons(make_backend().server_port)
    listen = daemon.node._settings.listen
    threads = set(threading.enumerate())
    if name == "gossip":
        send_datagrams(listen.gossip, draw_examples(st.binary(max_size=300), 150))
    elif name == "authenticated":
        send(listen.peers, draw_examples(FRAMES, 150), is_authenticated=True)
    elif name == "peers":
        send(listen.peers, draw_examples(FRAMES, 150))
    else:
        send(getattr(listen, name), draw_examples(HTTP, 150))
    assert {thread.name for thread in threads if not thread.is_alive()} == set()
    with urllib3.PoolManager(retries=False, timeout=5) as pool:
        response = pool.request("GET", f"http://{listen.callers}/")
        ready = pool.request("GET", f"http://{listen.admin}/healthz")
    assert response.status == 200
    assert ready.status < 500
