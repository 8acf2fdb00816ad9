"""Admission control at the owner of an endpoint.

Only the owner knows the exact number of requests in flight, so the concurrency limit
holds exactly for any number of ingresses and without coordination between them.
"""

from vanillapitch_core.admission._decide import (
    admit,
    cancel_waiter,
    end_leaving,
    expire_waiters,
    release,
    set_backend_down,
    set_zone_in_service,
    start_leaving,
    start_warmup,
)
from vanillapitch_core.admission._state import (
    DEFAULT_MAX_WAIT_MS,
    AdmissionRequest,
    AdmissionState,
    AnswerKind,
    Decision,
    TicketDecision,
    count_in_flight,
    current_limit,
    report_state,
)

__all__ = [
    "DEFAULT_MAX_WAIT_MS",
    "AdmissionRequest",
    "AdmissionState",
    "AnswerKind",
    "Decision",
    "TicketDecision",
    "admit",
    "cancel_waiter",
    "count_in_flight",
    "current_limit",
    "end_leaving",
    "expire_waiters",
    "release",
    "report_state",
    "set_backend_down",
    "set_zone_in_service",
    "start_leaving",
    "start_warmup",
]
