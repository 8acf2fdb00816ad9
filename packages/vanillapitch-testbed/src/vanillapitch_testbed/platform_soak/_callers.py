"""Callers that keep their connections open until the daemon closes them."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time

import h11

__all__ = ["Caller", "Exchange"]

HOST = "shop.example"
ANSWER_TIMEOUT_S = 4.0
PAUSE_S = (0.0, 0.06)
REDIAL_S = 0.1
ONCE_SHARE = 0.3
MAX_BODY_BYTES = 200_000
DEADLINE_MS = 1_500


@dataclasses.dataclass(slots=True, kw_only=True)
class Exchange:
    """One request and what came back.

    Attributes
    ----------
    request_id, target : str
        The request.
    once : bool
        Whether it may run at most once.
    node : str
        VM whose daemon got it.
    sent_s, ended_s : float
        Monotonic times; 0 while it is under way.
    status : int
        0 when the connection ended first.
    body : bytes
        Body of a complete answer.
    signed : bool
        Whether the answer bore an endpoint's signature.
    """

    request_id: str
    target: str
    once: bool
    node: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""
    signed: bool = False


class Caller:
    """Task that sends one request after the other to one daemon.

    Parameters
    ----------
    node, address : str
        The daemon, as reached through its proxy.
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
        """Send until cancelled."""
        while True:
            with contextlib.suppress(OSError, TimeoutError, h11.RemoteProtocolError):
                await self._use_connection()
            await asyncio.sleep(REDIAL_S)

    async def _use_connection(self) -> None:
        host, _, port = self._address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        parser = h11.Connection(h11.CLIENT)
        try:
            while parser.our_state is h11.IDLE:
                await self._exchange(parser, reader, writer)
                if parser.our_state is h11.DONE and parser.their_state is h11.DONE:
                    parser.start_next_cycle()
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))
        finally:
            writer.close()

    async def _exchange(self, parser, reader, writer) -> None:
        exchange, body = self._next_request()
        self.exchanges.append(exchange)
        headers = [
            ("Host", HOST),
            ("X-Vanillapitch-Attempt-Id", exchange.request_id),
            ("X-Vanillapitch-Deadline-Ms", str(DEADLINE_MS)),
            ("Content-Length", str(len(body))),
        ]
        method = "POST" if exchange.once else "GET"
        head = h11.Request(method=method, target=exchange.target, headers=headers)
        data = parser.send(head)
        if body:
            data += parser.send(h11.Data(data=body))
        parser.send(h11.EndOfMessage())
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
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
                raise ConnectionResetError("closed without an answer")

    def _next_request(self) -> tuple[Exchange, bytes]:
        rng = self._rng
        once = rng.random() < ONCE_SHARE
        number = len(self.exchanges)
        service = rng.choice(self._services)
        work_ms = rng.choice((5, 5, 20, 150))
        exchange = Exchange(
            request_id=f"{self._name}-{number}",
            target=f"/{service}{'-once' if once else ''}/{number}?work_ms={work_ms}",
            once=once,
            node=self._node,
            sent_s=time.monotonic(),
        )
        size = rng.choice((10, 3_000, MAX_BODY_BYTES)) if once else 0
        return exchange, bytes(size)
