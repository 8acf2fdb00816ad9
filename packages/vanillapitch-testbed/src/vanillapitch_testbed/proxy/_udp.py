"""UDP link of the fault-injecting proxy."""

import asyncio
import random

from vanillapitch_testbed.proxy._faults import Faults, LinkCounters

__all__ = ["UdpLink"]


class _TargetSocket(asyncio.DatagramProtocol):
    """Socket to the target for the datagrams of one sender."""

    def __init__(self, *, link: "UdpLink", sender: tuple):
        self._link = link
        self._sender = sender

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._link.forward(data, lambda: self._link.send_response(data, self._sender))


class UdpLink(asyncio.DatagramProtocol):
    """Forwards datagrams, and the target's responses to their sender.

    Parameters
    ----------
    listen, target : str
        Addresses as ``IP:port``.
    seed : int
        Seed of the random choices.
    """

    def __init__(self, *, listen: str, target: str, seed: int = 1):
        self.listen = listen
        self.target = target
        self.faults = Faults()
        self.counters = LinkCounters()
        self._random = random.Random(seed)
        self._transport: asyncio.DatagramTransport | None = None
        self._sockets_by_sender: dict[tuple, asyncio.Future] = {}

    async def start(self) -> None:
        """Start to listen."""
        host, _, port = self.listen.rpartition(":")
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )

    def stop(self) -> None:
        """Close all sockets."""
        if self._transport is not None:
            self._transport.close()
        for socket in self._sockets_by_sender.values():
            if socket.done() and not socket.exception():
                socket.result()[0].close()

    def cut(self) -> int:
        """Do nothing; UDP has no connections."""
        return 0

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Forward a datagram; part of `asyncio.DatagramProtocol`."""
        self.forward(
            data, lambda: asyncio.ensure_future(self._send_to_target(data, addr))
        )

    def forward(self, data: bytes, send) -> None:
        """Apply the faults to one datagram, and call `send` unless it is dropped."""
        faults = self.faults
        self.counters.datagrams += 1
        if faults.black_hole or self._random.random() < faults.cut_share:
            self.counters.datagrams_lost += 1
            return
        self.counters.bytes += len(data)
        delay_ms = faults.delay_ms + faults.jitter_ms * self._random.random()
        asyncio.get_running_loop().call_later(delay_ms / 1_000, send)

    def send_response(self, data: bytes, sender: tuple) -> None:
        """Send a response of the target back to a sender."""
        self._transport.sendto(data, sender)

    async def _send_to_target(self, data: bytes, sender: tuple) -> None:
        if sender not in self._sockets_by_sender:
            host, _, port = self.target.rpartition(":")
            loop = asyncio.get_running_loop()
            self._sockets_by_sender[sender] = asyncio.ensure_future(
                loop.create_datagram_endpoint(
                    lambda: _TargetSocket(link=self, sender=sender),
                    remote_addr=(host, int(port)),
                )
            )
        transport, _ = await self._sockets_by_sender[sender]
        transport.sendto(data)
