"""The ingress: answers the requests of the callers on this VM."""

import asyncio
import random

import msgspec
from vanillapitch_core.clock import Clock
from vanillapitch_core.quarantine import compute_fingerprint
from vanillapitch_wire.relay import Reply

from vanillapitch_relay.admission import RefusalReason
from vanillapitch_relay.configuration_state import ConfigurationState
from vanillapitch_relay.exceptions import ResponseTimedOut
from vanillapitch_relay.http_client import (
    Headers,
    HttpRequest,
    HttpResponse,
    find_header,
)
from vanillapitch_relay.http_responses import make_response
from vanillapitch_relay.hub import Hub
from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.links import LinkBroken, LinkDown
from vanillapitch_relay.metrics import Metrics
from vanillapitch_relay.model import Dialect, Ending, Route, Settings
from vanillapitch_relay.owner import Owner
from vanillapitch_relay.progress import Progress, make_call, make_candidate
from vanillapitch_relay.quarantine import Quarantine
from vanillapitch_relay.ranking import order_candidates
from vanillapitch_relay.retry_budget import SharedRetryBudget
from vanillapitch_relay.route_times import RouteDeadlines
from vanillapitch_relay.routing import WeightedChoice

__all__ = ["Ingress"]

_log = EventLog(part="ingress")

# Owners that are tried before the caller is refused; each costs one internal hop.
MAX_OWNERS_TRIED = 3
# Retry-After is drawn from this range of shares of the latency objective, so that
# callers do not all retry at once.
RETRY_AFTER_SHARE = (0.15, 0.5)
# If no owner is known, for example while all endpoints restart, a request waits for at
# most this share of its latency objective until one appears. A delay this short costs
# the caller nothing.
HOLD_SHARE = 1 / 8
HOLD_STEP_MS = 5.0
# A slow endpoint that uses more than this share of its limit already has calls that
# wait for the end of the slow period.
IDLE_SHARE = 0.5
# With less time left, another endpoint could not respond before the deadline.
MIN_RETRY_MS = 20.0
STATUS_NOT_EXECUTED = 503


class Ingress:
    """Forwards requests to owners and answers callers.

    Parameters
    ----------
    settings : Settings
        This daemon.
    dialect : Dialect
        Header names.
    clock : Clock
        Source of time.
    configuration : ConfigurationState
        Configuration in force.
    hub : Hub
        Links to the other owners.
    owner : Owner
        The owner on this VM.
    quarantine : Quarantine
        Requests that crash endpoints.
    budget : SharedRetryBudget
        Retries that this daemon may send.
    metrics : Metrics
        Counters.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        dialect: Dialect,
        clock: Clock,
        configuration: ConfigurationState,
        hub: Hub,
        owner: Owner,
        quarantine: Quarantine,
        budget: SharedRetryBudget,
        metrics: Metrics,
    ):
        self._settings = settings
        self._dialect = dialect
        self._clock = clock
        self._configuration = configuration
        self._hub = hub
        self._owner = owner
        self._quarantine = quarantine
        self._budget = budget
        self._metrics = metrics
        self._weights = WeightedChoice()
        self._deadlines = RouteDeadlines()
        self._rng = random.Random()
        self._timeouts: set[asyncio.Timeout] = set()
        self._ended = False
        self.in_flight = 0

    def end_requests(self) -> None:
        """Answer all requests in progress now, because the process is about to end."""
        self._ended = True
        now_s = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now_s)

    async def handle(
        self, request: HttpRequest, arrived_ms: float, peer_host: str
    ) -> HttpResponse:
        """Answer one request.

        Parameters
        ----------
        request : HttpRequest
            The request with its complete body.
        arrived_ms : float
            When it was received completely.
        peer_host : str
            Host of the caller.

        Returns
        -------
        HttpResponse
            The endpoint's response, or one that this daemon generates.
        """
        self.in_flight += 1
        try:
            return await self._respond(request, arrived_ms)
        except asyncio.CancelledError:
            _log.info(
                "caller_left",
                request_id=self._request_id(request),
                target=request.target,
            )
            self._metrics.count_refusal("caller_left")
            raise
        except Exception:
            _log.error("request_broke", request_id=self._request_id(request))
            self._metrics.count_refusal("internal_error")
            return make_response(500, b'{"code":"internal_error"}')
        finally:
            self.in_flight -= 1

    def may_pipeline(self, request: HttpRequest) -> bool:
        """Return whether a request may be executed before earlier ones are answered.

        The caller sends the requests behind a response that closes the connection
        again, so only idempotent requests may be executed early.
        """
        route = self._match(request)
        return route is None or route.idempotent

    async def _respond(self, request: HttpRequest, arrived_ms: float) -> HttpResponse:
        if self._configuration.routes is None:
            return self._refuse_unrouted(request, 503, "no_configuration")
        route = self._match(request)
        if route is None:
            return self._refuse_unrouted(request, 404, "no_route")
        request_id = find_header(request.headers, self._dialect.headers.request_id)
        if not request_id:
            return self._refuse_unrouted(request, 400, "no_request_id")
        deadline_ms = _parse_deadline(
            find_header(request.headers, self._dialect.headers.deadline)
        )
        if deadline_ms is None:
            return self._refuse_unrouted(request, 400, "deadline_invalid")
        progress = self._start(
            request, route, arrived_ms=arrived_ms, remaining_ms=deadline_ms
        )
        response, reason = await self._forward(progress)
        self._record_response(progress, response, reason=reason)
        return response

    def _start(
        self,
        request: HttpRequest,
        route: Route,
        *,
        arrived_ms: float,
        remaining_ms: float,
    ) -> Progress:
        host = find_header(request.headers, b"host") or b""
        service = self._weights.choose(route)
        request_id = self._request_id(request)
        self._budget.record_request(service, now_ms=arrived_ms)
        is_nested_call = self._owner.is_running(
            self._dialect.find_caller_request(request_id)
        )
        elapsed_ms = 0.0
        if not is_nested_call:
            elapsed_ms = self._deadlines.estimate_elapsed_ms(
                route.name, remaining_ms=remaining_ms
            )
        return Progress(
            request=request,
            route=route,
            service=service,
            request_id=request_id,
            is_nested_call=is_nested_call,
            due_ms=arrived_ms + route.objective_ms - elapsed_ms,
            fingerprint=compute_fingerprint(
                method=request.method,
                host=host.decode("latin-1"),
                target=request.target,
                body=request.body,
            ),
            arrived_ms=arrived_ms,
            deadline_ms=arrived_ms + min(remaining_ms, route.timeout_ms),
        )

    async def _forward(self, progress: Progress) -> tuple[HttpResponse, str]:
        if self._quarantine.is_refused(progress.fingerprint):
            return self._refuse(progress, "quarantined"), "quarantined"
        remaining_ms = progress.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / 1_000.0) as timeout:
                self._timeouts.add(timeout)
                try:
                    return await self._try_owners(progress)
                finally:
                    self._timeouts.discard(timeout)
        except TimeoutError:
            reason = "stopped" if self._ended else "deadline"
            if progress.may_have_executed or progress.in_progress:
                return self._fail(504, reason), reason
            reason += "_not_run"
            return self._refuse(progress, reason), reason

    async def _try_owners(self, progress: Progress) -> tuple[HttpResponse, str]:
        reason = "no_endpoint"
        while True:
            node = await self._choose_or_wait(progress)
            if node is None:
                return self._respond_locally(progress, reason), reason
            progress.tried.add(node)
            reply = await self._call(progress, node)
            ending = Ending(reply.ending)
            if ending is Ending.REFUSED:
                self._record_refusal(progress, node, reply)
                reason = reply.reason
                continue
            progress.arrivals += 1
            if ending is not Ending.REJECTED:
                progress.may_have_executed = True
            if not self._may_retry(progress, ending, reply):
                return self._conclude(progress, ending, reply), reply.reason

    def _record_refusal(self, progress: Progress, node: str, reply: Reply) -> None:
        progress.refusals += 1
        is_idle = reply.report.in_flight <= IDLE_SHARE * reply.report.limit
        if reply.reason == RefusalReason.SLOW and is_idle:
            progress.slow_node = node
        self._metrics.count_retry(f"refused_{reply.reason}")

    async def _choose_or_wait(self, progress: Progress) -> str | None:
        """Choose an owner; if none is known, wait briefly for one to appear."""
        if progress.refusals >= MAX_OWNERS_TRIED:
            return self._fall_back_to_slow(progress)
        until_ms = progress.arrived_ms + HOLD_SHARE * progress.route.objective_ms
        while True:
            node = self._choose(progress)
            if node is not None:
                return node
            if progress.tried or self._clock.now_ms() >= until_ms:
                return self._fall_back_to_slow(progress)
            await asyncio.sleep(HOLD_STEP_MS / 1_000.0)

    def _fall_back_to_slow(self, progress: Progress) -> str | None:
        """Choose the owner that refused as slow, because no other one accepted."""
        node, progress.slow_node = progress.slow_node, None
        progress.has_alternative = False
        is_linked = node in self._hub.links_by_node or node == self._settings.node
        return node if is_linked else None

    def _choose(self, progress: Progress) -> str | None:
        now_ms = self._clock.now_ms()
        candidates = []
        own_zone = self._settings.zone
        if progress.service == self._owner.parts.observed.service:
            candidates.append(
                make_candidate(
                    self._settings.node, own_zone, self._owner.report(), now_ms=now_ms
                )
            )
        for node, link in self._hub.links_by_node.items():
            if link.is_up and link.member.service_name == progress.service:
                candidate = make_candidate(
                    node, link.member.zone, link.report, now_ms=link.reported_at_ms
                )
                candidate.sent_since_report = link.sent_since_report
                candidates.append(candidate)
        usable = [
            candidate
            for candidate in candidates
            if candidate.node not in progress.tried
            and candidate.zone not in self._configuration.zones_out
        ]
        order = order_candidates(
            usable,
            zone=own_zone,
            now_ms=now_ms,
            rng=self._rng,
            may_try_failing=progress.route.idempotent and not progress.tried,
            body_bytes=len(progress.request.body),
        )
        progress.has_alternative = (
            len(order) > 1 and progress.refusals + 1 < MAX_OWNERS_TRIED
        )
        return order[0] if order else None

    async def _call(self, progress: Progress, node: str) -> Reply:
        call = make_call(
            progress,
            names=self._dialect.headers,
            caller_service=self._settings.service,
            now_ms=self._clock.now_ms(),
        )
        progress.in_progress = True
        try:
            if node == self._settings.node:
                return await self._owner.execute(call, source=node)
            return await self._hub.links_by_node[node].call(
                call, may_move=lambda: self._may_move(progress)
            )
        except LinkDown:
            return self._owner.make_reply(call, Ending.REFUSED, "link_down")
        except LinkBroken:
            return self._owner.make_reply(call, Ending.FAILED, "link_broken")
        finally:
            task = asyncio.current_task()
            progress.in_progress = task is not None and task.cancelling() > 0

    def _may_move(self, progress: Progress) -> bool:
        """Decide whether a call to an unresponsive owner is sent to another one.

        Otherwise, its caller waits for the reply, since the owner may only be slow.
        """
        is_movable = (
            progress.route.idempotent
            and self._find_limit(progress, arrivals=progress.arrivals + 1) is None
        )
        progress.has_retry_credit = is_movable and self._take_retry(progress)
        return progress.has_retry_credit

    def _take_retry(self, progress: Progress) -> bool:
        if progress.has_retry_credit:
            progress.has_retry_credit = False
            return True
        return self._budget.take(progress.service, now_ms=self._clock.now_ms())

    def _may_retry(self, progress: Progress, ending: Ending, reply: Reply) -> bool:
        """Decide whether the request is sent to another endpoint."""
        reason = self._find_reason_against_retry(progress, ending, reply)
        if reason is None:
            reason = "repeated" if self._take_retry(progress) else "no_budget"
        self._metrics.count_retry(reason)
        if reason != "answered":
            _log.info(
                "repeat_decision",
                request_id=progress.request_id,
                decision=reason,
                ending=ending,
                cause=reply.reason,
                status=reply.status,
                arrivals=progress.arrivals,
            )
        return reason == "repeated"

    def _find_reason_against_retry(
        self, progress: Progress, ending: Ending, reply: Reply
    ) -> str | None:
        if ending is Ending.ANSWERED and reply.status < 500:
            return "answered"
        if progress.may_have_executed and not progress.route.idempotent:
            return "not_idempotent"
        return self._find_limit(progress, arrivals=progress.arrivals)

    def _find_limit(self, progress: Progress, *, arrivals: int) -> str | None:
        """Find the limit, if any, that forbids sending the request once more."""
        if arrivals >= progress.route.max_attempts:
            return "attempts_used"
        if self._quarantine.is_suspected(progress.fingerprint):
            return "suspected_crash"
        if progress.deadline_ms - self._clock.now_ms() < MIN_RETRY_MS:
            return "past_deadline"
        return None

    def _conclude(
        self, progress: Progress, ending: Ending, reply: Reply
    ) -> HttpResponse:
        if ending is Ending.ANSWERED:
            return self._make_endpoint_response(progress, reply)
        return self._respond_locally(progress, reply.reason)

    def _make_endpoint_response(self, progress: Progress, reply: Reply) -> HttpResponse:
        # To callers these statuses mean that nothing was executed, which an endpoint
        # confirms only by its not-executed header.
        if reply.status in (408, 421, 429, 503) and not progress.route.idempotent:
            return self._fail(502, "endpoint_unavailable")
        self._metrics.count_response("endpoint")
        return HttpResponse(
            status=reply.status,
            phrase=reply.phrase,
            headers=[
                (field.name.encode("latin-1"), field.value.encode("latin-1"))
                for field in reply.headers
            ],
            body=reply.body,
        )

    def _respond_locally(self, progress: Progress, reason: str) -> HttpResponse:
        """Generate a response, because no endpoint sent one to forward."""
        if not progress.may_have_executed:
            return self._refuse(progress, reason)
        # The owner's time limit is that of the request, so either may end first.
        status = 504 if reason == ResponseTimedOut.code else 502
        return self._fail(status, reason)

    def _refuse(self, progress: Progress, reason: str) -> HttpResponse:
        """Respond that the request was not executed and when to retry it."""
        low, high = RETRY_AFTER_SHARE
        share = self._rng.uniform(low, high)
        wait_s = share * progress.route.objective_ms / 1_000.0
        headers = [(b"retry-after", f"{wait_s:.3f}".encode())]
        return self._make_own_response(STATUS_NOT_EXECUTED, reason, headers)

    def _fail(self, status: int, reason: str) -> HttpResponse:
        """Respond without stating that the request was not executed."""
        return self._make_own_response(status, reason, [])

    def _refuse_unrouted(
        self, request: HttpRequest, status: int, reason: str
    ) -> HttpResponse:
        _log.info(
            "request",
            request_id=self._request_id(request),
            target=request.target,
            outcome=reason,
            status=status,
            version=self._configuration.version,
        )
        return self._make_own_response(status, reason, [])

    def _make_own_response(
        self, status: int, reason: str, headers: Headers
    ) -> HttpResponse:
        self._metrics.count_response("daemon")
        self._metrics.count_refusal(reason)
        body = msgspec.json.encode({"code": reason})
        return make_response(status, body, headers=headers)

    def _match(self, request: HttpRequest) -> Route | None:
        if self._configuration.routes is None:
            return None
        host = find_header(request.headers, b"host") or b""
        return self._configuration.routes.match(
            host=host.decode("latin-1"), target=request.target
        )

    def _request_id(self, request: HttpRequest) -> str:
        value = find_header(request.headers, self._dialect.headers.request_id)
        return (value or b"").decode("latin-1")

    def _record_response(
        self, progress: Progress, response: HttpResponse, *, reason: str
    ) -> None:
        took_ms = self._clock.now_ms() - progress.arrived_ms
        kind = "idempotent" if progress.route.idempotent else "once"
        self._metrics.observe_latency_ms(kind, took_ms)
        _log.info(
            "request",
            request_id=progress.request_id,
            route=progress.route.name,
            service=progress.service,
            version=self._configuration.version,
            status=response.status,
            outcome=reason or "answered",
            owners=sorted(progress.tried),
            arrivals=progress.arrivals,
            took_ms=round(took_ms, 1),
            objective_ms=progress.route.objective_ms,
        )


def _parse_deadline(value: bytes | None) -> float | None:
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    return float(value)
