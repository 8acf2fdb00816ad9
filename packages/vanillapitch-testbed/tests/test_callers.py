"""Tests of the callers of the testbed."""

import pytest
import urllib3
from vanillapitch_testbed.callers import Call, send


@pytest.mark.parametrize(
    ("response", "code", "fault"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal", "partial_answer", ""),
        (b"HTTP/1.1 200 OK\r\nContent-Le", "", "response of 0 bytes is not JSON"),
        (b"", "connection_lost", ""),
    ],
)
def test_a_cut_response_is_told_from_a_lost_connection(
    serve_connections, response, code, fault
):
    # Guards against a check of complete responses that never sees an incomplete one.
    def serve(connection):
        connection.recv(65_536)
        connection.sendall(response)

    address = "{}:{}".format(*serve_connections(serve))
    call = Call(service="catalog", method="GET", target="/a")
    send(urllib3.PoolManager(), call, address=address, timeout_ms=2_000)
    assert (call.code, call.fault) == (code, fault)
