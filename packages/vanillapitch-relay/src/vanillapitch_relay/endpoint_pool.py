"""Connections to the endpoint on this VM."""

import dataclasses

from vanillapitch_core.clock import Clock

from vanillapitch_relay.body_budget import BodyBudget
from vanillapitch_relay.http_client import HttpConnection, open_connection
from vanillapitch_relay.parse_turns import ParseTurns

__all__ = ["EndpointPool"]

CONNECT_TIMEOUT_MS = 300.0
# Endpoints close idle connections after some seconds. Without a Keep-Alive header, a
# connection is not reused after this time.
DEFAULT_IDLE_MS = 5_000.0
# A connection is not reused within this time before the endpoint closes it.
IDLE_MARGIN_MS = 1_000.0
# A request that must not be executed twice is lost if its connection was closed
# unnoticed, so it uses only connections that have been idle for at most this time.
FRESH_IDLE_MS = 2_000.0


@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointPool:
    """Pool of connections to one address; the last used one is reused first.

    Attributes
    ----------
    address : str
        ``host:port`` of the endpoint.
    echo_header : bytes
        Header in which the endpoint echoes the id of a request.
    clock : Clock
        Source of time.
    budget : BodyBudget
        Bounds the bytes of responses in memory.
    turns : ParseTurns
        Shares the event loop between the connections.
    idle : list of HttpConnection
        Connections without a request in progress.
    opened : int
        Connections opened so far.
    """

    address: str
    echo_header: bytes
    clock: Clock
    budget: BodyBudget
    turns: ParseTurns = dataclasses.field(default_factory=ParseTurns)
    idle: list[HttpConnection] = dataclasses.field(default_factory=list)
    opened: int = 0

    async def acquire(self, *, idempotent: bool) -> HttpConnection:
        """Return an idle connection or a new one.

        Parameters
        ----------
        idempotent : bool
            Whether the request may be sent again if the connection proves to be closed.

        Returns
        -------
        HttpConnection
            A connection without a request in progress.

        Raises
        ------
        ConnectFailed
            If the endpoint cannot be reached.
        """
        now_ms = self.clock.now_ms()
        self._close_old(now_ms=now_ms)
        if self.idle:
            age_ms = now_ms - self.idle[-1].idle_since_ms
            if idempotent or age_ms <= FRESH_IDLE_MS:
                return self.idle.pop()
        self.opened += 1
        return await open_connection(
            self.address,
            timeout_ms=CONNECT_TIMEOUT_MS,
            echo_header=self.echo_header,
            budget=self.budget,
            turns=self.turns,
        )

    def release(self, connection: HttpConnection) -> None:
        """Keep a connection for the next request, or close it."""
        if not connection.is_usable:
            connection.close()
            return
        connection.idle_since_ms = self.clock.now_ms()
        self.idle.append(connection)

    def close_all(self) -> None:
        """Close the idle connections, for example when the endpoint has stopped."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    def _close_old(self, *, now_ms: float) -> None:
        kept = []
        for connection in self.idle:
            age_ms = now_ms - connection.idle_since_ms
            if connection.is_usable and age_ms < _idle_limit_ms(connection):
                kept.append(connection)
            else:
                connection.close()
        self.idle = kept


def _idle_limit_ms(connection: HttpConnection) -> float:
    if connection.keep_alive_ms is None:
        return DEFAULT_IDLE_MS
    return max(0.0, connection.keep_alive_ms - IDLE_MARGIN_MS)
