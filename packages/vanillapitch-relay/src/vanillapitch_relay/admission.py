"""Decisions of an owner: which calls its endpoint gets, and when."""

import collections
import dataclasses
import enum

from vanillapitch_core.exceptions import check_invariant

__all__ = [
    "AdmissionState",
    "CallTicket",
    "RefusalReason",
    "WorkEstimate",
    "admit_next",
    "end",
    "estimate_wait_ms",
    "expire",
    "next_event_ms",
    "make_ticket",
    "offer",
    "withdraw",
]

# Endpoints slow down by 1.7 above four fifths of their slots, so fewer in flight
# finish more.
LIMIT_SHARE = 0.8
# A call that can no longer be answered within its latency objective waits behind those
# that can, for at most this share of the time that its deadline leaves for waiting.
LATE_WAIT_SHARE = 0.5
# Queue length as a multiple of the limit.
QUEUE_LIMIT_FACTOR = 2
LATENCY_WEIGHT = 0.1
# Before the first answer, milliseconds.
INITIAL_LATENCY_MS = 50.0
COLD_WINDOW_MS = 1_000.0


class RefusalReason(enum.StrEnum):
    """Why an owner sends a call to no endpoint."""

    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    ZONE_OUT = "zone_out"
    DOWN = "down"
    UNKNOWN_ENDPOINT = "unknown_endpoint"
    OTHER_SERVICE = "other_service"
    COLD = "cold"
    PAST_DEADLINE = "past_deadline"
    QUARANTINED = "quarantined"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallTicket:
    """A call that asks for the endpoint.

    Attributes
    ----------
    id : int
        Unique at this owner.
    route : str
        Calls of one route take alike.
    priority : int
        0 is the highest.
    on_time_until_ms : float
        Last moment to send it and be answered within its latency objective.
    wait_until_ms : float
        When it is refused if it still waits.
    """

    id: int
    route: str
    priority: int
    on_time_until_ms: float
    wait_until_ms: float


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkEstimate:
    """Moving averages of execution times at the usual speed.

    Attributes
    ----------
    mean_ms : float
        Over all calls.
    mean_ms_by_route : dict of str to float
        By route.
    """

    mean_ms: float = INITIAL_LATENCY_MS
    mean_ms_by_route: dict[str, float] = dataclasses.field(default_factory=dict)

    def record(self, route: str, *, latency_ms: float, speed: float) -> None:
        """Add the execution time of a call that ran at a speed; 1 is the usual one."""
        sample_ms = latency_ms / speed
        self.mean_ms += LATENCY_WEIGHT * (sample_ms - self.mean_ms)
        known_ms = self.mean_ms_by_route.get(route, sample_ms)
        known_ms += LATENCY_WEIGHT * (sample_ms - known_ms)
        self.mean_ms_by_route[route] = known_ms

    def expect_ms(self, route: str, *, speed: float) -> float:
        """Return the expected execution time of a call at a speed."""
        return self.mean_ms_by_route.get(route, self.mean_ms) * speed


@dataclasses.dataclass(slots=True, kw_only=True)
class AdmissionState:
    """Everything that decides whether a call is sent.

    Attributes
    ----------
    slots : int
        Requests that the endpoint runs at once.
    max_connections : int
        Connections that it accepts.
    blocked : RefusalReason or None
        Why it gets nothing at all.
    cold_until_ms : float
        Until when it is cold.
    cold_per_s : float
        Requests per second while cold.
    running : set of int
        Tickets of calls at the endpoint.
    waiting : list of CallTicket
        Calls that wait; those that can be on time are admitted first.
    work : WorkEstimate
        Execution times.
    speed : float
        Current speed; 2 means that work takes twice its usual time.
    sent_at_ms : deque of float
        Times of the sends of the last second.
    failing : bool
        Whether it fails its requests, so that only one is tried at a time.
    """

    slots: int = 1
    max_connections: int = 1
    blocked: RefusalReason | None = RefusalReason.UNKNOWN_ENDPOINT
    cold_until_ms: float = 0.0
    cold_per_s: float = 0.0
    running: set[int] = dataclasses.field(default_factory=set)
    waiting: list[CallTicket] = dataclasses.field(default_factory=list)
    work: WorkEstimate = dataclasses.field(default_factory=WorkEstimate)
    speed: float = 1.0
    sent_at_ms: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    failing: bool = False

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        if self.failing:
            return 1
        limit = int(min(self.slots * LIMIT_SHARE, self.max_connections - 1))
        return max(1, limit)

    def is_cold(self, *, now_ms: float) -> bool:
        """Tell whether the endpoint bears only its cold rate."""
        return now_ms < self.cold_until_ms


def make_ticket(
    state: AdmissionState,
    *,
    ticket_id: int,
    route: str,
    priority: int,
    objective_ms: float,
    remaining_ms: float,
    now_ms: float,
) -> CallTicket:
    """Work out until when a call may wait.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    ticket_id : int
        Unique id.
    route : str
        Its route.
    priority : int
        0 is the highest.
    objective_ms : float
        What is left of its latency objective; may be negative.
    remaining_ms : float
        What is left until its deadline.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    CallTicket
        The ticket.
    """
    work_ms = state.work.expect_ms(route, speed=state.speed)
    late_wait_ms = LATE_WAIT_SHARE * max(0.0, remaining_ms - work_ms)
    on_time_wait_ms = min(objective_ms, remaining_ms) - work_ms
    return CallTicket(
        id=ticket_id,
        route=route,
        priority=priority,
        on_time_until_ms=now_ms + on_time_wait_ms,
        wait_until_ms=now_ms + max(0.0, late_wait_ms, on_time_wait_ms),
    )


def estimate_wait_ms(state: AdmissionState, *, ahead: int) -> float:
    """Estimate how long a call waits behind others.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    ahead : int
        Calls that are sent before it.

    Returns
    -------
    float
        Milliseconds.
    """
    free = state.limit - len(state.running)
    if free > ahead:
        return 0.0
    return (ahead - free + 1) * state.work.mean_ms * state.speed / state.limit


def offer(
    state: AdmissionState, ticket: CallTicket, *, now_ms: float
) -> RefusalReason | None:
    """Queue a call, or refuse it at once.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    ticket : CallTicket
        The call.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    RefusalReason or None
        None when the call was queued; `admit_next` admits it.
    """
    if state.blocked is not None:
        return state.blocked
    rank = _rank(ticket, now_ms=now_ms)
    ahead = sum(_rank(other, now_ms=now_ms) <= rank for other in state.waiting)
    if now_ms + estimate_wait_ms(state, ahead=ahead) > ticket.wait_until_ms:
        return RefusalReason.OVERLOADED
    if state.is_cold(now_ms=now_ms) and ahead >= _cold_room(state, now_ms=now_ms):
        return RefusalReason.COLD
    if len(state.waiting) >= QUEUE_LIMIT_FACTOR * state.limit:
        return RefusalReason.OVERLOADED
    state.waiting.append(ticket)
    return None


def admit_next(state: AdmissionState, *, now_ms: float) -> CallTicket | None:
    """Take the next call that may be sent now from the queue.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    CallTicket or None
        The call; it counts as running until `end`.
    """
    if not state.waiting or state.blocked is not None:
        return None
    if len(state.running) >= state.limit:
        return None
    if state.is_cold(now_ms=now_ms) and _cold_room(state, now_ms=now_ms) <= 0:
        return None
    ticket = min(state.waiting, key=lambda other: _rank(other, now_ms=now_ms))
    state.waiting.remove(ticket)
    check_invariant(ticket.id not in state.running, "a call is sent once")
    state.running.add(ticket.id)
    _forget_old_sends(state, now_ms=now_ms)
    state.sent_at_ms.append(now_ms)
    check_invariant(len(state.running) <= state.slots, "the slots are kept")
    return ticket


def end(
    state: AdmissionState,
    ticket: CallTicket,
    *,
    latency_ms: float | None,
    speed: float = 1.0,
) -> None:
    """Give the place of a call back.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    ticket : CallTicket
        The call.
    latency_ms : float or None
        Execution time; None teaches nothing.
    speed : float
        Speed at which it ran.
    """
    state.running.discard(ticket.id)
    if latency_ms is not None:
        state.work.record(ticket.route, latency_ms=latency_ms, speed=speed)


def withdraw(state: AdmissionState, ticket: CallTicket) -> bool:
    """Remove a waiting call; return whether it was waiting."""
    if ticket in state.waiting:
        state.waiting.remove(ticket)
        return True
    return False


def expire(state: AdmissionState, *, now_ms: float) -> list[CallTicket]:
    """Remove and return the calls that waited too long or cannot be sent."""
    if state.blocked is not None:
        expired = list(state.waiting)
    else:
        expired = [entry for entry in state.waiting if entry.wait_until_ms <= now_ms]
    for ticket in expired:
        state.waiting.remove(ticket)
    return expired


def next_event_ms(state: AdmissionState, *, now_ms: float) -> float | None:
    """Return when the queue changes without another call, or None."""
    if not state.waiting:
        return None
    next_ms = min(ticket.wait_until_ms for ticket in state.waiting)
    if state.is_cold(now_ms=now_ms) and state.sent_at_ms:
        next_ms = min(next_ms, state.sent_at_ms[0] + COLD_WINDOW_MS)
    return next_ms


def _cold_room(state: AdmissionState, *, now_ms: float) -> int:
    _forget_old_sends(state, now_ms=now_ms)
    return int(state.cold_per_s) - len(state.sent_at_ms)


def _forget_old_sends(state: AdmissionState, *, now_ms: float) -> None:
    while state.sent_at_ms and state.sent_at_ms[0] <= now_ms - COLD_WINDOW_MS:
        state.sent_at_ms.popleft()


def _rank(ticket: CallTicket, *, now_ms: float) -> tuple[bool, int, float]:
    if now_ms <= ticket.on_time_until_ms:
        return (False, ticket.priority, ticket.on_time_until_ms)
    return (True, ticket.priority, ticket.wait_until_ms)
