"""Promises, checked from what callers got and what endpoints ran."""

import bisect
import collections
from collections.abc import Iterable

from vanillapitch_testbed.platform_soak._callers import Exchange
from vanillapitch_testbed.platform_soak._faults import Span
from vanillapitch_testbed.platform_soak._fleet import COLD_PER_S, SoakFleet
from vanillapitch_testbed.platform_standins import Run

__all__ = ["check_promises"]

# Bounds of the platform's deployments.
DRAIN_S = 2.0
EVACUATE_S = 5.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5
RETRY_RATIO = 0.2
RETRY_SLACK = 58
WINDOW_S = 10.0
LOSS_SLACK_S = 0.2
NOT_RUN = (408, 421, 429, 503)


def check_promises(
    fleet: SoakFleet,
    exchanges: list[Exchange],
    spans: list[Span],
    *,
    planned_only: bool,
) -> list[str]:
    """Return a sentence for each broken promise.

    Parameters
    ----------
    fleet : SoakFleet
        The fleet after the run.
    exchanges : list of Exchange
        Requests of all callers.
    spans : list of Span
        What was so when.
    planned_only : bool
        Whether the run had planned work alone, so that no request may be lost.

    Returns
    -------
    list of str
        Empty when all promises were kept.
    """
    runs_by_id = collections.defaultdict(list)
    for run in fleet.executions():
        runs_by_id[run.request_id].append(run)
    violations = list(fleet.violations)
    for exchange in exchanges:
        violations += _check_exchange(exchange, runs_by_id[exchange.request_id])
        if planned_only:
            violations += _check_loss(exchange, runs_by_id[exchange.request_id])
    violations += _check_spans(fleet, spans)
    violations += _check_endpoints(fleet)
    violations += _check_retries(fleet)
    return violations


def _check_exchange(exchange: Exchange, executions: list[Run]) -> Iterable[str]:
    name = exchange.request_id
    if exchange.once and len(executions) > 1:
        yield f"TWICE: {name} ran {len(executions)} times"
    if exchange.once and exchange.status in NOT_RUN and executions:
        yield f"REFUSED: {name} got {exchange.status} and ran"
    if exchange.status == 200:
        expected = f"answer to {name}".encode() * 10
        if exchange.body != expected or not exchange.signed:
            yield f"MIXED: {name} got another answer"
    if exchange.status in (400, 404, 413):
        yield f"DENIED: {name} got {exchange.status}"


def _check_loss(exchange: Exchange, executions: list[Run]) -> Iterable[str]:
    if not exchange.ended_s:
        return
    late = exchange.ended_s - exchange.sent_s > LOSS_SLACK_S
    if exchange.status == 0 and (executions or late):
        yield f"LOST: {exchange.request_id} got no answer from {exchange.node}"
    if exchange.status == 502:
        yield f"LOST: {exchange.request_id} was broken off at {exchange.node}"


def _check_spans(fleet: SoakFleet, spans: list[Span]) -> Iterable[str]:
    for span in spans:
        for vm in fleet.vms:
            began = [run.started_s for run in vm.endpoint.executions]
            if span.what == "leaving" and span.subject == vm.settings.node:
                bound_s = DRAIN_S
            elif span.what == "zone_out" and span.subject == vm.settings.zone:
                bound_s = EVACUATE_S
            else:
                continue
            late = [t for t in began if span.since_s + bound_s < t < span.until_s]
            if late:
                yield f"{span.what}: {len(late)} runs at {vm.settings.node} too late"


def _check_endpoints(fleet: SoakFleet) -> Iterable[str]:
    allowed = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK
    for vm in fleet.vms:
        endpoint = vm.endpoint
        if endpoint.max_running > endpoint.slots:
            yield f"slots: {vm.settings.node} ran {endpoint.max_running} at once"
        began = sorted(run.started_s for run in endpoint.executions)
        for since_s, until_s in endpoint.cold_times:
            times = [t for t in began if since_s <= t < until_s]
            for position, start_s in enumerate(times):
                count = bisect.bisect_left(times, start_s + 1.0) - position
                if count > allowed:
                    yield f"cold: {vm.settings.node} got {count} requests in 1 s"
                    break


def _check_retries(fleet: SoakFleet) -> Iterable[str]:
    for service in fleet.services:
        executions = sorted(
            (run.started_s, run.request_id)
            for vm in fleet.vms
            if vm.endpoint.service == service.name
            for run in vm.endpoint.executions
        )
        seen = set()
        repeats = []
        for started_s, request_id in executions:
            if request_id in seen:
                repeats.append(started_s)
            seen.add(request_id)
        times = [started_s for started_s, _ in executions]
        for position, start_s in enumerate(repeats):
            count = bisect.bisect_left(repeats, start_s + WINDOW_S) - position
            requests = bisect.bisect_left(times, start_s + WINDOW_S) - (
                bisect.bisect_left(times, start_s)
            )
            if count > RETRY_RATIO * requests + RETRY_SLACK:
                yield f"BUDGET: {count} repeats for {requests} of {service.name}"
                break
