"""Callers that reuse a connection until the daemon closes it."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time

import h11

__all__ = ["Caller", "Exchange"]

HOST = "shop.example"
RESPONSE_TIMEOUT_S = 4.0
REQUEST_INTERVAL_S = (0.0, 0.06)
RECONNECT_DELAY_S = 0.1
AT_MOST_ONCE_SHARE = 0.3
MAX_BODY_BYTES = 200_000
DEADLINE_MS = 1_500


@dataclasses.dataclass(slots=True, kw_only=True)
class Exchange:
    """One request and its response.

    Attributes
    ----------
    request_id, target : str
        The request.
    at_most_once : bool
        Whether it may be executed at most once.
    node : str
        VM whose daemon received it.
    sent_s, ended_s : float
        Monotonic times; `ended_s` is 0 while the request is in flight.
    status : int
        HTTP status; 0 without a complete response.
    body : bytes
        Body of a complete response.
    signed : bool
        Whether the response has an endpoint's signature.
    port : int
        Local port of the connection.
    connecting_s : float
        Monotonic time before the connection was opened.
    """

    request_id: str
    target: str
    at_most_once: bool
    node: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""
    signed: bool = False
    port: int = 0
    connecting_s: float = 0.0


class Caller:
    """Sends requests to one daemon, one at a time.

    Parameters
    ----------
    node, address : str
        The daemon's VM and its address, which is that of a proxy.
    services : tuple of str
        Services to call.
    seed : int
        Seed of the requests.
    """

    _numbers = itertools.count(1)

    def __init__(
        self, *, node: str, address: str, services: tuple[str, ...], seed: int
    ):
        self.exchanges: list[Exchange] = []
        self._node = node
        self._address = address
        self._services = services
        self._rng = random.Random(seed)
        self._name = f"c{next(self._numbers)}"

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            with contextlib.suppress(OSError, TimeoutError, h11.RemoteProtocolError):
                await self._use_connection()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _use_connection(self) -> None:
        host, _, port = self._address.rpartition(":")
        connecting_s = time.monotonic()
        reader, writer = await asyncio.open_connection(host, int(port))
        parser = h11.Connection(h11.CLIENT)
        try:
            while parser.our_state is h11.IDLE:
                await self._exchange(parser, reader, writer, connecting_s)
                if parser.our_state is h11.DONE and parser.their_state is h11.DONE:
                    parser.start_next_cycle()
                await asyncio.sleep(self._rng.uniform(*REQUEST_INTERVAL_S))
        finally:
            writer.close()

    async def _exchange(self, parser, reader, writer, connecting_s: float) -> None:
        exchange, body = self._next_request()
        exchange.port = writer.get_extra_info("sockname")[1]
        exchange.connecting_s = connecting_s
        self.exchanges.append(exchange)
        headers = [
            ("Host", HOST),
            ("X-Vanillapitch-Attempt-Id", exchange.request_id),
            ("X-Vanillapitch-Deadline-Ms", str(DEADLINE_MS)),
            ("Content-Length", str(len(body))),
        ]
        method = "POST" if exchange.at_most_once else "GET"
        head = h11.Request(method=method, target=exchange.target, headers=headers)
        data = parser.send(head)
        if body:
            data += parser.send(h11.Data(data=body))
        parser.send(h11.EndOfMessage())
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                writer.write(data)
                await self._read(exchange, parser, reader)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            exchange.ended_s = time.monotonic()
            raise
        exchange.ended_s = time.monotonic()

    async def _read(self, exchange: Exchange, parser, reader) -> None:
        status, body, signed = 0, b"", False
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(65_536))
            elif isinstance(event, h11.Response):
                status = event.status_code
                names = [name for name, _ in event.headers]
                signed = b"x-vanillapitch-server-seal" in names
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                exchange.status, exchange.body, exchange.signed = status, body, signed
                return
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError(
                    "connection closed before a complete response"
                )

    def _next_request(self) -> tuple[Exchange, bytes]:
        rng = self._rng
        at_most_once = rng.random() < AT_MOST_ONCE_SHARE
        number = len(self.exchanges)
        service = rng.choice(self._services)
        work_ms = rng.choice((5, 5, 20, 150))
        exchange = Exchange(
            request_id=f"{self._name}-{number}",
            target=f"/{service}{'-once' if at_most_once else ''}/{number}"
            f"?work_ms={work_ms}",
            at_most_once=at_most_once,
            node=self._node,
            sent_s=time.monotonic(),
        )
        size = rng.choice((10, 3_000, MAX_BODY_BYTES)) if at_most_once else 0
        return exchange, bytes(size)
