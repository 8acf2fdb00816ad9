"""Monitor that picks an endpoint for each attempt."""

import dataclasses
import random

from vanillapitch_core import Clock, RefusalCode, picking
from vanillapitch_core.picking import CallResult, EndpointState
from vanillapitch_wire.dispatch import LoadReport

from vanillapitch_daemon.calls import DispatchStatus
from vanillapitch_daemon.monitor import Monitor
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
        Address of the owner daemon for calls between daemons.
    service : str
        Service that the backend server announces.
    zone : str
        Availability zone.
    region : str
        Region of the zone.
    """

    instance: str
    address: tuple[str, int]
    service: str
    zone: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointChanged:
    """An endpoint was announced or changed."""

    endpoint: Endpoint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointRemoved:
    """An endpoint no longer accepts new requests."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pick:
    """Ask for an endpoint of a pool.

    Attributes
    ----------
    pool : str
        Pool name.
    excluded : frozenset of str
        Instances that were tried for this request.
    """

    pool: str
    excluded: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Picked:
    """The picked endpoint; the sender must report a `DispatchResult` for each.

    Attributes
    ----------
    endpoint : Endpoint
        The endpoint.
    call_id : int
        Id of the call, to be sent in its `DispatchResult`.
    """

    endpoint: Endpoint
    call_id: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PickFailed:
    """No endpoint of the pool is usable for the request."""

    code: RefusalCode


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DispatchResult:
    """Result of an attempt.

    Attributes
    ----------
    instance : str
        The endpoint that was picked.
    call_id : int
        Id of the call from `Picked`.
    status : DispatchStatus
        How the attempt ended.
    latency_ms : float
        Duration of the attempt in milliseconds.
    http_status : int
        Status of the response, 0 without a response.
    refusal_code : str
        Code of the owner's refusal, empty without a refusal.
    report : LoadReport or None
        Load report of the owner, None without a reply.
    """

    instance: str
    call_id: int
    status: DispatchStatus
    latency_ms: float
    http_status: int = 0
    refusal_code: str = ""
    report: LoadReport | None = None


_RESULT_BY_STATUS = {
    DispatchStatus.CONNECT_FAILED: CallResult.UNREACHABLE,
    DispatchStatus.LOST: CallResult.UNREACHABLE,
    DispatchStatus.TIMED_OUT: CallResult.TIMED_OUT,
    DispatchStatus.CANCELLED: CallResult.CANCELLED,
}


class Picker(Monitor):
    """Holds the state of all endpoints as this ingress observes it.

    Parameters
    ----------
    own_endpoint : Endpoint
        This daemon's own endpoint; picking uses its instance, zone and region.
    snapshot : TablesSnapshot
        Current tables.
    clock : Clock
        Source of time.
    random_source : random.Random
        Source of randomness.
    policy : callable
        Chooses among the usable endpoints.
    """

    def __init__(
        self,
        *,
        own_endpoint: Endpoint,
        snapshot: TablesSnapshot,
        clock: Clock,
        random_source: random.Random,
        policy: picking.PickPolicy = picking.choose_by_score,
    ):
        super().__init__()
        self._snapshot = snapshot
        self._clock = clock
        self._random = random_source
        self._policy = policy
        self._endpoints_by_instance: dict[str, Endpoint] = {}
        self._state = picking.PickerState(
            instance=own_endpoint.instance,
            zone=own_endpoint.zone,
            region=own_endpoint.region,
        )

    def on_receive(self, message: object) -> object:
        """Handle one message."""
        match message:
            case Pick():
                return self._pick(message)
            case DispatchResult():
                self._record(message)
            case EndpointChanged():
                self._add(message.endpoint)
            case EndpointRemoved():
                self._endpoints_by_instance.pop(message.instance, None)
                picking.remove_endpoint(self._state, instance=message.instance)
        return None

    def _add(self, endpoint: Endpoint) -> None:
        previous = self._endpoints_by_instance.get(endpoint.instance)
        if previous is not None and previous != endpoint:
            picking.remove_endpoint(self._state, instance=endpoint.instance)
        self._endpoints_by_instance[endpoint.instance] = endpoint
        picking.add_endpoint(
            self._state,
            instance=endpoint.instance,
            service=endpoint.service,
            zone=endpoint.zone,
            region=endpoint.region,
        )

    def _pick(self, message: Pick) -> Picked | PickFailed:
        index = self._snapshot.current
        pool = index.pools_by_name.get(message.pool)
        if pool is None:
            # The tables changed after the route was matched.
            return PickFailed(code=RefusalCode.NO_ENDPOINT)
        if index.zones_out != self._state.zones_out:
            picking.set_zones_out(self._state, zones_out=index.zones_out)
        picked = picking.pick(
            self._state,
            pool=pool,
            excluded=message.excluded,
            now_ms=self._clock.now_ms(),
            rng=self._random,
            policy=self._policy,
        )
        if isinstance(picked, picking.NoUsableEndpoint):
            return PickFailed(code=picked.code)
        endpoint = self._endpoints_by_instance[picked.instance]
        return Picked(endpoint=endpoint, call_id=picked.call_id)

    def _record(self, message: DispatchResult) -> None:
        now_ms = self._clock.now_ms()
        if message.report is not None:
            picking.record_report(
                self._state,
                instance=message.instance,
                report=_to_core_report(message.report),
                now_ms=now_ms,
            )
        picking.record_result(
            self._state,
            instance=message.instance,
            call_id=message.call_id,
            result=_classify(message),
            latency_ms=message.latency_ms,
            now_ms=now_ms,
        )


def _to_core_report(report: LoadReport) -> picking.LoadReport:
    return picking.LoadReport(
        in_flight=report.in_flight,
        limit=report.limit,
        state=EndpointState(report.state),
        latency_ms=report.latency_ms,
    )


def _classify(message: DispatchResult) -> CallResult:
    if message.status is DispatchStatus.RESPONSE:
        failed = message.http_status >= 500
        return CallResult.FAILED if failed else CallResult.ANSWERED
    if message.status is DispatchStatus.REFUSED:
        return picking.classify_refusal(RefusalCode(message.refusal_code))
    return _RESULT_BY_STATUS[message.status]
