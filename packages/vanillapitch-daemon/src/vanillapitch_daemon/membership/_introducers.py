"""Introducers in the store: how daemons find the fleet without a list."""

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
# Two renewals may be lost before the lease ends.
RENEWAL_INTERVAL_MS = 20_000.0
# A daemon without members looks again soon.
SEARCH_INTERVAL_MS = 2_000.0
MAX_SEARCH_INTERVAL_MS = 30_000.0

_log = get_log("membership")


class Introducers:
    """Reads introducers, and registers this daemon when it is chosen.

    Parameters
    ----------
    store : KeyValueStore
        The platform's store.
    members : callable
        Returns all records, the own one first.
    deliver : callable
        Called with the gossip addresses from the store; they replace earlier ones.
    clock : Clock
        Source of time.
    random_source : random.Random
        Source of randomness, for the times of calls.
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
        """Start to read and register."""
        self._thread.start()

    def close(self) -> None:
        """End the thread; the lease removes the key."""
        self._closing.set()

    def _run(self) -> None:
        wait_ms = 0.0
        while not self._closing.wait(wait_ms / 1000):
            wait_ms = self._search_interval_ms * self._random.uniform(0.75, 1.25)
            try:
                wait_ms = self.step()
            except StoreError as error:
                # Renewals keep their pace, since an outage may end before the lease.
                self._search_interval_ms = min(
                    MAX_SEARCH_INTERVAL_MS, 2 * self._search_interval_ms
                )
                _log.warning(
                    "Could not reach the store for introducers", code=error.code
                )
            except pykka.ActorDeadError:
                return
            except Exception:
                _log.exception("Introducers failed")

    def step(self) -> float:
        """Read, register or renew once.

        Returns
        -------
        float
            Time to wait, in milliseconds.

        Raises
        ------
        vanillapitch_store.StoreError
            If the store does not answer.
        """
        own, *others = self._members()
        live = [record for record in others if not record.has_ended]
        is_chosen = _is_chosen(own, live)
        if is_chosen or not live:
            # Introducers look too, so that fleets that started apart find each other.
            self._deliver(self._read())
        if is_chosen:
            self._register(own)
        else:
            self._lease = None
        self._search_interval_ms = SEARCH_INTERVAL_MS
        spread = self._random.uniform(0.75, 1.25)
        return spread * (RENEWAL_INTERVAL_MS if live else SEARCH_INTERVAL_MS)

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


def _is_chosen(own: MemberRecord, live: list[MemberRecord]) -> bool:
    same_zone = [record.instance for record in live if record.zone == own.zone]
    chosen = choose_by_rendezvous(
        purpose=f"introducer {own.zone}",
        instances=[own.instance, *same_zone],
        count=INTRODUCERS_PER_ZONE,
    )
    return own.instance in chosen
