"""Progress of one request at its ingress, and the messages built from it."""

import dataclasses

from vanillapitch_wire.relay import Call, EndpointReport, HeaderField

from vanillapitch_relay.http_client import HttpRequest
from vanillapitch_relay.http_responses import strip_hop_headers
from vanillapitch_relay.model import EndpointState, HeaderNames, Route
from vanillapitch_relay.ranking import Candidate

__all__ = ["Progress", "make_call", "make_candidate"]

# Ranks before the priorities of all routes, because the failure of a nested call wastes
# the execution that sent it.
NESTED_CALL_PRIORITY = -1


@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """Progress of one request.

    Attributes
    ----------
    request : HttpRequest
        The request.
    route : Route
        Its route.
    service : str
        Service that the weights chose.
    request_id : str
        Id of the attempt.
    fingerprint : str
        Identity across attempts.
    arrived_ms, deadline_ms, due_ms : float
        Monotonic times of its arrival, its deadline and the end of its latency
        objective.
    is_nested_call : bool
        Whether an execution at the endpoint on this VM sent it.
    tried : set of str
        Owners tried so far.
    arrivals : int
        Endpoints that may have received it.
    may_have_executed : bool
        Whether an endpoint may have executed it.
    refusals : int
        Owners that refused it.
    in_progress : bool
        Whether an owner is processing it.
    has_alternative : bool
        Whether another owner would be tried if the last chosen one refused.
    slow_node : str or None
        Owner that refused it only because its endpoint, though not busy, was slow.
    has_retry_credit : bool
        Whether a retry was already taken from the budget for it.
    """

    request: HttpRequest
    route: Route
    service: str
    request_id: str
    fingerprint: str
    arrived_ms: float
    deadline_ms: float
    due_ms: float
    is_nested_call: bool
    tried: set[str] = dataclasses.field(default_factory=set)
    arrivals: int = 0
    may_have_executed: bool = False
    refusals: int = 0
    in_progress: bool = False
    has_alternative: bool = False
    slow_node: str | None = None
    has_retry_credit: bool = False


def make_call(
    progress: Progress, *, names: HeaderNames, caller_service: str, now_ms: float
) -> Call:
    """Build the call that is sent to an owner.

    Parameters
    ----------
    progress : Progress
        The request.
    names : HeaderNames
        Headers that the daemon sets itself.
    caller_service : str
        Service on the VM of the caller.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    Call
        The call; the link assigns its id.
    """
    replaced = (names.deadline, names.expected_instance, names.caller_service)
    headers = [
        HeaderField(name=name.decode("latin-1"), value=value.decode("latin-1"))
        for name, value in strip_hop_headers(progress.request.headers)
        if name not in replaced
    ]
    caller_header = names.caller_service.decode("latin-1")
    headers.append(HeaderField(name=caller_header, value=caller_service))
    priority = progress.route.priority
    if progress.is_nested_call:
        priority = NESTED_CALL_PRIORITY
    return Call(
        id=0,
        request_id=progress.request_id,
        service_name=progress.service,
        method=progress.request.method,
        target=progress.request.target,
        headers=headers,
        body=progress.request.body,
        remaining_ms=int(progress.deadline_ms - now_ms),
        objective_ms=int(progress.due_ms - now_ms),
        priority=priority,
        idempotent=progress.route.idempotent,
        fingerprint=progress.fingerprint,
        route_name=progress.route.name,
        has_alternative=progress.has_alternative,
    )


def make_candidate(
    node: str, zone: str, report: EndpointReport, *, now_ms: float
) -> Candidate:
    """Create a candidate from an owner's report on its endpoint.

    Parameters
    ----------
    node, zone : str
        The owner and its availability zone.
    report : EndpointReport
        Its last report.
    now_ms : float
        When the report arrived.

    Returns
    -------
    Candidate
        The candidate.
    """
    return Candidate(
        node=node,
        zone=zone,
        state=EndpointState(report.state),
        limit=report.limit,
        in_flight=report.in_flight,
        waiting=report.waiting,
        sent_since_report=0,
        speed_percent=report.speed_percent,
        failure_percent=report.failure_percent,
        reported_at_ms=now_ms,
    )
