"""Pooled connections to other daemons."""

import threading
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from vanillapitch_core import Clock
from vanillapitch_wire import Connection, connect

__all__ = ["Transport"]

CONNECT_TIMEOUT_MS = 250
IDLE_TIMEOUT_MS = 30_000
MAX_IDLE_CONNECTIONS_PER_PEER = 16


class Transport:
    """Connection pool in which each connection serves one call at a time.

    Parameters
    ----------
    cluster_key : bytes
        Shared key.
    max_frame_bytes : int
        Largest frame accepted, in bytes.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, cluster_key: bytes, max_frame_bytes: int, clock: Clock):
        self._cluster_key = cluster_key
        self._max_frame_bytes = max_frame_bytes
        self._clock = clock
        self._lock = threading.Lock()
        self._idle_by_address: dict[tuple[str, int], list[_IdleConnection]] = (
            defaultdict(list)
        )

    def call(
        self,
        *,
        address: tuple[str, int],
        service: str,
        client_type: Callable[[Any], Any],
        method: str,
        request: Any,
        deadline_ms: float,
        is_cancelled: Callable[[], bool] | None = None,
    ) -> Any:
        """Call a method of a peer.

        Parameters
        ----------
        address : tuple of (str, int)
            Inner address of the peer.
        service : str
            Name of the service at the peer.
        client_type : callable
            Generated ``Client`` class.
        method : str
            Name of the method, which takes one argument.
        request : object
            The argument.
        deadline_ms : float
            Monotonic time in milliseconds at which the call times out.
        is_cancelled : callable, optional
            Returns whether the caller has disconnected.

        Returns
        -------
        object
            The reply.

        Raises
        ------
        vanillapitch_wire.WireError
            The subclass shows whether the call can have reached the peer.
        """
        connection = self._acquire(address, deadline_ms)
        try:
            client = connection.client(service, client_type)
            send = getattr(client, f"send_{method}")
            reply = connection.call(
                send=lambda: send(request),
                receive=getattr(client, f"recv_{method}"),
                clock=self._clock,
                deadline_ms=deadline_ms,
                is_cancelled=is_cancelled,
            )
        except BaseException:
            connection.close()
            raise
        self._release(address, connection)
        return reply

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            idle = [item for items in self._idle_by_address.values() for item in items]
            self._idle_by_address.clear()
        for item in idle:
            item.connection.close()

    def close_idle(self) -> None:
        """Close connections that were idle for more than `IDLE_TIMEOUT_MS`."""
        cutoff_ms = self._clock.now_ms() - IDLE_TIMEOUT_MS
        expired: list[_IdleConnection] = []
        with self._lock:
            for address in list(self._idle_by_address):
                kept = []
                for item in self._idle_by_address[address]:
                    (kept if item.idle_since_ms >= cutoff_ms else expired).append(item)
                if kept:
                    self._idle_by_address[address] = kept
                else:
                    del self._idle_by_address[address]
        for item in expired:
            item.connection.close()

    def _acquire(self, address: tuple[str, int], deadline_ms: float) -> Connection:
        while True:
            with self._lock:
                idle = self._idle_by_address.get(address)
                item = idle.pop() if idle else None
            if item is None:
                return self._connect(address, deadline_ms)
            if not item.connection.is_stale():
                return item.connection
            item.connection.close()

    def _connect(self, address: tuple[str, int], deadline_ms: float) -> Connection:
        remaining_ms = max(1.0, deadline_ms - self._clock.now_ms())
        return connect(
            address=address,
            cluster_key=self._cluster_key,
            max_frame_bytes=self._max_frame_bytes,
            timeout_ms=min(CONNECT_TIMEOUT_MS, remaining_ms),
        )

    def _release(self, address: tuple[str, int], connection: Connection) -> None:
        item = _IdleConnection(
            connection=connection, idle_since_ms=self._clock.now_ms()
        )
        with self._lock:
            idle = self._idle_by_address[address]
            if len(idle) < MAX_IDLE_CONNECTIONS_PER_PEER:
                idle.append(item)
                return
        connection.close()


class _IdleConnection:
    __slots__ = ("connection", "idle_since_ms")

    def __init__(self, *, connection: Connection, idle_since_ms: float):
        self.connection = connection
        self.idle_since_ms = idle_since_ms
