"""Types that the adapter of a platform fills and the relay uses."""

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
    """Class of requests that are handled alike.

    Attributes
    ----------
    name : str
        Name of the route.
    host : str
        Host in lower case.
    prefix : str
        Prefix of the path; starts and ends with a slash.
    idempotent : bool
        Whether a request may be executed more than once.
    timeout_ms : float
        Longest time until the final response.
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
    """Capacity limits of the endpoints of a service.

    Attributes
    ----------
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that an endpoint accepts.
    cold_per_s : float
        Requests per second that an endpoint can process while it is cold.
    cold_start_ms : float
        How long it is cold after its start.
    """

    health_path: str
    max_connections: int
    cold_per_s: float
    cold_start_ms: float


@_frozen
class ClientLimits:
    """Size and time limits for the requests of callers."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@_frozen
class Configuration:
    """One version of the operators' configuration.

    Attributes
    ----------
    version : str
        Name of the version.
    sequence : int
        Position of the version; later ones have greater positions.
    routes : tuple of Route
        Routes.
    services_by_name : mapping of str to ServiceLimits
        Limits of each service.
    limits : ClientLimits
        Limits of callers.
    """

    version: str
    sequence: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, ServiceLimits]
    limits: ClientLimits


@_frozen
class Announcement:
    """Status that an endpoint announces.

    Attributes
    ----------
    instance : str
        Id of the endpoint; a restarted endpoint may keep it.
    service, zone : str
        Service and availability zone.
    address : str
        Where it serves, ``host:port``.
    slots : int
        Requests that it executes concurrently.
    leaving : bool
        Whether it asks to receive no new requests.
    born_ms : int
        Wall time of its start; determines the order of incarnations.
    sequence : int
        Determines the order of the announcements of one incarnation.
    cold_remaining_ms : float
        Remaining time for which it is cold.
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
    """Load that an endpoint reports with a response.

    Attributes
    ----------
    running, waiting, slots : int
        Requests that are executed and that wait, and the maximum executed at once.
    speed_percent : int
        Current duration of work; 100 is the typical time.
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
        Milliseconds until the deadline.
    expected_instance : bytes
        Instance that a request is meant for.
    caller_service : bytes
        Service on the VM that the request comes from.
    not_executed : bytes
        Set on a response of an endpoint that did not execute the request.
    load : bytes
        Load of an endpoint.
    instance : bytes
        Instance that answered a health check.
    cold_remaining : bytes
        Milliseconds that an endpoint stays cold.
    signature : bytes
        Signature that proves that a response comes from the endpoint; required on
        each success.
    rate_limit : bytes
        Requests per second that an endpoint accepts from all daemons together.
    leaving : bytes
        ``1`` in each response of an endpoint that is leaving.
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
    rate_limit: bytes
    leaving: bytes


@_frozen
class StoreKeys:
    """Keys of the platform's store.

    Attributes
    ----------
    shared_prefix : str
        Common prefix of all keys below; read once at startup.
    operator_prefix : str
        Common prefix of all keys that operators write; watched.
    configuration : str
        Key of the configuration.
    zones_out_prefix : str
        Prefix of one key per availability zone that is out of service.
    members_prefix : str
        Prefix of one key per daemon.
    departures_prefix : str
        Prefix of one key per VM.
    """

    shared_prefix: str
    operator_prefix: str
    configuration: str
    zones_out_prefix: str
    members_prefix: str
    departures_prefix: str


@_frozen
class Dialect:
    """Parts of the protocol that differ between platforms.

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
        Body of the response to an announcement.
    decode_load : callable
        Header value to `EndpointLoad`, or None when it cannot be read.
    decode_rate_limit : callable
        Header value to requests per second, or None when it cannot be read.
    find_caller_request : callable
        Id of an attempt to the id of the request whose execution sent it, or empty.
    """

    headers: HeaderNames
    keys: StoreKeys
    readiness_path: str
    decode_configuration: Callable[[bytes], Configuration]
    decode_announcement: Callable[[str, bytes], Announcement | Departure]
    encode_acknowledgement: Callable[[], bytes]
    decode_load: Callable[[bytes], EndpointLoad | None]
    decode_rate_limit: Callable[[bytes], float | None]
    find_caller_request: Callable[[str], str]


@_frozen
class Bounds:
    """Bounds that the deployment sets.

    Attributes
    ----------
    grace_ms : float
        Time from the stop signal to the kill.
    retry_ratio : float
        Retries allowed per request to a service, over all daemons.
    retry_slack : float
        Retries allowed in addition, over all daemons.
    retry_window_ms : float
        Sliding window in which both limits apply.
    cold_overshoot, cold_slack : float
        In any second, a cold endpoint may receive this multiple of its rate plus this
        number of requests.
    reconnect_ms : float
        Time after the end of a fault, such as connections that went silent, within
        which a daemon must act on the current state of the store.
    """

    grace_ms: float
    retry_ratio: float
    retry_slack: float
    retry_window_ms: float
    cold_overshoot: float
    cold_slack: float
    reconnect_ms: float


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
    is_first_start : bool
        Whether the whole deployment starts for the first time.
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
    is_first_start: bool
    bounds: Bounds


class EndpointState(enum.StrEnum):
    """State of an endpoint as its owner reports it."""

    READY = "ready"
    COLD = "cold"
    FAILING = "failing"
    LEAVING = "leaving"
    DOWN = "down"
    ZONE_OUT = "zone_out"
    UNKNOWN = "unknown"


class Ending(enum.StrEnum):
    """How a call ended at the owner.

    ANSWERED: the endpoint sent a complete response. REFUSED: the owner sent nothing.
    REJECTED: the endpoint reports that it did not execute the request. FAILED: the
    endpoint may have executed it.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    REJECTED = "rejected"
    FAILED = "failed"
