"""Small HTTP/1.1 server on asyncio for the simulated services.

It is a protocol class with callbacks, which adds about 60 microseconds to a request;
asyncio streams with a task for each request add about three times that.
"""

import asyncio
import dataclasses
import http
from collections.abc import Callable

__all__ = ["HttpConnection", "HttpRequest", "split_target"]

_MAX_HEADER_BYTES = 65_536
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


@dataclasses.dataclass(slots=True, kw_only=True)
class HttpRequest:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class HttpConnection(asyncio.Protocol):
    """One connection, which serves one request at a time.

    `on_request` is called with the connection and the request, and responds at once or
    later with `respond`. The handler may set `on_close`, which is called when the
    connection is lost before the response to the current request, and `on_lost`, which
    is called whenever the connection is lost.
    """

    def __init__(self, *, on_request: Callable[["HttpConnection", HttpRequest], None]):
        self._on_request = on_request
        self._buffer = bytearray()
        self._head: tuple[str, str, dict[str, str], int, int] | None = None
        self._serving_request = False
        self._close_after = False
        self._transport: asyncio.Transport | None = None
        self.on_close: Callable[[], None] | None = None
        self.on_lost: Callable[[], None] | None = None
        self.closed = False
        self.requests = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport; part of `asyncio.Protocol`."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler of the disconnect; part of `asyncio.Protocol`."""
        self.closed = True
        if self.on_lost is not None:
            self.on_lost()
        if self.on_close is not None:
            self.on_close()

    def data_received(self, data: bytes) -> None:
        """Buffer bytes until a request is complete; part of `asyncio.Protocol`."""
        self._buffer += data
        if not self._serving_request:
            self._parse()

    def abort(self) -> None:
        """Reset the connection without a response."""
        if self._transport is not None:
            self._transport.abort()

    def send_truncated(self, *, headers: dict[str, str], body: bytes) -> None:
        """Send the headers and half of the body, then close the connection."""
        lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        self._transport.write(head + body[: len(body) // 2])
        self.on_close = None
        self._transport.close()

    def respond(
        self,
        *,
        status: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        close: bool = False,
    ) -> None:
        """Send a response, then serve the next request of the connection."""
        if self.closed:
            return
        lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Unknown')}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        lines.append(f"Content-Length: {len(body)}")
        if close or self._close_after:
            lines.append("Connection: close")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        self._transport.write(head + body)
        self.on_close = None
        self._serving_request = False
        if close or self._close_after:
            self._transport.close()
        elif self._buffer:
            self._parse()

    def _parse(self) -> None:
        if self._head is None and not self._parse_head():
            return
        method, target, headers, body_start, length = self._head
        if len(self._buffer) < body_start + length:
            return
        body = bytes(memoryview(self._buffer)[body_start : body_start + length])
        del self._buffer[: body_start + length]
        self._head = None
        self._serving_request = True
        self.requests += 1
        self._close_after = headers.get("connection", "").lower() == "close"
        self._on_request(
            self,
            HttpRequest(method=method, target=target, headers=headers, body=body),
        )

    def _parse_head(self) -> bool:
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self._buffer) > _MAX_HEADER_BYTES:
                self.abort()
            return False
        lines = bytes(self._buffer[:end]).decode("latin-1").split("\r\n")
        try:
            method, target, _ = lines[0].split(" ")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
        except ValueError:
            self.respond(status=400, close=True)
            return False
        if "transfer-encoding" in headers:
            self.respond(status=501, close=True)
            return False
        if headers.get("expect", "").lower() == "100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._head = (method, target, headers, end + 4, length)
        return True


def split_target(target: str) -> tuple[str, dict[str, str]]:
    """Split a request target into its path and its query parameters."""
    path, _, query = target.partition("?")
    fields = {}
    for field in query.split("&"):
        name, separator, value = field.partition("=")
        if separator:
            fields[name] = value
    return path, fields
