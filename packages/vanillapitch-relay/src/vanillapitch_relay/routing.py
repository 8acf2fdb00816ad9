"""Choice of the route by host and longest prefix, and of the service by weight."""

import dataclasses

from vanillapitch_relay.model import Configuration, Route

__all__ = ["RouteTable", "WeightedChoice"]


class RouteTable:
    """Index of one configuration's routes.

    Parameters
    ----------
    configuration : Configuration
        The configuration.
    """

    def __init__(self, *, configuration: Configuration):
        self.configuration = configuration
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            routes_by_prefix = self._routes_by_host.setdefault(route.host, {})
            routes_by_prefix[route.prefix] = route

    def match(self, *, host: str, target: str) -> Route | None:
        """Find the route of a request.

        Parameters
        ----------
        host : str
            Host header; a port is ignored.
        target : str
            Path with query.

        Returns
        -------
        Route or None
            The route with the longest prefix.
        """
        hostname = host.strip().lower()
        routes_by_prefix = self._routes_by_host.get(hostname)
        if routes_by_prefix is None:
            hostname = hostname.rpartition(":")[0]
            routes_by_prefix = self._routes_by_host.get(hostname)
        if routes_by_prefix is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


@dataclasses.dataclass(slots=True, kw_only=True)
class WeightedChoice:
    """Smooth weighted round robin, which keeps shares exact over short spans.

    Attributes
    ----------
    credit_by_service : dict of str to float
        How far each service is behind its share, by route name and service.
    """

    credit_by_service: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )

    def choose(self, route: Route) -> str:
        """Choose the service for the next request of a route.

        Parameters
        ----------
        route : Route
            The route.

        Returns
        -------
        str
            Name of the service.
        """
        if len(route.targets) == 1:
            return route.targets[0].service
        total = sum(target.weight for target in route.targets)
        for target in route.targets:
            key = (route.name, target.service)
            credit = self.credit_by_service.get(key, 0.0)
            self.credit_by_service[key] = credit + target.weight
        best = max(
            route.targets,
            key=lambda target: self.credit_by_service[(route.name, target.service)],
        )
        self.credit_by_service[(route.name, best.service)] -= total
        return best.service
