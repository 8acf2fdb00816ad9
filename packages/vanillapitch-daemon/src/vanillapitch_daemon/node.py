"""State of this daemon for the administration API."""

import threading
from collections import Counter
from collections.abc import Callable, Iterable

from vanillapitch_core import Clock
from vanillapitch_core.membership import MemberRecord, MemberState

from vanillapitch_daemon import __version__
from vanillapitch_daemon.admin import (
    BackendState,
    Member,
    Status,
)
from vanillapitch_daemon.logs import get_log
from vanillapitch_daemon.metrics import Metrics
from vanillapitch_daemon.monitor import Monitor
from vanillapitch_daemon.owner import SetState
from vanillapitch_daemon.picker import Endpoint
from vanillapitch_daemon.settings import Settings
from vanillapitch_daemon.snapshot import LoadSnapshot, TablesSnapshot

__all__ = ["GossipMetrics", "Node"]

_log = get_log("admin")

_MEMBER_STATES = {
    BackendState.READY: MemberState.ALIVE,
    BackendState.LEAVING: MemberState.LEAVING,
}


class Node:
    """Node port of the administration API.

    Parameters
    ----------
    settings : Settings
        The validated settings.
    endpoint : Endpoint
        This daemon's own endpoint.
    admission : Monitor
        The admission, which is notified of the state that the backend server announces.
    load : LoadSnapshot
        Load that the admission publishes.
    snapshot : TablesSnapshot
        Tables in force.
    metrics : Metrics
        Metrics whose gauges are set from the snapshots.
    clock : Clock
        Source of time.
    read_members : callable
        Returns the records of all members, this daemon's first.
    announce_state : callable
        Announces this daemon's state to the members.
    read_store_state : callable
        Returns ``up``, ``down`` or ``unknown``.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        endpoint: Endpoint,
        admission: Monitor,
        load: LoadSnapshot,
        snapshot: TablesSnapshot,
        metrics: Metrics,
        clock: Clock,
        read_members: Callable[[], Iterable[MemberRecord]],
        announce_state: Callable[[MemberState], None],
        read_store_state: Callable[[], str],
    ):
        self._settings = settings
        self._endpoint = endpoint
        self._admission = admission
        self._load = load
        self._snapshot = snapshot
        self._metrics = metrics
        self._read_members = read_members
        self._announce_state = announce_state
        self._read_store_state = read_store_state
        self._started_at_ms = clock.wall_ms()
        self._lock = threading.Lock()
        self._is_started = False
        self._is_announced = False
        self._is_draining = False
        metrics.add_sampler(self._set_gauges)

    def mark_started(self) -> None:
        """Record that callers are served."""
        self._is_started = True

    def mark_draining(self) -> None:
        """Record that the daemon shuts down; it cannot become ready again."""
        with self._lock:
            self._is_draining = True

    def status(self) -> Status:
        """Return the state of this daemon."""
        load = self._load.current
        settings = self._settings
        members = self.members()
        return Status(
            instance=self._endpoint.instance,
            zone=settings.instance.zone,
            region=settings.instance.region,
            service=settings.backend.service,
            state=members[0].state,
            endpoint_state=load.state,
            revision=self._snapshot.current.tables.revision,
            in_flight=load.in_flight,
            limit=load.limit,
            slots=settings.backend.slots,
            members_by_state=_count_states(members),
            store=self._read_store_state(),
            started_at_ms=self._started_at_ms,
            version=__version__,
        )

    def unready_reasons(self) -> tuple[str, ...]:
        """Return why the daemon cannot serve callers; empty when it can."""
        if self._is_draining:
            return ("The daemon is draining.",)
        if not self._is_started:
            return ("The daemon is starting.",)
        return ()

    def members(self) -> tuple[Member, ...]:
        """Return the known members, this one first."""
        return tuple(
            Member(
                instance=record.instance,
                zone=record.zone,
                region=record.region,
                service=record.service,
                state=record.state.value,
                version=record.version,
                slots=record.slots,
            )
            for record in self._read_members()
        )

    def announce(self, state: BackendState) -> BackendState:
        """Apply the state that the backend server announces.

        Parameters
        ----------
        state : BackendState
            The announced state.

        Returns
        -------
        BackendState
            The state in force; it stays leaving while the daemon shuts down.
        """
        with self._lock:
            if self._is_draining:
                return BackendState.LEAVING
            # The owner refuses new requests before any ingress receives the state.
            self._admission.ask(SetState(state=state.value))
            self._announce_state(_MEMBER_STATES[state])
            self._is_announced = True
        _log.info("Announced the state of the backend server", state=state.value)
        return state

    def record_probe(self, healthy: bool) -> None:
        """Announce the backend server as ready after its first passed health check.

        Does nothing unless `announce_by_health` is set. Health endpoints may be wrong,
        so a check that fails later does not withdraw the announcement.

        Parameters
        ----------
        healthy : bool
            Whether the health check passed.
        """
        if not (healthy and self._settings.backend.announce_by_health):
            return
        if not self._is_announced:
            self.announce(BackendState.READY)

    def _set_gauges(self) -> None:
        load = self._load.current
        self._metrics.set_in_flight("owner", load.in_flight)
        self._metrics.set_limit(load.limit)
        self._metrics.set_revision(self._snapshot.current.tables.revision)
        self._metrics.set_members(_count_states(self.members()))


def _count_states(members: Iterable[Member]) -> dict[str, int]:
    return dict(Counter(member.state for member in members))


class GossipMetrics:
    """Counts membership messages in the daemon's metrics.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the daemon.
    """

    def __init__(self, *, metrics: Metrics):
        self.add_bytes = metrics.add_gossip_bytes
        self.count_drop = metrics.count_gossip_drop
