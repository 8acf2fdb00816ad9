"""TCP link of the fault-injecting proxy."""

import asyncio
import contextlib
import random
import time

from vanillapitch_testbed.proxy._faults import Faults, LinkCounters

__all__ = ["TcpLink"]

_READ_BYTES = 262_144
_MAX_QUEUED_CHUNKS = 16
_BLACK_HOLE_POLL_S = 0.02


class _ConnectionPair:
    """A caller's connection and the connection to the target that serves it."""

    def __init__(self, *, caller: asyncio.StreamWriter, target: asyncio.StreamWriter):
        self.writers = (caller, target)
        self.request_forwarded = False

    def cut(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class TcpLink:
    """Forwards connections from one address to another.

    Parameters
    ----------
    listen, target : str
        Addresses as ``IP:port``.
    seed : int
        Seed of the random choices.

    Attributes
    ----------
    refused_at_s : dict of int to float
        Monotonic time at which the target last refused a connection, by the port of
        the connection's caller.
    """

    def __init__(self, *, listen: str, target: str, seed: int = 1):
        self.listen = listen
        self.target = target
        self.faults = Faults()
        self.counters = LinkCounters()
        self.refused_at_s: dict[int, float] = {}
        self._random = random.Random(seed)
        self._pairs: set[_ConnectionPair] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.cut()

    def cut(self) -> int:
        """Reset all open connections and return their number."""
        pairs = list(self._pairs)
        for pair in pairs:
            pair.cut()
        self.counters.cut += len(pairs)
        return len(pairs)

    async def _serve(self, reader, writer) -> None:
        if self.faults.refuse:
            self.counters.refused += 1
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            caller_port = writer.get_extra_info("peername")[1]
            self.refused_at_s[caller_port] = time.monotonic()
            writer.transport.abort()
            return
        self.counters.connections += 1
        pair = _ConnectionPair(caller=writer, target=target_writer)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._forward(pair, reader, target_writer, is_response=False),
                self._forward(pair, target_reader, writer, is_response=True),
            )
        except asyncio.CancelledError:
            # The event loop of the proxy stops; the connections are reset below.
            return
        finally:
            self._pairs.discard(pair)
            pair.cut()

    async def _forward(self, pair, reader, writer, *, is_response: bool) -> None:
        queue: asyncio.Queue = asyncio.Queue(_MAX_QUEUED_CHUNKS)
        receiving = asyncio.ensure_future(
            self._receive(pair, reader, writer, queue, is_response)
        )
        sending = asyncio.ensure_future(self._send(pair, writer, queue))
        try:
            await sending
        finally:
            receiving.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await receiving

    async def _receive(self, pair, reader, writer, queue, is_response) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await reader.read(_READ_BYTES)
            except OSError:
                data = b""
            faults = self.faults
            if data and self._apply_fault(pair, writer, data, is_response):
                return
            delay_ms = faults.delay_ms + faults.jitter_ms * self._random.random()
            await queue.put((loop.time() + delay_ms / 1_000, data))
            if not data:
                return

    def _apply_fault(
        self, pair: _ConnectionPair, writer, data: bytes, is_response: bool
    ) -> bool:
        """Apply a fault that ends this direction; return whether one was applied."""
        faults = self.faults
        if self._random.random() < faults.cut_share:
            self.counters.cut += 1
            pair.cut()
            return True
        if not is_response:
            pair.request_forwarded = True
            if self._random.random() < faults.half_close_share:
                self.counters.half_closed += 1
                writer.write(data[: len(data) // 2])
                writer.write_eof()
                return True
            return False
        is_first, pair.request_forwarded = pair.request_forwarded, False
        if is_first and self._random.random() < faults.lose_answer_share:
            self.counters.lost_answers += 1
            pair.cut()
            return True
        return False

    async def _send(self, pair: _ConnectionPair, writer, queue: asyncio.Queue) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, data = await queue.get()
            if due_s > loop.time():
                await asyncio.sleep(due_s - loop.time())
            while self.faults.black_hole:
                await asyncio.sleep(_BLACK_HOLE_POLL_S)
            if not await _write(writer, data):
                pair.cut()
                return
            self.counters.bytes += len(data)
            if not data:
                return
            if self.faults.rate_bytes_per_s:
                await asyncio.sleep(len(data) / self.faults.rate_bytes_per_s)


async def _write(writer: asyncio.StreamWriter, data: bytes) -> bool:
    try:
        if not data:
            writer.write_eof()
        else:
            writer.write(data)
            await writer.drain()
    except (OSError, RuntimeError):
        return False
    return not writer.transport.is_closing()
