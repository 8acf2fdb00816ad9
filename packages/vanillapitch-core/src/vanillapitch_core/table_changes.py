"""Field-level differences between tables, and merging of unrelated edits."""

import dataclasses
from typing import Any

import msgspec

from vanillapitch_core.exceptions import VanillapitchError
from vanillapitch_core.tables import Pool, Route, Tables, check_tables

__all__ = ["EditConflictError", "FieldChange", "difference", "rebase"]

_MODELS_BY_TABLE = {"pools": Pool, "routes": Route}

Entries = dict[str, dict[str, Any]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FieldChange:
    """One difference between two tables documents.

    Attributes
    ----------
    table : str
        ``routes``, ``pools`` or ``zones_out``.
    name : str
        Name of the route, pool or zone.
    field : str or None
        Field of the entry; None when the whole entry was added or removed.
    before : Any
        Earlier value; None for an added entry.
    after : Any
        Later value; None for a removed entry.
    """

    table: str
    name: str
    field: str | None = None
    before: Any = None
    after: Any = None

    @property
    def path(self) -> str:
        """Path of the change, for example ``$.pools[catalog].zones``."""
        entry = f"$.{self.table}[{self.name}]"
        return entry if self.field is None else f"{entry}.{self.field}"


class EditConflictError(VanillapitchError):
    """Two edits change the same field.

    Parameters
    ----------
    changes : tuple of FieldChange
        The conflicting changes of the other edit.
    """

    code = "edit_conflict"

    def __init__(self, *, changes: tuple[FieldChange, ...]):
        paths = ", ".join(change.path for change in changes)
        super().__init__(f"both edits change {paths}")
        self.changes = changes


def difference(before: Tables, after: Tables) -> tuple[FieldChange, ...]:
    """List the changes between two documents; the order of entries is ignored.

    Parameters
    ----------
    before : Tables
        The earlier document.
    after : Tables
        The later document.

    Returns
    -------
    tuple of FieldChange
        Changes of routes, then pools, then zones.
    """
    changes = []
    for table in ("routes", "pools"):
        changes += _table_difference(table, _entries(before, table), after)
    for zone in sorted(set(before.zones_out) ^ set(after.zones_out)):
        is_out = zone in after.zones_out
        states = ("in", "out") if is_out else ("out", "in")
        changes.append(
            FieldChange(table="zones_out", name=zone, before=states[0], after=states[1])
        )
    return tuple(changes)


def rebase(*, base: Tables, edited: Tables, current: Tables) -> Tables:
    """Apply an operator's edit of the routes and pools to newer tables.

    Parameters
    ----------
    base : Tables
        The document that the operator read.
    edited : Tables
        The document with the operator's edit.
    current : Tables
        The current document.

    Returns
    -------
    Tables
        `current` with the operator's changes.

    Raises
    ------
    EditConflictError
        If `current` changed a field that the operator changed to another value.
    TableError
        If the merged tables are invalid, such as a route to a removed pool.
    """
    mine = [
        change for change in difference(base, edited) if change.table != "zones_out"
    ]
    theirs = difference(base, current)
    conflicting = tuple(
        other for other in theirs if any(_conflicts(other, m) for m in mine)
    )
    if conflicting:
        raise EditConflictError(changes=conflicting)
    merged = current
    for table in ("routes", "pools"):
        merged = _apply(merged, table, [m for m in mine if m.table == table])
    check_tables(merged)
    return merged


def _entries(tables: Tables, table: str) -> Entries:
    return {item.name: msgspec.to_builtins(item) for item in getattr(tables, table)}


def _table_difference(table: str, before: Entries, after: Tables) -> list[FieldChange]:
    later = _entries(after, table)
    changes = []
    for name in [*before, *(name for name in later if name not in before)]:
        old, new = before.get(name), later.get(name)
        if old is None or new is None:
            changes.append(FieldChange(table=table, name=name, before=old, after=new))
            continue
        for field, value in new.items():
            if old[field] != value:
                changes.append(
                    FieldChange(
                        table=table,
                        name=name,
                        field=field,
                        before=old[field],
                        after=value,
                    )
                )
    return changes


def _conflicts(one: FieldChange, other: FieldChange) -> bool:
    if (one.table, one.name) != (other.table, other.name):
        return False
    if one.field == other.field:
        return one.after != other.after
    return one.field is None or other.field is None


def _apply(tables: Tables, table: str, changes: list[FieldChange]) -> Tables:
    entries = _entries(tables, table)
    for change in changes:
        if change.field is not None:
            entries[change.name][change.field] = change.after
        elif change.after is None:
            entries.pop(change.name, None)
        else:
            entries[change.name] = change.after
    model = _MODELS_BY_TABLE[table]
    items = tuple(msgspec.convert(entry, model) for entry in entries.values())
    return msgspec.structs.replace(tables, **{table: items})
