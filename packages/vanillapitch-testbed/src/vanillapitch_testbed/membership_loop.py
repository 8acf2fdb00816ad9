"""Discrete-event simulation of membership: many daemons in one thread.

Tests and `vanillapitch_testbed.membership_slopes` use it to check convergence and to
measure bytes, messages and convergence time. It has no model of machines or of load;
messages are encoded only to count their bytes.
"""

import collections
import heapq
import random
from collections.abc import Callable

from vanillapitch_core.membership import (
    UDP_HEADER_BYTES,
    Announce,
    Effect,
    Event,
    MemberChanged,
    MemberRecord,
    MembershipSettings,
    MembershipState,
    MemberState,
    MessageReceived,
    RecordsReceived,
    RevisionAdopted,
    RevisionReceived,
    SeedsReceived,
    Send,
    StartSync,
    SyncBytesSent,
    SyncFinished,
    Tick,
    answer_digests,
    differences,
    handle,
    make_digests,
    make_instance,
    make_state,
)
from vanillapitch_wire.gossip import encode_members, encode_message

__all__ = ["MembershipLoop"]

_TICK_MS = 100.0
_CLUSTER_KEY = b"k" * 32
# Instance names, digests and Thrift framing of one anti-entropy exchange, without the
# records.
_SYNC_REQUEST_BYTES = 640
_SYNC_REPLY_BYTES = 120
_REVISION_FETCH_MS = 10.0


class MembershipLoop:
    """Membership state machines of daemons, driven by an event queue on virtual time.

    Parameters
    ----------
    seed : int
        Seed of every random choice.
    delay_ms : tuple of float
        Minimum and maximum delay of a message.
    loss : float
        Probability that a message is lost.
    settings : MembershipSettings, optional
        Settings of every daemon; the defaults when not given.

    Attributes
    ----------
    states_by_address : dict of str to MembershipState
        Membership state of each running daemon.
    paused : set of str
        Addresses of daemons that are suspended; messages to them are queued.
    is_blocked : callable
        Returns whether the network drops messages from one address to another.
    sent_bytes_by_address, received_bytes_by_address : Counter
        Bytes since the last reset, with IP and UDP headers and with anti-entropy.
    message_count : int
        Messages sent since the last reset.
    event_count : int
        Events handled since the start.
    largest_message_bytes : int
        Size of the largest message, without headers.
    changes : list of tuple
        Time, observer and record of each `MemberChanged`.
    """

    def __init__(
        self,
        *,
        seed: int,
        delay_ms: tuple[float, float] = (0.5, 3.0),
        loss: float = 0.0,
        settings: MembershipSettings | None = None,
    ):
        self.now_ms = 0.0
        self.loss = loss
        self.states_by_address: dict[str, MembershipState] = {}
        self.paused: set[str] = set()
        self.is_blocked: Callable[[str, str], bool] = lambda source, target: False
        self.sent_bytes_by_address: collections.Counter[str] = collections.Counter()
        self.received_bytes_by_address: collections.Counter[str] = collections.Counter()
        self.message_count = 0
        self.event_count = 0
        self.largest_message_bytes = 0
        self.changes: list[tuple[float, str, MemberRecord]] = []
        self._settings = settings
        self._delay_ms = delay_ms
        self._rng = random.Random(seed)
        self._queue: list[tuple[float, int, str, Event | None]] = []
        self._sequence = 0
        self._pending_events_by_address: dict[str, list[Event]] = {}

    def start(
        self,
        address: str,
        *,
        zone: str = "zone-a",
        incarnation: int | None = None,
        seeds: tuple[str, ...] = (),
    ) -> None:
        """Start a daemon, which uses one address for calls and gossip.

        Parameters
        ----------
        address : str
            ``IP:port``.
        zone : str
            Availability zone.
        incarnation : int, optional
            Incarnation; derived from the virtual time when not given.
        seeds : tuple of str
            Gossip addresses of some peers.
        """
        if incarnation is None:
            incarnation = 1_700_000_000_000 + int(self.now_ms)
        own = MemberRecord(
            instance=make_instance(address=address, incarnation=incarnation),
            zone=zone,
            region=f"region-of-{zone}",
            service="catalog",
            inner_address=address,
            gossip_address=address,
            state=MemberState.JOINING,
            version=1,
            slots=12,
        )
        rng = random.Random(self._rng.random())
        self.states_by_address[address] = make_state(
            own=own, rng=rng, now_ms=self.now_ms, settings=self._settings
        )
        self.apply(address, SeedsReceived(now_ms=self.now_ms, gossip_addresses=seeds))
        self.apply(address, Announce(now_ms=self.now_ms, state=MemberState.ALIVE))
        self._push(self._rng.uniform(0.0, _TICK_MS), address, None)

    def start_fleet(self, count: int, *, zones: int = 5) -> list[str]:
        """Start daemons that already hold the records of all others.

        Parameters
        ----------
        count : int
            Number of daemons.
        zones : int
            Number of zones, assigned round-robin.

        Returns
        -------
        list of str
            Their addresses.
        """
        addresses = [
            f"10.0.{index // 250}.{index % 250}:7001" for index in range(count)
        ]
        for index, address in enumerate(addresses):
            self.start(address, zone=f"zone-{index % zones}")
        records = tuple(state.own for state in self.states_by_address.values())
        for address, state in self.states_by_address.items():
            self.apply(address, RecordsReceived(now_ms=self.now_ms, records=records))
            state.send_counts_by_address.clear()
            state.urgent_addresses.clear()
            for member_address in state.learned_ms_by_address:
                state.learned_ms_by_address[member_address] = -1e9
        return addresses

    def kill(self, address: str) -> None:
        """Remove a daemon without a leave message, as in a crash."""
        del self.states_by_address[address]
        self._pending_events_by_address.pop(address, None)

    def resume(self, address: str) -> None:
        """Resume a paused daemon; it handles its tick and the queued messages late."""
        self.paused.discard(address)
        for event in self._pending_events_by_address.pop(address, []):
            self._push(0.0, address, event)
        self._push(0.0, address, None)

    def run(self, duration_ms: float) -> None:
        """Advance virtual time.

        Parameters
        ----------
        duration_ms : float
            Time to advance.
        """
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, address, event = heapq.heappop(self._queue)
            self._deliver(address, event)
        self.now_ms = end_ms

    def run_until(self, is_done: Callable[[], bool], *, limit_ms: float) -> float:
        """Advance virtual time until a condition holds.

        Parameters
        ----------
        is_done : callable
            The condition, evaluated every 100 ms of virtual time.
        limit_ms : float
            Maximum time to advance.

        Returns
        -------
        float
            Virtual time until the condition held; at least `limit_ms` if it did not.
        """
        start_ms = self.now_ms
        while not is_done() and self.now_ms - start_ms < limit_ms:
            self.run(_TICK_MS)
        return self.now_ms - start_ms

    def view(self, observer: str, address: str) -> MemberState | None:
        """Return the state that one daemon has recorded for another, or None."""
        record = self.states_by_address[observer].members_by_address.get(address)
        return record.state if record else None

    def reset_counts(self) -> None:
        """Set the counts of bytes and messages to zero."""
        self.sent_bytes_by_address.clear()
        self.received_bytes_by_address.clear()
        self.message_count = 0

    def apply(self, address: str, event: Event) -> None:
        """Pass an event to a daemon and execute the resulting effects."""
        self.event_count += 1
        for effect in handle(self.states_by_address[address], event):
            self._execute(address, effect)

    def _push(self, delay_ms: float, address: str, event: Event | None) -> None:
        self._sequence += 1
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._queue, (due_ms, self._sequence, address, event))

    def _deliver(self, address: str, event: Event | None) -> None:
        if address not in self.states_by_address:
            return
        if address in self.paused:
            if event is not None:
                self._pending_events_by_address.setdefault(address, []).append(event)
            return
        if event is None:
            self._push(_TICK_MS, address, None)
            event = Tick(now_ms=self.now_ms)
        elif isinstance(event, MessageReceived):
            event = MessageReceived(
                now_ms=self.now_ms, message=event.message, source=event.source
            )
        elif isinstance(event, RevisionAdopted):
            event = RevisionAdopted(now_ms=self.now_ms, revision=event.revision)
        self.apply(address, event)

    def _execute(self, address: str, effect: Effect) -> None:
        if isinstance(effect, Send):
            self._send(address, effect)
        elif isinstance(effect, StartSync):
            self._sync(address, effect.peer_address)
        elif isinstance(effect, RevisionReceived):
            adopted = RevisionAdopted(now_ms=self.now_ms, revision=effect.revision)
            self._push(_REVISION_FETCH_MS, address, adopted)
        elif isinstance(effect, MemberChanged):
            self.changes.append((self.now_ms, address, effect.record))

    def _send(self, source: str, effect: Send) -> None:
        datagram = encode_message(
            effect.message, cluster_key=_CLUSTER_KEY, wall_ms=2**41
        )
        self.largest_message_bytes = max(self.largest_message_bytes, len(datagram))
        size_bytes = len(datagram) + UDP_HEADER_BYTES
        self.message_count += 1
        self.sent_bytes_by_address[source] += size_bytes
        target = effect.address
        if self.is_blocked(source, target) or self._rng.random() < self.loss:
            return
        self.received_bytes_by_address[target] += size_bytes
        event = MessageReceived(
            now_ms=self.now_ms, message=effect.message, source=source
        )
        self._push(self._rng.uniform(*self._delay_ms), target, event)

    def _sync(self, address: str, peer: str) -> None:
        is_reachable = peer in self.states_by_address and peer not in self.paused
        if not is_reachable or self.is_blocked(address, peer):
            self.apply(address, SyncFinished(now_ms=self.now_ms, is_complete=False))
            return
        state = self.states_by_address[address]
        now_ms = self.now_ms
        reply = answer_digests(
            self.states_by_address[peer], now_ms, make_digests(state)
        )
        encoded_reply = encode_members(records=reply.records, strikes=reply.strikes)
        self._record_sync_bytes(address, peer, _SYNC_REQUEST_BYTES)
        self._record_sync_bytes(peer, address, _SYNC_REPLY_BYTES + len(encoded_reply))
        self.apply(address, RecordsReceived(now_ms=now_ms, records=reply.records))
        missing = differences(state, now_ms, reply)
        if missing:
            self._record_sync_bytes(address, peer, len(encode_members(records=missing)))
            self.apply(peer, RecordsReceived(now_ms=now_ms, records=missing))
        is_complete = not reply.is_truncated
        self.apply(address, SyncFinished(now_ms=now_ms, is_complete=is_complete))

    def _record_sync_bytes(self, source: str, target: str, size_bytes: int) -> None:
        self.sent_bytes_by_address[source] += size_bytes
        self.received_bytes_by_address[target] += size_bytes
        self.apply(source, SyncBytesSent(now_ms=self.now_ms, size_bytes=size_bytes))
