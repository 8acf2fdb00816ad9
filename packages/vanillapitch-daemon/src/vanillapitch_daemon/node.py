"""State of this daemon as the administration API shows it."""

import threading
from collections import Counter

import pykka
from vanillapitch_core import Clock
from vanillapitch_core.tables import Tables

from vanillapitch_daemon import __version__
from vanillapitch_daemon.admin import (
    AdminUnavailableError,
    BackendState,
    ChangeResult,
    ChangeStatus,
    Member,
    Status,
    TablesChange,
    ZoneChange,
)
from vanillapitch_daemon.logs import get_log
from vanillapitch_daemon.metrics import Metrics
from vanillapitch_daemon.owner import SetState
from vanillapitch_daemon.picker import Endpoint, EndpointChanged, EndpointRemoved
from vanillapitch_daemon.settings import Settings
from vanillapitch_daemon.snapshot import LoadSnapshot, TablesSnapshot

__all__ = ["Node", "SnapshotConfiguration"]

_log = get_log("admin")

_NO_STORE = "The daemon has no connection to the store; nothing was changed."


class Node:
    """Node port of the administration API.

    Parameters
    ----------
    settings : Settings
        The validated settings.
    endpoint : Endpoint
        This daemon's own endpoint.
    picker, admission : pykka.ActorRef
        Actors that learn what the backend server announces.
    load : LoadSnapshot
        Load that the admission actor publishes.
    snapshot : TablesSnapshot
        Tables in force.
    metrics : Metrics
        Metrics whose gauges are set from the snapshots.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        endpoint: Endpoint,
        picker: pykka.ActorRef,
        admission: pykka.ActorRef,
        load: LoadSnapshot,
        snapshot: TablesSnapshot,
        metrics: Metrics,
        clock: Clock,
    ):
        self._settings = settings
        self._endpoint = endpoint
        self._picker = picker
        self._admission = admission
        self._load = load
        self._snapshot = snapshot
        self._metrics = metrics
        self._started_at_ms = clock.wall_ms()
        self._lock = threading.Lock()
        self._is_started = False
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
        return Status(
            instance=self._endpoint.instance,
            zone=settings.instance.zone,
            region=settings.instance.region,
            service=settings.backend.service,
            state=self._state(),
            endpoint_state=load.state,
            revision=self._snapshot.current.tables.revision,
            in_flight=load.in_flight,
            limit=load.limit,
            slots=settings.backend.slots,
            members_by_state=self._count_members(),
            store="unknown",
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
        """Return the known members; only this one until membership is connected."""
        settings = self._settings
        own = Member(
            instance=self._endpoint.instance,
            zone=settings.instance.zone,
            region=settings.instance.region,
            service=settings.backend.service,
            state=self._state(),
            version=1,
            slots=settings.backend.slots,
        )
        return (own,)

    def announce(self, state: BackendState) -> BackendState:
        """Take over what the backend server announces about itself.

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
            # The owner refuses new work before any ingress learns of the state.
            self._admission.ask(SetState(state=state.value))
            if state is BackendState.READY:
                self._picker.tell(EndpointChanged(endpoint=self._endpoint))
            else:
                self._picker.tell(EndpointRemoved(instance=self._endpoint.instance))
        _log.info("The backend server announced itself", state=state.value)
        return state

    def _state(self) -> str:
        if self._is_draining or self._load.current.state == "leaving":
            return "leaving"
        return "alive" if self._is_started else "joining"

    def _count_members(self) -> dict[str, int]:
        return dict(Counter(member.state for member in self.members()))

    def _set_gauges(self) -> None:
        load = self._load.current
        self._metrics.set_in_flight("owner", load.in_flight)
        self._metrics.set_limit(load.limit)
        self._metrics.set_revision(self._snapshot.current.tables.revision)
        self._metrics.set_members(self._count_members())


class SnapshotConfiguration:
    """Configuration port without a store: it reads the tables in force.

    Parameters
    ----------
    snapshot : TablesSnapshot
        Tables in force.
    """

    def __init__(self, *, snapshot: TablesSnapshot):
        self._snapshot = snapshot

    def tables(self) -> Tables:
        """Return the tables in force."""
        return self._snapshot.current.tables

    def history(self, *, limit: int) -> tuple[Tables, ...]:
        """Refuse: the history is in the store."""
        raise AdminUnavailableError("The history is in the store.")

    def apply(self, change: TablesChange) -> ChangeResult:
        """Refuse: a change needs the store."""
        return ChangeResult(status=ChangeStatus.UNAVAILABLE, reason=_NO_STORE)

    def set_zone(self, change: ZoneChange) -> ChangeResult:
        """Refuse: a change needs the store."""
        return ChangeResult(status=ChangeStatus.UNAVAILABLE, reason=_NO_STORE)
