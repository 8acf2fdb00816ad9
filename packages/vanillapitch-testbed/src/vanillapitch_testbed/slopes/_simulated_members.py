"""Simulated members of a large fleet, as seen by one real daemon.

Each simulated member has its own UDP socket and acknowledges pings. Together, the
members ping the daemon once a second, which is the average rate in a real fleet. All
messages carry a valid HMAC.
"""

import random
import selectors
import socket
import threading
import time

from vanillapitch_core import SystemClock
from vanillapitch_core.membership import (
    MemberRecord,
    MemberState,
    Message,
    MessageKind,
    Status,
    instance_key,
    make_instance,
)
from vanillapitch_wire import GossipRejected
from vanillapitch_wire.gossip import decode_message, encode_message

__all__ = ["SimulatedMembers"]

# Six full records fit into the maximum message size of 1,400 bytes.
RECORDS_PER_MESSAGE = 6
PING_INTERVAL_S = 1.0
# Each member that receives an urgent update forwards it to 3 random members, so each
# member receives it 3 times on average.
URGENT_FANOUT = 3
ZONES = ("z-1", "z-2", "z-3", "z-4", "z-5")
SERVICES = 18
SLOTS = 12
_POLL_INTERVAL_S = 0.05
_CLOCK = SystemClock()


class SimulatedMembers:
    """Simulated members that exchange gossip with one real daemon; a context manager.

    Parameters
    ----------
    members : int
        Number of simulated members.
    daemon_gossip : str
        Gossip address of the real daemon.
    cluster_key : bytes
        Shared key of the fleet.
    restarts_per_s : float
        Members per second that leave and restart as a new incarnation.
    seed : int
        Seed for the choice of members that ping, restart or forward updates.
    """

    def __init__(
        self,
        *,
        members: int,
        daemon_gossip: str,
        cluster_key: bytes,
        restarts_per_s: float = 0.0,
        seed: int = 1,
    ):
        host, _, port = daemon_gossip.rpartition(":")
        self._daemon_address = (host, int(port))
        self._cluster_key = cluster_key
        self.restarts_per_s = restarts_per_s
        self._rng = random.Random(seed)
        self._selector = selectors.DefaultSelector()
        self._sockets = [self._open_socket(index) for index in range(members)]
        started_ms = int(_CLOCK.wall_ms())
        self._records = [
            _make_record(index, sock.getsockname(), started_ms)
            for index, sock in enumerate(self._sockets)
        ]
        self._revision = 0
        self._sequence = 0
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.sent_count = 0
        self.received_count = 0

    def __enter__(self) -> "SimulatedMembers":
        """Announce all members and start the thread that handles messages."""
        self._announce_all()
        self._thread.start()
        return self

    def __exit__(self, *_) -> None:
        """Stop the thread and close the sockets."""
        self._is_closed = True
        self._thread.join(timeout=2.0)
        self._selector.close()
        for sock in self._sockets:
            sock.close()

    @property
    def message_count(self) -> int:
        """Number of messages sent to and received from the daemon."""
        return self.sent_count + self.received_count

    def _open_socket(self, index: int) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        self._selector.register(sock, selectors.EVENT_READ, index)
        return sock

    def _announce_all(self) -> None:
        for start in range(0, len(self._records), RECORDS_PER_MESSAGE):
            records = tuple(self._records[start : start + RECORDS_PER_MESSAGE])
            self._send(start, MessageKind.UPDATE, records=records)
            # Pacing: the daemon's receive buffer holds about 180 of these messages.
            time.sleep(0.005)

    def _run(self) -> None:
        next_ping_s = next_restart_s = time.monotonic()
        while not self._is_closed:
            for key, _ in self._selector.select(_POLL_INTERVAL_S):
                self._receive(key.data)
            now_s = time.monotonic()
            if now_s >= next_ping_s:
                next_ping_s += PING_INTERVAL_S
                self._ping()
            if self.restarts_per_s and now_s >= next_restart_s:
                next_restart_s = now_s + 1.0 / self.restarts_per_s
                self._restart()

    def _receive(self, index: int) -> None:
        try:
            datagram = self._sockets[index].recv(2048)
            message = decode_message(
                datagram,
                cluster_key=self._cluster_key,
                wall_ms=int(_CLOCK.wall_ms()),
            )
        except (OSError, GossipRejected):
            return
        self.received_count += 1
        self._revision = max(self._revision, message.revision)
        if message.kind in (MessageKind.PING, MessageKind.PING_REQUEST):
            self._send(
                index,
                MessageKind.ACK,
                sequence=message.sequence,
                target=message.target or self._records[index].instance,
            )

    def _ping(self) -> None:
        self._sequence += 1
        index = self._rng.randrange(len(self._records))
        self._send(index, MessageKind.PING, sequence=self._sequence)

    def _restart(self) -> None:
        index = self._rng.randrange(len(self._records))
        previous = self._records[index]
        for state in (MemberState.LEAVING, MemberState.LEFT):
            departure = Status(
                key=instance_key(previous.instance),
                version=previous.version + 1,
                state=state,
            )
            for _ in range(URGENT_FANOUT):
                sender = self._rng.randrange(len(self._records))
                self._send(sender, MessageKind.UPDATE, statuses=(departure,))
        address = self._sockets[index].getsockname()
        restarted = _make_record(index, address, int(_CLOCK.wall_ms()))
        self._records[index] = restarted
        for _ in range(URGENT_FANOUT):
            self._send(index, MessageKind.UPDATE, records=(restarted,))

    def _send(self, index: int, kind: MessageKind, sequence: int = 0, **fields) -> None:
        record = self._records[index]
        message = Message(
            kind=kind,
            sequence=sequence,
            sender=record.instance,
            sender_version=record.version,
            sender_state=record.state,
            revision=self._revision,
            **fields,
        )
        datagram = encode_message(
            message, cluster_key=self._cluster_key, wall_ms=int(_CLOCK.wall_ms())
        )
        self._sockets[index].sendto(datagram, self._daemon_address)
        self.sent_count += 1


def _make_record(index: int, address: tuple, incarnation: int) -> MemberRecord:
    text = f"{address[0]}:{address[1]}"
    return MemberRecord(
        instance=make_instance(address=text, incarnation=incarnation),
        zone=ZONES[index % len(ZONES)],
        region="region-1" if index % len(ZONES) < 3 else "region-2",
        service=f"service-{index % SERVICES}",
        inner_address=text,
        gossip_address=text,
        state=MemberState.ALIVE,
        version=1,
        slots=SLOTS,
    )
