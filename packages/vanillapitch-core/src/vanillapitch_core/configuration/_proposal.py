"""Changes that operators request, and the documents that result from them."""

import dataclasses

import msgspec

from vanillapitch_core.exceptions import TableError
from vanillapitch_core.tables import Pool, Route, Tables, check_tables

__all__ = ["Change", "TablesChange", "ZoneChange", "propose"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablesChange:
    """Replace the routes, the pools or both of one revision.

    Attributes
    ----------
    base_revision : int
        Revision that the operator read.
    routes : tuple of Route or None
        The complete routes table; None to keep it.
    pools : tuple of Pool or None
        The complete pools table; None to keep it.
    """

    base_revision: int
    routes: tuple[Route, ...] | None = None
    pools: tuple[Pool, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneChange:
    """Take a zone out of service or back into it, regardless of the revision.

    Attributes
    ----------
    zone : str
        Availability zone.
    in_service : bool
        Whether the zone receives new work.
    """

    zone: str
    in_service: bool


Change = TablesChange | ZoneChange


def propose(
    *, base: Tables, change: Change, change_id: str, author: str, wall_ms: int
) -> Tables | None:
    """Build the next revision.

    Parameters
    ----------
    base : Tables
        The document in the store.
    change : Change
        The requested change.
    change_id : str
        Unique id of the change.
    author : str
        Name of the operator.
    wall_ms : int
        Milliseconds since the Unix epoch.

    Returns
    -------
    Tables or None
        The next revision; None when the zone already is in the requested
        state.

    Raises
    ------
    TableError
        If the result would be invalid.
    """
    if isinstance(change, ZoneChange):
        zones_out = _zones_out(base, change)
        if zones_out == base.zones_out:
            return None
        fields = {"zones_out": zones_out}
    else:
        fields = {}
        if change.routes is not None:
            fields["routes"] = change.routes
        if change.pools is not None:
            fields["pools"] = change.pools
    tables = msgspec.structs.replace(
        base,
        revision=base.revision + 1,
        change_id=change_id,
        author=author,
        changed_at_ms=wall_ms,
        **fields,
    )
    _check(tables)
    return tables


def _zones_out(base: Tables, change: ZoneChange) -> tuple[str, ...]:
    zones = set(base.zones_out) - {change.zone}
    if not change.in_service:
        zones.add(change.zone)
    return tuple(sorted(zones))


def _check(tables: Tables) -> None:
    # `replace` does not validate fields; converting to builtins and back does.
    try:
        msgspec.convert(msgspec.to_builtins(tables), Tables)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `")
        raise TableError(path=path.rstrip("`") or "$", reason=reason) from error
    check_tables(tables)
