"""Events that update the state of the picker."""

from collections.abc import Collection

from vanillapitch_core import health
from vanillapitch_core.outcome import RefusalCode
from vanillapitch_core.picking._estimate import (
    baseline_latency_ms,
    record_failure_sample,
    record_latency_sample,
)
from vanillapitch_core.picking._state import (
    CallResult,
    Endpoint,
    EndpointState,
    LoadReport,
    PickerState,
    Service,
)

__all__ = [
    "add_endpoint",
    "classify_refusal",
    "mark_leaving",
    "record_dispatch",
    "record_report",
    "record_result",
    "remove_endpoint",
    "set_zones_out",
]

REFUSED_BACKOFF_MS = 1_000.0
UNREACHABLE_BACKOFF_MS = 500.0
MAX_BACKOFF_MS = 5_000.0
MEAN_IN_FLIGHT_WEIGHT = 0.05
# A failure within this share of the typical latency counts as fast.
FAST_FAILURE_SHARE = 0.5

_FAILURE_RESULTS = frozenset(
    {CallResult.FAILED, CallResult.CRASHED, CallResult.UNREACHABLE}
)
_RESULT_BY_CODE = {
    RefusalCode.OVERLOADED: CallResult.OVERLOADED,
    RefusalCode.MEMORY_FULL: CallResult.OVERLOADED,
    RefusalCode.LEAVING: CallResult.REFUSED,
    RefusalCode.ZONE_OUT: CallResult.REFUSED,
    RefusalCode.NO_ENDPOINT: CallResult.UNREACHABLE,
    RefusalCode.BACKEND_FAILED: CallResult.FAILED,
    RefusalCode.BACKEND_CRASHED: CallResult.CRASHED,
    RefusalCode.RESPONSE_TOO_LARGE: CallResult.ANSWERED,
    RefusalCode.DEADLINE_UNKNOWN: CallResult.TIMED_OUT,
    RefusalCode.CANCELLED: CallResult.CANCELLED,
}
_LOWER_BOUND_RESULTS = frozenset({CallResult.TIMED_OUT, CallResult.CANCELLED})


def add_endpoint(
    state: PickerState, *, instance: str, service: str, zone: str, region: str
) -> None:
    """Add an announced endpoint; a known one that was leaving is used again.

    Parameters
    ----------
    state : PickerState
        State of the picker.
    instance : str
        Instance name; it contains the incarnation, so a restarted endpoint is new.
    service : str
        Service that the backend server announces.
    zone, region : str
        Zone and region of the endpoint.
    """
    known = state.endpoints_by_instance.get(instance)
    if known is not None and known.service == service:
        if known.leaving:
            known.leaving = False
            state.views_by_pool.clear()
        return
    if known is not None:
        remove_endpoint(state, instance=instance)
    endpoint = Endpoint(instance=instance, service=service, zone=zone, region=region)
    service_state = state.services_by_name.setdefault(service, Service())
    service_state.endpoints_by_instance[instance] = endpoint
    health.add_endpoint(service_state.health, instance=instance)
    state.endpoints_by_instance[instance] = endpoint
    state.views_by_pool.clear()


def remove_endpoint(state: PickerState, *, instance: str) -> None:
    """Remove an endpoint; later results of its calls are ignored.

    Parameters
    ----------
    state : PickerState
        State of the picker.
    instance : str
        Instance name; an unknown one is ignored.
    """
    endpoint = state.endpoints_by_instance.pop(instance, None)
    if endpoint is None:
        return
    service_state = state.services_by_name[endpoint.service]
    del service_state.endpoints_by_instance[instance]
    health.remove_endpoint(service_state.health, instance=instance)
    if not service_state.endpoints_by_instance:
        del state.services_by_name[endpoint.service]
    state.views_by_pool.clear()


def mark_leaving(state: PickerState, *, instance: str) -> None:
    """Send no new calls to an endpoint; its outstanding calls continue.

    Parameters
    ----------
    state : PickerState
        State of the picker.
    instance : str
        Instance name; an unknown one is ignored.
    """
    endpoint = state.endpoints_by_instance.get(instance)
    if endpoint is not None and not endpoint.leaving:
        endpoint.leaving = True
        state.views_by_pool.clear()


def set_zones_out(state: PickerState, *, zones_out: Collection[str]) -> None:
    """Set the zones that are out of service.

    Parameters
    ----------
    state : PickerState
        State of the picker.
    zones_out : collection of str
        Zones out of service.
    """
    state.zones_out = frozenset(zones_out)
    state.views_by_pool.clear()


def record_dispatch(state: PickerState, *, instance: str, now_ms: float) -> int:
    """Record a call as outstanding.

    Parameters
    ----------
    state : PickerState
        State of the picker.
    instance : str
        Endpoint that gets the call.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    int
        Call id to pass to `record_result`.
    """
    endpoint = state.endpoints_by_instance[instance]
    call_id = state.next_call_id
    state.next_call_id += 1
    endpoint.outstanding[call_id] = now_ms
    endpoint.last_pick_at_ms = now_ms
    endpoint.last_pick_number = state.services_by_name[endpoint.service].picks
    return call_id


def record_report(
    state: PickerState, *, instance: str, report: LoadReport, now_ms: float
) -> None:
    """Record a load report; call this before `record_result` for the same answer.

    Parameters
    ----------
    state : PickerState
        State of the picker.
    instance : str
        Endpoint that reports; an unknown one is ignored.
    report : LoadReport
        The report.
    now_ms : float
        Current time in milliseconds.
    """
    endpoint = state.endpoints_by_instance.get(instance)
    if endpoint is None:
        return
    endpoint.report = report
    endpoint.report_at_ms = now_ms
    own = len(endpoint.outstanding)
    endpoint.others_in_flight = max(0, report.in_flight - own)
    service = state.services_by_name[endpoint.service]
    weight = MEAN_IN_FLIGHT_WEIGHT
    service.mean_own_in_flight += weight * (own - service.mean_own_in_flight)
    service.mean_others_in_flight += weight * (
        endpoint.others_in_flight - service.mean_others_in_flight
    )
    if report.state is EndpointState.LEAVING:
        # The report arrives before the membership message. The backoff is temporary,
        # because the endpoint may cancel leaving.
        _back_off(endpoint, duration_ms=REFUSED_BACKOFF_MS, now_ms=now_ms)
    if report.state is EndpointState.DOWN:
        _back_off(endpoint, duration_ms=UNREACHABLE_BACKOFF_MS, now_ms=now_ms)


def record_result(
    state: PickerState,
    *,
    instance: str,
    call_id: int,
    result: CallResult,
    latency_ms: float,
    now_ms: float,
) -> None:
    """Update the state from the result of a call.

    Parameters
    ----------
    state : PickerState
        State of the picker.
    instance : str
        Endpoint that the call was sent to.
    call_id : int
        Id of the call; one that already ended or is unknown is ignored.
    result : CallResult
        How the call ended.
    latency_ms : float
        Time since the dispatch, in milliseconds.
    now_ms : float
        Current time in milliseconds.
    """
    endpoint = state.endpoints_by_instance.get(instance)
    if endpoint is None or endpoint.outstanding.pop(call_id, None) is None:
        return
    service = state.services_by_name[endpoint.service]
    baseline_ms = baseline_latency_ms(service.endpoints_by_instance.values())
    _record_reachability(endpoint, result=result, now_ms=now_ms)
    if result in _FAILURE_RESULTS or result is CallResult.ANSWERED:
        _record_evidence(
            service,
            endpoint,
            failed=result in _FAILURE_RESULTS,
            fast=latency_ms < baseline_ms * FAST_FAILURE_SHARE,
            now_ms=now_ms,
        )
    # The duration of a failed or refused call is not the latency of an answer; as a
    # sample, a fast failure would attract more calls.
    if result is CallResult.ANSWERED or (
        result in _LOWER_BOUND_RESULTS and latency_ms > endpoint.latency_ms > 0.0
    ):
        record_latency_sample(endpoint, latency_ms=latency_ms, baseline_ms=baseline_ms)


def classify_refusal(code: RefusalCode) -> CallResult:
    """Map the code of an owner's refusal to the result of the call.

    Parameters
    ----------
    code : RefusalCode
        Code of the refusal.

    Returns
    -------
    CallResult
        `DECLINED` for a code that is not related to the endpoint.
    """
    return _RESULT_BY_CODE.get(code, CallResult.DECLINED)


def _record_reachability(
    endpoint: Endpoint, *, result: CallResult, now_ms: float
) -> None:
    if result is CallResult.UNREACHABLE or result is CallResult.CRASHED:
        duration_ms = min(
            MAX_BACKOFF_MS, UNREACHABLE_BACKOFF_MS * 2**endpoint.connection_failures
        )
        endpoint.connection_failures = min(10, endpoint.connection_failures + 1)
        _back_off(endpoint, duration_ms=duration_ms, now_ms=now_ms)
        return
    if result in _LOWER_BOUND_RESULTS or result is CallResult.DECLINED:
        return
    endpoint.connection_failures = 0
    if result is CallResult.REFUSED:
        _back_off(endpoint, duration_ms=REFUSED_BACKOFF_MS, now_ms=now_ms)
    elif result is not CallResult.OVERLOADED:
        # An overloaded endpoint gets no backoff: its report shows that it is full, and
        # diverting its share to the other endpoints would overload them in turn.
        endpoint.answered = True


def _record_evidence(
    service: Service, endpoint: Endpoint, *, failed: bool, fast: bool, now_ms: float
) -> None:
    record_failure_sample(endpoint, failed=failed, now_ms=now_ms)
    health.record_request(
        service.health,
        instance=endpoint.instance,
        failed=failed,
        fast=fast,
        now_ms=now_ms,
    )


def _back_off(endpoint: Endpoint, *, duration_ms: float, now_ms: float) -> None:
    endpoint.backoff_until_ms = max(endpoint.backoff_until_ms, now_ms + duration_ms)
