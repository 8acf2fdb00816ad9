"""Thread that probes this daemon's backend server."""

import threading
from collections.abc import Callable

from vanillapitch_core import Clock, probes
from vanillapitch_core.admission import AnswerKind

from vanillapitch_daemon.monitor import Monitor
from vanillapitch_daemon.owner._admission import (
    CheckTables,
    Release,
    SetBackendDown,
    ask_admission,
)
from vanillapitch_daemon.owner._backend import BackendClient
from vanillapitch_daemon.snapshot import LoadSnapshot

__all__ = ["Prober"]

CHECK_INTERVAL_MS = 100.0
# A connection uses 1 ms of a slot, so this interval uses less than 1% of one slot.
RECONNECT_INTERVAL_MS = 250.0
PROBE_PRIORITY = 0


class Prober:
    """Checks whether the backend server is up while there are no requests.

    A probe is admitted like a request, so that it never exceeds the limit.

    Parameters
    ----------
    admission : Monitor
        The admission.
    backend : BackendClient
        Connections to the backend server.
    load : LoadSnapshot
        Load written by the admission.
    budget : probes.ProbeBudget
        Share of the slot time that probes may use.
    health_path : str
        Path of the health endpoint.
    last_result_at_ms : callable
        Returns the monotonic time in milliseconds at which the last request ended, or
        None.
    on_probe : callable
        Takes whether the probe succeeded, and its duration in milliseconds.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        admission: Monitor,
        backend: BackendClient,
        load: LoadSnapshot,
        budget: probes.ProbeBudget,
        health_path: str,
        last_result_at_ms: Callable[[], float | None],
        on_probe: Callable[[bool, float], None],
        clock: Clock,
    ):
        self._admission = admission
        self._backend = backend
        self._load = load
        self._budget = budget
        self._health_path = health_path
        self._last_result_at_ms = last_result_at_ms
        self._on_probe = on_probe
        self._clock = clock
        self._reconnect_at_ms = 0.0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="prober", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and wait until no probe is running."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_MS / 1000):
            # An endpoint in a zone out of service gets no requests, so without this
            # message it would not notice that the zone leaves or returns to service.
            self._admission.tell(CheckTables())
            if self._load.current.state == "down":
                self._reconnect()
            else:
                self._probe()

    def _reconnect(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < self._reconnect_at_ms:
            return
        self._reconnect_at_ms = now_ms + RECONNECT_INTERVAL_MS
        if self._backend.accepts_connections():
            self._admission.tell(SetBackendDown(down=False))

    def _probe(self) -> None:
        now_ms = self._clock.now_ms()
        due = probes.start_probe(
            self._budget, last_result_at_ms=self._last_result_at_ms(), now_ms=now_ms
        )
        if not due:
            return
        pending = ask_admission(
            self._admission,
            priority=PROBE_PRIORITY,
            remaining_ms=self._budget.timeout_ms,
        )
        if pending.refusal is not None:
            self._finish_probe(0.0)
            return
        started_at_ms = self._clock.now_ms()
        healthy = self._backend.probe(
            self._health_path, timeout_ms=self._budget.timeout_ms
        )
        duration_ms = self._clock.now_ms() - started_at_ms
        timed_out = duration_ms >= self._budget.timeout_ms
        self._admission.tell(
            Release(
                pending=pending,
                kind=AnswerKind.ABANDONED if timed_out else AnswerKind.BROKEN,
                latency_ms=duration_ms,
            )
        )
        self._finish_probe(duration_ms)
        self._on_probe(healthy, duration_ms)

    def _finish_probe(self, duration_ms: float) -> None:
        now_ms = self._clock.now_ms()
        probes.finish_probe(self._budget, duration_ms=duration_ms, now_ms=now_ms)
