"""Tests of table validation and route matching."""

import msgspec
import pytest
from vanillapitch_core.exceptions import TableError
from vanillapitch_core.routing import RoutingIndex, is_idempotent
from vanillapitch_core.tables import Pool, Route, Tables, encode_tables, parse_tables


@pytest.fixture
def tables():
    return Tables(
        revision=3,
        routes=(
            Route(name="any", pool="catalog"),
            Route(name="photos", path_prefix="/photos", pool="workshop"),
            Route(
                name="upload", path_prefix="/photos", methods=("POST",), pool="reserve"
            ),
            Route(name="shop", host="shop.example", pool="reserve", idempotent=True),
        ),
        pools=tuple(
            Pool(name=name, service=name) for name in ("catalog", "workshop", "reserve")
        ),
    )


@pytest.mark.parametrize(
    ("host", "path", "method", "expected"),
    [
        ("a.example", "/", "GET", "any"),
        ("a.example:80", "/photos/1", "GET", "photos"),
        ("a.example", "/photos", "POST", "upload"),
        ("a.example", "/photoshop", "GET", "any"),
        ("SHOP.example:8080", "/photos", "POST", "shop"),
    ],
)
def test_match_prefers_the_most_specific_route(tables, host, path, method, expected):
    # Guards against a request that is sent to the pool of a less specific route when
    # several routes match.
    index = RoutingIndex(tables=tables)
    assert index.match(host=host, path=path, method=method).name == expected


def test_match_returns_none_without_a_route():
    # Guards against an implicit default route when no route matches.
    index = RoutingIndex(tables=Tables())
    assert index.match(host="a", path="/", method="GET") is None


def test_idempotence_follows_the_method_unless_the_route_overrides(tables):
    # Guards against a retry of a POST on a route that does not declare it idempotent.
    any_route, *_, shop = tables.routes
    assert is_idempotent(any_route, "GET")
    assert not is_idempotent(any_route, "POST")
    assert is_idempotent(shop, "POST")


def test_encoded_tables_decode_to_the_same_tables(tables):
    # Guards against a field that is lost when tables are written to the store and read
    # back by a daemon.
    assert parse_tables(encode_tables(tables)) == tables


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"pools": [{"name": "catalog"}]}, "$.pools[0]"),
        ({"pools": [{"name": "Catalog!", "service": "a"}]}, "$.pools[0].name"),
        ({"routes": [{"name": "r", "pool": "none"}]}, "$.routes[0].pool"),
        (
            {"routes": [{"name": "r", "pool": "a", "priority": 10}]},
            "$.routes[0].priority",
        ),
        ({"pools": [{"name": "a", "service": "a"}] * 2}, "$.pools[1].name"),
        ({"color": 1}, "$"),
    ],
)
def test_invalid_tables_name_the_field(change, path):
    # Guards against an error that does not name the invalid field of the document.
    with pytest.raises(TableError) as caught:
        parse_tables(msgspec.json.encode(change))
    assert caught.value.path == path
