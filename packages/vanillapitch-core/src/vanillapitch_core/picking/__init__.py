"""Endpoint selection at the ingress.

`PickerState` is modified only by the picker actor, which applies all events in order:
endpoints that are added or removed, dispatches, load reports and results.
"""

from vanillapitch_core.picking._events import (
    add_endpoint,
    classify_refusal,
    mark_leaving,
    record_dispatch,
    record_report,
    record_result,
    remove_endpoint,
    set_zones_out,
)
from vanillapitch_core.picking._pick import NoUsableEndpoint, Picked, PickReason, pick
from vanillapitch_core.picking._policies import (
    PickPolicy,
    Selection,
    choose_by_score,
    choose_least_in_flight,
    choose_random,
    choose_round_robin,
)
from vanillapitch_core.picking._state import (
    CallResult,
    Endpoint,
    EndpointState,
    LoadReport,
    PickerState,
)
from vanillapitch_core.picking._subset import choose_subset

__all__ = [
    "CallResult",
    "Endpoint",
    "EndpointState",
    "LoadReport",
    "NoUsableEndpoint",
    "PickPolicy",
    "PickReason",
    "Picked",
    "PickerState",
    "Selection",
    "add_endpoint",
    "choose_by_score",
    "choose_least_in_flight",
    "choose_random",
    "choose_round_robin",
    "choose_subset",
    "classify_refusal",
    "mark_leaving",
    "pick",
    "record_dispatch",
    "record_report",
    "record_result",
    "remove_endpoint",
    "set_zones_out",
]
