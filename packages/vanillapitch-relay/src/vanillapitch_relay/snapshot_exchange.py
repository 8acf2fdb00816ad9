"""Exchange of configurations between followers of the store and other daemons."""

import asyncio
from collections.abc import Callable

from vanillapitch_core.clock import Clock
from vanillapitch_wire.relay import Snapshot, SnapshotRequest

from vanillapitch_relay.configuration_state import ConfigurationState

__all__ = ["SnapshotExchange"]

# A daemon requests a change from the first peer of its availability zone that announces
# it. Traffic between zones is billed, so it waits for this time before it requests the
# change from a peer in another zone.
CROSS_ZONE_DELAY_MS = 150.0
# One request at a time. A document of 1,400 routes arrives within this time.
REQUEST_INTERVAL_MS = 300.0


class SnapshotExchange:
    """Requests newer configurations from peers, and answers their requests.

    Parameters
    ----------
    clock : Clock
        Source of time.
    configuration : ConfigurationState
        The configuration of this daemon.
    """

    def __init__(self, *, clock: Clock, configuration: ConfigurationState):
        self._clock = clock
        self._configuration = configuration
        self._requested_at_ms = -REQUEST_INTERVAL_MS
        self._delayed_request: asyncio.TimerHandle | None = None

    def receive_revision(
        self,
        revision: int,
        *,
        is_same_zone: bool,
        send: Callable[[SnapshotRequest], None],
    ) -> None:
        """Request the configuration of a peer if it is newer.

        Parameters
        ----------
        revision : int
            Revision of the last change known to the peer.
        is_same_zone : bool
            Whether the peer is in this daemon's availability zone.
        send : callable
            Sends a request to the peer.
        """
        if revision <= self._configuration.read_revision:
            return
        elapsed_ms = self._clock.now_ms() - self._requested_at_ms
        if is_same_zone and elapsed_ms >= REQUEST_INTERVAL_MS:
            self._send_request(send)
        elif self._delayed_request is None:
            self._delayed_request = asyncio.get_running_loop().call_later(
                CROSS_ZONE_DELAY_MS / 1_000.0,
                self._send_request_if_behind,
                revision,
                send,
            )

    def answer_request(
        self, request: SnapshotRequest, *, send: Callable[[Snapshot], None]
    ) -> None:
        """Send the snapshot to a peer if it is newer than what the peer has."""
        if self._configuration.read_revision > request.newer_than:
            send(self._configuration.snapshot())

    def receive_snapshot(self, snapshot: Snapshot, *, source: str) -> None:
        """Apply the snapshot of a peer."""
        self._requested_at_ms = -REQUEST_INTERVAL_MS
        self._configuration.apply_snapshot(snapshot, source=source)

    def _send_request_if_behind(
        self, revision: int, send: Callable[[SnapshotRequest], None]
    ) -> None:
        self._delayed_request = None
        if revision > self._configuration.read_revision:
            self._send_request(send)

    def _send_request(self, send: Callable[[SnapshotRequest], None]) -> None:
        self._requested_at_ms = self._clock.now_ms()
        send(SnapshotRequest(newer_than=self._configuration.read_revision))
