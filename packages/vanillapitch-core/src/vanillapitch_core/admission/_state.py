"""State of admission, its events and its decisions."""

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


# How long an abandoned request still occupies a slot is unknown. It is taken to run as
# long again as it has run, within these bounds.
MIN_ABANDONED_MS = 50.0
MAX_ABANDONED_MS = 1_000.0
# At twice capacity, an immediate refusal gave 94% of capacity in a trial with 12 slots,
# because slots were idle until the next arrival; this wait gave 99% or more and added
# 3 ms to p99.
DEFAULT_WAITING_SHARE = 0.5
DEFAULT_MAX_WAIT_MS = 5.0


class AnswerKind(enum.Enum):
    """How an admitted request ended, as far as admission learns from it."""

    ANSWERED = "answered"
    SHED = "shed"
    # A server error; together with a latency jump it is a sign of a cold start.
    FAILED = "failed"
    # Given up by the daemon; the backend server may still be working on it.
    ABANDONED = "abandoned"
    # The connection broke or was refused, so nothing runs and nothing is learned.
    BROKEN = "broken"


class Decision(enum.Enum):
    """What becomes of a request at the owner."""

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
        0 to 9; 9 is refused last.
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
        What becomes of it.
    refusal : Refusal or None
        Why it is refused.
    """

    ticket: Hashable
    decision: Decision
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waiter:
    """A request in the wait.

    Attributes
    ----------
    request : AdmissionRequest
        The request.
    sequence : int
        Order of arrival.
    until_ms : float
        When it is refused.
    """

    request: AdmissionRequest
    sequence: int
    until_ms: float


@dataclasses.dataclass(slots=True, kw_only=True)
class AdmissionState:
    """Everything that admission knows.

    Attributes
    ----------
    slots : int
        Requests that the backend server runs at once.
    connections : int
        Connections that the backend server accepts.
    max_waiting : int or None
        Requests that may wait; 0 refuses at once. None is half of the slots.
    max_wait_ms : float
        Longest wait.
    in_flight_tickets : set of hashable
        Requests that run.
    abandoned_until_ms : list of float
        Time until which each abandoned request counts as running.
    waiters : list of Waiter
        Requests that wait, highest priority first, then in order of arrival.
    zone_in_service : bool
        Whether the zone is in service.
    leaving : bool
        Whether the endpoint is leaving.
    backend_down : bool
        Whether the backend server refuses connections.
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
        """Bound that no decision exceeds."""
        return self.limit.ceiling


def current_limit(state: AdmissionState) -> int:
    """Return how many requests may run at once.

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
        The state as the inner protocol names it.
    """
    if state.leaving:
        return "leaving"
    if state.backend_down:
        return "down"
    return "cold" if state.ramp.cold else "ready"


def count_in_flight(state: AdmissionState, *, now_ms: float) -> int:
    """Count the requests that may be running at the backend server.

    Parameters
    ----------
    state : AdmissionState
        State of admission.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    int
        Requests in flight and requests that were abandoned a short time ago.
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
