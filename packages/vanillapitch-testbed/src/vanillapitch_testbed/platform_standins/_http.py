"""Small HTTP server whose handlers write raw bytes, for faulty responses."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

__all__ = ["RawRequest", "encode_response", "serve"]

MAX_HEAD_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RawRequest:
    """A request as received.

    Attributes
    ----------
    method, target : str
        Method, and path with query.
    headers : dict of str to str
        Headers by name in lower case.
    body : bytes
        The body.
    local_host : str
        Host at which it was received.
    is_disconnected : callable
        Returns whether the connection has been closed.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    local_host: str
    is_disconnected: Callable[[], bool]


Handler = Callable[[RawRequest, asyncio.StreamWriter], Awaitable[bool]]


def encode_response(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Encode a complete response with ``Content-Length``."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def serve(
    address: str,
    handle: Handler,
    *,
    more_hosts: tuple[str, ...] = (),
    on_open: Callable[[asyncio.StreamWriter], None] = lambda writer: None,
) -> asyncio.Server:
    """Serve requests sequentially on each connection.

    Parameters
    ----------
    address : str
        ``host:port``.
    handle : Handler
        Writes the response; returns whether the connection stays open.
    more_hosts : tuple of str
        Additional hosts to listen on, with the same port.
    on_open : callable
        Called with each new connection.

    Returns
    -------
    asyncio.Server
        The running server.
    """

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        on_open(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                request = await _read_request(reader, writer)
                if not await handle(request, writer):
                    break
                await writer.drain()
        writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(
        run, [host, *more_hosts], int(port), limit=MAX_HEAD_BYTES
    )


async def _read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> RawRequest:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip().split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return RawRequest(
        method=method,
        target=target,
        headers=headers,
        body=body,
        local_host=writer.get_extra_info("sockname")[0],
        is_disconnected=lambda: reader.at_eof() or writer.transport.is_closing(),
    )
