"""Admission and execution of requests at the owner daemon."""

from vanillapitch_core import Clock, Outcome, Refusal, RefusalCode
from vanillapitch_core.admission import AnswerKind
from vanillapitch_core.tables import WhenZonesOut
from vanillapitch_wire import current_socket
from vanillapitch_wire.dispatch import DispatchReply, DispatchRequest, LoadReport

from vanillapitch_daemon.calls import Response
from vanillapitch_daemon.monitor import Monitor
from vanillapitch_daemon.owner._admission import (
    PendingAdmission,
    Release,
    ask_admission,
)
from vanillapitch_daemon.owner._backend import (
    BackendClient,
    Cancellation,
    is_load_shed,
)
from vanillapitch_daemon.owner.exceptions import (
    BackendCancelled,
    BackendConnectTimedOut,
    BackendCrashed,
    BackendError,
    BackendRefused,
    BackendTimedOut,
    ResponseTooLarge,
)
from vanillapitch_daemon.quarantine import QUARANTINE_REFUSAL, Quarantine
from vanillapitch_daemon.snapshot import LoadSnapshot, TablesSnapshot

__all__ = ["Owner", "OwnerHandler"]

_REFUSALS_BY_ERROR = {
    BackendRefused: (RefusalCode.NO_ENDPOINT, Outcome.NOT_RUN),
    BackendConnectTimedOut: (RefusalCode.NO_ENDPOINT, Outcome.NOT_RUN),
    BackendCrashed: (RefusalCode.BACKEND_CRASHED, Outcome.UNKNOWN),
    BackendTimedOut: (RefusalCode.DEADLINE_UNKNOWN, Outcome.UNKNOWN),
    BackendCancelled: (RefusalCode.CANCELLED, Outcome.UNKNOWN),
    ResponseTooLarge: (RefusalCode.RESPONSE_TOO_LARGE, Outcome.RAN),
}
_DEFAULT_REFUSAL = (RefusalCode.BACKEND_FAILED, Outcome.UNKNOWN)


class Owner:
    """Executes requests at this daemon's backend server.

    Parameters
    ----------
    instance : str
        Name of this endpoint.
    admission : Monitor
        The admission.
    backend : BackendClient
        Connections to the backend server.
    load : LoadSnapshot
        Load written by the admission.
    snapshot : TablesSnapshot
        Current tables.
    quarantine : Quarantine
        Strikes of crashing requests. The owner checks and records them too, because an
        ingress that is partitioned from its peers neither receives nor sends strikes.
    clock : Clock
        Source of time.

    Attributes
    ----------
    last_result_at_ms : float or None
        Monotonic time in milliseconds at which the last request ended.
    """

    def __init__(
        self,
        *,
        instance: str,
        admission: Monitor,
        backend: BackendClient,
        load: LoadSnapshot,
        snapshot: TablesSnapshot,
        quarantine: Quarantine,
        clock: Clock,
    ):
        self._instance = instance
        self._quarantine = quarantine
        self._admission = admission
        self._backend = backend
        self._load = load
        self._snapshot = snapshot
        self._clock = clock
        self.last_result_at_ms: float | None = None

    def dispatch(
        self, request: DispatchRequest, cancellation: Cancellation
    ) -> DispatchReply:
        """Admit and execute a request, or refuse it.

        Parameters
        ----------
        request : DispatchRequest
            The request.
        cancellation : Cancellation
            Cancels the request before its deadline.

        Returns
        -------
        DispatchReply
            A response or a refusal, with this endpoint's load.
        """
        deadline_ms = self._clock.now_ms() + request.remaining_ms
        result = self._execute(request, deadline_ms, cancellation)
        report = self._load.current
        if isinstance(result, Refusal):
            return _make_refusal_reply(request, result, report, self._instance)
        return _make_response_reply(request, result, report)

    def _execute(
        self,
        request: DispatchRequest,
        deadline_ms: float,
        cancellation: Cancellation,
    ) -> Response | Refusal:
        if request.remaining_ms <= 0:
            return Refusal(
                code=RefusalCode.DEADLINE_NOT_RUN,
                outcome=Outcome.NOT_RUN,
                detail="The deadline passed before the request ran.",
            )
        if self._quarantine.contains(request):
            return QUARANTINE_REFUSAL
        pending = ask_admission(
            self._admission,
            priority=request.priority,
            remaining_ms=request.remaining_ms,
            serve_when_zone_out=self._serves_when_zone_out(request),
        )
        if pending.refusal is not None:
            return pending.refusal
        if cancellation.is_set_or_disconnected():
            # After a pause of this daemon, the ingress may have abandoned the request
            # long before. The remaining time in the request does not show that, because
            # it does not count the time that the request waited in the socket.
            self._admission.tell(
                Release(pending=pending, kind=AnswerKind.BROKEN, latency_ms=0.0)
            )
            return Refusal(
                code=RefusalCode.CANCELLED,
                outcome=Outcome.NOT_RUN,
                detail="The request was given up before it ran.",
            )
        return self._execute_admitted(request, deadline_ms, cancellation, pending)

    def _serves_when_zone_out(self, request: DispatchRequest) -> bool:
        index = self._snapshot.current
        pool = index.pools_by_name.get(request.pool)
        if pool is None or pool.when_zones_out is not WhenZonesOut.SERVE_ANYWAY:
            return False
        # An ingress with older tables may not know that the zone is out of service.
        return request.revision >= index.tables.revision

    def _execute_admitted(
        self,
        request: DispatchRequest,
        deadline_ms: float,
        cancellation: Cancellation,
        pending: PendingAdmission,
    ) -> Response | Refusal:
        started_at_ms = self._clock.now_ms()
        kind = AnswerKind.BROKEN
        backend_down = False
        try:
            response = self._backend.send(
                request, deadline_ms=deadline_ms, cancellation=cancellation
            )
            result = self._refuse_if_shed(request.pool, response)
            if isinstance(result, Response):
                self._quarantine.record_response(request)
            kind = _classify_result(result)
        except BackendError as error:
            code, outcome = _REFUSALS_BY_ERROR.get(type(error), _DEFAULT_REFUSAL)
            result = Refusal(
                code=code, outcome=outcome, detail=f"{error}.".capitalize()
            )
            if isinstance(error, BackendTimedOut | BackendCancelled):
                kind = AnswerKind.ABANDONED
            backend_down = isinstance(error, BackendCrashed | BackendRefused)
            if isinstance(error, BackendCrashed):
                self._quarantine.record_crash(request, self._instance)
        finally:
            self.last_result_at_ms = self._clock.now_ms()
            self._admission.tell(
                Release(
                    pending=pending,
                    kind=kind,
                    latency_ms=self.last_result_at_ms - started_at_ms,
                    backend_down=backend_down,
                )
            )
        return result

    def _refuse_if_shed(self, pool_name: str, response: Response) -> Response | Refusal:
        if not self._is_shed(pool_name, response):
            return response
        return Refusal(
            code=RefusalCode.OVERLOADED,
            outcome=Outcome.NOT_RUN,
            detail="The backend server shed the request.",
        )

    def _is_shed(self, pool_name: str, response: Response) -> bool:
        pool = self._snapshot.current.pools_by_name.get(pool_name)
        shed_status = 503 if pool is None else pool.shed_status
        return response.status == shed_status and is_load_shed(response)


class OwnerHandler:
    """Serves the Thrift service of the owner.

    Parameters
    ----------
    owner : Owner
        Owner that executes the requests.
    """

    def __init__(self, *, owner: Owner):
        self._owner = owner

    def dispatch(self, request: DispatchRequest) -> DispatchReply:
        """Handle one call from an ingress."""
        return self._owner.dispatch(request, Cancellation(sock=current_socket()))


def _classify_result(result: Response | Refusal) -> AnswerKind:
    if isinstance(result, Refusal):
        return AnswerKind.SHED
    return AnswerKind.FAILED if result.status >= 500 else AnswerKind.ANSWERED


def _make_response_reply(
    request: DispatchRequest, response: Response, report: LoadReport
) -> DispatchReply:
    return DispatchReply(
        request_id=request.request_id,
        status=response.status,
        headers=response.headers,
        body=response.body,
        refusal_code="",
        outcome=Outcome.RAN.value,
        detail="",
        report=report,
        instance=response.instance,
    )


def _make_refusal_reply(
    request: DispatchRequest, refusal: Refusal, report: LoadReport, instance: str
) -> DispatchReply:
    return DispatchReply(
        request_id=request.request_id,
        status=0,
        headers=[],
        body=b"",
        refusal_code=refusal.code.value,
        outcome=refusal.outcome.value,
        detail=refusal.detail,
        report=report,
        instance=instance,
    )
