"""Connection to the backend server with a deadline and complete responses."""

import http.client
import socket

from urllib3.connection import HTTPConnection
from vanillapitch_core import Clock

__all__ = ["BackendConnection"]


class _LineReader:
    """File whose lines must be complete.

    `http.client` also takes the end of the stream for the end of a head, and a chunk
    size that is cut off for a whole one.
    """

    def __init__(self, file):
        self._file = file

    def readline(self, limit: int = -1) -> bytes:
        """Read a line; raises `http.client.RemoteDisconnected` if it is cut off."""
        line = self._file.readline(limit)
        if not line.endswith(b"\n") and len(line) != limit:
            raise http.client.RemoteDisconnected("a line of a response is incomplete")
        return line

    def __getattr__(self, name: str):
        return getattr(self._file, name)


class _Response(http.client.HTTPResponse):
    """Response whose head and chunk sizes must be complete."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.fp = _LineReader(self.fp)


class _DeadlineSocket(socket.socket):
    """Socket whose reads and writes time out at `deadline_ms`.

    The time-out of a socket applies to each read, so a server that sends a byte now and
    then would never reach it.
    """

    clock: Clock
    deadline_ms: float

    def recv_into(self, *arguments) -> int:
        """Receive; raises `TimeoutError` at the deadline."""
        self._start_timeout()
        return super().recv_into(*arguments)

    def sendall(self, *arguments) -> None:
        """Send all data; raises `TimeoutError` at the deadline."""
        self._start_timeout()
        super().sendall(*arguments)

    def _start_timeout(self) -> None:
        remaining_ms = self.deadline_ms - self.clock.now_ms()
        if remaining_ms <= 0:
            raise TimeoutError("the deadline has passed")
        self.settimeout(remaining_ms / 1000)


class BackendConnection(HTTPConnection):
    """Connection of urllib3 with complete responses and exchanges that end in time.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    clock : Clock
        Source of time.
    connect_timeout_ms : float
        Time limit for connecting, in milliseconds.
    """

    response_class = _Response

    def __init__(
        self, host: str, port: int, *, clock: Clock, connect_timeout_ms: float
    ):
        super().__init__(host, port, timeout=connect_timeout_ms / 1000)
        self._clock = clock

    def connect(self) -> None:
        """Connect; `set_deadline` must be called before a request."""
        super().connect()
        sock = _DeadlineSocket(fileno=self.sock.detach())
        sock.clock = self._clock
        sock.deadline_ms = 0.0
        self.sock = sock

    def set_deadline(self, deadline_ms: float) -> None:
        """Let reads and writes time out at a monotonic time in milliseconds."""
        if self.sock is not None:
            self.sock.deadline_ms = deadline_ms
