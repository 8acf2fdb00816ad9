"""Membership through the platform's store: a leased key per introducer.

Introducers are some daemons of each availability zone. They are listed in the store and
know all members; the others connect to them and learn the members from them. So the
calls to the store depend on the number of zones and not on that of the daemons.

A daemon becomes an introducer while its zone has too few. It writes its own key before
it reads the others. Of two introducers that start at the same time, the later writer
therefore reads the other's key and connects to it, and the other connects back. A
restarted process finds the key of its predecessor and continues with its lease.
"""

import asyncio
import contextlib
import random
from collections.abc import Iterable

import msgspec
from vanillapitch_core.clock import Clock
from vanillapitch_store.exceptions import StoreError, StoreLeaseNotFound
from vanillapitch_store.model import Entry, PrefixResult, Put, mod_revision_is
from vanillapitch_wire.relay import MemberInfo

from vanillapitch_relay.documents import decode_json, parse_address
from vanillapitch_relay.exceptions import DocumentInvalid
from vanillapitch_relay.hub import Hub
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
# All daemons but the introducers wait for this time, since they share the outage.
SEARCH_RETRY_INTERVAL_MS = 6_000.0
# A stale read costs a tenth of a call. Links are kept for longer than this interval.
MEMBERS_INTERVAL_MS = 8_000.0
# The platform documents that stale reads may be seconds old.
STALE_READ_AGE_MS = 5_000.0


# With two introducers in each availability zone, a new daemon still finds one while the
# other is replaced.
INTRODUCERS_PER_ZONE = 2
# Interval at which a daemon that is not listed counts the introducers it reaches.
INTRODUCERS_CHECK_MS = 500.0
# Range from which a daemon draws its delay before it lists itself. At the first start
# all daemons do so, nobody is served yet, and stale reads may not show the first ones.
FIRST_START_DELAY_MS = 4_000.0
NO_INTRODUCER_DELAY_MS = 500.0
# With one introducer left, new daemons still find the others.
ONE_INTRODUCER_DELAY_MS = 10_000.0


class _MemberValue(msgspec.Struct, frozen=True, kw_only=True):
    address: str
    service: str
    zone: str


class Registration:
    """Task that finds introducers, or keeps the member key of this daemon if it is one.

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
    hub : Hub
        Links to the members.
    """

    def __init__(
        self,
        *,
        store: AsyncKeyValueStore,
        keys: StoreKeys,
        settings: Settings,
        clock: Clock,
        reachability: StoreReachability,
        hub: Hub,
    ):
        self._store = store
        self._prefix = keys.members_prefix
        self._settings = settings
        self._clock = clock
        self._reachability = reachability
        self._hub = hub
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
        # An introducer that loses its key lists itself again.
        self._is_introducer = False
        self._listed_at_ms = -STALE_READ_AGE_MS
        self._members_due_ms = clock.now_ms() + MEMBERS_INTERVAL_MS
        # Set when the store was lost, as keys may have been removed meanwhile.
        self._must_recheck_list = False
        self._delay_ms = NO_INTRODUCER_DELAY_MS
        if settings.is_first_start:
            self._delay_ms = FIRST_START_DELAY_MS
        self._stopping = False
        self._wake = asyncio.Event()

    def on_store_restored(self) -> None:
        """Write the own key again, as the store may have lost it, and read the list."""
        self._is_listed = False
        self._must_recheck_list = True
        self._wake.set()

    async def run(self, start: PrefixResult) -> None:
        """Stay in contact with introducers or be one, until cancelled.

        Parameters
        ----------
        start : PrefixResult
            Contents of the store when the process started.
        """
        self._resume_lease(start)
        while not self._stopping:
            try:
                if not self._is_introducer and not await self._must_register():
                    await asyncio.sleep(INTRODUCERS_CHECK_MS / 1_000.0)
                    continue
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
                await _sleep_with_jitter(
                    RETRY_INTERVAL_MS
                    if self._is_introducer
                    else SEARCH_RETRY_INTERVAL_MS
                )
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RENEW_INTERVAL_MS / 1_000.0):
                    await self._wake.wait()
            self._wake.clear()

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
        self._hub.set_listed_members(self._decode_members(start.entries))
        for entry in start.entries:
            if entry.key == self._own_key:
                self._own_revision = entry.mod_revision
                self._lease_id = entry.lease_id
                self._is_listed = entry.value == self._own_value
                self._become_introducer()
                _log.info("lease_taken_over", lease=entry.lease_id)

    def _become_introducer(self) -> None:
        self._is_introducer = True
        self._hub.become_introducer()

    async def _must_register(self) -> bool:
        """Wait for introducers of this zone; return whether it has too few."""
        reached = self._hub.count_zone_introducers()
        if reached >= INTRODUCERS_PER_ZONE:
            return False
        delay_ms = ONE_INTRODUCER_DELAY_MS if reached else self._delay_ms
        await asyncio.sleep(random.uniform(0.0, delay_ms) / 1_000.0)
        if self._stopping or self._hub.count_zone_introducers() > reached:
            return False
        # Once the link to a listed introducer is up, this daemon may wait longer.
        needed = INTRODUCERS_PER_ZONE if reached else 1
        # A stale read is enough to find introducers, but not to conclude that there are
        # too few.
        for may_be_stale in (True, False):
            listed = await self._list_members(may_be_stale=may_be_stale)
            zones = [member.zone for member in listed.values()]
            if zones.count(self._settings.zone) >= needed:
                self._delay_ms = NO_INTRODUCER_DELAY_MS
                return False
            needed = INTRODUCERS_PER_ZONE
        return True

    async def _list_members(self, *, may_be_stale: bool) -> dict[str, MemberInfo]:
        result = await self._store.get_prefix(self._prefix, may_be_stale=may_be_stale)
        self._reachability.record_response(
            "get_prefix_stale" if may_be_stale else "get_prefix"
        )
        members_by_node = self._decode_members(result.entries)
        self._hub.set_listed_members(members_by_node)
        return members_by_node

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
        self._become_introducer()
        _log.info("registered", revision=result.revision, lease=self._lease_id)

    async def _read_members(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < self._members_due_ms and not self._must_recheck_list:
            return
        # The first read after the own key was written must return all older keys. The
        # first one after an outage must show whether the own key still exists.
        is_settled = now_ms - self._listed_at_ms > STALE_READ_AGE_MS
        may_be_stale = is_settled and not self._must_recheck_list
        members_by_node = await self._list_members(may_be_stale=may_be_stale)
        self._must_recheck_list = False
        interval_ms = MEMBERS_INTERVAL_MS * random.uniform(0.8, 1.0)
        self._members_due_ms = now_ms + interval_ms
        if self._settings.node not in members_by_node:
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
                value = decode_json(entry.value, _MemberValue)
                parse_address(value.address)
            except (DocumentInvalid, ValueError) as error:
                _log.warning("member_unreadable", node=node, reason=str(error))
                continue
            members_by_node[node] = MemberInfo(
                node=node,
                address=value.address,
                service_name=value.service,
                zone=value.zone,
                introducer=True,
            )
        return members_by_node


async def _sleep_with_jitter(duration_ms: float) -> None:
    await asyncio.sleep(duration_ms * random.uniform(0.7, 1.0) / 1_000.0)
