"""Failure tests of the start of the daemon process."""

import socket
import subprocess
import sys

import msgspec
import pytest

pytestmark = pytest.mark.integration

EXIT_TIMEOUT_S = 10


@pytest.mark.parametrize("name", ["callers", "peers", "gossip", "admin"])
def test_an_address_in_use_ends_the_process(make_settings, tmp_path, name):
    # Guards against a process that neither serves nor ends, so that its supervisor does
    # not start it again.
    settings = make_settings(backend_port=1)
    address = getattr(settings.listen, name)
    kind = socket.SOCK_DGRAM if name == "gossip" else socket.SOCK_STREAM
    path = tmp_path / "settings.json"
    document = msgspec.to_builtins(settings, builtin_types=(str,), enc_hook=str)
    path.write_bytes(msgspec.json.encode(document))
    command = "from vanillapitch_daemon.main import main; main()"
    with socket.socket(type=kind) as other:
        other.bind((address.host, address.port))
        if kind == socket.SOCK_STREAM:
            other.listen()
        ended = subprocess.run(
            [sys.executable, "-c", command, "--settings", str(path)],
            capture_output=True,
            text=True,
            timeout=EXIT_TIMEOUT_S,
            check=False,
        )
    assert ended.returncode == 1
    assert "cannot listen" in ended.stderr
    assert str(address.port) in ended.stderr
