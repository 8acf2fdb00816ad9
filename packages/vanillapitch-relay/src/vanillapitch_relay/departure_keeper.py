"""Makes the departure of the endpoint on this VM outlive this process."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from vanillapitch_core.clock import Clock
from vanillapitch_store.exceptions import StoreError

from vanillapitch_relay.departure_store import DepartureRecord, DepartureStore
from vanillapitch_relay.endpoint_state import (
    ObservedEndpoint,
    apply_departure_record,
)
from vanillapitch_relay.line_log import EventLog

__all__ = ["DepartureKeeper"]

_log = EventLog(part="departures")

# The endpoint times out after 1 s, so an acknowledgement waits no longer than this for
# the store.
ACKNOWLEDGE_TIMEOUT_MS = 500.0
# Failed calls are billed too.
RETRY_INTERVAL_MS = 1_000.0


class DepartureKeeper:
    """Task that writes the last departure to the store until the store confirms it.

    Until then, other daemons hold it, since this process may end before the store is
    back.

    Parameters
    ----------
    observed : ObservedEndpoint
        Last known state of the endpoint.
    departures : DepartureStore
        Persists departures.
    clock : Clock
        Source of time.
    share : callable
        Has other daemons hold a departure.

    Attributes
    ----------
    owed : DepartureRecord or None
        The departure that the store has not confirmed.
    """

    def __init__(
        self,
        *,
        observed: ObservedEndpoint,
        departures: DepartureStore,
        clock: Clock,
        share: Callable[[DepartureRecord], None],
    ):
        self._observed = observed
        self._departures = departures
        self._clock = clock
        self._share = share
        self.owed: DepartureRecord | None = None
        self._last: DepartureRecord | None = None
        self._is_owed = asyncio.Event()
        self._was_attempted = asyncio.Event()

    def keep(self) -> None:
        """Start to persist the last departure, unless the store holds it."""
        record = DepartureRecord(
            instance=self._observed.left_instance,
            born_ms=self._observed.left_born_ms,
            stored_ms=self._clock.wall_ms(),
        )
        is_known = self._last is not None and self._last.identity == record.identity
        if not is_known:
            self._last = record
            self._share(record)
        self._owe(self._last)

    def restore(self, record: DepartureRecord) -> None:
        """Apply a departure that an earlier process on this VM acknowledged.

        Parameters
        ----------
        record : DepartureRecord
            The departure, from the store or from a daemon that held it. An older one
            than the last known one has no effect.
        """
        if self._last is not None and record.stored_ms <= self._last.stored_ms:
            return
        _log.info("departure_restored", instance=record.instance)
        self._last = record
        apply_departure_record(
            self._observed, instance=record.instance, born_ms=record.born_ms
        )
        self._owe(record)

    def _owe(self, record: DepartureRecord) -> None:
        is_owed = self.owed is not None and self.owed.identity == record.identity
        if not is_owed and not self._departures.holds(record):
            self.owed = record
            self._was_attempted.clear()
            self._is_owed.set()

    async def wait_for_attempt(self) -> None:
        """Wait until the store was asked once to hold the departure, or a time-out.

        The store may be away for longer than the endpoint waits for its
        acknowledgement.
        """
        if self.owed is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT_MS / 1_000.0):
                    await self._was_attempted.wait()

    async def run(self) -> None:
        """Write each departure until it is stored; run until cancelled."""
        while True:
            await self._is_owed.wait()
            record = self.owed
            is_stored = await self._write(record)
            self._was_attempted.set()
            if not is_stored:
                delay_ms = RETRY_INTERVAL_MS * random.uniform(0.7, 1.0)
                await asyncio.sleep(delay_ms / 1_000.0)
            elif self.owed is record:
                self.owed = None
                self._is_owed.clear()

    async def _write(self, record: DepartureRecord) -> bool:
        try:
            await self._departures.write(record)
        except StoreError as error:
            _log.warning(
                "departure_not_stored", instance=record.instance, reason=repr(error)
            )
            return False
        _log.info("departure_stored", instance=record.instance)
        return True
