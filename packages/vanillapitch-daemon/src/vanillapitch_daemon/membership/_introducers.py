"""Introducers in the store, through which daemons without seeds find members."""

import random
import threading
from collections.abc import Callable

import pykka
from vanillapitch_core import Clock
from vanillapitch_core.configuration import choose_by_rendezvous
from vanillapitch_core.membership import MemberRecord
from vanillapitch_store import (
    KeyValueStore,
    Lease,
    Put,
    StoreError,
    StoreLeaseNotFound,
)

from vanillapitch_daemon.logs import get_log

__all__ = ["INTRODUCERS_PER_ZONE", "Introducers"]

INTRODUCERS_PREFIX = "/vanillapitch/introducers/"
INTRODUCERS_PER_ZONE = 3
LEASE_TTL_MS = 60_000
# Two renewals may fail before the lease expires.
RENEWAL_INTERVAL_MS = 20_000.0
# Interval of reads while no other member is known; doubled after each store error.
SEARCH_INTERVAL_MS = 2_000.0
MAX_SEARCH_INTERVAL_MS = 30_000.0

_log = get_log("membership")


class Introducers:
    """Reads introducers from the store and registers this daemon when it is selected.

    Parameters
    ----------
    store : KeyValueStore
        The platform's store.
    members : callable
        Returns the records of all members, this daemon's first.
    deliver : callable
        Called with the gossip addresses from the store, which replace earlier ones.
    clock : Clock
        Source of time.
    random_source : random.Random
        Source of randomness for the intervals between calls.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        members: Callable[[], tuple[MemberRecord, ...]],
        deliver: Callable[[tuple[str, ...]], None],
        clock: Clock,
        random_source: random.Random,
    ):
        self._store = store
        self._members = members
        self._deliver = deliver
        self._clock = clock
        self._random = random_source
        self._lease: Lease | None = None
        self._search_interval_ms = SEARCH_INTERVAL_MS
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="introducers", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread; the key is removed when its lease expires."""
        self._closing.set()

    def _run(self) -> None:
        wait_ms = 0.0
        while not self._closing.wait(wait_ms / 1000):
            wait_ms = self._search_interval_ms * self._random.uniform(0.75, 1.25)
            try:
                wait_ms = self.step()
            except StoreError as error:
                # Retries more often than the lease's TTL, since the outage may end
                # before the lease expires.
                self._search_interval_ms = min(
                    MAX_SEARCH_INTERVAL_MS, 2 * self._search_interval_ms
                )
                _log.warning(
                    "Could not reach the store for introducers", code=error.code
                )
            except pykka.ActorDeadError:
                return
            except Exception:
                _log.exception("Could not read or register introducers")

    def step(self) -> float:
        """Read introducers and, if selected, register this daemon or renew its lease.

        Returns
        -------
        float
            Time until the next step, in milliseconds.

        Raises
        ------
        vanillapitch_store.StoreError
            If the store does not answer.
        """
        own, *others = self._members()
        live_records = [record for record in others if not record.has_ended]
        is_selected = _is_selected(own, live_records)
        if is_selected or not live_records:
            # Introducers read as well, so that groups of daemons that started
            # separately find each other.
            self._deliver(self._read())
        if is_selected:
            self._register(own)
        else:
            self._lease = None
        self._search_interval_ms = SEARCH_INTERVAL_MS
        jitter = self._random.uniform(0.75, 1.25)
        return jitter * (RENEWAL_INTERVAL_MS if live_records else SEARCH_INTERVAL_MS)

    def _read(self) -> tuple[str, ...]:
        entries = self._store.get_prefix(INTRODUCERS_PREFIX).entries
        return tuple(entry.value.decode("ascii", "replace") for entry in entries)

    def _register(self, own: MemberRecord) -> None:
        if self._lease is not None:
            try:
                self._store.keep_alive(self._lease)
                return
            except StoreLeaseNotFound:
                self._lease = None
        lease = self._store.grant_lease(LEASE_TTL_MS)
        write = Put(
            key=f"{INTRODUCERS_PREFIX}{own.zone}/{own.address}",
            value=own.gossip_address.encode(),
            lease_id=lease.lease_id,
        )
        self._store.transact((), (write,))
        self._lease = lease
        _log.info("Registered as introducer", zone=own.zone)


def _is_selected(own: MemberRecord, live_records: list[MemberRecord]) -> bool:
    same_zone = [record.instance for record in live_records if record.zone == own.zone]
    selected = choose_by_rendezvous(
        purpose=f"introducer {own.zone}",
        instances=[own.instance, *same_zone],
        count=INTRODUCERS_PER_ZONE,
    )
    return own.instance in selected
