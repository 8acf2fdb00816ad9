"""Validated models of the routes table and the pools table."""

import enum
from typing import Annotated

import msgspec

from vanillapitch_core.exceptions import TableError

__all__ = [
    "Pool",
    "Route",
    "Tables",
    "WhenZonesOut",
    "check_tables",
    "encode_tables",
    "parse_tables",
]

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Method = Annotated[str, msgspec.Meta(pattern=r"^[A-Z]{1,16}$")]


class WhenZonesOut(enum.StrEnum):
    """Behaviour of a pool whose endpoints are all in zones out of service."""

    REFUSE = "refuse"
    SERVE_ANYWAY = "serve_anyway"


class Route(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """A rule that assigns matching requests to a pool.

    Attributes
    ----------
    name : str
        Unique name of the route.
    host : str
        Host header to match without port, or ``*`` for any.
    path_prefix : str
        Prefix of the path, matched at path segment boundaries.
    methods : tuple of str
        Methods to match; empty for all.
    pool : str
        Name of the pool that serves the route.
    priority : int
        0 to 9; under overload the lowest is refused first.
    idempotent : bool or None
        Whether requests are idempotent; None derives it from the method.
    timeout_ms : int
        Upper bound of a request's deadline, in milliseconds.
    """

    name: Name
    host: Annotated[str, msgspec.Meta(min_length=1, max_length=253)] = "*"
    path_prefix: Annotated[str, msgspec.Meta(pattern=r"^/")] = "/"
    methods: tuple[Method, ...] = ()
    pool: Name
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    idempotent: bool | None = None
    timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=3_600_000)] = 10_000


class Pool(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """A named group of backend servers that announce the same service.

    Attributes
    ----------
    name : str
        Unique name that routes refer to.
    service : str
        Service name that backend servers announce.
    zones : tuple of str
        Zones whose backend servers are used; empty for all.
    shed_status : int
        Status that, with the header ``Load-Shed: 1``, proves that a request was not
        executed.
    when_zones_out : WhenZonesOut
        Behaviour when every endpoint is in a zone out of service.
    """

    name: Name
    service: Name
    zones: tuple[Name, ...] = ()
    shed_status: Annotated[int, msgspec.Meta(ge=400, le=599)] = 503
    when_zones_out: WhenZonesOut = WhenZonesOut.REFUSE


class Tables(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Both tables and the zones out of service, under one revision.

    Attributes
    ----------
    revision : int
        Counter of accepted changes; 0 before the first.
    change_id : str
        Unique id of the change that made this revision.
    author : str
        Operator who made the change.
    changed_at_ms : int
        Wall time of the change, in milliseconds since the Unix epoch.
    routes : tuple of Route
        The routes table.
    pools : tuple of Pool
        The pools table.
    zones_out : tuple of str
        Zones that operators took out of service.
    """

    revision: Annotated[int, msgspec.Meta(ge=0)] = 0
    change_id: str = ""
    author: str = ""
    changed_at_ms: int = 0
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    zones_out: tuple[Name, ...] = ()


def parse_tables(document: bytes) -> Tables:
    """Decode and check a tables document.

    Parameters
    ----------
    document : bytes
        JSON text.

    Returns
    -------
    Tables
        The validated tables.

    Raises
    ------
    TableError
        If the text is not JSON, a field is invalid or a reference is broken.
    """
    try:
        tables = msgspec.json.decode(document, type=Tables)
    except msgspec.DecodeError as error:
        raise _as_table_error(error) from error
    check_tables(tables)
    return tables


def encode_tables(tables: Tables) -> bytes:
    """Encode tables as JSON.

    Parameters
    ----------
    tables : Tables
        The tables to encode.

    Returns
    -------
    bytes
        JSON text that `parse_tables` accepts.
    """
    return msgspec.json.encode(tables)


def check_tables(tables: Tables) -> None:
    """Check rules across entries: unique names and valid references.

    Parameters
    ----------
    tables : Tables
        The tables to check.

    Raises
    ------
    TableError
        If a name occurs twice or a route refers to a pool that does not exist.
    """
    _check_unique(path="$.pools", names=[pool.name for pool in tables.pools])
    _check_unique(path="$.routes", names=[route.name for route in tables.routes])
    pool_names = {pool.name for pool in tables.pools}
    for index, route in enumerate(tables.routes):
        if route.pool not in pool_names:
            raise TableError(
                path=f"$.routes[{index}].pool",
                reason=f"route {route.name!r} names the unknown pool {route.pool!r}",
            )


def _check_unique(*, path: str, names: list[str]) -> None:
    seen = set()
    for index, name in enumerate(names):
        if name in seen:
            raise TableError(
                path=f"{path}[{index}].name", reason=f"duplicate name {name!r}"
            )
        seen.add(name)


def _as_table_error(error: msgspec.DecodeError) -> TableError:
    reason, separator, path = str(error).partition(" - at `")
    if not separator:
        return TableError(path="$", reason=reason)
    return TableError(path=path.rstrip("`"), reason=reason)
