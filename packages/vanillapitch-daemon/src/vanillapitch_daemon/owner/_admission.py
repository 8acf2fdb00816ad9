"""Actor that admits requests to the backend server."""

import dataclasses

import pykka
from vanillapitch_core import Outcome, Refusal, RefusalCode
from vanillapitch_wire.dispatch import LoadReport

from vanillapitch_daemon.snapshot import LoadSnapshot, TablesSnapshot

__all__ = ["Admission", "Admit", "Admitted", "Release", "SetState"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admit:
    """Ask to run a request.

    Attributes
    ----------
    priority : int
        0 to 9; the lowest is refused first.
    remaining_ms : float
        Time until the request's deadline, in milliseconds.
    serve_in_zone_out : bool
        Whether the pool serves although its zones are out of service.
    """

    priority: int
    remaining_ms: float
    serve_in_zone_out: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """The request may run; every one is answered with a `Release`."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """An admitted request ended.

    Attributes
    ----------
    latency_ms : float
        Duration at the backend server in milliseconds.
    shed : bool
        Whether the backend server shed the request.
    failed : bool
        Whether no complete response arrived.
    """

    latency_ms: float
    shed: bool
    failed: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetState:
    """The endpoint's state changed.

    Attributes
    ----------
    state : str
        ``ready``, ``leaving`` or ``down``.
    """

    state: str


class Admission(pykka.ThreadingActor):
    """Owns the number of requests in flight at the backend server.

    Parameters
    ----------
    slots : int
        Upper bound of requests in flight.
    load : LoadSnapshot
        Where the load is published after each change.
    snapshot : TablesSnapshot
        Tables in force.
    """

    use_daemon_thread = True

    def __init__(self, *, slots: int, load: LoadSnapshot, snapshot: TablesSnapshot):
        super().__init__()
        self._load = load
        self._snapshot = snapshot
        self._slots = slots
        self._in_flight = 0
        self._latency_ms = 0.0
        self._state = "ready"
        self._publish()

    def on_receive(self, message: object) -> object:
        """Handle one message."""
        answer = None
        match message:
            case Admit():
                answer = self._admit()
            case Release():
                self._release(message)
            case SetState():
                self._state = message.state
        self._publish()
        return answer

    def _release(self, message: Release) -> None:
        self._in_flight -= 1
        assert self._in_flight >= 0
        self._latency_ms += 0.1 * (message.latency_ms - self._latency_ms)

    def _admit(self) -> Admitted | Refusal:
        if self._state == "leaving":
            return Refusal(
                code=RefusalCode.LEAVING,
                outcome=Outcome.NOT_RUN,
                detail="The backend server is leaving.",
            )
        if self._in_flight >= self._slots:
            return Refusal(
                code=RefusalCode.OVERLOADED,
                outcome=Outcome.NOT_RUN,
                detail="The backend server is at its limit.",
            )
        self._in_flight += 1
        return Admitted()

    def _publish(self) -> None:
        self._load.current = LoadReport(
            in_flight=self._in_flight,
            limit=self._slots,
            state=self._state,
            latency_ms=self._latency_ms,
            revision=self._snapshot.current.tables.revision,
        )
