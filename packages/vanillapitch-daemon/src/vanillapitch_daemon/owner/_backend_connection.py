"""Connection to the backend server that rejects incomplete heads of responses."""

import http.client

from urllib3.connection import HTTPConnection

__all__ = ["BackendConnection"]


class _HeadReader:
    """File that records the last line read."""

    def __init__(self, file):
        self._file = file
        self.last_line = b""

    def readline(self, limit: int = -1) -> bytes:
        """Read and record a line."""
        self.last_line = self._file.readline(limit)
        return self.last_line

    def __getattr__(self, name: str):
        return getattr(self._file, name)


class _Response(http.client.HTTPResponse):
    """Response whose head must end with an empty line.

    `http.client` also accepts the end of the stream as the end of the head.
    """

    def begin(self) -> None:
        """Read the head; raises `http.client.RemoteDisconnected` if it is cut."""
        file = self.fp
        head = _HeadReader(file)
        self.fp = head
        super().begin()
        if self.fp is head:
            self.fp = file
        if head.last_line.strip(b"\r\n") or not head.last_line:
            raise http.client.RemoteDisconnected("the head of a response is incomplete")


class BackendConnection(HTTPConnection):
    """Connection of urllib3 with strict heads."""

    response_class = _Response
