"""Tests of the comparison and merging of tables."""

import msgspec
import pytest
from vanillapitch_core.exceptions import TableError
from vanillapitch_core.table_changes import EditConflictError, difference, rebase
from vanillapitch_core.tables import Pool, Route, Tables

CATALOG = Pool(name="catalog", service="catalog")
RESERVE = Pool(name="reserve", service="reserve")
BASE = Tables(
    revision=4,
    pools=(CATALOG, RESERVE),
    routes=(Route(name="shop", pool="catalog"),),
)


def _with(tables, **fields):
    return msgspec.structs.replace(tables, **fields)


def _slow_shop(timeout_ms):
    return _with(
        BASE, routes=(Route(name="shop", pool="catalog", timeout_ms=timeout_ms),)
    )


def test_difference_names_the_fields():
    # Guards against a conflict report that names the whole document instead of the
    # changed fields and entries.
    after = _with(
        _slow_shop(5),
        pools=(RESERVE, Pool(name="workshop", service="workshop")),
        zones_out=("gb-a",),
    )
    changes = difference(BASE, after)
    assert [(change.path, change.after) for change in changes if change.field] == [
        ("$.routes[shop].timeout_ms", 5)
    ]
    assert [change.path for change in changes if not change.field] == [
        "$.pools[catalog]",
        "$.pools[workshop]",
        "$.zones_out[gb-a]",
    ]


def test_the_order_of_entries_is_ignored():
    # Guards against a change report for an edit that only reorders entries.
    assert difference(BASE, _with(BASE, pools=(RESERVE, CATALOG))) == ()


def test_rebase_keeps_both_unrelated_edits():
    # Guards against an edit that reverts another operator's change, because it was
    # based on an older revision.
    theirs = _with(BASE, revision=5, zones_out=("gb-a",), pools=(RESERVE, CATALOG))
    merged = rebase(base=BASE, edited=_slow_shop(5), current=theirs)
    assert merged.routes[0].timeout_ms == 5
    assert (merged.revision, merged.zones_out) == (5, ("gb-a",))


def test_rebase_accepts_the_same_change_twice():
    # Guards against a conflict when two operators make the same change.
    assert rebase(base=BASE, edited=_slow_shop(5), current=_slow_shop(5))


@pytest.mark.parametrize("theirs", [_slow_shop(7), _with(BASE, routes=())])
def test_rebase_refuses_changes_of_the_same_field(theirs):
    # Guards against an edit that silently overwrites another operator's value, or
    # restores a route that the other operator removed.
    with pytest.raises(EditConflictError) as caught:
        rebase(base=BASE, edited=_slow_shop(5), current=theirs)
    assert caught.value.changes[0].name == "shop"


def test_rebase_refuses_a_broken_reference():
    # Guards against a merge that adds a route to a pool that the other edit removed.
    edited = _with(BASE, routes=(*BASE.routes, Route(name="new", pool="reserve")))
    with pytest.raises(TableError):
        rebase(base=BASE, edited=edited, current=_with(BASE, pools=(CATALOG,)))
