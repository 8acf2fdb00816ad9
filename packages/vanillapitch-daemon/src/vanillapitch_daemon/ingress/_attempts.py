"""Attempts to execute a request at an endpoint."""

import dataclasses
from collections.abc import Callable

from vanillapitch_core import Clock, Outcome, Refusal, RefusalCode
from vanillapitch_wire import (
    CallCancelled,
    CallTimedOut,
    ConnectFailed,
    SendFailed,
    WireError,
)
from vanillapitch_wire.dispatch import (
    OWNER_SERVICE,
    DispatchReply,
    DispatchRequest,
    OwnerClient,
)

from vanillapitch_daemon.calls import (
    CallerRequest,
    DispatchStatus,
    RequestResult,
    Response,
)
from vanillapitch_daemon.monitor import Monitor
from vanillapitch_daemon.owner import Cancellation, Owner
from vanillapitch_daemon.picker import DispatchResult, Pick, Picked
from vanillapitch_daemon.transport import Transport

__all__ = ["Attempt", "RoutedRequest", "make_attempter"]

# Time for the reply of an owner that ends at the deadline to reach the ingress.
REPLY_GRACE_MS = 20.0

_REFUSALS_BY_STATUS = {
    DispatchStatus.CONNECT_FAILED: (
        RefusalCode.NO_ENDPOINT,
        Outcome.NOT_RUN,
        "The endpoint cannot be reached.",
    ),
    DispatchStatus.LOST: (
        RefusalCode.BACKEND_FAILED,
        Outcome.UNKNOWN,
        "The connection to the endpoint ended before the answer.",
    ),
    DispatchStatus.TIMED_OUT: (
        RefusalCode.DEADLINE_UNKNOWN,
        Outcome.UNKNOWN,
        "The deadline passed while the request was running.",
    ),
    DispatchStatus.CANCELLED: (
        RefusalCode.CANCELLED,
        Outcome.UNKNOWN,
        "The caller disconnected while the request was running.",
    ),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutedRequest:
    """A request with the settings of its route.

    Attributes
    ----------
    request : CallerRequest
        The caller's request.
    pool : str
        Pool that serves the request.
    priority : int
        0 to 9; the lowest is refused first.
    idempotent : bool
        Whether the request may be executed more than once.
    deadline_ms : float
        Monotonic time in milliseconds after which the request is abandoned.
    revision : int
        Revision of the tables that the request was routed with.
    """

    request: CallerRequest
    pool: str
    priority: int
    idempotent: bool
    deadline_ms: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """Result of one attempt.

    Attributes
    ----------
    result : Response or Refusal
        Result for the caller if no further attempt is made.
    status : DispatchStatus or None
        How the attempt ended, None when no endpoint could be picked.
    instance : str
        Endpoint of the attempt, empty when none could be picked.
    """

    result: RequestResult
    status: DispatchStatus | None
    instance: str


Attempter = Callable[[RoutedRequest, int, frozenset[str]], Attempt]


def make_attempter(
    *,
    picker: Monitor,
    transport: Transport,
    owner: Owner,
    own_instance: str,
    clock: Clock,
) -> Attempter:
    """Build the function that makes one attempt.

    Parameters
    ----------
    picker : Monitor
        The picker.
    transport : Transport
        Connections to other daemons.
    owner : Owner
        This daemon's own endpoint, called without a connection.
    own_instance : str
        Name of this daemon's endpoint.
    clock : Clock
        Source of time.

    Returns
    -------
    callable
        Takes a `RoutedRequest`, the attempt number and the instances that were tried
        before, and returns an `Attempt`.
    """

    def attempt(
        routed: RoutedRequest, number: int, excluded: frozenset[str]
    ) -> Attempt:
        picked = picker.ask(Pick(pool=routed.pool, excluded=excluded))
        if not isinstance(picked, Picked):
            return _make_pick_failure(picked.code, routed.pool)
        endpoint = picked.endpoint
        started_at_ms = clock.now_ms()
        message = _make_dispatch_request(routed, number, clock)
        reply, status = dispatch(endpoint.instance, endpoint.address, message, routed)
        picker.tell(
            DispatchResult(
                instance=endpoint.instance,
                call_id=picked.call_id,
                status=status,
                latency_ms=clock.now_ms() - started_at_ms,
                http_status=reply.status if reply else 0,
                refusal_code=reply.refusal_code if reply else "",
                report=reply.report if reply else None,
            )
        )
        result = _make_result(reply, status)
        return Attempt(result=result, status=status, instance=endpoint.instance)

    def dispatch(
        instance: str,
        address: tuple[str, int],
        message: DispatchRequest,
        routed: RoutedRequest,
    ) -> tuple[DispatchReply | None, DispatchStatus]:
        is_cancelled = routed.request.is_cancelled
        if instance == own_instance:
            reply = owner.dispatch(message, Cancellation(is_cancelled=is_cancelled))
            return reply, _status_of(reply)
        try:
            reply = transport.call(
                address=address,
                service=OWNER_SERVICE,
                client_type=OwnerClient,
                method="dispatch",
                request=message,
                deadline_ms=routed.deadline_ms + REPLY_GRACE_MS,
                is_cancelled=is_cancelled,
            )
        except WireError as error:
            return None, _status_of_error(error)
        if reply.request_id != message.request_id:
            return None, DispatchStatus.LOST
        return reply, _status_of(reply)

    return attempt


def _make_pick_failure(code: RefusalCode, pool: str) -> Attempt:
    refusal = Refusal(
        code=code,
        outcome=Outcome.NOT_RUN,
        detail=f"Pool {pool} has no endpoint that can take the request.",
    )
    return Attempt(result=refusal, status=None, instance="")


def _make_dispatch_request(
    routed: RoutedRequest, number: int, clock: Clock
) -> DispatchRequest:
    request = routed.request
    return DispatchRequest(
        request_id=request.request_id,
        pool=routed.pool,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        remaining_ms=max(0, int(routed.deadline_ms - clock.now_ms())),
        attempt=number,
        priority=routed.priority,
        idempotent=routed.idempotent,
        revision=routed.revision,
    )


def _status_of(reply: DispatchReply) -> DispatchStatus:
    return DispatchStatus.RESPONSE if reply.status else DispatchStatus.REFUSED


def _status_of_error(error: WireError) -> DispatchStatus:
    if isinstance(error, ConnectFailed | SendFailed):
        return DispatchStatus.CONNECT_FAILED
    if isinstance(error, CallTimedOut):
        return DispatchStatus.TIMED_OUT
    if isinstance(error, CallCancelled):
        return DispatchStatus.CANCELLED
    return DispatchStatus.LOST


def _make_result(reply: DispatchReply | None, status: DispatchStatus) -> RequestResult:
    if reply is None:
        code, outcome, detail = _REFUSALS_BY_STATUS[status]
        return Refusal(code=code, outcome=outcome, detail=detail)
    if status is DispatchStatus.REFUSED:
        return Refusal(
            code=RefusalCode(reply.refusal_code),
            outcome=Outcome(reply.outcome),
            detail=reply.detail,
        )
    return Response(
        status=reply.status,
        headers=reply.headers,
        body=reply.body,
        instance=reply.instance,
    )
