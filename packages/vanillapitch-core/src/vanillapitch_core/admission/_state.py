"""Admission state, requests and decisions."""

import dataclasses
import enum
from collections.abc import Hashable

from vanillapitch_core.admission._limit import LatencyFloor, LimitState
from vanillapitch_core.exceptions import check_invariant
from vanillapitch_core.outcome import Refusal
from vanillapitch_core.warmup import WarmupState, cap

__all__ = [
    "DEFAULT_MAX_WAIT_MS",
    "AdmissionRequest",
    "AdmissionState",
    "AnswerKind",
    "Decision",
    "TicketDecision",
    "Waiter",
    "check_bounds",
    "count_in_flight",
    "current_limit",
    "report_state",
]


# How long an abandoned request still occupies a slot is unknown. It is assumed to run
# for as long again as it has already run, within these bounds.
MIN_ABANDONED_MS = 50.0
MAX_ABANDONED_MS = 1_000.0
# At an offered load of twice the capacity of 12 slots, immediate refusal yields 94% of
# the capacity, because slots are idle until the next arrival; this queue yields 99% or
# more and adds 3 ms to p99.
DEFAULT_WAITING_SHARE = 0.5
DEFAULT_MAX_WAIT_MS = 5.0


class AnswerKind(enum.Enum):
    """How an admitted request ended, as far as it matters for admission."""

    ANSWERED = "answered"
    SHED = "shed"
    # A server error; together with a latency jump it indicates a cold start.
    FAILED = "failed"
    # Abandoned by the daemon; the backend server may still be processing it.
    ABANDONED = "abandoned"
    # The connection broke or was refused: the request is no longer running, and its
    # latency is no evidence of the load.
    BROKEN = "broken"


class Decision(enum.Enum):
    """How the owner handles a request."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """A request that asks for admission.

    Attributes
    ----------
    ticket : hashable
        Unique id of the request at this owner.
    priority : int
        From 0 to 9; requests of priority 9 are refused last.
    remaining_ms : float
        Milliseconds until its deadline.
    serve_when_zone_out : bool
        Whether the ingress knows that the zone is out of service and the pool has no
        endpoint elsewhere.
    """

    ticket: Hashable
    priority: int
    remaining_ms: float
    serve_when_zone_out: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TicketDecision:
    """The decision about one request.

    Attributes
    ----------
    ticket : hashable
        The request.
    decision : Decision
        Whether it is admitted, queued or refused.
    refusal : Refusal or None
        Reason if it is refused.
    """

    ticket: Hashable
    decision: Decision
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waiter:
    """A queued request.

    Attributes
    ----------
    request : AdmissionRequest
        The request.
    sequence : int
        Order of arrival.
    until_ms : float
        Time at which it is refused unless it was admitted before.
    """

    request: AdmissionRequest
    sequence: int
    until_ms: float


@dataclasses.dataclass(slots=True, kw_only=True)
class AdmissionState:
    """State of admission for one endpoint.

    Attributes
    ----------
    slots : int
        Requests that the backend server processes concurrently.
    connections : int
        Connections that the backend server accepts.
    max_waiting : int or None
        Size of the queue; with 0, requests are refused immediately. None means half
        of the ceiling.
    max_wait_ms : float
        Longest time in the queue.
    in_flight_tickets : set of hashable
        Requests in flight.
    abandoned_until_ms : list of float
        Time until which each abandoned request counts as running.
    waiters : list of Waiter
        Queued requests, highest priority first, then in order of arrival.
    zone_in_service : bool
        Whether the zone is in service.
    leaving : bool
        Whether the endpoint is leaving.
    backend_down : bool
        Whether the backend server refuses connections.
    next_sequence : int
        Sequence number of the next queued request.
    limit : LimitState
        Adaptive concurrency limit.
    ramp : WarmupState
        Cap on concurrent requests while the backend server warms up.
    floor : LatencyFloor
        Shortest recent latency.
    """

    slots: int
    connections: int
    max_waiting: int | None = None
    max_wait_ms: float = DEFAULT_MAX_WAIT_MS
    in_flight_tickets: set[Hashable] = dataclasses.field(default_factory=set)
    abandoned_until_ms: list[float] = dataclasses.field(default_factory=list)
    waiters: list[Waiter] = dataclasses.field(default_factory=list)
    zone_in_service: bool = True
    leaving: bool = False
    backend_down: bool = False
    next_sequence: int = 0
    limit: LimitState = dataclasses.field(init=False)
    ramp: WarmupState = dataclasses.field(init=False)
    floor: LatencyFloor = dataclasses.field(default_factory=LatencyFloor)

    def __post_init__(self):
        ceiling = max(1, min(self.slots, self.connections))
        self.limit = LimitState(ceiling=ceiling, limit=float(ceiling))
        self.ramp = WarmupState(ceiling=ceiling)
        if self.max_waiting is None:
            self.max_waiting = int(ceiling * DEFAULT_WAITING_SHARE)

    @property
    def ceiling(self) -> int:
        """Upper bound of the requests in flight."""
        return self.limit.ceiling


def current_limit(state: AdmissionState) -> int:
    """Return how many requests may be in flight at once.

    Parameters
    ----------
    state : AdmissionState
        State of admission.

    Returns
    -------
    int
        From 1 to the smaller of slots and connections.
    """
    limit = min(int(state.limit.limit), cap(state.ramp))
    check_invariant(1 <= limit <= state.ceiling, "the limit is from 1 to the ceiling")
    return limit


def report_state(state: AdmissionState) -> str:
    """Return the state for load reports: cold, ready, leaving or down.

    Parameters
    ----------
    state : AdmissionState
        State of admission.

    Returns
    -------
    str
        The state as named in the protocol between daemons.
    """
    if state.leaving:
        return "leaving"
    if state.backend_down:
        return "down"
    return "cold" if state.ramp.cold else "ready"


def count_in_flight(state: AdmissionState, *, now_ms: float) -> int:
    """Count the requests that may occupy a slot of the backend server.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    int
        Requests in flight and recently abandoned requests.
    """
    if state.abandoned_until_ms:
        state.abandoned_until_ms = [
            until_ms for until_ms in state.abandoned_until_ms if until_ms > now_ms
        ]
    return len(state.in_flight_tickets) + len(state.abandoned_until_ms)


def check_bounds(state: AdmissionState) -> None:
    """Check the invariants that hold after every event.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    """
    in_flight = len(state.in_flight_tickets) + len(state.abandoned_until_ms)
    check_invariant(
        in_flight <= state.ceiling,
        f"at most {state.ceiling} requests are in flight",
    )
    check_invariant(
        len(state.waiters) <= state.max_waiting,
        f"at most {state.max_waiting} requests wait",
    )
