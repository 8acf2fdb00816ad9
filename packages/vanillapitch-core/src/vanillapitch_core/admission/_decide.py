"""Decisions of admission."""

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
    "start_warmup",
    "start_leaving",
    "cancel_waiter",
    "end_leaving",
    "expire_waiters",
    "release",
    "set_backend_down",
    "set_zone_in_service",
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
        from the wait.
    """
    check_invariant(
        request.ticket not in state.in_flight_tickets, "a ticket is used once"
    )
    code = _find_objection(state, request, now_ms=now_ms)
    if code is not None:
        return [_refuse(request.ticket, code)]
    if _has_room(state, now_ms=now_ms) and not _is_behind(state, request.priority):
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
    """End a request, learn from its answer and admit waiters.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    ticket : hashable
        The request that ended.
    kind : AnswerKind
        How it ended.
    latency_ms : float
        Time that the backend server took, in milliseconds.
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
    _learn(state, kind=kind, latency_ms=latency_ms, now_ms=now_ms)
    state.in_flight_tickets.remove(ticket)
    if kind is AnswerKind.ABANDONED:
        occupied_ms = min(MAX_ABANDONED_MS, max(MIN_ABANDONED_MS, latency_ms))
        state.abandoned_until_ms.append(now_ms + occupied_ms)
    return _settle_waiters(state, now_ms=now_ms)


def expire_waiters(state: AdmissionState, *, now_ms: float) -> list[TicketDecision]:
    """Refuse requests that waited too long.

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
    return _settle_waiters(state, now_ms=now_ms)


def cancel_waiter(state: AdmissionState, *, ticket: Hashable) -> bool:
    """Remove a request from the wait because its caller left.

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
    """Start from a low level, because the backend server was just started.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    now_ms : float
        Current time in milliseconds.
    """
    warmup.begin_ramp(state.ramp, now_ms=now_ms)


def start_leaving(state: AdmissionState, *, now_ms: float) -> list[TicketDecision]:
    """Refuse new work from now on; requests in flight finish.

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
    return _settle_waiters(state, now_ms=now_ms)


def end_leaving(state: AdmissionState, *, now_ms: float) -> None:
    """Take new work again, from the low level of a cold start.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    now_ms : float
        Current time in milliseconds.
    """
    if state.leaving:
        warmup.begin_ramp(state.ramp, now_ms=now_ms)
    state.leaving = False


def set_zone_in_service(
    state: AdmissionState, *, in_service: bool, now_ms: float
) -> list[TicketDecision]:
    """Take the zone out of service, or bring it back with a ramp.

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
        warmup.begin_ramp(state.ramp, now_ms=now_ms)
    state.zone_in_service = in_service
    return _settle_waiters(state, now_ms=now_ms)


def set_backend_down(
    state: AdmissionState, *, down: bool, now_ms: float
) -> list[TicketDecision]:
    """Note that the backend server refuses connections, or accepts them again.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    down : bool
        Whether it refuses connections. A backend server that is up again was
        restarted, so it is cold.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    list of TicketDecision
        Refusals of requests that waited.
    """
    if state.backend_down and not down:
        warmup.begin_ramp(state.ramp, now_ms=now_ms)
    state.backend_down = down
    return _settle_waiters(state, now_ms=now_ms)


def _find_objection(
    state: AdmissionState, request: AdmissionRequest, *, now_ms: float
) -> RefusalCode | None:
    if state.leaving:
        return RefusalCode.LEAVING
    if not state.zone_in_service and not request.serve_when_zone_out:
        return RefusalCode.ZONE_OUT
    if state.backend_down:
        return RefusalCode.NO_ENDPOINT
    # Only a request that would certainly be late is refused.
    floor_ms = state.floor.get_ms(now_ms=now_ms)
    if request.remaining_ms <= floor_ms:
        return RefusalCode.DEADLINE_NOT_RUN
    return None


def _has_room(state: AdmissionState, *, now_ms: float) -> bool:
    return count_in_flight(state, now_ms=now_ms) < current_limit(state)


def _is_behind(state: AdmissionState, priority: int) -> bool:
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
    # No more requests wait than can run at once, so a cold backend server does not
    # face a herd when it turns ready.
    room = min(state.max_waiting, current_limit(state))
    if len(state.waiters) >= room:
        lowest = state.waiters[-1].request.priority if state.waiters else 9
        if room == 0 or lowest >= request.priority:
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
    room = min(state.max_waiting, current_limit(state))
    surplus = state.waiters[room:]
    del state.waiters[room:]
    return [
        _refuse(waiter.request.ticket, RefusalCode.OVERLOADED) for waiter in surplus
    ]


def _settle_waiters(state: AdmissionState, *, now_ms: float) -> list[TicketDecision]:
    """Refuse the waiters that must not run, then admit as many as there is room."""
    decisions = []
    for waiter in list(state.waiters):
        code = _find_waiter_objection(state, waiter, now_ms=now_ms)
        if code is not None:
            state.waiters.remove(waiter)
            decisions.append(_refuse(waiter.request.ticket, code))
    while state.waiters and _has_room(state, now_ms=now_ms):
        waiter = state.waiters.pop(0)
        decisions.append(_start(state, waiter.request.ticket))
    decisions.extend(_trim_waiters(state))
    check_bounds(state)
    return decisions


def _find_waiter_objection(
    state: AdmissionState, waiter: Waiter, *, now_ms: float
) -> RefusalCode | None:
    code = _find_objection(state, waiter.request, now_ms=now_ms)
    if code is not None and code is not RefusalCode.DEADLINE_NOT_RUN:
        return code
    if now_ms < waiter.until_ms:
        return None
    if waiter.request.remaining_ms <= state.max_wait_ms:
        return RefusalCode.DEADLINE_NOT_RUN
    return RefusalCode.OVERLOADED


def _learn(
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
