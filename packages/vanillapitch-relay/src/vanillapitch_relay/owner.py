"""The owner of the endpoint on this VM, which alone decides what is sent to it."""

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import Awaitable, Callable

from vanillapitch_core.clock import Clock
from vanillapitch_wire.relay import Call, EndpointReport, Reply

from vanillapitch_relay import admission
from vanillapitch_relay.admission import AdmissionState, CallTicket, RefusalReason
from vanillapitch_relay.breaker import Breaker
from vanillapitch_relay.cold_rate import ColdRate
from vanillapitch_relay.endpoint_messages import (
    STATUS_OTHER_INSTANCE,
    build_request,
    classify_response,
    copy_response,
    is_leaving,
)
from vanillapitch_relay.endpoint_pool import EndpointPool
from vanillapitch_relay.endpoint_speed import EndpointSpeed
from vanillapitch_relay.endpoint_state import (
    ObservedEndpoint,
    apply_departure_notice,
    apply_zone_return,
    classify,
)
from vanillapitch_relay.exceptions import (
    ConnectFailed,
    ConnectionBroken,
    RelayError,
    ResponseInvalid,
    ResponseTimedOut,
)
from vanillapitch_relay.failure_share import FailureShare
from vanillapitch_relay.http_client import (
    Headers,
    HttpConnection,
    HttpResponse,
    find_header,
)
from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.metrics import Metrics
from vanillapitch_relay.model import Dialect, Ending, EndpointState
from vanillapitch_relay.quarantine import Quarantine
from vanillapitch_relay.report_feed import ReportFeed
from vanillapitch_relay.route_times import ExecutionTimes

__all__ = ["Owner", "OwnerParts"]

_log = EventLog(part="owner")

# A health check of an endpoint with free slots takes up to 6 ms.
CHECK_TIMEOUT_MS = 15.0
# While calls wait for the end of a slow period, the speed is measured again after this
# time. They are sent if the last measurement is older than `HOLD_MS`.
HOLD_CHECK_MS = 20.0
HOLD_MS = 60.0
# With less time until the deadline, an endpoint cannot respond in time.
MIN_REMAINING_MS = 5.0
_BLOCKED_BY_STATE = {
    EndpointState.UNKNOWN: RefusalReason.UNKNOWN_ENDPOINT,
    EndpointState.LEAVING: RefusalReason.LEAVING,
    EndpointState.ZONE_OUT: RefusalReason.ZONE_OUT,
    EndpointState.DOWN: RefusalReason.DOWN,
    EndpointState.READY: None,
    EndpointState.COLD: None,
    EndpointState.FAILING: None,
}


@dataclasses.dataclass(slots=True, kw_only=True)
class OwnerParts:
    """State and services that an owner uses.

    Attributes
    ----------
    observed : ObservedEndpoint
        Last known state of the endpoint.
    pool : EndpointPool
        Connections to the endpoint.
    dialect : Dialect
        Header names and decoders.
    clock : Clock
        Source of time.
    quarantine : Quarantine
        Requests that crash endpoints.
    metrics : Metrics
        Counters.
    zone_in_service : callable
        Returns whether the availability zone is in service.
    revision : callable
        Returns the revision of the last configuration change known.
    """

    observed: ObservedEndpoint
    pool: EndpointPool
    dialect: Dialect
    clock: Clock
    quarantine: Quarantine
    metrics: Metrics
    zone_in_service: Callable[[], bool]
    revision: Callable[[], int]


class Owner:
    """Admits calls to the endpoint and executes them.

    Attributes
    ----------
    stopping : bool
        Whether reports say that the endpoint is leaving, as the daemon stops.
    closed : bool
        Whether new calls are refused, from ingresses that missed that report.

    Parameters
    ----------
    parts : OwnerParts
        State and services that the owner uses.
    reports : ReportFeed
        Sends reports to ingresses.
    request_health_check : callable
        Requests an immediate health check.
    await_health_check : callable
        Waits until the next health check ends.
    store_departure : callable
        Starts to persist that the endpoint leaves.
    """

    def __init__(
        self,
        *,
        parts: OwnerParts,
        reports: ReportFeed,
        request_health_check: Callable[[], None],
        await_health_check: Callable[[], Awaitable[None]],
        store_departure: Callable[[], None],
    ):
        self.parts = parts
        self.admission = AdmissionState(
            cold=ColdRate(admission_started_ms=parts.clock.now_ms())
        )
        self.speed = EndpointSpeed()
        self.stopping = False
        self.closed = False
        self.broken_fingerprints: dict[str, float] = {}
        self._reports = reports
        self._request_health_check = request_health_check
        self._await_health_check = await_health_check
        self._store_departure = store_departure
        self._failures = FailureShare()
        self._breaker = Breaker()
        self._ticket_ids = itertools.count(1)
        self._admitted_by_id: dict[int, asyncio.Future] = {}
        self._running_request_ids: set[str] = set()
        self._execution_times = ExecutionTimes()
        self._timer: asyncio.TimerHandle | None = None
        self._state = EndpointState.UNKNOWN
        self._incarnation = parts.observed.incarnation

    def report(self) -> EndpointReport:
        """Return the report on the endpoint for ingresses."""
        now_ms = self._now_ms()
        state = EndpointState.LEAVING if self.stopping else self._state
        return EndpointReport(
            state=state.value,
            instance=self.parts.observed.instance,
            in_flight=len(self.admission.running),
            waiting=len(self.admission.waiting),
            limit=self.admission.limit_now(now_ms=now_ms),
            speed_percent=int(self.speed.estimate_percent(now_ms=now_ms)),
            failure_percent=int(100 * self._failures.share(now_ms=now_ms)),
            revision=self.parts.revision(),
            latency_ms=self.admission.latency_ms,
        )

    def refresh(self) -> None:
        """Update admission from the state of the endpoint and of its zone."""
        observed = self.parts.observed
        now_ms = self._now_ms()
        if observed.incarnation != self._incarnation:
            self._incarnation = observed.incarnation
            self._lift_rate_limit()
        zone_in_service = self.parts.zone_in_service()
        if zone_in_service and self._state is EndpointState.ZONE_OUT:
            apply_zone_return(observed)
            self._request_health_check()
        state = classify(observed, zone_in_service=zone_in_service, now_ms=now_ms)
        state = self._apply_breaker(state, now_ms=now_ms)
        self.admission.blocked = _BLOCKED_BY_STATE[state]
        self.admission.slots = max(1, observed.slots)
        self.admission.cold.until_ms = observed.cold_until_ms
        if state is not self._state:
            _log.info(
                "endpoint_state",
                state=state,
                before=self._state,
                instance=observed.instance,
                born_ms=observed.born_ms,
                sequence=observed.sequence,
                cold_ms=round(max(0.0, observed.cold_until_ms - now_ms)),
                revision=self.parts.revision(),
            )
            self._state = state
            if state is EndpointState.DOWN:
                self.parts.pool.close_all()
            self._reports.publish_state(self.report(), now_ms=now_ms)
        self._admit_waiting()

    def _apply_breaker(self, state: EndpointState, *, now_ms: float) -> EndpointState:
        if state is EndpointState.DOWN:
            self._breaker.reset()
        self.admission.failing = state is EndpointState.READY and self._breaker.is_open(
            typical_ms=self.admission.latency_ms, now_ms=now_ms
        )
        return EndpointState.FAILING if self.admission.failing else state

    @property
    def is_busy(self) -> bool:
        """Whether a call is running or waiting."""
        return bool(self.admission.running or self.admission.waiting)

    def is_running(self, request_id: str) -> bool:
        """Return whether the endpoint executes a request."""
        return request_id in self._running_request_ids

    async def execute(self, call: Call, *, source: str) -> Reply:
        """Execute a call; cancellation ends its execution at the endpoint.

        Parameters
        ----------
        call : Call
            The call.
        source : str
            Daemon that sent it.

        Returns
        -------
        Reply
            How the call ended, with the response if there is one.
        """
        arrived_ms = self._now_ms()
        ticket = self._make_ticket(call, now_ms=arrived_ms)
        reason = self._find_refusal_reason(call) or await self._check_slow(call)
        if reason is None:
            reason = admission.offer(self.admission, ticket, now_ms=self._now_ms())
        if reason is None:
            reason = await self._wait(ticket)
        if reason is not None:
            return self._refuse(call, reason, source=source, arrived_ms=arrived_ms)
        sent_ms = self._now_ms()
        latency_ms = None
        succeeded = None
        self._breaker.start(ticket.id, now_ms=sent_ms)
        self._running_request_ids.add(call.request_id)
        try:
            reply = await self._send(call, arrived_ms=arrived_ms)
            if reply.ending == Ending.ANSWERED:
                latency_ms = self._now_ms() - sent_ms
                self._execution_times.record(call.route_name, latency_ms)
            if reply.ending != Ending.REFUSED:
                succeeded = 0 < reply.status < 500
        finally:
            self._running_request_ids.discard(call.request_id)
            self._breaker.end(ticket.id, succeeded=succeeded, now_ms=self._now_ms())
            admission.finish(self.admission, ticket, latency_ms=latency_ms)
            self._admit_waiting()
            self._reports.publish_load(self.report(), now_ms=self._now_ms())
        _log.info(
            "call",
            request_id=call.request_id,
            source=source,
            outcome=reply.ending,
            reason=reply.reason,
            status=reply.status,
            instance=self.parts.observed.instance,
            waited_ms=round(sent_ms - arrived_ms, 1),
            ran_ms=round(self._now_ms() - sent_ms, 1),
            running=len(self.admission.running),
            speed=self.speed.percent,
        )
        reply.report = self.report()
        return reply

    def _make_ticket(self, call: Call, *, now_ms: float) -> CallTicket:
        typical_ms = self._execution_times.typical_ms(call.route_name)
        wait_ms = admission.wait_limit_ms(
            objective_ms=call.objective_ms,
            remaining_ms=call.remaining_ms,
            typical_ms=typical_ms,
        )
        return CallTicket(
            id=next(self._ticket_ids),
            priority=call.priority,
            is_late=call.objective_ms < typical_ms,
            due_ms=now_ms + call.objective_ms,
            wait_until_ms=now_ms + wait_ms,
        )

    def _find_refusal_reason(self, call: Call) -> RefusalReason | None:
        if self.closed:
            return RefusalReason.LEAVING
        if call.service_name != self.parts.observed.service:
            return RefusalReason.OTHER_SERVICE
        if call.remaining_ms < MIN_REMAINING_MS:
            return RefusalReason.PAST_DEADLINE
        if self.parts.quarantine.is_refused(call.fingerprint):
            return RefusalReason.QUARANTINED
        return None

    async def _check_slow(self, call: Call) -> RefusalReason | None:
        """Refuse a call to which another endpoint would probably respond sooner."""
        if not call.has_alternative or self.admission.blocked is not None:
            return None
        if self.admission.named_rate.find_wait_ms(ahead=0, now_ms=self._now_ms()) > 0.0:
            # The call is not sent now, and a check is load for the endpoint as well.
            return None
        if not self.speed.is_fresh(now_ms=self._now_ms()):
            # If no measurement arrives in time, the call proceeds without one.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_TIMEOUT_MS / 1_000.0):
                    await self._await_health_check()
        is_slow = self.speed.is_slow(now_ms=self._now_ms())
        return RefusalReason.SLOW if is_slow else None

    async def _wait(self, ticket: CallTicket) -> RefusalReason | None:
        future = asyncio.get_running_loop().create_future()
        self._admitted_by_id[ticket.id] = future
        self._admit_waiting()
        self._reports.publish_load(self.report(), now_ms=self._now_ms())
        try:
            return await future
        except asyncio.CancelledError:
            if not admission.withdraw(self.admission, ticket):
                # The call was admitted in the loop iteration that cancelled it.
                admission.finish(self.admission, ticket, latency_ms=None)
                self._admit_waiting()
            raise
        finally:
            self._admitted_by_id.pop(ticket.id, None)

    def _admit_waiting(self) -> None:
        now_ms = self._now_ms()
        # Calls stay in the queue during a slow period, because an execution that starts
        # in it occupies its slot for as long as several others would.
        is_held = self.speed.is_slow(now_ms=now_ms, within_ms=HOLD_MS)
        refusal = self.admission.blocked or admission.find_overload_reason(
            self.admission, now_ms=now_ms
        )
        for ticket in admission.expire(self.admission, now_ms=now_ms):
            is_sent = is_held and admission.admit_late(
                self.admission, ticket, now_ms=now_ms
            )
            self._resolve(ticket, None if is_sent else refusal)
        while not is_held and (
            ticket := admission.admit_next(self.admission, now_ms=now_ms)
        ):
            self._resolve(ticket, None)
        self._arm_timer(now_ms=now_ms, is_held=is_held)

    def _resolve(self, ticket: CallTicket, reason: RefusalReason | None) -> None:
        admitted = self._admitted_by_id.get(ticket.id)
        if admitted is not None and not admitted.done():
            admitted.set_result(reason)

    def _arm_timer(self, *, now_ms: float, is_held: bool) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_ms = admission.next_event_ms(self.admission, now_ms=now_ms)
        if next_ms is not None and is_held:
            next_ms = min(next_ms, self._refresh_speed(now_ms=now_ms))
        if next_ms is not None:
            delay_s = max(1.0, next_ms - now_ms) / 1_000.0
            self._timer = asyncio.get_running_loop().call_later(
                delay_s, self._admit_waiting
            )

    def _refresh_speed(self, *, now_ms: float) -> float:
        """Request a measurement if the last one is old; return when to check again."""
        due_ms = self.speed.measured_ms + HOLD_CHECK_MS
        if now_ms < due_ms:
            return due_ms
        self._request_health_check()
        return now_ms + HOLD_CHECK_MS

    async def _send(self, call: Call, *, arrived_ms: float) -> Reply:
        pool = self.parts.pool
        try:
            connection = await pool.acquire(idempotent=call.idempotent)
        except ConnectFailed as error:
            self._record_failure(call, error)
            return self.make_reply(call, Ending.REFUSED, error.code)
        remaining_ms = call.remaining_ms - (self._now_ms() - arrived_ms)
        if remaining_ms < MIN_REMAINING_MS or self.admission.blocked is not None:
            pool.release(connection)
            reason = self.admission.blocked or RefusalReason.PAST_DEADLINE
            return self.make_reply(call, Ending.REFUSED, reason)
        try:
            return await self._exchange(call, connection, remaining_ms=remaining_ms)
        finally:
            pool.release(connection)

    async def _exchange(
        self, call: Call, connection: HttpConnection, *, remaining_ms: float
    ) -> Reply:
        request = build_request(
            call,
            names=self.parts.dialect.headers,
            instance=self.parts.observed.instance,
            remaining_ms=remaining_ms,
        )
        incarnation = self.parts.observed.incarnation
        try:
            async with asyncio.timeout(remaining_ms / 1_000.0):
                response = await connection.exchange(request)
        except TimeoutError:
            error = ResponseTimedOut("no response by the deadline")
        except ConnectionBroken as broken:
            self.broken_fingerprints[call.fingerprint] = self._now_ms()
            error = broken
        except ResponseInvalid as invalid:
            error = invalid
        else:
            if response.status != STATUS_OTHER_INSTANCE:
                self.record_notices(response.headers, incarnation=incarnation)
            return self._classify_response(call, response)
        self._record_failure(call, error)
        return self.make_reply(call, Ending.FAILED, error.code)

    def _record_failure(self, call: Call, error: RelayError) -> None:
        _log.info(
            "call_failed",
            request_id=call.request_id,
            error=error.code,
            reason=str(error),
            instance=self.parts.observed.instance,
        )
        self._record(failed=True)
        self._request_health_check()

    def _classify_response(self, call: Call, response: HttpResponse) -> Reply:
        self.record_load(response.headers)
        classification = classify_response(response, names=self.parts.dialect.headers)
        self._record(failed=classification.failed)
        if response.status == STATUS_OTHER_INSTANCE:
            self._request_health_check()
        reply = self.make_reply(call, classification.ending, classification.reason)
        if classification.ending is Ending.ANSWERED:
            self.parts.quarantine.clear(call.fingerprint)
            copy_response(reply, response)
        return reply

    def record_load(self, headers: Headers) -> None:
        """Record the load that a response of the endpoint reports."""
        value = find_header(headers, self.parts.dialect.headers.load)
        if value is None:
            return
        endpoint_load = self.parts.dialect.decode_load(value)
        if endpoint_load is None:
            _log.warning("load_unreadable", value=value.decode("latin-1"))
            return
        self.speed.record(endpoint_load.speed_percent, now_ms=self._now_ms())

    def record_notices(
        self,
        headers: Headers,
        *,
        incarnation: int,
        check_sent_ms: float | None = None,
    ) -> None:
        """Apply what the endpoint states about itself in a response.

        Parameters
        ----------
        headers : Headers
            Headers of the response.
        incarnation : int
            Incarnation to which the request was sent.
        check_sent_ms : float or None
            When the request was sent, if it was a health check. Only these end a rate
            limit, since they are sent regularly and in order.
        """
        if incarnation != self.parts.observed.incarnation:
            return
        names = self.parts.dialect.headers
        is_new_departure = is_leaving(headers, names=names) and apply_departure_notice(
            self.parts.observed
        )
        if is_new_departure:
            _log.info("departure_in_response", instance=self.parts.observed.instance)
            self.refresh()
            self._store_departure()
        value = find_header(headers, names.rate_limit)
        rate = self.admission.named_rate
        if value is not None:
            self._name_rate_limit(value)
        elif check_sent_ms is not None and check_sent_ms >= rate.named_ms:
            self._lift_rate_limit()

    def _name_rate_limit(self, value: bytes) -> None:
        per_s = self.parts.dialect.decode_rate_limit(value)
        if per_s is None:
            _log.warning("rate_limit_unreadable", value=value.decode("latin-1"))
            return
        if self.admission.named_rate.name(per_s, now_ms=self._now_ms()):
            self._log_rate_limit(per_s)

    def _lift_rate_limit(self) -> None:
        if self.admission.named_rate.lift():
            self._log_rate_limit(None)

    def _log_rate_limit(self, per_s: float | None) -> None:
        _log.info(
            "rate_limit",
            per_s=per_s,
            instance=self.parts.observed.instance,
            running=len(self.admission.running),
            waiting=len(self.admission.waiting),
        )

    def _refuse(
        self, call: Call, reason: RefusalReason, *, source: str, arrived_ms: float
    ) -> Reply:
        _log.info(
            "call_refused",
            request_id=call.request_id,
            source=source,
            reason=reason,
            instance=self.parts.observed.instance,
            waited_ms=round(self._now_ms() - arrived_ms, 1),
            running=len(self.admission.running),
            waiting=len(self.admission.waiting),
            limit=self.admission.limit,
            speed=self.speed.percent,
            speed_age_ms=round(self._now_ms() - self.speed.measured_ms, 1),
            objective_ms=call.objective_ms,
        )
        self.parts.metrics.count_owner_refusal(reason)
        return self.make_reply(call, Ending.REFUSED, reason)

    def make_reply(self, call: Call, ending: Ending, reason: str) -> Reply:
        """Return a reply without a response."""
        return Reply(
            id=call.id,
            ending=ending.value,
            reason=str(reason),
            status=0,
            phrase="",
            headers=[],
            body=b"",
            report=self.report(),
        )

    def _record(self, *, failed: bool) -> None:
        self._failures.record(failed=failed, now_ms=self._now_ms())

    def _now_ms(self) -> float:
        return self.parts.clock.now_ms()
