"""Slots, cold start, faults and responses of the simulated backend server."""

import asyncio
import collections
import hashlib
import json
import os
import random

import msgspec
from vanillapitch_core import SystemClock

from vanillapitch_testbed._http import HttpConnection, HttpRequest, split_target
from vanillapitch_testbed.backend._journal import Journal, JournalEntry
from vanillapitch_testbed.backend._options import BackendOptions, Scenario

__all__ = ["CRASH_EXIT_CODE", "BackendServer", "Counters"]

CRASH_EXIT_CODE = 70
HEALTH_PATH = "/health"
LOAD_PATH = "/load"
_EMPTY_DIGEST = hashlib.sha256(b"").hexdigest()
_MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class Counters(msgspec.Struct, kw_only=True):
    """Request and connection counts since the start of the process."""

    received: int = 0
    begun: int = 0
    overload: int = 0
    max_in_flight: int = 0
    cold_failures: int = 0
    shed: int = 0
    expired_before_begin: int = 0
    cancelled_before_begin: int = 0
    disconnected: int = 0
    probes: int = 0
    connections: int = 0
    connections_refused: int = 0


class _Work:
    __slots__ = ("connection", "deadline_ms", "entry", "fields", "probe", "request")

    def __init__(self, connection: HttpConnection, request: HttpRequest):
        self.connection = connection
        self.request = request
        self.entry: JournalEntry | None = None
        self.deadline_ms = 0.0
        self.probe = False
        self.fields: dict[str, str] = {}


class BackendServer:
    """State of one backend server; runs on one event loop.

    Parameters
    ----------
    options : BackendOptions
        Fixed properties.
    journal : Journal
        Journal for the start and the end of each execution.
    """

    def __init__(self, *, options: BackendOptions, journal: Journal):
        self.options = options
        self.scenario = Scenario()
        self.counters = Counters()
        self.journal = journal
        self._clock = SystemClock()
        self._loop = asyncio.get_running_loop()
        self._random = random.Random(options.seed)
        self._running: set[_Work] = set()
        self._waiting: collections.deque[_Work] = collections.deque()
        self._stalled: list[_Work] = []
        self._serial = 0
        self._open_connections = 0
        self._health_history: collections.deque = collections.deque(maxlen=1_000)
        self._cold_since_ms = self._clock.now_ms()
        self._requests_since_cold = 0
        self._warm = options.warm_requests == 0

    @property
    def in_flight(self) -> int:
        """Number of requests that are running or waiting for a slot."""
        return len(self._running) + len(self._waiting)

    @property
    def warmth(self) -> float:
        """Progress of the warm-up, from 0 (cold) to 1 (warm)."""
        if self._warm:
            return 1.0
        elapsed_ms = self._clock.now_ms() - self._cold_since_ms
        warmth = elapsed_ms / self.options.warm_ms
        warmth += self._requests_since_cold / self.options.warm_requests
        self._warm = warmth >= 1.0
        return min(1.0, warmth)

    def turn_cold(self) -> None:
        """Restart the warm-up from cold."""
        self._warm = False
        self._requests_since_cold = 0
        self._cold_since_ms = self._clock.now_ms()

    def set_scenario(self, scenario: Scenario) -> None:
        """Replace the scenario; finish stalled requests when the stall has ended."""
        self.scenario = scenario
        if not scenario.stall:
            stalled, self._stalled = self._stalled, []
            for work in stalled:
                self._finish(work)

    def accept(self, connection: HttpConnection) -> HttpConnection:
        """Count a new connection, and reset it beyond the connection limit."""
        self.counters.connections += 1
        self._open_connections += 1
        connection.on_lost = self._connection_lost
        if self._open_connections > self.options.connections:
            self.counters.connections_refused += 1
            self._loop.call_soon(connection.abort)
        return connection

    def _connection_lost(self) -> None:
        self._open_connections -= 1

    def handle(self, connection: HttpConnection, request: HttpRequest) -> None:
        """Handle one request of a caller or one probe."""
        work = _Work(connection, request)
        path, work.fields = split_target(request.target)
        if path in (HEALTH_PATH, LOAD_PATH):
            work.probe = True
            self.counters.probes += 1
            self._admit(work)
            return
        self.counters.received += 1
        scenario = self.scenario
        if scenario.drain or scenario.shed:
            self._shed(work, close=scenario.drain)
        elif scenario.fail_status:
            self._fail(work, status=scenario.fail_status)
        elif self.in_flight >= self._concurrency_limit():
            self.counters.cold_failures += 1
            self._fail(work, status=500)
        else:
            self._admit(work)

    def _concurrency_limit(self) -> float:
        warmth = self.warmth
        if warmth >= 1.0:
            return float("inf")
        cold_limit = self.options.cold_limit
        return cold_limit + int((self.options.slots - cold_limit) * warmth)

    def _admit(self, work: _Work) -> None:
        timeout_ms = _parse_int(work.request.headers.get("request-timeout-ms"))
        if timeout_ms:
            work.deadline_ms = self._clock.now_ms() + timeout_ms
        work.connection.on_close = lambda: self._on_close(work)
        in_flight = self.in_flight + 1
        if in_flight > self.counters.max_in_flight:
            self.counters.max_in_flight = in_flight
        if len(self._running) < self.options.slots:
            self._start(work)
        else:
            self.counters.overload += 1
            self._waiting.append(work)

    def _on_close(self, work: _Work) -> None:
        if work in self._waiting:
            self._waiting.remove(work)
            self.counters.cancelled_before_begin += 1
        elif work.entry is not None:
            work.entry.disconnected = True
            self.counters.disconnected += 1

    def _start(self, work: _Work) -> None:
        self._running.add(work)
        if not work.probe:
            self._record_start(work)
            self._crash_if_triggered(work.request)
            if self.scenario.stall:
                self._stalled.append(work)
                return
        delay_ms = self._service_time_ms(work)
        if delay_ms > 0:
            self._loop.call_later(delay_ms / 1_000, self._finish, work)
        else:
            self._finish(work)

    def _record_start(self, work: _Work) -> None:
        self._serial += 1
        self.counters.begun += 1
        request = work.request
        headers = request.headers
        digest = _EMPTY_DIGEST
        if request.body:
            digest = hashlib.sha256(request.body).hexdigest()
        work.entry = JournalEntry(
            server=self.options.name,
            process_id=os.getpid(),
            serial=self._serial,
            began_ms=self._clock.wall_ms(),
            method=request.method,
            target=request.target,
            key=headers.get("idempotency-key", ""),
            nonce=headers.get("nonce", ""),
            body_digest=digest,
            request_id=headers.get("request-id", headers.get("x-request-id", "")),
            attempt=headers.get("request-attempt", ""),
            remaining_ms=_parse_int(headers.get("request-timeout-ms")),
        )
        self.journal.add(work.entry)

    def _crash_if_triggered(self, request: HttpRequest) -> None:
        text = self.scenario.crash_on
        if text and (text in request.target or text.encode() in request.body):
            os._exit(CRASH_EXIT_CODE)

    def _service_time_ms(self, work: _Work) -> float:
        options = self.options
        if work.probe:
            return options.probe_cost_ms
        if "work_ms" in work.fields:
            base_ms = float(work.fields["work_ms"])
        elif options.service_shape == "exponential" and options.service_ms:
            base_ms = self._random.expovariate(1 / options.service_ms)
        elif options.service_shape == "lognormal":
            base_ms = options.service_ms * self._random.lognormvariate(-0.125, 0.5)
        else:
            base_ms = options.service_ms
        factor = self.scenario.straggler_factor * self._load_shift_factor()
        factor *= 1 + (options.cold_factor - 1) * (1 - self.warmth)
        first = work.connection.requests == 1
        return base_ms * factor + (options.connection_cost_ms if first else 0.0)

    def _load_shift_factor(self) -> float:
        period_ms = self.scenario.load_shift_period_ms
        if not period_ms or int(self._clock.now_ms() / period_ms) % 2 == 0:
            return 1.0
        return self.scenario.load_shift_factor

    def _finish(self, work: _Work) -> None:
        if self.scenario.stall and not work.probe:
            self._stalled.append(work)
            return
        self._running.discard(work)
        self._requests_since_cold += 1
        if work.probe:
            self._respond_to_probe(work)
        elif self.scenario.late_ms:
            delay_s = self.scenario.late_ms / 1_000
            self._loop.call_later(delay_s, self._respond, work)
        else:
            self._respond(work)
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self.options.slots:
            work = self._waiting.popleft()
            if work.deadline_ms and work.deadline_ms < self._clock.now_ms():
                self.counters.expired_before_begin += 1
                self._shed(work, close=False)
            else:
                self._start(work)

    def _respond(self, work: _Work) -> None:
        status = _parse_int(work.fields.get("status")) or 200
        self._record_end(work, status)
        entry = work.entry
        document = {
            "server": self.options.name,
            "nonce": entry.nonce,
            "digest": entry.body_digest,
            "target": entry.target,
            "serial": entry.serial,
        }
        size = min(_parse_int(work.fields.get("bytes")), _MAX_RESPONSE_BYTES)
        if size:
            document["padding"] = "x" * size
        body = json.dumps(document).encode()
        headers = {"Content-Type": "application/json", "Nonce": entry.nonce}
        if self.scenario.cut_answers:
            work.connection.send_truncated(headers=headers, body=body)
            return
        work.connection.respond(status=status, headers=headers, body=body)

    def _record_end(self, work: _Work, status: int) -> None:
        work.entry.status = status
        work.entry.ended_ms = self._clock.wall_ms()
        self.journal.write(work.entry)

    def _fail(self, work: _Work, *, status: int) -> None:
        self._record_start(work)
        self._crash_if_triggered(work.request)
        self._record_end(work, status)
        headers = {"Nonce": work.entry.nonce}
        work.connection.respond(status=status, headers=headers, body=b"failed")

    def _shed(self, work: _Work, *, close: bool) -> None:
        self.counters.shed += 1
        headers = {"Load-Shed": "1"}
        work.connection.respond(status=503, headers=headers, close=close)

    def _respond_to_probe(self, work: _Work) -> None:
        path, _ = split_target(work.request.target)
        state = self._reported_state()
        status = 200
        if path == HEALTH_PATH and state["state"] != "ready":
            status = 503
        work.connection.respond(
            status=status,
            headers={"Content-Type": "application/json"},
            body=json.dumps(state).encode(),
        )

    def _reported_state(self) -> dict[str, object]:
        now_ms = self._clock.now_ms()
        current = {
            "state": "draining" if self.scenario.drain else "ready",
            "in_flight": self.in_flight,
            "slots": self.options.slots,
        }
        self._health_history.append((now_ms, current))
        mode = self.scenario.health
        if mode == "good":
            return {"state": "ready", "in_flight": 0, "slots": self.options.slots}
        if mode == "bad":
            return {"state": "failing", "in_flight": self.options.slots}
        if mode == "lag":
            limit_ms = now_ms - self.scenario.health_lag_ms
            older = [state for at_ms, state in self._health_history if at_ms < limit_ms]
            return older[-1] if older else self._health_history[0][1]
        return current


def _parse_int(text: str | None) -> int:
    try:
        return int(text or "0")
    except ValueError:
        return 0
