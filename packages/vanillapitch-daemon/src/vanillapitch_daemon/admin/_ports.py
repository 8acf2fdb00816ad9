"""Interfaces of the administration API to the other components of the daemon.

The methods are called from the threads of the administration server and may block for
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
    """State in the announcement of a backend server."""

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
        Values of the settings.
    state : str
        Membership state of this instance.
    endpoint_state : str
        State of the endpoint as its owner reports it (cold, ready, leaving, down).
    revision : int
        Revision of the tables in force.
    in_flight, limit, slots : int
        Requests in flight, concurrency limit and slots of the owner.
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
    """Last known record of a member.

    Attributes
    ----------
    instance : str
        ``IP:port/incarnation``.
    zone, region, service, state : str
        Values of the member's record.
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
    """An operator's change of the routes and pools.

    Attributes
    ----------
    base_revision : int
        Revision that the operator read.
    change_id : str
        Unique id of the change; a change that is sent again keeps it.
    author : str
        Operator who makes the change.
    routes : tuple of Route or None
        The complete routes table; None to leave it unchanged.
    pools : tuple of Pool or None
        The complete pools table; None to leave it unchanged.
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
        Unique id of the change; a change that is sent again keeps it.
    author : str
        Operator who makes the change.
    """

    zone: str
    in_service: bool
    change_id: str
    author: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeResult:
    """Outcome of a change.

    Attributes
    ----------
    status : ChangeStatus
        Status of the change; `UNKNOWN` when the store's response was lost and the
        outcome was not determined in time.
    tables : Tables or None
        Tables after an accepted change; current tables on a conflict.
    reason : str
        Explanation for the operator.
    path : str
        Path of the invalid field of a rejected change.
    """

    status: ChangeStatus
    tables: Tables | None = None
    reason: str = ""
    path: str = "$"


class NodePort(Protocol):
    """State of this daemon and the members that it knows."""

    def status(self) -> Status:
        """Return the state of this daemon."""

    def unready_reasons(self) -> tuple[str, ...]:
        """Return why the daemon cannot serve callers; empty when it can."""

    def members(self) -> tuple[Member, ...]:
        """Return the members that this daemon knows, itself included."""

    def announce(self, state: BackendState) -> BackendState:
        """Apply an announcement of the backend server.

        Parameters
        ----------
        state : BackendState
            The announced state.

        Returns
        -------
        BackendState
            The state in force, which is always leaving while the daemon drains.
        """


class ConfigurationPort(Protocol):
    """Tables in force, their history and their changes."""

    def tables(self) -> Tables:
        """Return the tables of the store, or those in force if it cannot be read."""

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
            The outcome.
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
            The outcome; accepted also when the zone already is in that state.
        """
