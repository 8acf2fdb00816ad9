"""All links of a daemon: outgoing ones to owners, incoming ones from ingresses."""

import asyncio
import dataclasses
from collections.abc import Callable

from vanillapitch_core.clock import Clock
from vanillapitch_wire.relay import (
    PROTOCOL_VERSION,
    Call,
    Cancel,
    Departure,
    EndpointReport,
    Hello,
    MemberInfo,
    Members,
    MembersRequest,
    Ping,
    Pong,
    Snapshot,
    SnapshotRequest,
    Strike,
    encode_frame,
)

from vanillapitch_relay.configuration_state import ConfigurationState
from vanillapitch_relay.departure_exchange import DepartureExchange
from vanillapitch_relay.departure_store import DepartureRecord
from vanillapitch_relay.documents import parse_address
from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.links import FramedConnection, OwnerLink
from vanillapitch_relay.model import Ending
from vanillapitch_relay.owner import Owner
from vanillapitch_relay.quarantine import Quarantine
from vanillapitch_relay.snapshot_exchange import SnapshotExchange
from vanillapitch_relay.store_reachability import StoreReachability
from vanillapitch_relay.store_timeline import StoreTimeline

__all__ = ["Hub"]

_log = EventLog(part="hub")

# A daemon that is not listed is redialled for this time, so that it is found again
# after a partition. Then its link is removed.
UNLISTED_RETENTION_MS = 30_000.0
# Interval of sending all members to the daemons that requested them, which finds those
# that removed their links to each other.
MEMBERS_REFRESH_MS = 30_000.0
# Complete lists of members that are sent between two checks of the links. A list of 200
# members has 15 KB, which takes 12 ms on a link of 10 Mbit/s.
MEMBER_LISTS_PER_CHECK = 2
# Introducers of other availability zones that a daemon asks for members while it
# reaches none of its own zone.
OTHER_ZONE_INTRODUCERS = 2
# Followers (daemons that watch the store): one per availability zone, but at least two
# in total. If one fails, changes still arrive without delay through another.
FOLLOWERS_PER_ZONE = 1
FOLLOWERS_MIN = 2
# Daemons of an availability zone that keep trying to watch while the store answers none
# of it. Failed calls are billed too.
FOLLOWERS_TRYING = 2
# Load reports are pushed to ingresses that sent a call within this time; the others get
# them in the pongs that answer their pings.
PUSH_WINDOW_MS = 1_500.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Incoming:
    """Incoming connection of an ingress, with its calls in flight."""

    connection: FramedConnection
    tasks_by_call_id: dict[int, asyncio.Task] = dataclasses.field(default_factory=dict)
    wants_members: bool = False
    members_due_ms: float = 0.0


class Hub:
    """Manages the links of this daemon.

    Parameters
    ----------
    member : MemberInfo
        Description of this daemon.
    clock : Clock
        Source of time.
    configuration : ConfigurationState
        Configuration, exchanged with peers, of which only some follow the store.
    reachability : StoreReachability
        Tracks whether the store answers this daemon.
    timeline : StoreTimeline
        Learns from peers that the store was restored.
    """

    def __init__(
        self,
        *,
        member: MemberInfo,
        clock: Clock,
        configuration: ConfigurationState,
        reachability: StoreReachability,
        timeline: StoreTimeline,
    ):
        self.links_by_node: dict[str, OwnerLink] = {}
        self.owner: Owner | None = None
        self.quarantine: Quarantine | None = None
        self.departures: DepartureExchange | None = None
        self.on_members: Callable[[int], None] = lambda count: None
        self._reachability = reachability
        self._timeline = timeline
        self._exchange = SnapshotExchange(clock=clock, configuration=configuration)
        self._member = member
        self._clock = clock
        self._configuration = configuration
        self._listed_members: dict[str, MemberInfo] = {}
        self._new_members_by_node: dict[str, MemberInfo] = {}
        self._member_lists_left = MEMBER_LISTS_PER_CHECK
        self._has_met_introducer = False
        self._incoming: dict[FramedConnection, _Incoming] = {}

    async def listen(self) -> asyncio.Server:
        """Listen for connections of ingresses."""
        host, port = parse_address(self._member.address)
        loop = asyncio.get_running_loop()
        return await loop.create_server(self._accept, host, port, backlog=512)

    def set_listed_members(self, members_by_node: dict[str, MemberInfo]) -> None:
        """Update the links to the members that the store lists.

        Parameters
        ----------
        members_by_node : dict of str to MemberInfo
            All listed daemons, this one included.
        """
        self._listed_members = {
            node: member
            for node, member in members_by_node.items()
            if node != self._member.node
        }
        for member in self._listed_members.values():
            self._ensure_link(member)
            self.links_by_node[member.node].member = member
        self._remove_stale_links()

    def check_links(self) -> None:
        """Ping the owners and exchange what is known about members."""
        for link in self.links_by_node.values():
            link.check()
        self._remove_stale_links()
        self._request_members()
        self._send_members()

    def count_zone_introducers(self) -> int:
        """Count the introducers of this zone that new daemons find, without this one.

        One that the store does not answer loses its key there.
        """
        return sum(link.store_reachable for link in self._zone_introducers())

    def become_introducer(self) -> None:
        """Record that this daemon is listed in the store, and notify its zone."""
        self._member.introducer = True
        self._has_met_introducer = True
        frame = encode_frame(Members(members=[self._member]))
        for link in self._links_of_zone():
            link.send_frame(frame)

    def _links_of_zone(self) -> list[OwnerLink]:
        zone = self._member.zone
        links = self.links_by_node.values()
        return [link for link in links if link.is_up and link.member.zone == zone]

    def _zone_introducers(self) -> list[OwnerLink]:
        return [link for link in self._links_of_zone() if link.member.introducer]

    def _request_members(self) -> None:
        introducers = self._zone_introducers()
        self._has_met_introducer |= bool(introducers)
        if not introducers:
            others = [
                link
                for _, link in sorted(self.links_by_node.items())
                if link.is_up and link.member.introducer
            ]
            introducers = others[:OTHER_ZONE_INTRODUCERS]
        for link in introducers:
            if not link.is_subscribed:
                link.is_subscribed = True
                link.send(MembersRequest())

    def _send_members(self) -> None:
        """Send the members that are new since the last call, and lists that are due."""
        now_ms = self._clock.now_ms()
        members = list(self._new_members_by_node.values())
        self._new_members_by_node.clear()
        subscribers = [item for item in self._incoming.values() if item.wants_members]
        if members:
            frame = encode_frame(Members(members=members))
            for incoming in subscribers:
                incoming.connection.send_frame(frame)
        self._member_lists_left = MEMBER_LISTS_PER_CHECK
        for incoming in subscribers:
            if incoming.members_due_ms <= now_ms:
                self._send_member_list(incoming)

    def _send_member_list(self, incoming: _Incoming) -> None:
        """Send all members, or leave it to the next check if many lists were sent."""
        if self._member_lists_left > 0:
            self._member_lists_left -= 1
            incoming.members_due_ms = self._clock.now_ms() + MEMBERS_REFRESH_MS
            incoming.connection.send(Members(members=self._reachable_members()))

    def _reachable_members(self) -> list[MemberInfo]:
        links = self.links_by_node.values()
        return [self._member, *(link.member for link in links if link.is_up)]

    def _receive_members(self, message: Members) -> None:
        for member in message.members:
            if member.node == self._member.node:
                continue
            link = self.links_by_node.get(member.node)
            if link is None or not link.is_up:
                self._ensure_link(member)
            elif member.introducer and link.member.address == member.address:
                link.member = member

    def _remove_stale_links(self) -> None:
        """Remove links to daemons that are neither listed nor reachable."""
        now_ms = self._clock.now_ms()
        for node, link in list(self.links_by_node.items()):
            is_stale = node not in self._listed_members and not link.is_up
            if is_stale and now_ms - link.down_since_ms > UNLISTED_RETENTION_MS:
                _log.info("member_gone", node=node, address=link.member.address)
                link.stop()
                del self.links_by_node[node]
        self.on_members(1 + len(self.links_by_node))

    def publish_load(self, report: EndpointReport) -> None:
        """Push a report to the ingresses that recently sent calls to this owner."""
        now_ms = self._clock.now_ms()
        frame = encode_frame(report)
        for incoming in self._incoming.values():
            if now_ms - incoming.connection.last_call_ms <= PUSH_WINDOW_MS:
                incoming.connection.send_frame(frame)

    def publish_state(self, report: EndpointReport) -> None:
        """Push a report with a changed state to all ingresses."""
        self._send_to_ingresses(report)

    def publish_strike(self, strike: Strike) -> None:
        """Send a strike to all peers."""
        self._send_to_owners(strike)
        self._send_to_ingresses(strike)

    def publish_departure(self, record: DepartureRecord) -> None:
        """Have other daemons hold the departure of this daemon's endpoint."""
        self.departures.share(record, links=self.links_by_node.values())

    def publish_revision(self) -> None:
        """Notify all owners immediately that the configuration changed."""
        self._send_to_owners(
            Ping(number=0, revision=self._configuration.changed_revision)
        )

    def make_hello(self) -> Hello:
        """Return the hello message of this daemon."""
        return Hello(
            protocol=PROTOCOL_VERSION,
            member=self._member,
            report=self.owner.report(),
            strikes=self.quarantine.active_strikes(),
            store_reachable=self._reachability.is_reachable,
        )

    def is_follower(self) -> bool:
        """Return whether this daemon is a follower, that is, watches the store.

        Followers are the first daemons, by node name, that can reach the store. A
        daemon that has met no introducer yet does not know which others there are.
        """
        if not self._has_met_introducer:
            return False
        links_ahead = [
            link
            for node, link in self.links_by_node.items()
            if node < self._member.node and link.is_up
        ]
        zones_ahead = [link.member.zone for link in links_ahead]
        is_late = zones_ahead.count(self._member.zone) >= FOLLOWERS_TRYING
        if is_late and not self._reachability.is_reachable:
            return False
        ahead = [link.member.zone for link in links_ahead if link.store_reachable]
        is_first_of_zone = ahead.count(self._member.zone) < FOLLOWERS_PER_ZONE
        return is_first_of_zone or len(ahead) < FOLLOWERS_MIN

    def publish_store_reachability(self) -> None:
        """Notify all ingresses immediately whether the store answers this daemon."""
        self._send_to_ingresses(self._make_pong(0))

    def _send_to_owners(self, message: Strike | Ping) -> None:
        frame = encode_frame(message)
        for link in self.links_by_node.values():
            link.send_frame(frame)

    def _send_to_ingresses(self, message: EndpointReport | Strike | Pong) -> None:
        frame = encode_frame(message)
        for incoming in self._incoming.values():
            incoming.connection.send_frame(frame)

    def _make_pong(self, number: int) -> Pong:
        return Pong(
            number=number,
            report=self.owner.report(),
            store_reachable=self._reachability.is_reachable,
        )

    def stop(self) -> None:
        """Close all links."""
        for link in self.links_by_node.values():
            link.stop()
        for incoming in list(self._incoming.values()):
            incoming.connection.abort()

    def _ensure_link(self, member: MemberInfo) -> None:
        link = self.links_by_node.get(member.node)
        if link is not None and link.member.address == member.address:
            return
        self._new_members_by_node[member.node] = member
        if link is not None:
            link.stop()
        link = OwnerLink(
            member=member,
            clock=self._clock,
            make_hello=self.make_hello,
            revision=lambda: self._configuration.changed_revision,
            on_message=self._on_link_message,
        )
        self.links_by_node[member.node] = link
        link.start()
        self.on_members(1 + len(self.links_by_node))

    def _accept(self) -> FramedConnection:
        connection = FramedConnection(
            on_message=self._on_incoming_message, on_lost=self._on_incoming_lost
        )
        self._incoming[connection] = _Incoming(connection=connection)
        return connection

    def _on_incoming_lost(self, connection: FramedConnection, reason: str) -> None:
        incoming = self._incoming.pop(connection, None)
        if incoming is None:
            return
        for task in incoming.tasks_by_call_id.values():
            task.cancel()
        if incoming.tasks_by_call_id:
            _log.info(
                "ingress_lost",
                node=connection.node,
                reason=reason,
                cancelled=len(incoming.tasks_by_call_id),
            )

    def _on_incoming_message(
        self, connection: FramedConnection, message: object
    ) -> None:
        incoming = self._incoming.get(connection)
        if incoming is None:
            return
        if isinstance(message, Call):
            self._start_call(incoming, message)
        elif isinstance(message, Cancel):
            task = incoming.tasks_by_call_id.get(message.id)
            if task is not None:
                task.cancel()
        elif isinstance(message, Ping):
            self._answer_ping(connection, message)
        elif isinstance(message, Hello):
            self._on_ingress_hello(connection, message)
        elif isinstance(message, MembersRequest):
            incoming.wants_members = True
            self._send_member_list(incoming)
        else:
            self._on_peer_message(connection, message)

    def _start_call(self, incoming: _Incoming, call: Call) -> None:
        connection = incoming.connection
        connection.last_call_ms = self._clock.now_ms()
        task = asyncio.get_running_loop().create_task(
            self.owner.execute(call, source=connection.node)
        )
        call_id = call.id
        incoming.tasks_by_call_id[call_id] = task

        def finish(done: asyncio.Task) -> None:
            incoming.tasks_by_call_id.pop(call_id, None)
            if done.cancelled():
                return
            error = done.exception()
            if error is not None:
                # Other calls share the connection, so only this one fails.
                _log.warning(
                    "call_broke", request_id=call.request_id, error=repr(error)
                )
                connection.send(self.owner.make_reply(call, Ending.FAILED, "broken"))
                return
            connection.send(done.result())

        task.add_done_callback(finish)

    def _answer_ping(self, connection: FramedConnection, ping: Ping) -> None:
        if ping.number:
            connection.send(self._make_pong(ping.number))
        self._on_revision(connection, ping.revision)

    def _on_ingress_hello(self, connection: FramedConnection, hello: Hello) -> None:
        if hello.protocol != PROTOCOL_VERSION:
            _log.warning(
                "protocol_differs", node=hello.member.node, version=hello.protocol
            )
            connection.abort()
            return
        connection.node = hello.member.node
        connection.send(self.make_hello())
        for departure in self.departures.list_for(hello.member.node):
            connection.send(departure)
        self._ensure_link(hello.member)
        self.links_by_node[hello.member.node].redial()
        self._apply_hello(connection, hello)

    def _on_link_message(self, link: OwnerLink, message: object) -> None:
        if isinstance(message, Hello):
            self._apply_hello(link, message)
            if message.member.introducer:
                self._request_members()
        elif isinstance(message, Pong):
            self._on_revision(link, message.report.revision)
        elif isinstance(message, EndpointReport):
            self._on_revision(link, message.revision)
        else:
            self._on_peer_message(link, message)

    def _apply_hello(self, peer: OwnerLink | FramedConnection, hello: Hello) -> None:
        self._on_revision(peer, hello.report.revision)
        for strike in hello.strikes:
            self.quarantine.receive(strike, source=hello.member.node)

    def _on_revision(self, peer: OwnerLink | FramedConnection, revision: int) -> None:
        link = self.links_by_node.get(_node_of(peer))
        self._timeline.observe_peer(revision)
        is_same_zone = link is not None and link.member.zone == self._member.zone
        self._exchange.receive_revision(
            revision, is_same_zone=is_same_zone, send=peer.send
        )

    def _on_peer_message(
        self, peer: OwnerLink | FramedConnection, message: object
    ) -> None:
        if isinstance(message, SnapshotRequest):
            self._exchange.answer_request(message, send=peer.send)
        elif isinstance(message, Snapshot):
            self._exchange.receive_snapshot(message, source=_node_of(peer))
        elif isinstance(message, Strike):
            self.quarantine.receive(message, source="peer")
        elif isinstance(message, Members):
            self._receive_members(message)
        elif isinstance(message, Departure):
            self.departures.receive(message)
        else:
            _log.warning("message_unexpected", kind=type(message).__name__)


def _node_of(peer: OwnerLink | FramedConnection) -> str:
    return peer.member.node if isinstance(peer, OwnerLink) else peer.node
