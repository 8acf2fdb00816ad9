"""Actor that picks an endpoint for each attempt."""

import dataclasses
import random

import pykka
from vanillapitch_core import RefusalCode
from vanillapitch_wire.dispatch import LoadReport

from vanillapitch_daemon.calls import DispatchStatus
from vanillapitch_daemon.snapshot import TablesSnapshot

__all__ = [
    "DispatchResult",
    "Endpoint",
    "EndpointChanged",
    "EndpointRemoved",
    "Pick",
    "PickFailed",
    "Picked",
    "Picker",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An announced endpoint.

    Attributes
    ----------
    instance : str
        Instance name, ``IP:port/incarnation``.
    address : tuple of (str, int)
        Inner address of the owner daemon.
    service : str
        Service that the backend server announces.
    zone : str
        Availability zone.
    """

    instance: str
    address: tuple[str, int]
    service: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointChanged:
    """An endpoint was announced or changed."""

    endpoint: Endpoint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointRemoved:
    """An endpoint takes no new work any more."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pick:
    """Ask for an endpoint of a pool.

    Attributes
    ----------
    pool : str
        Pool name.
    excluded : frozenset of str
        Instances that this request has tried.
    """

    pool: str
    excluded: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Picked:
    """The endpoint to use; every one is answered with a `DispatchResult`."""

    endpoint: Endpoint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PickFailed:
    """No endpoint can take the request."""

    code: RefusalCode


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DispatchResult:
    """How an attempt ended.

    Attributes
    ----------
    instance : str
        The endpoint that was picked.
    status : DispatchStatus
        How the attempt ended.
    latency_ms : float
        Duration of the attempt in milliseconds.
    http_status : int
        Status of the response, 0 without one.
    refusal_code : str
        Code of the owner's refusal, empty without one.
    report : LoadReport or None
        The owner's report, None when no reply arrived.
    """

    instance: str
    status: DispatchStatus
    latency_ms: float
    http_status: int = 0
    refusal_code: str = ""
    report: LoadReport | None = None


class Picker(pykka.ThreadingActor):
    """Owns what this ingress knows of the endpoints.

    Parameters
    ----------
    snapshot : TablesSnapshot
        Tables in force.
    random_source : random.Random
        Source of randomness.
    """

    use_daemon_thread = True

    def __init__(self, *, snapshot: TablesSnapshot, random_source: random.Random):
        super().__init__()
        self._snapshot = snapshot
        self._random = random_source
        self._endpoints_by_instance: dict[str, Endpoint] = {}
        self._in_flight_by_instance: dict[str, int] = {}

    def on_receive(self, message: object) -> object:
        """Handle one message."""
        match message:
            case Pick():
                return self._pick(message)
            case DispatchResult():
                self._in_flight_by_instance[message.instance] -= 1
            case EndpointChanged():
                endpoint = message.endpoint
                self._endpoints_by_instance[endpoint.instance] = endpoint
            case EndpointRemoved():
                self._endpoints_by_instance.pop(message.instance, None)
        return None

    def _pick(self, message: Pick) -> Picked | PickFailed:
        index = self._snapshot.current
        pool = index.pools_by_name[message.pool]
        candidates = [
            endpoint
            for endpoint in self._endpoints_by_instance.values()
            if endpoint.service == pool.service
            and endpoint.instance not in message.excluded
            and endpoint.zone not in index.zones_out
        ]
        if not candidates:
            return PickFailed(code=RefusalCode.NO_ENDPOINT)
        sample = self._random.sample(candidates, min(2, len(candidates)))
        endpoint = min(sample, key=self._in_flight)
        self._in_flight_by_instance[endpoint.instance] = self._in_flight(endpoint) + 1
        return Picked(endpoint=endpoint)

    def _in_flight(self, endpoint: Endpoint) -> int:
        return self._in_flight_by_instance.get(endpoint.instance, 0)
