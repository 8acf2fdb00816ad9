"""Adoption of table revisions; the revision in force never decreases."""

import dataclasses

from vanillapitch_core.tables import Tables

__all__ = [
    "Adopt",
    "AdoptionEffect",
    "AdoptionState",
    "Diverged",
    "FetchTables",
    "adopt_if_newer",
    "receive_revision",
    "record_fetch_failed",
]


@dataclasses.dataclass(slots=True, kw_only=True)
class AdoptionState:
    """Tables in force at one daemon.

    Attributes
    ----------
    tables : Tables
        The tables in force.
    fetching_revision : int or None
        Revision that is being fetched from a peer; None when no fetch is in progress.
    """

    tables: Tables = dataclasses.field(default_factory=Tables)
    fetching_revision: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adopt:
    """Put tables in force.

    Attributes
    ----------
    tables : Tables
        Tables with a higher revision than before.
    """

    tables: Tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Diverged:
    """Two documents have the same revision; the one in force is kept.

    This happens only after the store was restored from an old backup.

    Attributes
    ----------
    tables : Tables
        The document that is not adopted.
    """

    tables: Tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FetchTables:
    """Fetch the document from a peer.

    Attributes
    ----------
    peer_address : str
        Inner address of the peer.
    min_revision : int
        Revision that the peer announced.
    """

    peer_address: str
    min_revision: int


AdoptionEffect = Adopt | Diverged | FetchTables


def adopt_if_newer(state: AdoptionState, tables: Tables) -> list[AdoptionEffect]:
    """Adopt tables from the store, a peer or an accepted change if they are newer.

    Parameters
    ----------
    state : AdoptionState
        State of the daemon, changed in place.
    tables : Tables
        Confirmed tables of any age.

    Returns
    -------
    list of AdoptionEffect
        `Adopt` for newer tables, `Diverged` for another document of the revision in
        force, otherwise nothing.
    """
    fetching_revision = state.fetching_revision
    if fetching_revision is not None and tables.revision >= fetching_revision:
        state.fetching_revision = None
    if tables.revision > state.tables.revision:
        state.tables = tables
        return [Adopt(tables=tables)]
    is_same_revision = tables.revision == state.tables.revision
    if is_same_revision and tables.change_id != state.tables.change_id:
        return [Diverged(tables=tables)]
    return []


def receive_revision(
    state: AdoptionState, revision: int, peer_address: str
) -> list[AdoptionEffect]:
    """Request a fetch when a peer has a newer revision.

    Parameters
    ----------
    state : AdoptionState
        State of the daemon, changed in place.
    revision : int
        The peer's revision.
    peer_address : str
        Inner address of the peer.

    Returns
    -------
    list of AdoptionEffect
        A fetch, unless this revision is in force or already being fetched.
    """
    known_revision = max(state.tables.revision, state.fetching_revision or 0)
    if revision <= known_revision:
        return []
    state.fetching_revision = revision
    return [FetchTables(peer_address=peer_address, min_revision=revision)]


def record_fetch_failed(state: AdoptionState, revision: int) -> None:
    """Record a failed fetch, so that the next membership message can start another.

    Parameters
    ----------
    state : AdoptionState
        State of the daemon, changed in place.
    revision : int
        Revision of the fetch that failed.
    """
    if state.fetching_revision == revision:
        state.fetching_revision = None
