"""Acknowledged leavings in the platform's store, which bind the next process too."""

from collections.abc import Iterable

import msgspec
from vanillapitch_core.clock import Clock
from vanillapitch_store.exceptions import StoreError, StoreRejected
from vanillapitch_store.model import Delete, Entry, Put, mod_revision_is

from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.store_port import AsyncKeyValueStore
from vanillapitch_relay.store_reach import StoreReach

__all__ = ["DepartureMark", "DepartureStore"]

_log = EventLog(part="store")

# Marks of VMs that are gone would gather in the store. Endpoints end within a minute of
# their leaving.
MARK_KEPT_MS = 3_600_000
# Old marks are removed in groups, so that most starts need no call for it. The store
# takes 32 entries a transaction, conditions included.
REMOVED_AT_ONCE = 16
WRITE_ATTEMPTS = 2


class DepartureMark(msgspec.Struct, frozen=True, kw_only=True):
    """Acknowledged leaving of an endpoint, as stored.

    Attributes
    ----------
    instance : str
        The endpoint.
    born_ms : int
        Its start, or -1 when unknown.
    stored_ms : int
        Wall time of the writing.
    """

    instance: str
    born_ms: int
    stored_ms: int


class DepartureStore:
    """The mark of one VM.

    Parameters
    ----------
    store : AsyncKeyValueStore
        The store.
    prefix : str
        A key per VM follows.
    node : str
        This VM.
    clock : Clock
        Source of time.
    reach : StoreReach
        Shared result of the store's calls.
    """

    def __init__(
        self,
        *,
        store: AsyncKeyValueStore,
        prefix: str,
        node: str,
        clock: Clock,
        reach: StoreReach,
    ):
        self._store = store
        self._prefix = prefix
        self._key = prefix + node
        self._clock = clock
        self._reach = reach
        # Of the own mark, 0 while there is none; None while it is not known.
        self._revision: int | None = None

    def find(self, entries: Iterable[Entry]) -> DepartureMark | None:
        """Find the acknowledgement that an earlier process on this VM stored.

        Parameters
        ----------
        entries : iterable of Entry
            What the store held when the process started.

        Returns
        -------
        DepartureMark or None
            None when there is none.
        """
        self._revision = 0
        for entry in entries:
            if entry.key == self._key:
                self._revision = entry.mod_revision
                return _decode(entry)
        return None

    async def remove_old(self, entries: Iterable[Entry]) -> None:
        """Remove marks of other VMs that bind nobody any more.

        Parameters
        ----------
        entries : iterable of Entry
            What the store held when the process started.
        """
        oldest_ms = self._clock.wall_ms() - MARK_KEPT_MS
        old = [
            entry
            for entry in entries
            if entry.key.startswith(self._prefix)
            and entry.key != self._key
            and (mark := _decode(entry)) is not None
            and mark.stored_ms < oldest_ms
        ]
        if len(old) < REMOVED_AT_ONCE:
            return
        old = old[:REMOVED_AT_ONCE]
        try:
            result = await self._store.transact(
                [mod_revision_is(entry.key, entry.mod_revision) for entry in old],
                [Delete(key=entry.key) for entry in old],
            )
        except StoreError as error:
            # The next daemon that starts tries again.
            self._reach.note_failure("transact", error)
            return
        self._reach.note_answer("transact", "ok" if result.succeeded else "stale")
        _log.info("departures_removed", count=len(old), done=result.succeeded)

    async def write(self, mark: DepartureMark) -> None:
        """Store that the leaving of an endpoint was acknowledged.

        Parameters
        ----------
        mark : DepartureMark
            The endpoint.

        Raises
        ------
        StoreError
            If the store did not confirm it.
        """
        put = Put(key=self._key, value=msgspec.json.encode(mark))
        for _ in range(WRITE_ATTEMPTS):
            revision = await self._read_revision()
            # Unknown from here on, because the answer may be lost.
            self._revision = None
            # The condition keeps a write that is carried out late from undoing a newer
            # one.
            result = await self._store.transact(
                [mod_revision_is(self._key, revision)], [put]
            )
            self._reach.note_answer("transact", "ok" if result.succeeded else "stale")
            if result.succeeded:
                self._revision = result.revision
                return
        raise StoreRejected("the mark was changed by another writer")

    async def _read_revision(self) -> int:
        if self._revision is not None:
            return self._revision
        current = await self._store.get(self._key)
        self._reach.note_answer("get")
        return 0 if current.entry is None else current.entry.mod_revision


def _decode(entry: Entry) -> DepartureMark | None:
    try:
        return msgspec.json.decode(entry.value, type=DepartureMark)
    except msgspec.MsgspecError as error:
        _log.warning("departure_unreadable", key=entry.key, reason=str(error))
        return None
