"""Follows changes that operators make in the platform's store.

Every event completes every pending watch, and each completed watch is a billed call.
So only some daemons of an availability zone watch; they notify the others of changes.
"""

import asyncio
import random
from collections.abc import Callable

from vanillapitch_store.exceptions import StoreCompacted, StoreError
from vanillapitch_store.model import Entry, EventKind, PrefixResult, WatchEvent

from vanillapitch_relay.configuration_state import ConfigurationState
from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.model import Bounds, StoreKeys
from vanillapitch_relay.store_port import AsyncKeyValueStore
from vanillapitch_relay.store_reachability import StoreReachability

__all__ = ["ConfigurationFollower"]

_log = EventLog(part="store")

# Share of the reconnect time that a watch waits. A silent connection is noticed when
# its watch times out; then the store is read and the other daemons are notified.
WATCH_SHARE = 0.45
WATCH_TIMEOUT_MIN_MS = 300.0
# By then the links to the other daemons are up, so each knows whether it is a follower.
STARTUP_DELAY_MS = 300.0
# A change must be in force within 2 s after the store recovers. Failed calls are billed
# too.
RETRY_DELAY_MIN_MS = 150.0
RETRY_DELAY_MAX_MS = 900.0


class ConfigurationFollower:
    """Task that watches the operators' keys while this daemon is a follower.

    Parameters
    ----------
    store : AsyncKeyValueStore
        Client of the store.
    keys : StoreKeys
        Names of the keys in the store.
    configuration : ConfigurationState
        Receives the configuration and the zones out of service.
    reachability : StoreReachability
        Records the results of calls to the store.
    bounds : callable
        Returns the deployment's bounds.
    """

    def __init__(
        self,
        *,
        store: AsyncKeyValueStore,
        keys: StoreKeys,
        configuration: ConfigurationState,
        reachability: StoreReachability,
        bounds: Callable[[], Bounds],
    ):
        self._store = store
        self._keys = keys
        self._configuration = configuration
        self._reachability = reachability
        self._bounds = bounds
        self._entries_by_key: dict[str, Entry] = {}
        self._is_follower = False
        self._follower_event = asyncio.Event()
        self._store_lost = asyncio.Event()
        self._must_read = False

    def set_follower(self, is_follower: bool) -> None:
        """Set whether this daemon is a follower, that is, watches the store.

        Parameters
        ----------
        is_follower : bool
            If false, no new watch is started; a pending one is not cancelled.
        """
        if is_follower == self._is_follower:
            return
        self._is_follower = is_follower
        _log.info("follows_store", due=is_follower)
        if is_follower:
            self._follower_event.set()
        else:
            self._follower_event.clear()

    def on_reachability_change(self) -> None:
        """Cancel the pending watch when another call shows that the store is lost."""
        if not self._reachability.is_reachable:
            self._store_lost.set()

    def on_store_restored(self) -> None:
        """Read all keys before the next watch; a pending one continues lost history."""
        self._must_read = True
        self._store_lost.set()

    async def run(self, start: PrefixResult) -> None:
        """Watch while this daemon is a follower, until cancelled.

        Parameters
        ----------
        start : PrefixResult
            Contents of the store when the process started.
        """
        retry_ms = RETRY_DELAY_MIN_MS
        revision = self._replace_entries(start)
        await asyncio.sleep(STARTUP_DELAY_MS / 1_000.0)
        while True:
            try:
                if revision is None:
                    await self._follower_event.wait()
                    revision = await self._read_all()
                    retry_ms = RETRY_DELAY_MIN_MS
                await self._watch_from(revision)
                revision = None
            except StoreCompacted as error:
                _log.info("watch_compacted", reason=str(error))
                revision = None
            except StoreError as error:
                revision = None
                self._reachability.record_failure("follow", error)
                await asyncio.sleep(retry_ms * random.uniform(0.7, 1.0) / 1_000.0)
                retry_ms = min(RETRY_DELAY_MAX_MS, 2.0 * retry_ms)

    async def _read_all(self) -> int:
        result = await self._store.get_prefix(
            self._keys.operator_prefix, before_watch=True
        )
        self._must_read = False
        self._reachability.record_response("get_prefix")
        return self._replace_entries(result)

    def _replace_entries(self, result: PrefixResult) -> int:
        self._entries_by_key = {
            entry.key: entry
            for entry in result.entries
            if entry.key.startswith(self._keys.operator_prefix)
        }
        self._apply(read_revision=result.revision, changed_revision=result.revision)
        return result.revision

    async def _watch_from(self, revision: int) -> None:
        """Watch until the store is lost or restored; raise errors of the store."""
        while True:
            await self._follower_event.wait()
            if self._must_read:
                return
            self._store_lost.clear()
            watch = asyncio.ensure_future(self._watch_once(revision))
            lost = asyncio.ensure_future(self._store_lost.wait())
            try:
                await asyncio.wait((watch, lost), return_when=asyncio.FIRST_COMPLETED)
                if not watch.done():
                    return
                revision = watch.result()
            finally:
                for task in (watch, lost):
                    task.cancel()
                # Awaiting the cancelled watch itself would not tell its cancellation
                # from one of this task.
                await asyncio.gather(watch, lost, return_exceptions=True)

    def _watch_timeout_ms(self) -> float:
        return max(WATCH_TIMEOUT_MIN_MS, WATCH_SHARE * self._bounds().reconnect_ms)

    async def _watch_once(self, revision: int) -> int:
        result = await self._store.watch_prefix(
            self._keys.operator_prefix,
            after_revision=revision,
            timeout_ms=int(self._watch_timeout_ms() * random.uniform(0.8, 1.0)),
        )
        self._reachability.record_response("watch")
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
        self._configuration.apply_store_read(
            configuration=b"" if entry is None else entry.value,
            zones_out=frozenset(zones_out),
            read_revision=read_revision,
            changed_revision=changed_revision,
        )
