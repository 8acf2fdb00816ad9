"""What a daemon keeps in the platform's store and reads from it.

One watch follows the configuration, the zones out of service and the members. One
lease holds this daemon's member key. The acknowledgement of a leaving endpoint is kept
without a lease, because it binds the process that follows on this VM.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec
from vanillapitch_store.exceptions import (
    StoreCompacted,
    StoreError,
    StoreLeaseNotFound,
)
from vanillapitch_store.model import (
    Entry,
    EventKind,
    Put,
    WatchEvent,
    mod_revision_is,
)
from vanillapitch_wire.relay import MemberInfo, Snapshot

from vanillapitch_relay.configuration_state import ConfigurationState
from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.metrics import Metrics
from vanillapitch_relay.model import Settings, StoreKeys
from vanillapitch_relay.store_port import AsyncKeyValueStore

__all__ = ["DepartureMark", "StoreSession"]

_log = EventLog(part="store")

# A waiting watch counts as one call, whenever it ends. A watch that went silent is
# found when its wait is over, by one daemon after the other; peers tell the rest.
WATCH_MS = 8_000
# Long enough for three failed renewals; a VM that is lost is noticed by its links.
LEASE_TTL_MS = 6_000
RENEW_INTERVAL_MS = 2_000.0
# Entries must be back two seconds after the store returns. Calls to a store that is
# down are paid for too.
RETRY_MIN_MS = 150.0
RETRY_MAX_MS = 900.0


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


class _MemberValue(msgspec.Struct, frozen=True, kw_only=True):
    address: str
    service: str
    zone: str


class StoreSession:
    """Tasks that talk to the store.

    Parameters
    ----------
    store : AsyncKeyValueStore
        The store.
    keys : StoreKeys
        Where things are.
    settings : Settings
        This daemon.
    configuration : ConfigurationState
        Takes what operators wrote.
    metrics : Metrics
        Counters.
    on_members : callable
        Takes all listed members by node.
    """

    def __init__(
        self,
        *,
        store: AsyncKeyValueStore,
        keys: StoreKeys,
        settings: Settings,
        configuration: ConfigurationState,
        metrics: Metrics,
        on_members: Callable[[dict[str, MemberInfo]], None],
    ):
        self.is_connected = False
        self._store = store
        self._keys = keys
        self._settings = settings
        self._configuration = configuration
        self._metrics = metrics
        self._on_members = on_members
        self._entries_by_key: dict[str, Entry] = {}
        self._lease_id = 0
        self._own_key = keys.members_prefix + settings.node
        self._own_value = msgspec.json.encode(
            _MemberValue(
                address=settings.peer_address,
                service=settings.service,
                zone=settings.zone,
            )
        )
        self._connected = asyncio.Event()
        self._registration_due = asyncio.Event()
        self._stopping = False

    async def follow(self) -> None:
        """Read everything, then watch for changes, until cancelled."""
        retry_ms = RETRY_MIN_MS
        while True:
            try:
                revision = await self._read_all()
                retry_ms = RETRY_MIN_MS
                await self._watch(revision)
            except StoreCompacted as error:
                _log.info("watch_compacted", reason=str(error))
            except StoreError as error:
                self._note_lost(error)
                await self._pause(retry_ms)
                retry_ms = min(RETRY_MAX_MS, 2.0 * retry_ms)

    async def register(self) -> None:
        """Keep the member key present under a renewed lease, until cancelled."""
        while not self._stopping:
            await self._connected.wait()
            try:
                await self._renew()
            except StoreLeaseNotFound as error:
                _log.info("lease_lapsed", lease=self._lease_id, reason=str(error))
                self._lease_id = 0
                continue
            except StoreError as error:
                _log.warning("registration_failed", error=error.code, reason=str(error))
                await self._pause(RETRY_MAX_MS)
                continue
            self._registration_due.clear()
            try:
                async with asyncio.timeout(RENEW_INTERVAL_MS / 1_000.0):
                    await self._registration_due.wait()
            except TimeoutError:
                pass

    async def unregister(self) -> None:
        """Remove the member key, so that no ingress dials this daemon again."""
        self._stopping = True
        if not self._lease_id:
            return
        try:
            await self._store.end_lease(self._lease_id)
            self._count("end_lease", "ok")
        except StoreError as error:
            # The lease ends by itself soon after the process.
            self._count("end_lease", error.code)
            _log.warning("unregister_failed", error=error.code, reason=str(error))

    async def read_departure(self) -> DepartureMark | None:
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
        result = await self._store.get(self._departure_key)
        self._count("get", "ok")
        if result.entry is None:
            return None
        try:
            return msgspec.json.decode(result.entry.value, type=DepartureMark)
        except msgspec.MsgspecError as error:
            _log.warning("departure_unreadable", reason=str(error))
            return None

    async def write_departure(self, mark: DepartureMark) -> None:
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
        current = await self._store.get(self._departure_key)
        self._count("get", "ok")
        revision = 0 if current.entry is None else current.entry.mod_revision
        put = Put(key=self._departure_key, value=msgspec.json.encode(mark))
        # The condition keeps a write that is carried out late from undoing a newer one.
        await self._store.transact(
            [mod_revision_is(self._departure_key, revision)], [put]
        )
        self._count("transact", "ok")

    @property
    def _departure_key(self) -> str:
        return self._keys.departures_prefix + self._settings.node

    async def _read_all(self) -> int:
        result = await self._store.get_prefix(self._keys.watched_prefix)
        self._count("get_prefix", "ok")
        self._entries_by_key = {entry.key: entry for entry in result.entries}
        if not self.is_connected:
            _log.info("store_connected", revision=result.revision)
        self.is_connected = True
        self._connected.set()
        self._apply_operator_entries(
            read_revision=result.revision, changed_revision=result.revision
        )
        self._apply_members()
        return result.revision

    async def _watch(self, revision: int) -> None:
        while True:
            timeout_ms = int(WATCH_MS * random.uniform(0.8, 1.0))
            result = await self._store.watch_prefix(
                self._keys.watched_prefix,
                after_revision=revision,
                timeout_ms=timeout_ms,
            )
            self._count("watch", "ok")
            revision = max(revision, result.next_revision)
            if result.events:
                self._apply_events(result.events, read_revision=revision)

    def _apply_events(
        self, events: tuple[WatchEvent, ...], *, read_revision: int
    ) -> None:
        operator_revision = 0
        members_changed = False
        for event in events:
            entry = event.entry
            known = self._entries_by_key.get(entry.key)
            if known is not None and known.mod_revision >= entry.mod_revision:
                continue
            if event.kind is EventKind.DELETE:
                self._entries_by_key.pop(entry.key, None)
            else:
                self._entries_by_key[entry.key] = entry
            if entry.key.startswith(self._keys.members_prefix):
                members_changed = True
            else:
                operator_revision = max(operator_revision, entry.mod_revision)
        if operator_revision:
            self._apply_operator_entries(
                read_revision=read_revision, changed_revision=operator_revision
            )
        if members_changed:
            self._apply_members()

    def _apply_operator_entries(
        self, *, read_revision: int, changed_revision: int
    ) -> None:
        entry = self._entries_by_key.get(self._keys.configuration)
        prefix = self._keys.zones_out_prefix
        zones_out = [
            key.removeprefix(prefix)
            for key in self._entries_by_key
            if key.startswith(prefix)
        ]
        snapshot = Snapshot(
            read_revision=read_revision,
            changed_revision=changed_revision,
            configuration=b"" if entry is None else entry.value,
            zones_out=sorted(zones_out),
        )
        self._configuration.take_snapshot(snapshot, source="store")

    def _apply_members(self) -> None:
        members_by_node = {}
        prefix = self._keys.members_prefix
        for key, entry in self._entries_by_key.items():
            if not key.startswith(prefix):
                continue
            node = key.removeprefix(prefix)
            try:
                value = msgspec.json.decode(entry.value, type=_MemberValue)
            except msgspec.MsgspecError as error:
                _log.warning("member_unreadable", node=node, reason=str(error))
                continue
            members_by_node[node] = MemberInfo(
                node=node,
                address=value.address,
                service_name=value.service,
                zone=value.zone,
            )
        own = self._entries_by_key.get(self._own_key)
        if own is None or own.value != self._own_value:
            self._registration_due.set()
        self._on_members(members_by_node)

    async def _renew(self) -> None:
        if self._lease_id:
            await self._store.keep_alive(self._lease_id)
            self._count("keep_alive", "ok")
        else:
            ttl_ms = max(LEASE_TTL_MS, self._settings.lease_ttl_ms_min)
            lease = await self._store.grant_lease(ttl_ms)
            self._count("grant_lease", "ok")
            self._lease_id = lease.lease_id
            _log.info("lease_granted", lease=lease.lease_id, ttl_ms=lease.ttl_ms)
        await self._put_own_key()

    async def _put_own_key(self) -> None:
        own = self._entries_by_key.get(self._own_key)
        if (
            own is not None
            and own.value == self._own_value
            and own.lease_id == self._lease_id
        ):
            return
        revision = 0 if own is None else own.mod_revision
        put = Put(key=self._own_key, value=self._own_value, lease_id=self._lease_id)
        result = await self._store.transact(
            [mod_revision_is(self._own_key, revision)], [put]
        )
        self._count("transact", "ok" if result.succeeded else "conflict")
        if result.succeeded:
            self._entries_by_key[self._own_key] = Entry(
                key=self._own_key,
                value=self._own_value,
                create_revision=0,
                mod_revision=result.revision,
                lease_id=self._lease_id,
            )
            _log.info("registered", revision=result.revision, lease=self._lease_id)
        else:
            # An earlier write took effect late; the store's answer names it.
            current = await self._store.get(self._own_key)
            self._count("get", "ok")
            if current.entry is None:
                self._entries_by_key.pop(self._own_key, None)
            else:
                self._entries_by_key[self._own_key] = current.entry
            self._registration_due.set()

    def _note_lost(self, error: StoreError) -> None:
        self._count("follow", error.code)
        if self.is_connected:
            _log.warning("store_lost", error=error.code, reason=str(error))
        self.is_connected = False
        self._connected.clear()

    async def _pause(self, duration_ms: float) -> None:
        await asyncio.sleep(duration_ms * random.uniform(0.7, 1.0) / 1_000.0)

    def _count(self, kind: str, result: str) -> None:
        self._metrics.count_store_call(kind, result)
