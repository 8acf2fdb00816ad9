"""Admission decisions: admit, queue or refuse requests and release their slots."""

import bisect
from collections.abc import Hashable

from vanillapitch_core import warmup
from vanillapitch_core.admission._limit import record_shed, record_success
from vanillapitch_core.admission._state import (
    MAX_ABANDONED_MS,
    MIN_ABANDONED_MS,
    AdmissionRequest,
    AdmissionState,
    AnswerKind,
    Decision,
    TicketDecision,
    Waiter,
    check_bounds,
    count_in_flight,
    current_limit,
)
from vanillapitch_core.exceptions import check_invariant
from vanillapitch_core.outcome import Outcome, Refusal, RefusalCode

__all__ = [
    "admit",
    "cancel_waiter",
    "end_leaving",
    "expire_waiters",
    "release",
    "set_backend_down",
    "set_zone_in_service",
    "start_leaving",
    "start_warmup",
]

_DETAIL_BY_CODE = {
    RefusalCode.OVERLOADED: "The endpoint is at its limit.",
    RefusalCode.ZONE_OUT: "The endpoint's availability zone is out of service.",
    RefusalCode.LEAVING: "The endpoint is leaving.",
    RefusalCode.NO_ENDPOINT: "The backend server refuses connections.",
    RefusalCode.DEADLINE_NOT_RUN: "The deadline cannot be met.",
}

_WARMUP_KIND_BY_KIND = {
    AnswerKind.ANSWERED: warmup.WarmupAnswer.GOOD,
    AnswerKind.SHED: warmup.WarmupAnswer.SHED,
    AnswerKind.FAILED: warmup.WarmupAnswer.FAILED,
}


def admit(
    state: AdmissionState, request: AdmissionRequest, *, now_ms: float
) -> list[TicketDecision]:
    """Admit, queue or refuse a request.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    request : AdmissionRequest
        The request.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    list of TicketDecision
        The decision about the request, then refusals of requests that it displaced
        from the queue.
    """
    check_invariant(
        request.ticket not in state.in_flight_tickets, "a ticket is used once"
    )
    code = _find_refusal_code(state, request, now_ms=now_ms)
    if code is not None:
        return [_refuse(request.ticket, code)]
    if _has_free_capacity(state, now_ms=now_ms) and not _must_wait_behind(
        state, request.priority
    ):
        return [_start(state, request.ticket)]
    return _queue(state, request, now_ms=now_ms)


def release(
    state: AdmissionState,
    *,
    ticket: Hashable,
    kind: AnswerKind,
    latency_ms: float,
    now_ms: float,
) -> list[TicketDecision]:
    """End a request, update the limit from its answer and admit waiting requests.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    ticket : hashable
        The request that ended.
    kind : AnswerKind
        How it ended.
    latency_ms : float
        Response time of the backend server, in milliseconds.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    list of TicketDecision
        Decisions about requests that waited.
    """
    check_invariant(
        ticket in state.in_flight_tickets, "a request that ends was in flight"
    )
    _record_answer(state, kind=kind, latency_ms=latency_ms, now_ms=now_ms)
    state.in_flight_tickets.remove(ticket)
    if kind is AnswerKind.ABANDONED:
        occupied_ms = min(MAX_ABANDONED_MS, max(MIN_ABANDONED_MS, latency_ms))
        state.abandoned_until_ms.append(now_ms + occupied_ms)
    return _process_waiters(state, now_ms=now_ms)


def expire_waiters(state: AdmissionState, *, now_ms: float) -> list[TicketDecision]:
    """Refuse requests that waited too long and admit others if capacity is free.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    list of TicketDecision
        Decisions about requests that waited.
    """
    return _process_waiters(state, now_ms=now_ms)


def cancel_waiter(state: AdmissionState, *, ticket: Hashable) -> bool:
    """Remove a request from the queue because its caller disconnected.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    ticket : hashable
        The request.

    Returns
    -------
    bool
        Whether the request was waiting.
    """
    kept = [waiter for waiter in state.waiters if waiter.request.ticket != ticket]
    was_waiting = len(kept) < len(state.waiters)
    state.waiters = kept
    return was_waiting


def start_warmup(state: AdmissionState, *, now_ms: float) -> None:
    """Start a cold-start ramp, because the backend server was just started.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    now_ms : float
        Current time in milliseconds.
    """
    warmup.start_ramp(state.ramp, now_ms=now_ms)


def start_leaving(state: AdmissionState, *, now_ms: float) -> list[TicketDecision]:
    """Refuse new requests from now on; requests in flight finish.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    list of TicketDecision
        Refusals of requests that waited.
    """
    state.leaving = True
    return _process_waiters(state, now_ms=now_ms)


def end_leaving(state: AdmissionState, *, now_ms: float) -> None:
    """Admit new requests again, with the ramp of a cold start.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    now_ms : float
        Current time in milliseconds.
    """
    if state.leaving:
        warmup.start_ramp(state.ramp, now_ms=now_ms)
    state.leaving = False


def set_zone_in_service(
    state: AdmissionState, *, in_service: bool, now_ms: float
) -> list[TicketDecision]:
    """Take the zone out of service, or put it back in service with a cold-start ramp.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    in_service : bool
        Whether the zone is in service.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    list of TicketDecision
        Refusals of requests that waited.
    """
    if in_service and not state.zone_in_service:
        warmup.start_ramp(state.ramp, now_ms=now_ms)
    state.zone_in_service = in_service
    return _process_waiters(state, now_ms=now_ms)


def set_backend_down(
    state: AdmissionState, *, down: bool, now_ms: float
) -> list[TicketDecision]:
    """Record that the backend server refuses connections, or accepts them again.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    down : bool
        Whether it refuses connections. A backend server that accepts connections
        again was restarted, so it is cold.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    list of TicketDecision
        Refusals of requests that waited.
    """
    if state.backend_down and not down:
        warmup.start_ramp(state.ramp, now_ms=now_ms)
    state.backend_down = down
    return _process_waiters(state, now_ms=now_ms)


def _find_refusal_code(
    state: AdmissionState, request: AdmissionRequest, *, now_ms: float
) -> RefusalCode | None:
    if state.leaving:
        return RefusalCode.LEAVING
    if not state.zone_in_service and not request.serve_when_zone_out:
        return RefusalCode.ZONE_OUT
    if state.backend_down:
        return RefusalCode.NO_ENDPOINT
    # The floor is a lower bound of the latency, so a request is refused only if it
    # cannot meet its deadline.
    floor_ms = state.floor.get_ms(now_ms=now_ms)
    if request.remaining_ms <= floor_ms:
        return RefusalCode.DEADLINE_NOT_RUN
    return None


def _has_free_capacity(state: AdmissionState, *, now_ms: float) -> bool:
    return count_in_flight(state, now_ms=now_ms) < current_limit(state)


def _must_wait_behind(state: AdmissionState, priority: int) -> bool:
    return bool(state.waiters) and state.waiters[0].request.priority >= priority


def _start(state: AdmissionState, ticket: Hashable) -> TicketDecision:
    state.in_flight_tickets.add(ticket)
    check_bounds(state)
    return TicketDecision(ticket=ticket, decision=Decision.ADMITTED)


def _refuse(ticket: Hashable, code: RefusalCode) -> TicketDecision:
    refusal = Refusal(code=code, outcome=Outcome.NOT_RUN, detail=_DETAIL_BY_CODE[code])
    return TicketDecision(ticket=ticket, decision=Decision.REFUSED, refusal=refusal)


def _queue(
    state: AdmissionState, request: AdmissionRequest, *, now_ms: float
) -> list[TicketDecision]:
    # At most as many requests wait as may be in flight, so that a cold backend server
    # does not get a burst of queued requests when it becomes ready.
    max_waiters = min(state.max_waiting, current_limit(state))
    if len(state.waiters) >= max_waiters:
        lowest = state.waiters[-1].request.priority if state.waiters else 9
        if max_waiters == 0 or lowest >= request.priority:
            return [_refuse(request.ticket, RefusalCode.OVERLOADED)]
    waiter = Waiter(
        request=request,
        sequence=state.next_sequence,
        until_ms=now_ms + min(state.max_wait_ms, request.remaining_ms),
    )
    state.next_sequence += 1
    bisect.insort(state.waiters, waiter, key=_waiter_rank)
    queued = TicketDecision(ticket=request.ticket, decision=Decision.QUEUED)
    return [queued, *_trim_waiters(state)]


def _waiter_rank(waiter: Waiter) -> tuple[int, int]:
    return (-waiter.request.priority, waiter.sequence)


def _trim_waiters(state: AdmissionState) -> list[TicketDecision]:
    max_waiters = min(state.max_waiting, current_limit(state))
    surplus = state.waiters[max_waiters:]
    del state.waiters[max_waiters:]
    return [
        _refuse(waiter.request.ticket, RefusalCode.OVERLOADED) for waiter in surplus
    ]


def _process_waiters(state: AdmissionState, *, now_ms: float) -> list[TicketDecision]:
    """Refuse inadmissible waiters, then admit others up to the free capacity."""
    decisions = []
    for waiter in list(state.waiters):
        code = _find_waiter_refusal_code(state, waiter, now_ms=now_ms)
        if code is not None:
            state.waiters.remove(waiter)
            decisions.append(_refuse(waiter.request.ticket, code))
    while state.waiters and _has_free_capacity(state, now_ms=now_ms):
        waiter = state.waiters.pop(0)
        decisions.append(_start(state, waiter.request.ticket))
    decisions.extend(_trim_waiters(state))
    check_bounds(state)
    return decisions


def _find_waiter_refusal_code(
    state: AdmissionState, waiter: Waiter, *, now_ms: float
) -> RefusalCode | None:
    code = _find_refusal_code(state, waiter.request, now_ms=now_ms)
    if code is not None and code is not RefusalCode.DEADLINE_NOT_RUN:
        return code
    if now_ms < waiter.until_ms:
        return None
    if waiter.request.remaining_ms <= state.max_wait_ms:
        return RefusalCode.DEADLINE_NOT_RUN
    return RefusalCode.OVERLOADED


def _record_answer(
    state: AdmissionState, *, kind: AnswerKind, latency_ms: float, now_ms: float
) -> None:
    if kind in (AnswerKind.ABANDONED, AnswerKind.BROKEN):
        return
    answer_kind = _WARMUP_KIND_BY_KIND[kind]
    warmup.record_answer(
        state.ramp, kind=answer_kind, latency_ms=latency_ms, now_ms=now_ms
    )
    if kind is AnswerKind.SHED:
        record_shed(state.limit, now_ms=now_ms)
    if kind is not AnswerKind.ANSWERED:
        return
    state.floor.record(latency_ms=latency_ms, now_ms=now_ms)
    record_success(
        state.limit,
        latency_ms=latency_ms,
        baseline_ms=state.ramp.baseline_ms,
        in_flight=count_in_flight(state, now_ms=now_ms),
        now_ms=now_ms,
    )
