"""Acknowledged leavings in the platform's store, which bind the next process too."""

import msgspec
from vanillapitch_store.model import Put, mod_revision_is

from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.store_port import AsyncKeyValueStore
from vanillapitch_relay.store_reach import StoreReach

__all__ = ["DepartureMark", "DepartureStore"]

_log = EventLog(part="store")


class DepartureMark(msgspec.Struct, frozen=True, kw_only=True):
    """Acknowledged leaving of an endpoint, as stored.

    Attributes
    ----------
    instance : str
        The endpoint.
    born_ms : int
        Its start, or -1 when unknown.
    """

    instance: str
    born_ms: int


class DepartureStore:
    """The mark of one VM.

    Parameters
    ----------
    store : AsyncKeyValueStore
        The store.
    key : str
        Key of the mark.
    reach : StoreReach
        Shared result of the store's calls.
    """

    def __init__(self, *, store: AsyncKeyValueStore, key: str, reach: StoreReach):
        self._store = store
        self._key = key
        self._reach = reach

    async def read(self) -> DepartureMark | None:
        """Read the acknowledgement that an earlier process on this VM stored.

        Returns
        -------
        DepartureMark or None
            None when there is none.

        Raises
        ------
        StoreError
            If the store cannot be read.
        """
        result = await self._store.get(self._key)
        self._reach.note_answer("get")
        if result.entry is None:
            return None
        try:
            return msgspec.json.decode(result.entry.value, type=DepartureMark)
        except msgspec.MsgspecError as error:
            _log.warning("departure_unreadable", reason=str(error))
            return None

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
        current = await self._store.get(self._key)
        self._reach.note_answer("get")
        revision = 0 if current.entry is None else current.entry.mod_revision
        put = Put(key=self._key, value=msgspec.json.encode(mark))
        # The condition keeps a write that is carried out late from undoing a newer one.
        result = await self._store.transact(
            [mod_revision_is(self._key, revision)], [put]
        )
        self._reach.note_answer("transact", "ok" if result.succeeded else "stale")
