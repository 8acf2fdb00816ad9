"""Membership through the platform's store: one leased key per daemon.

A process that starts again finds the key of the one before and goes on with its lease.
Otherwise a daemon writes its key before it reads the others'. Of two daemons that start
at once, the later writer therefore reads the key of the other and dials it, and whom it
dials dials back. No watch is needed; a cheap read from time to time finds daemons that
were cut off from this one for longer than a link is kept.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

import msgspec
from vanillapitch_core.clock import Clock
from vanillapitch_store.exceptions import StoreError, StoreLeaseNotFound
from vanillapitch_store.model import Entry, PrefixResult, Put, mod_revision_is
from vanillapitch_wire.relay import MemberInfo

from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.model import Settings, StoreKeys
from vanillapitch_relay.store_port import AsyncKeyValueStore
from vanillapitch_relay.store_reach import StoreReach

__all__ = ["Registration"]

_log = EventLog(part="store")

# Long enough for three failed renewals; a VM that is lost is noticed by its links.
LEASE_TTL_MS = 6_000
RENEW_INTERVAL_MS = 2_000.0
# Entries must be back two seconds after the store returns. Calls to a store that is
# down are paid for too.
RETRY_MS = 900.0
# Stale reads cost a tenth of a call. A link is redialled for longer than this.
MEMBERS_INTERVAL_MS = 8_000.0
# The platform calls stale reads seconds old.
STALE_READ_AGE_MS = 5_000.0


class _MemberValue(msgspec.Struct, frozen=True, kw_only=True):
    address: str
    service: str
    zone: str


class Registration:
    """Task that keeps the member key of this daemon and reads those of the others.

    Parameters
    ----------
    store : AsyncKeyValueStore
        The store.
    keys : StoreKeys
        Where things are.
    settings : Settings
        This daemon.
    clock : Clock
        Source of time.
    reach : StoreReach
        Shared result of the store's calls.
    on_members : callable
        Takes all listed members by node.
    """

    def __init__(
        self,
        *,
        store: AsyncKeyValueStore,
        keys: StoreKeys,
        settings: Settings,
        clock: Clock,
        reach: StoreReach,
        on_members: Callable[[dict[str, MemberInfo]], None],
    ):
        self._store = store
        self._prefix = keys.members_prefix
        self._settings = settings
        self._clock = clock
        self._reach = reach
        self._on_members = on_members
        self._lease_id = 0
        self._own_key = keys.members_prefix + settings.node
        self._own_value = msgspec.json.encode(
            _MemberValue(
                address=settings.peer_address,
                service=settings.service,
                zone=settings.zone,
            )
        )
        # Revision of the own key as last written or read; 0 while it is absent.
        self._own_revision = 0
        self._is_listed = False
        self._listed_at_ms = -STALE_READ_AGE_MS
        self._members_due_ms = clock.now_ms() + MEMBERS_INTERVAL_MS
        # The store was lost, and may have taken keys away meanwhile.
        self._is_list_doubtful = False
        self._stopping = False

    async def run(self, start: PrefixResult) -> None:
        """Renew the lease and read the members from time to time, until cancelled.

        Parameters
        ----------
        start : PrefixResult
            What the store held when the process started.
        """
        self._take_over(start)
        while not self._stopping:
            try:
                await self._renew()
                await self._read_members()
            except StoreLeaseNotFound as error:
                _log.info("lease_lapsed", lease=self._lease_id, reason=str(error))
                self._lease_id = 0
                self._is_listed = False
                continue
            except StoreError as error:
                self._reach.note_failure("register", error)
                self._is_list_doubtful = True
                await _pause(RETRY_MS)
                continue
            await asyncio.sleep(RENEW_INTERVAL_MS / 1_000.0)

    async def withdraw(self) -> None:
        """Remove the member key, so that no daemon dials this one again."""
        self._stopping = True
        if not self._lease_id:
            return
        try:
            await self._store.end_lease(self._lease_id)
        except StoreError as error:
            # The lease ends by itself soon after the process.
            self._reach.note_failure("end_lease", error)
            _log.warning("withdrawal_failed", error=error.code, reason=str(error))
        else:
            self._reach.note_answer("end_lease")

    def _take_over(self, start: PrefixResult) -> None:
        """Go on with the key and the lease of an earlier process on this VM."""
        self._on_members(self._decode_members(start.entries))
        for entry in start.entries:
            if entry.key == self._own_key:
                self._own_revision = entry.mod_revision
                self._lease_id = entry.lease_id
                self._is_listed = entry.value == self._own_value
                _log.info("lease_taken_over", lease=entry.lease_id)

    async def _renew(self) -> None:
        if self._lease_id:
            await self._store.keep_alive(self._lease_id)
            self._reach.note_answer("keep_alive")
        else:
            await self._grant()
        if not self._is_listed:
            await self._put_own_key()

    async def _grant(self) -> None:
        ttl_ms = max(LEASE_TTL_MS, self._settings.lease_ttl_ms_min)
        lease = await self._store.grant_lease(ttl_ms)
        self._reach.note_answer("grant_lease")
        self._lease_id = lease.lease_id
        _log.info("lease_granted", lease=lease.lease_id, ttl_ms=lease.ttl_ms)

    async def _put_own_key(self) -> None:
        """Write the own key; a condition keeps late writes from undoing newer ones."""
        put = Put(key=self._own_key, value=self._own_value, lease_id=self._lease_id)
        while True:
            result = await self._store.transact(
                [mod_revision_is(self._own_key, self._own_revision)], [put]
            )
            self._reach.note_answer("transact", "ok" if result.succeeded else "stale")
            if result.succeeded:
                break
            # An earlier process wrote it, or an earlier write took effect late.
            current = await self._store.get(self._own_key)
            self._reach.note_answer("get")
            entry = current.entry
            self._own_revision = 0 if entry is None else entry.mod_revision
        self._own_revision = result.revision
        self._is_listed = True
        self._listed_at_ms = self._clock.now_ms()
        self._members_due_ms = self._listed_at_ms
        _log.info("registered", revision=result.revision, lease=self._lease_id)

    async def _read_members(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < self._members_due_ms and not self._is_list_doubtful:
            return
        # The first read after the own key was written must contain all older keys, and
        # the first one after an outage whether the own key is still there.
        is_settled = now_ms - self._listed_at_ms > STALE_READ_AGE_MS
        may_be_stale = is_settled and not self._is_list_doubtful
        result = await self._store.get_prefix(self._prefix, may_be_stale=may_be_stale)
        self._reach.note_answer("get_prefix_stale" if may_be_stale else "get_prefix")
        self._is_list_doubtful = False
        interval_ms = MEMBERS_INTERVAL_MS * random.uniform(0.8, 1.0)
        self._members_due_ms = now_ms + interval_ms
        self._on_members(self._decode_members(result.entries))
        if not any(entry.key == self._own_key for entry in result.entries):
            await self._restore()

    async def _restore(self) -> None:
        """Write the own key again if it was taken away although the lease is held."""
        current = await self._store.get(self._own_key)
        self._reach.note_answer("get")
        if current.entry is not None:
            return
        _log.warning("registration_lost", revision=self._own_revision)
        self._own_revision = 0
        self._is_listed = False
        await self._put_own_key()

    def _decode_members(self, entries: Iterable[Entry]) -> dict[str, MemberInfo]:
        members_by_node = {}
        for entry in entries:
            if not entry.key.startswith(self._prefix):
                continue
            node = entry.key.removeprefix(self._prefix)
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
        return members_by_node


async def _pause(duration_ms: float) -> None:
    await asyncio.sleep(duration_ms * random.uniform(0.7, 1.0) / 1_000.0)
