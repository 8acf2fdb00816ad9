"""Monitor that admits requests to the backend server."""

import dataclasses
import threading

from vanillapitch_core import Clock, Refusal, admission
from vanillapitch_core.admission import AnswerKind, Decision, TicketDecision
from vanillapitch_wire.dispatch import LoadReport

from vanillapitch_daemon.monitor import Monitor
from vanillapitch_daemon.snapshot import LoadSnapshot, TablesSnapshot

__all__ = [
    "Admission",
    "Admit",
    "ExpireWaiters",
    "CheckTables",
    "PendingAdmission",
    "Release",
    "SetBackendDown",
    "SetState",
    "ask_admission",
]


class PendingAdmission:
    """Decision about one request, made at once or after a short wait in the queue."""

    __slots__ = ("_decided", "refusal")

    def __init__(self):
        self._decided = threading.Event()
        self.refusal: Refusal | None = None

    def decide(self, refusal: Refusal | None) -> None:
        """Record the decision; None admits the request."""
        self.refusal = refusal
        self._decided.set()

    def wait(self, timeout_ms: float) -> bool:
        """Wait for the decision and return whether it was made in time."""
        return self._decided.wait(timeout_ms / 1000)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admit:
    """Request admission; the decision is recorded in `pending`.

    Attributes
    ----------
    pending : PendingAdmission
        Identifies the request and receives the decision.
    priority : int
        0 to 9; the lowest is refused first.
    remaining_ms : float
        Time until the request's deadline, in milliseconds.
    serve_when_zone_out : bool
        Whether to admit the request although the zone is out of service.
    """

    pending: PendingAdmission
    priority: int
    remaining_ms: float
    serve_when_zone_out: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExpireWaiters:
    """Queued requests may have waited for the maximum wait."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckTables:
    """Makes the admission check the tables while no requests arrive."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """An admitted request ended.

    Attributes
    ----------
    pending : PendingAdmission
        The request.
    kind : AnswerKind
        How it ended.
    latency_ms : float
        Time that the request took at the backend server, in milliseconds.
    backend_down : bool
        Whether the backend server refused a connection.
    """

    pending: PendingAdmission
    kind: AnswerKind
    latency_ms: float
    backend_down: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetBackendDown:
    """The backend server refuses connections, or accepts them again."""

    down: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetState:
    """The endpoint's state changed.

    Attributes
    ----------
    state : str
        ``ready`` or ``leaving``.
    """

    state: str


class Admission(Monitor):
    """Limits the number of requests in flight at the backend server.

    Parameters
    ----------
    slots : int
        Requests that the backend server executes at the same time.
    connections : int
        Number of connections that the backend server accepts.
    zone : str
        Zone of this endpoint.
    load : LoadSnapshot
        Snapshot to which the load is written after each message.
    snapshot : TablesSnapshot
        Current tables.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        slots: int,
        connections: int,
        zone: str,
        load: LoadSnapshot,
        snapshot: TablesSnapshot,
        clock: Clock,
    ):
        super().__init__()
        self._zone = zone
        self._load = load
        self._snapshot = snapshot
        self._clock = clock
        self._state = admission.AdmissionState(slots=slots, connections=connections)
        # It is unknown whether the backend server is warm, so it is treated as cold.
        admission.start_warmup(self._state, now_ms=clock.now_ms())
        self._publish(clock.now_ms())

    def on_receive(self, message: object) -> None:
        """Handle one message."""
        now_ms = self._clock.now_ms()
        self._update_zone_in_service(now_ms)
        match message:
            case Admit():
                self._admit(message, now_ms)
            case Release():
                self._release(message, now_ms)
            case ExpireWaiters():
                decisions = admission.expire_waiters(self._state, now_ms=now_ms)
                _deliver(decisions)
            case SetBackendDown():
                self._set_backend_down(message.down, now_ms)
            case SetState():
                self._set_state(message.state, now_ms)
        self._publish(now_ms)

    def _admit(self, message: Admit, now_ms: float) -> None:
        request = admission.AdmissionRequest(
            ticket=message.pending,
            priority=message.priority,
            remaining_ms=message.remaining_ms,
            serve_when_zone_out=message.serve_when_zone_out,
        )
        _deliver(admission.admit(self._state, request, now_ms=now_ms))

    def _release(self, message: Release, now_ms: float) -> None:
        if message.backend_down:
            # Before the release, which would otherwise admit a queued request to a
            # backend server that is down.
            self._set_backend_down(True, now_ms)
        decisions = admission.release(
            self._state,
            ticket=message.pending,
            kind=message.kind,
            latency_ms=message.latency_ms,
            now_ms=now_ms,
        )
        _deliver(decisions)

    def _set_backend_down(self, down: bool, now_ms: float) -> None:
        decisions = admission.set_backend_down(self._state, down=down, now_ms=now_ms)
        _deliver(decisions)

    def _set_state(self, state: str, now_ms: float) -> None:
        if state == "leaving":
            _deliver(admission.start_leaving(self._state, now_ms=now_ms))
        else:
            admission.end_leaving(self._state, now_ms=now_ms)

    def _update_zone_in_service(self, now_ms: float) -> None:
        in_service = self._zone not in self._snapshot.current.zones_out
        if in_service != self._state.zone_in_service:
            decisions = admission.set_zone_in_service(
                self._state, in_service=in_service, now_ms=now_ms
            )
            _deliver(decisions)

    def _publish(self, now_ms: float) -> None:
        state = self._state
        self._load.current = LoadReport(
            in_flight=admission.count_in_flight(state, now_ms=now_ms),
            limit=admission.current_limit(state),
            state=admission.report_state(state),
            latency_ms=state.limit.latency_ms,
            revision=self._snapshot.current.tables.revision,
        )


def ask_admission(
    monitor: Monitor,
    *,
    priority: int,
    remaining_ms: float,
    serve_when_zone_out: bool = False,
) -> PendingAdmission:
    """Request admission and wait for the decision.

    Parameters
    ----------
    monitor : Monitor
        The admission.
    priority : int
        0 to 9; the lowest is refused first.
    remaining_ms : float
        Time until the request's deadline, in milliseconds.
    serve_when_zone_out : bool
        Whether to admit the request although the zone is out of service.

    Returns
    -------
    PendingAdmission
        The decision. Without a refusal the request is admitted, and its end must be
        reported with a `Release`.
    """
    pending = PendingAdmission()
    monitor.tell(
        Admit(
            pending=pending,
            priority=priority,
            remaining_ms=remaining_ms,
            serve_when_zone_out=serve_when_zone_out,
        )
    )
    while not pending.wait(admission.DEFAULT_MAX_WAIT_MS):
        monitor.tell(ExpireWaiters())
    return pending


def _deliver(decisions: list[TicketDecision]) -> None:
    for decision in decisions:
        if decision.decision is not Decision.QUEUED:
            decision.ticket.decide(decision.refusal)
