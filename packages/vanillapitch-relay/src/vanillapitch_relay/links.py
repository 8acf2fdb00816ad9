"""Connections between daemons.

An ingress connects to every owner that it may send calls to. Calls, replies,
cancellations and reports share the connection; pings detect one that is unresponsive.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import socket
from collections.abc import Callable

from vanillapitch_core.clock import Clock
from vanillapitch_wire.relay import (
    PROTOCOL_VERSION,
    Call,
    Cancel,
    EndpointReport,
    FrameDecoder,
    FrameInvalid,
    Hello,
    MemberInfo,
    Ping,
    Pong,
    Reply,
    encode_frame,
)

from vanillapitch_relay.documents import parse_address
from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.model import EndpointState

__all__ = ["FramedConnection", "LinkBroken", "LinkDown", "OwnerLink"]

_log = EventLog(part="links")

CONNECT_TIMEOUT_MS = 600.0
REDIAL_DELAY_MIN_MS = 100.0
REDIAL_DELAY_MAX_MS = 1_000.0
# A link in use is pinged more often, because its calls hang while it is unresponsive.
PING_INTERVAL_MS = 400.0
IDLE_PING_INTERVAL_MS = 2_000.0
IN_USE_WINDOW_MS = 3_000.0
# Slow VMs answer a ping within this time.
PING_TIMEOUT_MS = 1_000.0
# Time after which the kernel closes a connection with unacknowledged bytes.
TCP_USER_TIMEOUT_MS = 2_500
_STATES = frozenset(state.value for state in EndpointState)


class LinkBroken(Exception):  # noqa: N818
    """The link ended while a call was in flight."""


class LinkDown(Exception):  # noqa: N818
    """The link was down, so the call was not sent."""


class FramedConnection(asyncio.Protocol):
    """A connection that carries framed messages.

    Parameters
    ----------
    on_message : callable
        Called with the connection and each message.
    on_lost : callable
        Called once with the connection and the reason of its end.
    """

    def __init__(self, *, on_message: Callable, on_lost: Callable):
        self.node = ""
        self.last_call_ms = 0.0
        self._on_message = on_message
        self._on_lost = on_lost
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and limit the time that bytes stay unacknowledged."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )

    def data_received(self, data: bytes) -> None:
        """Decode frames and pass on their messages."""
        try:
            for message in self._decoder.feed(data):
                self._on_message(self, message)
        except FrameInvalid as error:
            _log.warning("frame_invalid", node=self.node, reason=str(error))
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Report that the connection ended."""
        self._on_lost(self, str(error or "closed"))

    def send(self, message: object) -> None:
        """Send a message; does nothing on a connection that is closing."""
        self.send_frame(encode_frame(message))

    def send_frame(self, frame: bytes) -> None:
        """Send an encoded message; does nothing on a connection that is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(frame)

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()


def _stay() -> bool:
    return False


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _PendingCall:
    """A call without a reply, and the connection on which it was sent."""

    connection: FramedConnection
    future: asyncio.Future[Reply]
    may_move: Callable[[], bool]


class OwnerLink:
    """The link of this daemon's ingress to one owner.

    A connection whose pings are not answered is replaced. Its calls may still be
    executing, so it is kept for their replies until it ends or none is left.

    Parameters
    ----------
    member : MemberInfo
        The owner.
    clock : Clock
        Source of time.
    make_hello : callable
        Returns the hello message of this daemon.
    revision : callable
        Returns the revision of the last configuration change known to this daemon.
    on_message : callable
        Called with the link and each message except replies.
    """

    def __init__(
        self,
        *,
        member: MemberInfo,
        clock: Clock,
        make_hello: Callable[[], Hello],
        revision: Callable[[], int],
        on_message: Callable[["OwnerLink", object], None],
    ):
        self.member = member
        self.report: EndpointReport | None = None
        self.reported_at_ms = 0.0
        self.sent_since_report = 0
        self.store_reachable = False
        self.down_since_ms = clock.now_ms()
        # Whether the members were requested on the current connection.
        self.is_subscribed = False
        self._clock = clock
        self._make_hello = make_hello
        self._revision = revision
        self._on_other_message = on_message
        self._connection: FramedConnection | None = None
        self._pending_by_call_id: dict[int, _PendingCall] = {}
        self._silent_connections: set[FramedConnection] = set()
        self._call_ids = itertools.count(1)
        self._pings = itertools.count(1)
        self._last_received_ms = 0.0
        self._last_used_ms = 0.0
        self._last_ping_ms = 0.0
        self._missed_checks = 0
        self._connection_ended = asyncio.Event()
        self._redial_requested = asyncio.Event()
        self._task: asyncio.Task | None = None

    @property
    def is_up(self) -> bool:
        """Whether the owner has sent a report on the current connection."""
        return self._connection is not None and self.report is not None

    @property
    def state(self) -> EndpointState:
        """State of the owner's endpoint as last reported."""
        if self.report is None:
            return EndpointState.UNKNOWN
        return EndpointState(self.report.state)

    def start(self) -> None:
        """Start to connect, and reconnect when the connection ends."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop reconnecting and abort the connection."""
        if self._task is not None:
            self._task.cancel()
        if self._connection is not None:
            self._connection.abort()
        for connection in self._silent_connections:
            connection.abort()

    def send(self, message: object) -> None:
        """Send a message that is not a call."""
        if self._connection is not None:
            self._connection.send(message)

    def send_frame(self, frame: bytes) -> None:
        """Send an encoded message that is not a call."""
        if self._connection is not None:
            self._connection.send_frame(frame)

    async def call(self, call: Call, *, may_move: Callable[[], bool] = _stay) -> Reply:
        """Send a call and wait for its reply; cancellation is sent to the owner.

        Parameters
        ----------
        call : Call
            The call; its id is set here.
        may_move : callable
            Called if the owner becomes unresponsive. If it returns true, the call is
            cancelled and `LinkBroken` is raised. Otherwise, it waits for the reply
            while the connection lasts.

        Returns
        -------
        Reply
            The owner's reply.

        Raises
        ------
        LinkDown
            If the link is down; the call was not sent.
        LinkBroken
            If the link ended; the call may have been executed.
        """
        call.id = next(self._call_ids)
        connection = self._connection
        if connection is None:
            raise LinkDown(self.member.node)
        pending = _PendingCall(
            connection=connection,
            future=asyncio.get_running_loop().create_future(),
            may_move=may_move,
        )
        self._pending_by_call_id[call.id] = pending
        self.sent_since_report += 1
        self._last_used_ms = self._clock.now_ms()
        connection.send(call)
        try:
            return await pending.future
        except (asyncio.CancelledError, LinkBroken):
            connection.send(Cancel(id=call.id))
            raise
        finally:
            self._pending_by_call_id.pop(call.id, None)
            if connection in self._silent_connections:
                self._end_silent_connection(connection)

    def redial(self) -> None:
        """Reconnect immediately if the link is down, as the owner is reachable."""
        if self._connection is None:
            self._redial_requested.set()

    async def _run(self) -> None:
        delay_ms = REDIAL_DELAY_MIN_MS
        while True:
            self._redial_requested.clear()
            if await self._dial():
                delay_ms = REDIAL_DELAY_MIN_MS
                await self._connection_ended.wait()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_ms / 1_000.0):
                    await self._redial_requested.wait()
            delay_ms = min(REDIAL_DELAY_MAX_MS, 2.0 * delay_ms)

    async def _dial(self) -> bool:
        loop = asyncio.get_running_loop()
        self._connection_ended.clear()
        try:
            host, port = parse_address(self.member.address)
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1_000.0):
                _, connection = await loop.create_connection(
                    lambda: FramedConnection(
                        on_message=self._on_message, on_lost=self._on_lost
                    ),
                    host,
                    port,
                )
        except (OSError, TimeoutError, ValueError):
            # Not logged: the link stays down, and each change of its state is logged.
            return False
        connection.node = self.member.node
        self._connection = connection
        self._last_received_ms = self._clock.now_ms()
        connection.send(self._make_hello())
        return True

    def check(self) -> None:
        """Ping if it is due, and abort a connection whose ping is not answered."""
        connection = self._connection
        if connection is None:
            return
        now_ms = self._clock.now_ms()
        if self._last_ping_ms > self._last_received_ms:
            # Two checks must fail, because this process itself may have been suspended.
            self._missed_checks += now_ms - self._last_ping_ms >= PING_TIMEOUT_MS
            if self._missed_checks >= 2:
                self._replace_silent_connection(connection)
            return
        self._missed_checks = 0
        in_use = (
            now_ms - self._last_used_ms < IN_USE_WINDOW_MS or self._pending_by_call_id
        )
        interval_ms = PING_INTERVAL_MS if in_use else IDLE_PING_INTERVAL_MS
        if now_ms - self._last_ping_ms >= interval_ms:
            self._last_ping_ms = now_ms
            self.send(Ping(number=next(self._pings), revision=self._revision()))

    def _replace_silent_connection(self, connection: FramedConnection) -> None:
        """Reconnect; calls that may not move keep waiting on the old connection."""
        calls = self._calls_on(connection)
        _log.warning("link_silent", node=self.member.node, calls=len(calls))
        self._silent_connections.add(connection)
        self._mark_down()
        for pending in calls:
            if not pending.future.done() and pending.may_move():
                pending.future.set_exception(LinkBroken("the owner is unresponsive"))
        self._end_silent_connection(connection)

    def _end_silent_connection(self, connection: FramedConnection) -> None:
        if not self._calls_on(connection):
            connection.abort()

    def _calls_on(self, connection: FramedConnection) -> list[_PendingCall]:
        return [
            pending
            for pending in self._pending_by_call_id.values()
            if pending.connection is connection
        ]

    def _on_message(self, connection: FramedConnection, message: object) -> None:
        is_current = connection is self._connection
        if is_current:
            self._last_received_ms = self._clock.now_ms()
        if isinstance(message, Reply):
            if is_current:
                self._apply_report(message.report)
            pending = self._pending_by_call_id.get(message.id)
            if pending is not None and not pending.future.done():
                pending.future.set_result(message)
            return
        if not is_current:
            return
        if isinstance(message, EndpointReport):
            self._apply_report(message)
        elif isinstance(message, Pong):
            self.store_reachable = message.store_reachable
            self._apply_report(message.report)
        elif isinstance(message, Hello):
            self._on_hello(connection, message)
        self._on_other_message(self, message)

    def _on_hello(self, connection: FramedConnection, hello: Hello) -> None:
        if hello.protocol != PROTOCOL_VERSION:
            _log.warning(
                "protocol_differs", node=hello.member.node, version=hello.protocol
            )
            connection.abort()
            return
        if hello.member.node != self.member.node:
            # The address was reassigned to another VM, which has its own link.
            _log.info("address_reused", node=self.member.node, by=hello.member.node)
            connection.abort()
            return
        self.member = hello.member
        self.store_reachable = hello.store_reachable
        self._apply_report(hello.report)
        _log.info("link_up", node=self.member.node, state=hello.report.state)

    def _apply_report(self, report: EndpointReport) -> None:
        if report.state not in _STATES:
            _log.warning("state_unknown", node=self.member.node, state=report.state)
            return
        self.report = report
        self.reported_at_ms = self._clock.now_ms()
        self.sent_since_report = 0

    def _on_lost(self, connection: FramedConnection, reason: str) -> None:
        calls = self._calls_on(connection)
        self._silent_connections.discard(connection)
        if connection is self._connection:
            if self.report is not None:
                _log.warning(
                    "link_down",
                    node=self.member.node,
                    reason=reason,
                    calls=len(calls),
                )
            self._mark_down()
        for pending in calls:
            if not pending.future.done():
                pending.future.set_exception(LinkBroken(reason))

    def _mark_down(self) -> None:
        self._connection = None
        self.report = None
        self.is_subscribed = False
        self.store_reachable = False
        self.down_since_ms = self._clock.now_ms()
        self._connection_ended.set()
