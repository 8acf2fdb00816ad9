"""Follows what operators write to the platform's store.

Every event wakes every waiting watch, and each wake-up is a call that is paid for. So
only some daemons of an availability zone watch; the others hear of changes from them.
"""

import asyncio
import contextlib
import random

from vanillapitch_store.exceptions import StoreCompacted, StoreError
from vanillapitch_store.model import Entry, EventKind, PrefixResult, WatchEvent

from vanillapitch_relay.configuration_state import ConfigurationState
from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.model import StoreKeys
from vanillapitch_relay.store_port import AsyncKeyValueStore
from vanillapitch_relay.store_reach import StoreReach

__all__ = ["ConfigurationFollower"]

_log = EventLog(part="store")

# A watch that went silent is found when its wait is over, by one daemon after the
# other.
WATCH_MS = 4_000
# Links to the other daemons of the zone are up by then, and tell who watches.
SETTLE_MS = 300.0
# A change must be in force within two seconds of the store's return. Calls to a store
# that is down are paid for too.
RETRY_MIN_MS = 150.0
RETRY_MAX_MS = 900.0


class ConfigurationFollower:
    """Task that watches the operators' keys while it is due.

    Parameters
    ----------
    store : AsyncKeyValueStore
        The store.
    keys : StoreKeys
        Where things are.
    configuration : ConfigurationState
        Takes what operators wrote.
    reach : StoreReach
        Shared result of the store's calls.
    """

    def __init__(
        self,
        *,
        store: AsyncKeyValueStore,
        keys: StoreKeys,
        configuration: ConfigurationState,
        reach: StoreReach,
    ):
        self._store = store
        self._keys = keys
        self._configuration = configuration
        self._reach = reach
        self._entries_by_key: dict[str, Entry] = {}
        self._is_due = False
        self._due = asyncio.Event()
        self._lost = asyncio.Event()

    def set_due(self, is_due: bool) -> None:
        """Say whether this daemon is one of those that watch.

        Parameters
        ----------
        is_due : bool
            A watch that is waiting is not ended early.
        """
        if is_due == self._is_due:
            return
        self._is_due = is_due
        _log.info("follows_store", due=is_due)
        if is_due:
            self._due.set()
        else:
            self._due.clear()

    def note_reach(self) -> None:
        """End the waiting watch when another call shows that the store is lost."""
        if not self._reach.is_reachable:
            self._lost.set()

    async def run(self, start: PrefixResult) -> None:
        """Watch while it is due, until cancelled.

        Parameters
        ----------
        start : PrefixResult
            What the store held when the process started.
        """
        retry_ms = RETRY_MIN_MS
        revision = self._take_all(start)
        await asyncio.sleep(SETTLE_MS / 1_000.0)
        while True:
            try:
                if revision is None:
                    revision = await self._read_all()
                    retry_ms = RETRY_MIN_MS
                await self._watch_from(revision)
                revision = None
            except StoreCompacted as error:
                _log.info("watch_compacted", reason=str(error))
                revision = None
            except StoreError as error:
                revision = None
                self._reach.note_failure("follow", error)
                await asyncio.sleep(retry_ms * random.uniform(0.7, 1.0) / 1_000.0)
                retry_ms = min(RETRY_MAX_MS, 2.0 * retry_ms)

    async def _read_all(self) -> int:
        result = await self._store.get_prefix(self._keys.operator_prefix)
        self._reach.note_answer("get_prefix")
        return self._take_all(result)

    def _take_all(self, result: PrefixResult) -> int:
        self._entries_by_key = {
            entry.key: entry
            for entry in result.entries
            if entry.key.startswith(self._keys.operator_prefix)
        }
        self._apply(read_revision=result.revision, changed_revision=result.revision)
        return result.revision

    async def _watch_from(self, revision: int) -> None:
        """Watch until the store is lost; raises the store's errors."""
        while True:
            await self._due.wait()
            self._lost.clear()
            watch = asyncio.ensure_future(self._watch_once(revision))
            lost = asyncio.ensure_future(self._lost.wait())
            try:
                await asyncio.wait((watch, lost), return_when=asyncio.FIRST_COMPLETED)
                if not watch.done():
                    return
                revision = watch.result()
            finally:
                for task in (watch, lost):
                    task.cancel()
                with contextlib.suppress(asyncio.CancelledError, StoreError):
                    await watch

    async def _watch_once(self, revision: int) -> int:
        result = await self._store.watch_prefix(
            self._keys.operator_prefix,
            after_revision=revision,
            timeout_ms=int(WATCH_MS * random.uniform(0.8, 1.0)),
        )
        self._reach.note_answer("watch")
        revision = max(revision, result.next_revision)
        if result.events:
            self._apply_events(result.events, read_revision=revision)
        return revision

    def _apply_events(
        self, events: tuple[WatchEvent, ...], *, read_revision: int
    ) -> None:
        changed_revision = 0
        for event in events:
            entry = event.entry
            known = self._entries_by_key.get(entry.key)
            if known is not None and known.mod_revision >= entry.mod_revision:
                continue
            if event.kind is EventKind.DELETE:
                self._entries_by_key.pop(entry.key, None)
            else:
                self._entries_by_key[entry.key] = entry
            changed_revision = max(changed_revision, entry.mod_revision)
        if changed_revision:
            self._apply(read_revision=read_revision, changed_revision=changed_revision)

    def _apply(self, *, read_revision: int, changed_revision: int) -> None:
        entry = self._entries_by_key.get(self._keys.configuration)
        prefix = self._keys.zones_out_prefix
        zones_out = [
            key.removeprefix(prefix)
            for key in self._entries_by_key
            if key.startswith(prefix)
        ]
        self._configuration.take_read(
            configuration=b"" if entry is None else entry.value,
            zones_out=frozenset(zones_out),
            read_revision=read_revision,
            changed_revision=changed_revision,
        )
