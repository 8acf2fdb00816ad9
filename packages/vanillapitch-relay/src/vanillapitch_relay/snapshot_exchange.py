"""How daemons that do not watch the store get the configuration from those that do."""

import asyncio
from collections.abc import Callable

from vanillapitch_core.clock import Clock
from vanillapitch_wire.relay import Snapshot, SnapshotRequest

from vanillapitch_relay.configuration_state import ConfigurationState

__all__ = ["SnapshotExchange"]

# A daemon asks for a change when one of its own availability zone announces it. Bytes
# between zones are paid for, so it asks another one only after this time.
OTHER_ZONE_DELAY_MS = 150.0
# One question at a time; a document of 1,400 routes arrives within this time.
ASK_INTERVAL_MS = 300.0


class SnapshotExchange:
    """Questions and answers about the configuration between daemons.

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
        self._asked_ms = -ASK_INTERVAL_MS
        self._later: asyncio.TimerHandle | None = None

    def receive(
        self,
        revision: int,
        *,
        is_near: bool,
        send: Callable[[SnapshotRequest], None],
    ) -> None:
        """Ask a daemon for its configuration if it is newer.

        Parameters
        ----------
        revision : int
            Revision of the last change that the daemon knows.
        is_near : bool
            Whether it is in this availability zone.
        send : callable
            Sends it a question.
        """
        if revision <= self._configuration.read_revision:
            return
        waited_ms = self._clock.now_ms() - self._asked_ms
        if is_near and waited_ms >= ASK_INTERVAL_MS:
            self._ask(send)
        elif self._later is None:
            self._later = asyncio.get_running_loop().call_later(
                OTHER_ZONE_DELAY_MS / 1_000.0, self._ask_if_behind, revision, send
            )

    def answer(
        self, request: SnapshotRequest, *, send: Callable[[Snapshot], None]
    ) -> None:
        """Answer another daemon if this one knows something newer."""
        if self._configuration.read_revision > request.newer_than:
            send(self._configuration.snapshot())

    def take(self, snapshot: Snapshot, *, source: str) -> None:
        """Take the answer of another daemon."""
        self._asked_ms = -ASK_INTERVAL_MS
        self._configuration.take_snapshot(snapshot, source=source)

    def _ask_if_behind(
        self, revision: int, send: Callable[[SnapshotRequest], None]
    ) -> None:
        self._later = None
        if revision > self._configuration.read_revision:
            self._ask(send)

    def _ask(self, send: Callable[[SnapshotRequest], None]) -> None:
        self._asked_ms = self._clock.now_ms()
        send(SnapshotRequest(newer_than=self._configuration.read_revision))
