"""Simulated caller: sends each request on a new connection."""

import asyncio
import dataclasses
import secrets
from collections.abc import Sequence

import h11

__all__ = ["CallerResponse", "read_pipelined", "send_pipelined", "send_request"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerResponse:
    """A response as a caller received it.

    Attributes
    ----------
    status : int
        HTTP status; 0 when the connection ended before the response headers.
    headers : dict of str to str
        Headers by name in lower case.
    body : bytes
        The part of the body that arrived.
    complete : bool
        Whether the response arrived completely.
    request_id : str
        Id of the attempt that the caller sent.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    request_id: str


async def send_request(
    address: str,
    target: str,
    *,
    host: str = "shop.example",
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 1_000,
    headers: dict[str, str] | None = None,
    request_id: str | None = None,
    timeout_s: float = 5.0,
) -> CallerResponse:
    """Send a request and read its response.

    Parameters
    ----------
    address : str
        ``host:port`` of the daemon.
    target : str
        Path with query.
    host : str
        Host header.
    method : str
        HTTP method.
    body : bytes
        Request body; sent with ``Content-Length``.
    deadline_ms : int
        Deadline of the request, as a time from now.
    headers : dict of str to str or None
        Additional headers.
    request_id : str or None
        Id of the attempt; None generates one.
    timeout_s : float
        Time after which `TimeoutError` is raised.

    Returns
    -------
    CallerResponse
        The response, possibly incomplete.
    """
    request_id = secrets.token_hex(8) if request_id is None else request_id
    sent = {
        "Host": host,
        "X-Vanillapitch-Attempt-Id": request_id,
        "X-Vanillapitch-Deadline-Ms": str(deadline_ms),
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    parser = h11.Connection(h11.CLIENT)
    data = parser.send(
        h11.Request(method=method, target=target, headers=list(sent.items()))
    )
    if body:
        data += parser.send(h11.Data(data=body))
    parser.send(h11.EndOfMessage())
    host_name, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host_name, int(port))
        try:
            writer.write(data)
            return await _read_response(reader, parser, request_id)
        finally:
            writer.close()


async def send_pipelined(
    address: str, targets: Sequence[str], *, method: str = "GET", deadline_ms: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send requests without a body on one connection, without awaiting responses.

    Parameters
    ----------
    address : str
        ``host:port`` of the daemon.
    targets : sequence of str
        Target of each request; the ids of the attempts are ``p0``, ``p1`` and so on.
    method : str
        HTTP method.
    deadline_ms : int
        Deadline of each request.

    Returns
    -------
    asyncio.StreamReader, asyncio.StreamWriter
        The connection, which delivers the responses.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for number, target in enumerate(targets):
        writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Vanillapitch-Attempt-Id: p{number}\r\nContent-Length: 0\r\n"
            f"X-Vanillapitch-Deadline-Ms: {deadline_ms}\r\n\r\n".encode()
        )
    return reader, writer


async def read_pipelined(
    reader: asyncio.StreamReader, *, timeout_s: float = 5.0
) -> tuple[int, str, bytes]:
    """Read the next response of a connection of `send_pipelined`.

    Parameters
    ----------
    reader : asyncio.StreamReader
        The connection.
    timeout_s : float
        Time after which `TimeoutError` is raised.

    Returns
    -------
    status : int
        HTTP status.
    request_id : str
        Id of the attempt that the response names; empty for none.
    body : bytes
        The body.
    """
    async with asyncio.timeout(timeout_s):
        head = await reader.readuntil(b"\r\n\r\n")
        line, *fields = head.decode("latin-1").lower().split("\r\n")[:-2]
        headers = dict(field.split(": ", 1) for field in fields)
        body = await reader.readexactly(int(headers["content-length"]))
    request_id = headers.get("x-vanillapitch-attempt-id", "")
    return int(line.split(" ")[1]), request_id, body


async def _read_response(
    reader: asyncio.StreamReader, parser: h11.Connection, request_id: str
) -> CallerResponse:
    status = 0
    headers: dict[str, str] = {}
    body = b""
    complete = False
    try:
        while not complete:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(65_536))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {
                    name.decode(): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                complete = True
            elif isinstance(event, h11.ConnectionClosed):
                break
    except (h11.RemoteProtocolError, ConnectionError):
        # A broken connection is a result that the tests check.
        complete = False
    return CallerResponse(
        status=status,
        headers=headers,
        body=body,
        complete=complete,
        request_id=request_id,
    )
