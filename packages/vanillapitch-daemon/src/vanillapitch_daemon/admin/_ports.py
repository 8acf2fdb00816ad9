"""What the administration API needs from the other parts of the daemon.

The ports are called from the threads of the administration server and may block for
a bounded time.
"""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Protocol

from vanillapitch_core.tables import Pool, Route, Tables

__all__ = [
    "BackendState",
    "ChangeResult",
    "ChangeStatus",
    "ConfigurationPort",
    "Member",
    "NodePort",
    "Status",
    "TablesChange",
    "ZoneChange",
]


class BackendState(enum.StrEnum):
    """What a backend server announces about itself."""

    READY = "ready"
    LEAVING = "leaving"


class ChangeStatus(enum.StrEnum):
    """Result of a change of the tables."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REJECTED = "rejected"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """State of this daemon.

    Attributes
    ----------
    instance : str
        ``IP:port/incarnation``.
    zone, region, service : str
        From the settings.
    state : str
        Membership state of this instance.
    endpoint_state : str
        State of the endpoint as its owner reports it (cold, ready, leaving, down).
    revision : int
        Tables revision in force.
    in_flight, limit, slots : int
        Admission at the owner.
    members_by_state : Mapping of str to int
        Number of members in each state.
    store : str
        ``up``, ``down`` or ``unknown``, from the last call to the store.
    started_at_ms : int
        Wall time of the start, in milliseconds since the Unix epoch.
    version : str
        Version of the daemon.
    """

    instance: str
    zone: str
    region: str
    service: str
    state: str
    endpoint_state: str
    revision: int
    in_flight: int
    limit: int
    slots: int
    members_by_state: Mapping[str, int]
    store: str
    started_at_ms: int
    version: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Record of a member as this daemon knows it.

    Attributes
    ----------
    instance : str
        ``IP:port/incarnation``.
    zone, region, service, state : str
        From the member's record.
    version : int
        Version of the record.
    slots : int
        Slots of the member's backend server.
    """

    instance: str
    zone: str
    region: str
    service: str
    state: str
    version: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablesChange:
    """An operator's new routes and pools.

    Attributes
    ----------
    base_revision : int
        Revision that the operator read.
    change_id : str
        Unique id of the change; the same when a change is sent again.
    author : str
        Operator who makes the change.
    routes : tuple of Route or None
        The whole routes table; None to keep it.
    pools : tuple of Pool or None
        The whole pools table; None to keep it.
    """

    base_revision: int
    change_id: str
    author: str
    routes: tuple[Route, ...] | None = None
    pools: tuple[Pool, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneChange:
    """An operator's change of one zone, applied to the tables in force.

    Attributes
    ----------
    zone : str
        Name of the zone.
    in_service : bool
        False to take the zone out of service.
    change_id : str
        Unique id of the change; the same when a change is sent again.
    author : str
        Operator who makes the change.
    """

    zone: str
    in_service: bool
    change_id: str
    author: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeResult:
    """What became of a change.

    Attributes
    ----------
    status : ChangeStatus
        Result; `UNKNOWN` when the store's answer was lost and not settled in time.
    tables : Tables or None
        Tables after an accepted change; current tables on a conflict.
    reason : str
        A sentence for the operator.
    path : str
        Path of the offending field of a rejected change.
    """

    status: ChangeStatus
    tables: Tables | None = None
    reason: str = ""
    path: str = "$"


class NodePort(Protocol):
    """State of this daemon and its view of the members."""

    def status(self) -> Status:
        """Return the state of this daemon."""

    def unready_reasons(self) -> tuple[str, ...]:
        """Return why the daemon cannot serve callers; empty when it can."""

    def members(self) -> tuple[Member, ...]:
        """Return the members that this daemon knows, itself included."""

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


class ConfigurationPort(Protocol):
    """Tables in force, their history and their changes."""

    def tables(self) -> Tables:
        """Return the current tables, from the store while it answers."""

    def history(self, *, limit: int) -> tuple[Tables, ...]:
        """Return the last revisions, newest first.

        Parameters
        ----------
        limit : int
            Number of revisions.

        Raises
        ------
        AdminUnavailableError
            If the history cannot be read.
        """

    def apply(self, change: TablesChange) -> ChangeResult:
        """Apply a change against its base revision.

        Parameters
        ----------
        change : TablesChange
            The change.

        Returns
        -------
        ChangeResult
            What became of it.
        """

    def set_zone(self, change: ZoneChange) -> ChangeResult:
        """Apply a zone change to the tables in force.

        Parameters
        ----------
        change : ZoneChange
            The change.

        Returns
        -------
        ChangeResult
            What became of it; accepted when the zone already is in that state.
        """
