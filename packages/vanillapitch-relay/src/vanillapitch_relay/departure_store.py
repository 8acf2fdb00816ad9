"""Persists departures of endpoints across restarts of the daemon."""

import asyncio
from collections.abc import Iterable

import msgspec
from vanillapitch_core.clock import Clock
from vanillapitch_store.exceptions import StoreError, StoreRejected
from vanillapitch_store.model import Delete, Entry, Put, mod_revision_is

from vanillapitch_relay.documents import decode_json
from vanillapitch_relay.exceptions import DocumentInvalid
from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.store_port import AsyncKeyValueStore
from vanillapitch_relay.store_reachability import StoreReachability

__all__ = ["DepartureRecord", "DepartureStore"]

_log = EventLog(part="store")

# Records of removed VMs would accumulate in the store without a limit. Endpoints stop
# within a minute of their departure.
RECORD_RETENTION_MS = 3_600_000
# Expired records are removed in batches, so that most starts need no call for it. The
# store allows 32 entries per transaction, conditions included.
REMOVAL_BATCH_SIZE = 16
WRITE_ATTEMPTS = 2


class DepartureRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Departure of an endpoint, as stored.

    Attributes
    ----------
    instance : str
        Instance id of the endpoint.
    born_ms : int
        Start time of the endpoint, or -1 when unknown.
    stored_ms : int
        Wall time of the write.
    """

    instance: str
    born_ms: int
    stored_ms: int

    @property
    def identity(self) -> tuple[str, int]:
        """Instance and start time, which identify the departure."""
        return self.instance, self.born_ms


class DepartureStore:
    """Reads and writes the departure record of one VM.

    Parameters
    ----------
    store : AsyncKeyValueStore
        Client of the store.
    prefix : str
        Prefix of the records' keys; the name of the VM follows.
    node : str
        Name of this VM.
    clock : Clock
        Source of time.
    reachability : StoreReachability
        Records the results of calls to the store.
    """

    def __init__(
        self,
        *,
        store: AsyncKeyValueStore,
        prefix: str,
        node: str,
        clock: Clock,
        reachability: StoreReachability,
    ):
        self._store = store
        self._prefix = prefix
        self._key = prefix + node
        self._clock = clock
        self._reachability = reachability
        # Revision of the own record; 0 if there is none, None if unknown.
        self._revision: int | None = None
        # Instance and start time of the departure that the store holds.
        self._stored: tuple[str, int] | None = None
        self._writes = asyncio.Lock()

    def find(self, entries: Iterable[Entry]) -> DepartureRecord | None:
        """Find the record that an earlier process on this VM stored.

        Parameters
        ----------
        entries : iterable of Entry
            Contents of the store when the process started.

        Returns
        -------
        DepartureRecord or None
            The record, or None when there is none or it is unreadable.
        """
        self._revision = 0
        for entry in entries:
            if entry.key == self._key:
                self._revision = entry.mod_revision
                record = _decode(entry)
                self._stored = None if record is None else record.identity
                return record
        return None

    async def remove_expired(self, entries: Iterable[Entry]) -> None:
        """Remove a batch of expired records of other VMs.

        Parameters
        ----------
        entries : iterable of Entry
            Contents of the store when the process started.
        """
        retained_from_ms = self._clock.wall_ms() - RECORD_RETENTION_MS
        expired = [
            entry
            for entry in entries
            if entry.key.startswith(self._prefix)
            and entry.key != self._key
            and (record := _decode(entry)) is not None
            and record.stored_ms < retained_from_ms
        ]
        if len(expired) < REMOVAL_BATCH_SIZE:
            return
        expired = expired[:REMOVAL_BATCH_SIZE]
        try:
            result = await self._store.transact(
                [mod_revision_is(entry.key, entry.mod_revision) for entry in expired],
                [Delete(key=entry.key) for entry in expired],
            )
        except StoreError as error:
            # The next daemon that starts retries.
            self._reachability.record_failure("transact", error)
            return
        self._reachability.record_response(
            "transact", "ok" if result.succeeded else "stale"
        )
        _log.info("departures_removed", count=len(expired), done=result.succeeded)

    def holds(self, record: DepartureRecord) -> bool:
        """Return whether the store has confirmed this departure."""
        return self._stored == record.identity

    async def write(self, record: DepartureRecord) -> None:
        """Store that an endpoint is leaving, unless the store holds this departure.

        Parameters
        ----------
        record : DepartureRecord
            The departure.

        Raises
        ------
        StoreError
            If the store did not confirm the write.
        """
        async with self._writes:
            if not self.holds(record):
                await self._put(record)
                self._stored = record.identity

    def forget(self) -> None:
        """Forget what the store holds, as it may have lost it."""
        self._revision = None
        self._stored = None

    async def _put(self, record: DepartureRecord) -> None:
        put = Put(key=self._key, value=msgspec.json.encode(record))
        for _ in range(WRITE_ATTEMPTS):
            revision = await self._read_revision()
            # Unknown until the write is confirmed, because its response may be lost.
            self._revision = None
            # The condition keeps a delayed write from overwriting a newer one.
            result = await self._store.transact(
                [mod_revision_is(self._key, revision)], [put]
            )
            self._reachability.record_response(
                "transact", "ok" if result.succeeded else "stale"
            )
            if result.succeeded:
                self._revision = result.revision
                return
        raise StoreRejected("the departure record was changed by another writer")

    async def _read_revision(self) -> int:
        if self._revision is not None:
            return self._revision
        current = await self._store.get(self._key)
        self._reachability.record_response("get")
        return 0 if current.entry is None else current.entry.mod_revision


def _decode(entry: Entry) -> DepartureRecord | None:
    try:
        return decode_json(entry.value, DepartureRecord)
    except DocumentInvalid as error:
        _log.warning("departure_unreadable", key=entry.key, reason=str(error))
        return None
