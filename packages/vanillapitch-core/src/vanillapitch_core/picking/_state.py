"""State of the picker."""

import dataclasses
import enum

from vanillapitch_core.health import HealthState

__all__ = [
    "CallResult",
    "Endpoint",
    "EndpointState",
    "LoadReport",
    "PickerState",
    "PoolView",
    "Service",
]

DEFAULT_SUBSET_SIZE = 8


class EndpointState(enum.StrEnum):
    """State of an endpoint in its load reports."""

    COLD = "cold"
    READY = "ready"
    LEAVING = "leaving"
    DOWN = "down"


class CallResult(enum.Enum):
    """How a call ended, as far as it matters for picking."""

    # A response that is not a server error.
    ANSWERED = "answered"
    # A server error, or a connection to the backend server that broke.
    FAILED = "failed"
    # The backend server crashed with the call in flight.
    CRASHED = "crashed"
    # The owner or the backend server refused because of its load.
    OVERLOADED = "overloaded"
    # The owner accepts no requests: it is leaving, or its zone is out of service.
    REFUSED = "refused"
    # Refused because of the request itself, such as its deadline.
    DECLINED = "declined"
    # The owner refused the connection or the connection broke, or the backend server
    # refuses connections.
    UNREACHABLE = "unreachable"
    # The deadline passed; the latency is a lower bound.
    TIMED_OUT = "timed_out"
    # The caller disconnected; the latency is a lower bound.
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load of an endpoint, as its owner reports it with every answer.

    Attributes
    ----------
    in_flight : int
        Requests in flight from all ingresses.
    limit : int
        Requests that may be in flight.
    state : EndpointState
        State of the endpoint.
    latency_ms : float
        Moving average of the backend server's latency.
    """

    in_flight: int
    limit: int
    state: EndpointState = EndpointState.READY
    latency_ms: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Endpoint:
    """State of one endpoint as observed by an ingress.

    Attributes
    ----------
    instance, service, zone, region : str
        Identity and location.
    leaving : bool
        Whether it accepts no new calls.
    outstanding : dict of int to float
        Start times of this ingress's outstanding calls, by call id, oldest first.
    answered : bool
        Whether it has ever processed a call of this ingress.
    report : LoadReport or None
        The last report.
    report_at_ms : float
        Time at which the last report arrived.
    others_in_flight : int
        Requests of other ingresses in flight according to the last report.
    latency_ms : float
        Moving average of the latency; 0 before the first answer.
    recovering : bool
        Whether its last answer was fast although the average is slow.
    failure_share : float
        Moving average of failures, from 0 to 1.
    failure_at_ms : float
        Time of the last update of `failure_share`.
    backoff_until_ms : float
        Time until which it is used only if no other endpoint is available.
    connection_failures : int
        Consecutive calls that found it unreachable or crashed; each doubles the
        backoff.
    last_pick_number : int
        Value of the service's `picks` when it was last chosen.
    last_pick_at_ms : float
        Time of that pick.
    """

    instance: str
    service: str
    zone: str
    region: str
    leaving: bool = False
    outstanding: dict[int, float] = dataclasses.field(default_factory=dict)
    answered: bool = False
    report: LoadReport | None = None
    report_at_ms: float = 0.0
    others_in_flight: int = 0
    latency_ms: float = 0.0
    recovering: bool = False
    failure_share: float = 0.0
    failure_at_ms: float = 0.0
    backoff_until_ms: float = 0.0
    connection_failures: int = 0
    last_pick_number: int = 0
    last_pick_at_ms: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Service:
    """The endpoints that announce one service.

    Attributes
    ----------
    endpoints_by_instance : dict of str to Endpoint
        Known endpoints.
    health : HealthState
        Ejection among them.
    picks : int
        Number of picks so far.
    mean_own_in_flight, mean_others_in_flight : float
        Moving averages of this ingress's and of other ingresses' calls in flight at an
        endpoint, when it reports.
    """

    endpoints_by_instance: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    health: HealthState = dataclasses.field(default_factory=HealthState)
    picks: int = 0
    mean_own_in_flight: float = 1.0
    mean_others_in_flight: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolView:
    """Usable endpoints of a pool, recomputed when endpoints or zones change.

    Attributes
    ----------
    subset : tuple of Endpoint
        The stable subset that this ingress keeps connections to.
    usable : tuple of Endpoint
        All endpoints in service and not leaving.
    zones_out : bool
        Whether zones out of service are the only reason that no endpoint is usable.
    serve_anyway : bool
        Whether the endpoints are in zones out of service.
    """

    subset: tuple[Endpoint, ...]
    usable: tuple[Endpoint, ...]
    zones_out: bool = False
    serve_anyway: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class PickerState:
    """State of the picker of one ingress.

    Attributes
    ----------
    instance, zone, region : str
        Identity and location of the ingress.
    subset_size : int
        Endpoints per pool that this ingress normally uses.
    zones_out : frozenset of str
        Zones out of service.
    services_by_name : dict of str to Service
        Endpoints by the service that they announce.
    endpoints_by_instance : dict of str to Endpoint
        Endpoints of all services, by instance name.
    views_by_pool : dict of Pool to PoolView
        Computed views; cleared when endpoints or zones change.
    next_call_id : int
        Id of the next call.
    """

    instance: str
    zone: str
    region: str
    subset_size: int = DEFAULT_SUBSET_SIZE
    zones_out: frozenset[str] = frozenset()
    services_by_name: dict[str, Service] = dataclasses.field(default_factory=dict)
    endpoints_by_instance: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    views_by_pool: dict[object, PoolView] = dataclasses.field(default_factory=dict)
    next_call_id: int = 1
