"""Types that the adapter of a platform fills and the relay works with."""

import dataclasses
import enum
from collections.abc import Callable, Mapping

__all__ = [
    "Announcement",
    "Bounds",
    "ClientLimits",
    "Configuration",
    "Departure",
    "Dialect",
    "Ending",
    "EndpointState",
    "HeaderNames",
    "EndpointLoad",
    "Route",
    "ServiceLimits",
    "Settings",
    "StoreKeys",
    "WeightedTarget",
]

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class WeightedTarget:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@_frozen
class Route:
    """Requests that are handled alike.

    Attributes
    ----------
    name : str
        Name of the route.
    host : str
        Host in lower case.
    prefix : str
        Beginning of the path; begins and ends with a slash.
    idempotent : bool
        Whether a request may run more than once.
    timeout_ms : float
        Longest time until the final answer.
    objective_ms : float
        Latency objective.
    priority : int
        0 is the highest.
    targets : tuple of WeightedTarget
        Services with their shares.
    max_attempts : int
        Endpoints to which one request may be sent.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    targets: tuple[WeightedTarget, ...]
    max_attempts: int


@_frozen
class ServiceLimits:
    """What the endpoints of a service bear.

    Attributes
    ----------
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that an endpoint accepts.
    cold_per_s : float
        Requests per second that an endpoint bears while it is cold.
    cold_start_ms : float
        How long it is cold after its start.
    """

    health_path: str
    max_connections: int
    cold_per_s: float
    cold_start_ms: float


@_frozen
class ClientLimits:
    """What callers may send and how long they may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@_frozen
class Configuration:
    """One version of the operators' configuration."""

    version: str
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, ServiceLimits]
    limits: ClientLimits


@_frozen
class Announcement:
    """What an endpoint says of itself.

    Attributes
    ----------
    instance : str
        Id of the endpoint; a restarted endpoint may keep it.
    service, zone : str
        Service and availability zone.
    address : str
        Where it serves, ``host:port``.
    slots : int
        Requests that it runs at once.
    leaving : bool
        Whether it asks for no new work.
    born_ms : int
        Wall time of its start; orders incarnations.
    sequence : int
        Orders the announcements of one incarnation.
    cold_remaining_ms : float
        How long it stays cold.
    """

    instance: str
    service: str
    zone: str
    address: str
    slots: int
    leaving: bool
    born_ms: int
    sequence: int
    cold_remaining_ms: float


@_frozen
class Departure:
    """Last message of an endpoint that stops without announcing it first."""

    instance: str


@_frozen
class EndpointLoad:
    """Load that an endpoint reports with an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests that run and wait, and how many may run.
    speed_percent : int
        How long work takes at the moment; 100 is the usual time.
    """

    running: int
    waiting: int
    slots: int
    speed_percent: int


@_frozen
class HeaderNames:
    """Names of the headers that callers, relay and endpoints exchange, in lower case.

    Attributes
    ----------
    request_id : bytes
        Id of the attempt; endpoints echo it.
    deadline : bytes
        Milliseconds that are left.
    expected_instance : bytes
        Instance that a request is meant for.
    caller_service : bytes
        Service on the VM where the request began.
    not_executed : bytes
        Marks an answer of an endpoint that did not run the request.
    load : bytes
        Load figures of an endpoint.
    instance : bytes
        Instance that answered a health check.
    cold_remaining : bytes
        Milliseconds that an endpoint stays cold.
    signature : bytes
        Proof of an endpoint that an answer is its own; each success has one.
    """

    request_id: bytes
    deadline: bytes
    expected_instance: bytes
    caller_service: bytes
    not_executed: bytes
    load: bytes
    instance: bytes
    cold_remaining: bytes
    signature: bytes


@_frozen
class StoreKeys:
    """Keys of the platform's store.

    Attributes
    ----------
    shared_prefix : str
        One prefix of all keys below; read once at the start.
    operator_prefix : str
        One prefix of everything that operators write; watched.
    configuration : str
        Key of the configuration.
    zones_out_prefix : str
        A key per availability zone out of service follows.
    members_prefix : str
        A key per daemon follows.
    departures_prefix : str
        A key per VM follows.
    """

    shared_prefix: str
    operator_prefix: str
    configuration: str
    zones_out_prefix: str
    members_prefix: str
    departures_prefix: str


@_frozen
class Dialect:
    """Everything that is spoken differently on another platform.

    Attributes
    ----------
    headers : HeaderNames
        Header names.
    keys : StoreKeys
        Keys of the store.
    readiness_path : str
        Path of the readiness check.
    decode_configuration : callable
        Bytes to `Configuration`; raises `ConfigurationInvalid`.
    decode_announcement : callable
        Target and body to `Announcement` or `Departure`; raises `AnnouncementInvalid`.
    encode_acknowledgement : callable
        Body of the answer to an announcement.
    decode_load : callable
        Header value to `EndpointLoad`, or None when it cannot be read.
    find_caller_request : callable
        Id of an attempt to the id of the request whose run made it, or empty.
    """

    headers: HeaderNames
    keys: StoreKeys
    readiness_path: str
    decode_configuration: Callable[[bytes], Configuration]
    decode_announcement: Callable[[str, bytes], Announcement | Departure]
    encode_acknowledgement: Callable[[], bytes]
    decode_load: Callable[[bytes], EndpointLoad | None]
    find_caller_request: Callable[[str], str]


@_frozen
class Bounds:
    """Bounds that the deployment sets.

    Attributes
    ----------
    grace_ms : float
        Time from the stop signal to the kill.
    retry_ratio : float
        Repeats allowed per request to a service, over all daemons.
    retry_slack : float
        Repeats allowed besides, over all daemons.
    retry_window_ms : float
        Sliding window of both.
    cold_overshoot, cold_slack : float
        A cold endpoint may get this multiple of its rate and so many requests more in
        any second.
    """

    grace_ms: float
    retry_ratio: float
    retry_slack: float
    retry_window_ms: float
    cold_overshoot: float
    cold_slack: float


@_frozen
class Settings:
    """Settings of one daemon.

    Attributes
    ----------
    node : str
        Name of the VM.
    zone, service : str
        Availability zone, and service of the endpoint on this VM.
    endpoint_address : str
        Address of that endpoint, ``host:port``.
    caller_address, ready_address, announce_address : str
        Listeners for callers, readiness checks and announcements.
    peer_address : str
        Listener for other daemons.
    metrics_address : str
        Listener for metrics.
    store_address : str
        The platform's store.
    lease_ttl_ms_min : int
        Shortest lease that the store grants.
    bounds : Bounds
        Bounds of the deployment.
    """

    node: str
    zone: str
    service: str
    endpoint_address: str
    caller_address: str
    ready_address: str
    announce_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    lease_ttl_ms_min: int
    bounds: Bounds


class EndpointState(enum.StrEnum):
    """Condition of an endpoint as its owner reports it."""

    READY = "ready"
    COLD = "cold"
    FAILING = "failing"
    LEAVING = "leaving"
    DOWN = "down"
    ZONE_OUT = "zone_out"
    UNKNOWN = "unknown"


class Ending(enum.StrEnum):
    """How a call ended at the owner.

    ANSWERED: the endpoint gave a complete answer. REFUSED: the owner sent nothing.
    REJECTED: the endpoint says that it did not run the request. FAILED: it may have
    run.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    REJECTED = "rejected"
    FAILED = "failed"
