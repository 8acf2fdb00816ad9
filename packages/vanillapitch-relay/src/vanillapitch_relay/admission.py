"""Admission control of an owner: which calls it sends to its endpoint, and when."""

import bisect
import dataclasses
import enum

from vanillapitch_core.exceptions import check_invariant

from vanillapitch_relay.cold_rate import ColdRate
from vanillapitch_relay.named_rate import NamedRate

__all__ = [
    "AdmissionState",
    "CallTicket",
    "RefusalReason",
    "admit_late",
    "admit_next",
    "start",
    "finish",
    "estimate_wait_ms",
    "expire",
    "find_overload_reason",
    "next_event_ms",
    "offer",
    "wait_limit_ms",
    "withdraw",
]

# Endpoints take 1.7 times as long when more than 80 % of their slots are busy, so a
# lower limit gives more throughput.
LIMIT_SHARE = 0.8
# Share of its remaining latency objective that a call may wait. After that, another
# endpoint or a refusal serves the caller better.
WAIT_SHARE = 0.5
# A call that can hardly meet its latency objective waits at most this long for a slot
# that becomes free. A longer wait would take capacity from a call that can meet its
# objective.
MIN_WAIT_SHARE = 0.1
MIN_WAIT_MS = 10.0
# Maximum queue length as a multiple of the concurrency limit.
QUEUE_LIMIT_FACTOR = 2
LATENCY_WEIGHT = 0.1
# Latency estimate before the first response.
INITIAL_LATENCY_MS = 50.0


class RefusalReason(enum.StrEnum):
    """Why an owner refuses a call."""

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
    SLOW = "slow"
    RATE_LIMITED = "rate_limited"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallTicket:
    """A call that is to be admitted to the endpoint.

    Attributes
    ----------
    id : int
        Unique at this owner.
    priority : int
        0 is the highest.
    is_late : bool
        Whether its latency objective will probably have passed when it is answered.
        Within one priority, such calls are admitted last.
    due_ms : float
        When its latency objective passes; the earliest is admitted first.
    wait_until_ms : float
        When it is refused if it still waits.
    """

    id: int
    priority: int
    is_late: bool
    due_ms: float
    wait_until_ms: float


@dataclasses.dataclass(slots=True, kw_only=True)
class AdmissionState:
    """State on which the admission of calls depends.

    Attributes
    ----------
    slots : int
        Requests that the endpoint executes concurrently.
    max_connections : int
        Connections that the endpoint accepts.
    blocked : RefusalReason or None
        Why all calls are refused; None if calls are admitted.
    cold : ColdRate
        Rate limit while the endpoint is cold.
    named_rate : NamedRate
        Rate that the endpoint names.
    running : set of int
        Ids of the tickets of calls at the endpoint.
    waiting : list of CallTicket
        In the order in which they are admitted.
    latency_ms : float
        Moving average of the endpoint's execution time.
    failing : bool
        Whether the endpoint fails its requests, so that only one is sent at a time.
    """

    slots: int = 1
    max_connections: int = 1
    blocked: RefusalReason | None = RefusalReason.UNKNOWN_ENDPOINT
    cold: ColdRate = dataclasses.field(default_factory=ColdRate)
    named_rate: NamedRate = dataclasses.field(default_factory=NamedRate)
    running: set[int] = dataclasses.field(default_factory=set)
    waiting: list[CallTicket] = dataclasses.field(default_factory=list)
    latency_ms: float = INITIAL_LATENCY_MS
    failing: bool = False

    @property
    def limit(self) -> int:
        """Maximum number of concurrent calls."""
        if self.failing:
            return 1
        limit = int(min(self.slots * LIMIT_SHARE, self.max_connections - 1))
        return max(1, limit)

    def limit_now(self, *, now_ms: float) -> int:
        """Return the limit, or fewer calls if a rate does not allow as many."""
        free = self.find_free_capacity(now_ms=now_ms)
        return int(min(self.limit, len(self.running) + free))

    def find_free_capacity(self, *, now_ms: float) -> float:
        """Return how many calls the rates allow now; infinite without a rate."""
        return min(
            self.cold.find_free_capacity(now_ms=now_ms),
            self.named_rate.find_free_capacity(now_ms=now_ms),
        )

    def find_rate_wait_ms(self, *, ahead: int, now_ms: float) -> float:
        """Return how long the rates delay a call at least, behind `ahead` others."""
        return max(
            self.cold.find_wait_ms(ahead=ahead, now_ms=now_ms),
            self.named_rate.find_wait_ms(ahead=ahead, now_ms=now_ms),
        )


def wait_limit_ms(
    *, objective_ms: float, remaining_ms: float, typical_ms: float
) -> float:
    """Return how long a call may wait for the endpoint.

    Parameters
    ----------
    objective_ms : float
        Remaining time of its latency objective; may be negative.
    remaining_ms : float
        Time until its deadline.
    typical_ms : float
        Typical execution time of calls of its route.

    Returns
    -------
    float
        Milliseconds.
    """
    useful_ms = min(WAIT_SHARE * objective_ms, objective_ms - typical_ms)
    least_ms = max(MIN_WAIT_SHARE * objective_ms, MIN_WAIT_MS)
    return max(0.0, min(max(useful_ms, least_ms), remaining_ms))


def estimate_wait_ms(
    state: AdmissionState, ticket: CallTicket, *, now_ms: float
) -> float:
    """Estimate how long a call would wait if it were queued now."""
    ahead = bisect.bisect_right(state.waiting, _rank(ticket), key=_rank)
    free = state.limit - len(state.running)
    wait_ms = max(0, ahead - free + 1) * state.latency_ms / state.limit
    return max(wait_ms, state.find_rate_wait_ms(ahead=ahead, now_ms=now_ms))


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
    wait_ms = estimate_wait_ms(state, ticket, now_ms=now_ms)
    if now_ms + wait_ms > ticket.wait_until_ms:
        return find_overload_reason(state, now_ms=now_ms)
    if len(state.waiting) >= QUEUE_LIMIT_FACTOR * state.limit:
        return RefusalReason.OVERLOADED
    bisect.insort(state.waiting, ticket, key=_rank)
    return None


def find_overload_reason(state: AdmissionState, *, now_ms: float) -> RefusalReason:
    """Return why a call cannot be sent in time although no state forbids it."""
    if state.named_rate.find_wait_ms(ahead=0, now_ms=now_ms) > 0.0:
        return RefusalReason.RATE_LIMITED
    if state.cold.is_cold(now_ms=now_ms):
        return RefusalReason.COLD
    return RefusalReason.OVERLOADED


def admit_next(state: AdmissionState, *, now_ms: float) -> CallTicket | None:
    """Remove the next call that may be sent now from the queue.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    CallTicket or None
        The call; it counts as running until `finish`.
    """
    if not state.waiting or state.blocked is not None:
        return None
    if len(state.running) >= state.limit:
        return None
    if not state.find_free_capacity(now_ms=now_ms):
        return None
    ticket = state.waiting.pop(0)
    start(state, ticket, now_ms=now_ms)
    return ticket


def admit_late(state: AdmissionState, ticket: CallTicket, *, now_ms: float) -> bool:
    """Admit an expired call to an endpoint that is slow but executes nothing.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    ticket : CallTicket
        A call that `expire` returned.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    bool
        Whether it was admitted; it counts as running until `finish`.
    """
    if state.blocked is not None or state.running:
        return False
    if not state.find_free_capacity(now_ms=now_ms):
        return False
    start(state, ticket, now_ms=now_ms)
    return True


def start(state: AdmissionState, ticket: CallTicket, *, now_ms: float) -> None:
    """Count a call as sent and running."""
    check_invariant(ticket.id not in state.running, "a call must be sent only once")
    state.running.add(ticket.id)
    state.cold.record_send(now_ms=now_ms)
    state.named_rate.record_send(now_ms=now_ms)
    check_invariant(
        len(state.running) <= state.slots, "running calls must not exceed the slots"
    )


def finish(
    state: AdmissionState, ticket: CallTicket, *, latency_ms: float | None
) -> None:
    """Remove a call from the running ones and update the latency estimate.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    ticket : CallTicket
        The call.
    latency_ms : float or None
        Execution time; None leaves the estimate unchanged.
    """
    state.running.discard(ticket.id)
    if latency_ms is not None:
        state.latency_ms += LATENCY_WEIGHT * (latency_ms - state.latency_ms)


def withdraw(state: AdmissionState, ticket: CallTicket) -> bool:
    """Remove a waiting call; return whether it was waiting."""
    if ticket in state.waiting:
        state.waiting.remove(ticket)
        return True
    return False


def expire(state: AdmissionState, *, now_ms: float) -> list[CallTicket]:
    """Remove and return the calls that waited too long or cannot be sent in time."""
    kept: list[CallTicket] = []
    expired = []
    for ticket in state.waiting:
        wait_ms = state.find_rate_wait_ms(ahead=len(kept), now_ms=now_ms)
        if state.blocked is not None or now_ms + wait_ms >= ticket.wait_until_ms:
            expired.append(ticket)
        else:
            kept.append(ticket)
    state.waiting[:] = kept
    return expired


def next_event_ms(state: AdmissionState, *, now_ms: float) -> float | None:
    """Return when a waiting call expires or the rates allow one, or None."""
    if not state.waiting:
        return None
    next_ms = min(ticket.wait_until_ms for ticket in state.waiting)
    rate_wait_ms = state.find_rate_wait_ms(ahead=0, now_ms=now_ms)
    if rate_wait_ms > 0.0:
        next_ms = min(next_ms, now_ms + rate_wait_ms)
    return next_ms


def _rank(ticket: CallTicket) -> tuple[int, bool, float]:
    return (ticket.priority, ticket.is_late, ticket.due_ms)
