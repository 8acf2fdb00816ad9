"""UDP socket of membership messages and the timer of the failure detector."""

import socket
import threading
from collections.abc import Callable

from vanillapitch_core import Clock
from vanillapitch_core.membership import MAX_MESSAGE_BYTES, Message
from vanillapitch_wire import GossipMalformed, GossipRejected
from vanillapitch_wire.gossip import decode_message, encode_message

from vanillapitch_daemon.logs import get_log
from vanillapitch_daemon.membership._ports import GossipMeter

__all__ = ["GossipSocket"]

TICK_INTERVAL_MS = 100
# Holds the messages of about one second while all members send refutations at once.
RECEIVE_BUFFER_BYTES = 262_144
# A peer with another cluster key would otherwise fill the log.
DROP_LOG_INTERVAL_MS = 60_000

_log = get_log("membership")


class GossipSocket:
    """Receives, checks and sends membership messages.

    Only its thread receives; it calls a function for each authentic message and each
    tick. Any thread may send.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port to listen on.
    cluster_key : bytes
        Shared key.
    clock : Clock
        Source of time.
    meter : GossipMeter
        Counts bytes and rejected messages.
    """

    def __init__(
        self,
        *,
        address: tuple[str, int],
        cluster_key: bytes,
        clock: Clock,
        meter: GossipMeter,
    ):
        self._cluster_key = cluster_key
        self._clock = clock
        self._meter = meter
        self._closed = False
        self._next_log_ms = 0.0
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            self._sock.bind(address)
        except OSError as error:
            self._sock.close()
            text = f"{error.strerror} (UDP address {address[0]}:{address[1]})"
            raise OSError(error.errno, text) from error
        self._thread: threading.Thread | None = None

    @property
    def port(self) -> int:
        """UDP port that the socket is bound to."""
        return self._sock.getsockname()[1]

    def start(
        self,
        *,
        on_message: Callable[[Message, str], None],
        on_tick: Callable[[], None],
    ) -> None:
        """Start the receiving thread.

        Parameters
        ----------
        on_message : callable
            Called with each message and the address that it came from.
        on_tick : callable
            Called every `TICK_INTERVAL_MS`.
        """
        self._thread = threading.Thread(
            target=self._run,
            args=(on_message, on_tick),
            name="gossip-socket",
            daemon=True,
        )
        self._thread.start()

    def send(self, message: Message, address: str) -> None:
        """Send a message; one that cannot be sent is dropped, like a lost datagram.

        Parameters
        ----------
        message : Message
            The message.
        address : str
            Gossip address of the receiver.
        """
        datagram = encode_message(
            message, cluster_key=self._cluster_key, wall_ms=self._clock.wall_ms()
        )
        host, _, port = address.rpartition(":")
        try:
            self._sock.sendto(datagram, (host.strip("[]"), int(port)))
        except (OSError, ValueError) as error:
            _log.debug(
                "Could not send a membership message", address=address, error=error
            )
            return
        self._meter.add_bytes("sent", len(datagram))

    def close(self) -> None:
        """Stop the thread and close the socket."""
        self._closed = True
        if self._thread is not None:
            self._thread.join(timeout=1.0)
        self._sock.close()

    def _run(
        self,
        on_message: Callable[[Message, str], None],
        on_tick: Callable[[], None],
    ) -> None:
        next_tick_ms = self._clock.now_ms()
        while not self._closed:
            now_ms = self._clock.now_ms()
            if now_ms >= next_tick_ms:
                on_tick()
                next_tick_ms = now_ms + TICK_INTERVAL_MS
            self._receive(max(1.0, next_tick_ms - now_ms), on_message)

    def _receive(
        self, timeout_ms: float, on_message: Callable[[Message, str], None]
    ) -> None:
        self._sock.settimeout(timeout_ms / 1000)
        try:
            # One byte more than allowed, to detect messages that are too large.
            datagram, source = self._sock.recvfrom(MAX_MESSAGE_BYTES + 1)
        except TimeoutError:
            return
        except OSError as error:
            # An earlier message was sent to a closed port; the next receive succeeds.
            _log.debug("Could not receive a membership message", error=error)
            return
        self._meter.add_bytes("received", len(datagram))
        message = self._decode(datagram, source)
        if message is not None:
            on_message(message, _address_text(source))

    def _decode(self, datagram: bytes, source: tuple) -> Message | None:
        try:
            return decode_message(
                datagram, cluster_key=self._cluster_key, wall_ms=self._clock.wall_ms()
            )
        except GossipRejected as error:
            self._drop(error.reason, source)
        except GossipMalformed:
            self._drop("malformed", source)
        return None

    def _drop(self, reason: str, source: tuple) -> None:
        self._meter.count_drop(reason)
        now_ms = self._clock.now_ms()
        if now_ms < self._next_log_ms:
            return
        self._next_log_ms = now_ms + DROP_LOG_INTERVAL_MS
        _log.warning(
            "Dropped a membership message", reason=reason, source=_address_text(source)
        )


def _address_text(source: tuple) -> str:
    host, port = source[0], source[1]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
