"""Stand-in of a caller: one request on a connection of its own."""

import asyncio
import dataclasses
import secrets

import h11

__all__ = ["CallerAnswer", "send_request"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerAnswer:
    """What a caller received.

    Attributes
    ----------
    status : int
        HTTP status; 0 when the connection ended without an answer.
    headers : dict of str to str
        Headers by name in lower case.
    body : bytes
        The body, as far as it came.
    complete : bool
        Whether the answer was whole.
    request_id : str
        Id that the caller sent.
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
) -> CallerAnswer:
    """Send a request and read its answer.

    Parameters
    ----------
    address : str
        ``host:port`` of the daemon.
    target : str
        Path with query.
    host : str
        Host header.
    method : str
        Method.
    body : bytes
        Body; sent with a length.
    deadline_ms : int
        How long the caller waits.
    headers : dict of str to str or None
        Further headers.
    request_id : str or None
        Id of the attempt; None makes one.
    timeout_s : float
        Time after which `TimeoutError` is raised.

    Returns
    -------
    CallerAnswer
        What came back.
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
            return await _read_answer(reader, parser, request_id)
        finally:
            writer.close()


async def _read_answer(
    reader: asyncio.StreamReader, parser: h11.Connection, request_id: str
) -> CallerAnswer:
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
        # A cut connection is a result that the tests check.
        complete = False
    return CallerAnswer(
        status=status,
        headers=headers,
        body=body,
        complete=complete,
        request_id=request_id,
    )
