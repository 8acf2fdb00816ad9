"""Pick of an endpoint: eligible endpoints, choice by a policy, and dispatch."""

import dataclasses
import enum
import random
from collections.abc import Collection

from vanillapitch_core import health
from vanillapitch_core.outcome import RefusalCode
from vanillapitch_core.picking._events import record_dispatch
from vanillapitch_core.picking._policies import PickPolicy, Selection, choose_by_score
from vanillapitch_core.picking._state import (
    Endpoint,
    PickerState,
    PoolView,
    Service,
)
from vanillapitch_core.picking._subset import choose_subset
from vanillapitch_core.tables import Pool, WhenZonesOut

__all__ = ["PickReason", "Picked", "NoUsableEndpoint", "pick"]


class PickReason(enum.StrEnum):
    """Whether the endpoint is in the ingress's subset; label value of a counter."""

    IN_SUBSET = "near"
    BEYOND_SUBSET = "beyond_subset"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Picked:
    """The chosen endpoint; its call is recorded as outstanding.

    Attributes
    ----------
    instance : str
        Instance name of the endpoint.
    call_id : int
        Id to pass to `record_result`.
    reason : PickReason
        Whether the endpoint is in the ingress's subset.
    serve_anyway : bool
        Whether the endpoint's zone is out of service and the pool has no endpoint in
        service.
    """

    instance: str
    call_id: int
    reason: PickReason
    serve_anyway: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoUsableEndpoint:
    """Result of a pick when no endpoint may be used.

    Attributes
    ----------
    code : RefusalCode
        `ZONE_OUT` if all endpoints are in zones out of service, else `NO_ENDPOINT`.
    """

    code: RefusalCode


def pick(
    state: PickerState,
    *,
    pool: Pool,
    excluded: Collection[str] = (),
    now_ms: float,
    rng: random.Random,
    policy: PickPolicy = choose_by_score,
) -> Picked | NoUsableEndpoint:
    """Choose an endpoint of a pool and record the call as outstanding.

    Parameters
    ----------
    state : PickerState
        State of the picker.
    pool : Pool
        The pool of the request's route.
    excluded : collection of str
        Instances that must not be chosen, such as those of earlier attempts.
    now_ms : float
        Current time in milliseconds.
    rng : random.Random
        Source of randomness.
    policy : callable
        Chooses among the endpoints that may be used.

    Returns
    -------
    Picked or NoUsableEndpoint
        The endpoint, or the reason why there is none.
    """
    view = _get_view(state, pool)
    usable = _without(view.usable, excluded)
    if not usable:
        code = RefusalCode.ZONE_OUT if view.zones_out else RefusalCode.NO_ENDPOINT
        return NoUsableEndpoint(code=code)
    service = state.services_by_name[pool.service]
    selection = Selection(
        picker=state,
        service=service,
        subset=_without(view.subset, excluded),
        usable=usable,
        now_ms=now_ms,
        rng=rng,
    )
    endpoint = policy(selection)
    service.picks += 1
    health.start_trial(service.health, instance=endpoint.instance, now_ms=now_ms)
    call_id = record_dispatch(state, instance=endpoint.instance, now_ms=now_ms)
    in_subset = any(endpoint is candidate for candidate in view.subset)
    return Picked(
        instance=endpoint.instance,
        call_id=call_id,
        reason=PickReason.IN_SUBSET if in_subset else PickReason.BEYOND_SUBSET,
        serve_anyway=view.serve_anyway,
    )


def _without(
    endpoints: tuple[Endpoint, ...], excluded: Collection[str]
) -> tuple[Endpoint, ...]:
    if not excluded:
        return endpoints
    return tuple(
        endpoint for endpoint in endpoints if endpoint.instance not in excluded
    )


def _get_view(state: PickerState, pool: Pool) -> PoolView:
    # The key is the pool itself, so that a changed pool gets a new view.
    view = state.views_by_pool.get(pool)
    if view is None:
        view = _compute_view(state, pool)
        state.views_by_pool[pool] = view
    return view


def _compute_view(state: PickerState, pool: Pool) -> PoolView:
    service = state.services_by_name.get(pool.service, Service())
    members = [
        endpoint
        for endpoint in service.endpoints_by_instance.values()
        if not endpoint.leaving and (not pool.zones or endpoint.zone in pool.zones)
    ]
    in_service = [
        endpoint for endpoint in members if endpoint.zone not in state.zones_out
    ]
    if in_service or not members:
        return PoolView(
            subset=_choose_local_subset(state, in_service), usable=tuple(in_service)
        )
    if pool.when_zones_out is WhenZonesOut.REFUSE:
        return PoolView(subset=(), usable=(), zones_out=True)
    return PoolView(
        subset=_choose_local_subset(state, members),
        usable=tuple(members),
        serve_anyway=True,
    )


def _choose_local_subset(
    state: PickerState, endpoints: list[Endpoint]
) -> tuple[Endpoint, ...]:
    local = [endpoint for endpoint in endpoints if endpoint.region == state.region]
    return choose_subset(
        ingress=state.instance, endpoints=local or endpoints, size=state.subset_size
    )
