"""Membership through the platform's store: one leased key per daemon.

A restarted process finds the key of its predecessor and continues with its lease.
Otherwise a daemon writes its own key before it reads the others. Of two daemons that
start at the same time, the later writer therefore reads the other's key and connects to
it, and the other connects back. So no watch is needed; a cheap periodic read finds
daemons that were unreachable for longer than their link is kept.
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
from vanillapitch_relay.store_reachability import StoreReachability

__all__ = ["Registration"]

_log = EventLog(part="store")

# Allows for three failed renewals. The loss of a VM is detected earlier, by its links.
LEASE_TTL_MS = 6_000
RENEW_INTERVAL_MS = 2_000.0
# The member key must be restored within 2 s after the store recovers. Failed calls are
# billed too.
RETRY_INTERVAL_MS = 900.0
# A stale read costs a tenth of a call. Links are kept for longer than this interval.
MEMBERS_INTERVAL_MS = 8_000.0
# The platform documents that stale reads may be seconds old.
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
        Client of the store.
    keys : StoreKeys
        Names of the keys in the store.
    settings : Settings
        Settings of this daemon.
    clock : Clock
        Source of time.
    reachability : StoreReachability
        Records the results of calls to the store.
    on_members : callable
        Called with all listed members by node.
    """

    def __init__(
        self,
        *,
        store: AsyncKeyValueStore,
        keys: StoreKeys,
        settings: Settings,
        clock: Clock,
        reachability: StoreReachability,
        on_members: Callable[[dict[str, MemberInfo]], None],
    ):
        self._store = store
        self._prefix = keys.members_prefix
        self._settings = settings
        self._clock = clock
        self._reachability = reachability
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
        # Revision of the own key as last written or read; 0 if it is absent.
        self._own_revision = 0
        self._is_listed = False
        self._listed_at_ms = -STALE_READ_AGE_MS
        self._members_due_ms = clock.now_ms() + MEMBERS_INTERVAL_MS
        # Set when the store was lost, as keys may have been removed meanwhile.
        self._must_recheck_list = False
        self._stopping = False

    async def run(self, start: PrefixResult) -> None:
        """Renew the lease and read the members periodically, until cancelled.

        Parameters
        ----------
        start : PrefixResult
            Contents of the store when the process started.
        """
        self._resume_lease(start)
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
                self._reachability.record_failure("register", error)
                self._must_recheck_list = True
                await _sleep_with_jitter(RETRY_INTERVAL_MS)
                continue
            await asyncio.sleep(RENEW_INTERVAL_MS / 1_000.0)

    async def withdraw(self) -> None:
        """Remove the member key, so that no daemon connects to this one again."""
        self._stopping = True
        if not self._lease_id:
            return
        try:
            await self._store.end_lease(self._lease_id)
        except StoreError as error:
            # The lease expires soon after the process ends.
            self._reachability.record_failure("end_lease", error)
            _log.warning("withdrawal_failed", error=error.code, reason=str(error))
        else:
            self._reachability.record_response("end_lease")

    def _resume_lease(self, start: PrefixResult) -> None:
        """Continue with the key and the lease of an earlier process on this VM."""
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
            self._reachability.record_response("keep_alive")
        else:
            await self._grant()
        if not self._is_listed:
            await self._put_own_key()

    async def _grant(self) -> None:
        ttl_ms = max(LEASE_TTL_MS, self._settings.lease_ttl_ms_min)
        lease = await self._store.grant_lease(ttl_ms)
        self._reachability.record_response("grant_lease")
        self._lease_id = lease.lease_id
        _log.info("lease_granted", lease=lease.lease_id, ttl_ms=lease.ttl_ms)

    async def _put_own_key(self) -> None:
        """Write the own key; its condition stops late writes overwriting newer ones."""
        put = Put(key=self._own_key, value=self._own_value, lease_id=self._lease_id)
        while True:
            result = await self._store.transact(
                [mod_revision_is(self._own_key, self._own_revision)], [put]
            )
            self._reachability.record_response(
                "transact", "ok" if result.succeeded else "stale"
            )
            if result.succeeded:
                break
            # An earlier process wrote the key, or an earlier write was delayed.
            current = await self._store.get(self._own_key)
            self._reachability.record_response("get")
            entry = current.entry
            self._own_revision = 0 if entry is None else entry.mod_revision
        self._own_revision = result.revision
        self._is_listed = True
        self._listed_at_ms = self._clock.now_ms()
        self._members_due_ms = self._listed_at_ms
        _log.info("registered", revision=result.revision, lease=self._lease_id)

    async def _read_members(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < self._members_due_ms and not self._must_recheck_list:
            return
        # The first read after the own key was written must return all older keys. The
        # first one after an outage must show whether the own key still exists.
        is_settled = now_ms - self._listed_at_ms > STALE_READ_AGE_MS
        may_be_stale = is_settled and not self._must_recheck_list
        result = await self._store.get_prefix(self._prefix, may_be_stale=may_be_stale)
        self._reachability.record_response(
            "get_prefix_stale" if may_be_stale else "get_prefix"
        )
        self._must_recheck_list = False
        interval_ms = MEMBERS_INTERVAL_MS * random.uniform(0.8, 1.0)
        self._members_due_ms = now_ms + interval_ms
        self._on_members(self._decode_members(result.entries))
        if not any(entry.key == self._own_key for entry in result.entries):
            await self._restore_own_key()

    async def _restore_own_key(self) -> None:
        """Write the own key again if it was removed although the lease is held."""
        current = await self._store.get(self._own_key)
        self._reachability.record_response("get")
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


async def _sleep_with_jitter(duration_ms: float) -> None:
    await asyncio.sleep(duration_ms * random.uniform(0.7, 1.0) / 1_000.0)
