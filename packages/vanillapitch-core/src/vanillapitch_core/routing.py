"""Route matching."""

from vanillapitch_core.tables import Pool, Route, Tables

__all__ = ["IDEMPOTENT_METHODS", "RoutingIndex", "is_idempotent"]

# RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})


def is_idempotent(route: Route, method: str) -> bool:
    """Return whether a request may be executed more than once.

    Parameters
    ----------
    route : Route
        The matched route.
    method : str
        The request method.

    Returns
    -------
    bool
        The route's `idempotent` setting if present, else a property of the method.
    """
    if route.idempotent is not None:
        return route.idempotent
    return method in IDEMPOTENT_METHODS


class RoutingIndex:
    """Routes of one revision, ordered for matching.

    Parameters
    ----------
    tables : Tables
        The tables in use.
    """

    def __init__(self, *, tables: Tables):
        self.tables = tables
        self.pools_by_name: dict[str, Pool] = {pool.name: pool for pool in tables.pools}
        self.zones_out = frozenset(tables.zones_out)
        self._routes = sorted(tables.routes, key=_specificity, reverse=True)

    def match(self, *, host: str, path: str, method: str) -> Route | None:
        """Find the most specific route.

        An exact host takes precedence over ``*``, then a longer path prefix over a
        shorter one, then a route that lists methods over one that accepts all.

        Parameters
        ----------
        host : str
            Host header; a port is ignored.
        path : str
            Path without the query.
        method : str
            Request method.

        Returns
        -------
        Route or None
            None when no route matches.
        """
        hostname = _hostname(host)
        for route in self._routes:
            if route.host not in ("*", hostname):
                continue
            if not _has_prefix(path, route.path_prefix):
                continue
            if not route.methods or method in route.methods:
                return route
        return None


def _specificity(route: Route) -> tuple[bool, int, bool]:
    return (route.host != "*", len(route.path_prefix), bool(route.methods))


def _hostname(host: str) -> str:
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0].lower()


def _has_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"
