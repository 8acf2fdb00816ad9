"""Checks of the guarantees from callers' exchanges and endpoints' executions."""

import bisect
import collections
from collections.abc import Iterable

from vanillapitch_testbed.platform_soak._callers import Exchange
from vanillapitch_testbed.platform_soak._faults import Period
from vanillapitch_testbed.platform_soak._fleet import COLD_PER_S, SoakFleet
from vanillapitch_testbed.platform_standins import Execution, count_most_in_window

__all__ = ["check_guarantees"]

# Bounds that the platform's deployments set.
DRAIN_S = 2.0
EVACUATE_S = 5.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5
RETRY_RATIO = 0.2
RETRY_SLACK = 58
RETRY_WINDOW_S = 10.0
# A connection that closes within this time is not a loss unless an endpoint executed
# the request.
LOSS_SLACK_S = 0.2
# From this time after an endpoint first named a rate, it may get that rate for this
# window, times the factor, plus the slack.
LIMIT_AFTER_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_OVERSHOOT = 1.5
LIMIT_SLACK = 5
NOT_RUN_STATUSES = (408, 421, 429, 503)


def check_guarantees(
    fleet: SoakFleet,
    exchanges: list[Exchange],
    periods: list[Period],
    *,
    planned_only: bool,
) -> list[str]:
    """Return a sentence for each violation of a guarantee.

    Parameters
    ----------
    fleet : SoakFleet
        The fleet at the end of the soak.
    exchanges : list of Exchange
        Requests of all callers.
    periods : list of Period
        Periods of leaving endpoints, evacuated zones and store faults.
    planned_only : bool
        Whether the soak had only planned maintenance, so that no request may be lost.

    Returns
    -------
    list of str
        Empty when all guarantees held.
    """
    executions_by_id = collections.defaultdict(list)
    for execution in fleet.executions():
        executions_by_id[execution.request_id].append(execution)
    refused_at_s_by_node = {
        vm.settings.node: fleet.links(vm)[0].refused_at_s for vm in fleet.vms
    }
    violations = list(fleet.violations)
    for exchange in exchanges:
        violations += _check_exchange(exchange, executions_by_id[exchange.request_id])
        if planned_only:
            violations += _check_loss(
                exchange,
                executions_by_id[exchange.request_id],
                refused_at_s=refused_at_s_by_node[exchange.node],
            )
    violations += _check_periods(fleet, periods)
    violations += _check_endpoints(fleet)
    violations += _check_retries(fleet)
    return violations


def _check_exchange(exchange: Exchange, executions: list[Execution]) -> Iterable[str]:
    name = exchange.request_id
    if exchange.at_most_once and len(executions) > 1:
        yield f"TWICE: {name} was executed {len(executions)} times"
    if exchange.at_most_once and exchange.status in NOT_RUN_STATUSES and executions:
        yield f"REFUSED: {name} got {exchange.status} and was executed"
    if exchange.status == 200:
        expected = f"answer to {name}".encode() * 10
        if exchange.body != expected or not exchange.signed:
            yield f"MIXED: {name} got an unexpected body or no signature"
    if exchange.status in (400, 404, 413):
        yield f"DENIED: {name} got {exchange.status}"


def _check_loss(
    exchange: Exchange, executions: list[Execution], *, refused_at_s: dict[int, float]
) -> Iterable[str]:
    if not exchange.ended_s:
        return
    # The proxy accepts connections also while the daemon refuses them.
    if (
        refused_at_s.get(exchange.port, -1.0) >= exchange.connecting_s
        and not executions
    ):
        return
    took_s = exchange.ended_s - exchange.sent_s
    if exchange.status == 0 and (executions or took_s > LOSS_SLACK_S):
        yield (
            f"LOST: {exchange.request_id} got no response from {exchange.node} in "
            f"{took_s:.3f} s, {len(executions)} executions"
        )
    if exchange.status == 502:
        yield f"LOST: {exchange.request_id} got 502 from {exchange.node}"


def _check_periods(fleet: SoakFleet, periods: list[Period]) -> Iterable[str]:
    for period in periods:
        for vm in fleet.vms:
            start_times_s = [
                execution.started_s for execution in vm.endpoint.executions
            ]
            if period.condition == "limited":
                if period.subject == vm.settings.node:
                    yield from _check_rate_limit(period, start_times_s)
                continue
            if period.condition == "leaving" and period.subject == vm.settings.node:
                bound_s = DRAIN_S
            elif period.condition == "zone_out" and period.subject == vm.settings.zone:
                bound_s = EVACUATE_S
            else:
                continue
            late = [
                t
                for t in start_times_s
                if period.since_s + bound_s < t < period.until_s
            ]
            if late:
                yield (
                    f"{period.condition}: {len(late)} executions at "
                    f"{vm.settings.node} after the bound of {bound_s} s"
                )


def _check_rate_limit(period: Period, start_times_s: list[float]) -> Iterable[str]:
    allowed = period.limit_per_s * LIMIT_WINDOW_S * LIMIT_OVERSHOOT + LIMIT_SLACK
    times_s = sorted(
        t for t in start_times_s if period.since_s + LIMIT_AFTER_S <= t < period.until_s
    )
    count = count_most_in_window(times_s, LIMIT_WINDOW_S)
    if count > allowed:
        yield (
            f"limited: {period.subject} got {count} requests in "
            f"{LIMIT_WINDOW_S} s at {period.limit_per_s} a second"
        )


def _check_endpoints(fleet: SoakFleet) -> Iterable[str]:
    allowed = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK
    for vm in fleet.vms:
        endpoint = vm.endpoint
        if endpoint.max_running > endpoint.slots:
            yield (
                f"slots: {vm.settings.node} executed {endpoint.max_running} requests "
                "at once"
            )
        start_times_s = sorted(execution.started_s for execution in endpoint.executions)
        for since_s, until_s in endpoint.cold_periods:
            cold_times_s = [t for t in start_times_s if since_s <= t < until_s]
            count = count_most_in_window(cold_times_s, 1.0)
            if count > allowed:
                yield f"cold: {vm.settings.node} got {count} requests in 1 s"


def _check_retries(fleet: SoakFleet) -> Iterable[str]:
    for service in fleet.services:
        executions = sorted(
            (execution.started_s, execution.request_id)
            for vm in fleet.vms
            if vm.endpoint.service == service.name
            for execution in vm.endpoint.executions
        )
        request_ids = set()
        retries = []
        for started_s, request_id in executions:
            if request_id in request_ids:
                retries.append(started_s)
            request_ids.add(request_id)
        start_times_s = [started_s for started_s, _ in executions]
        for position, start_s in enumerate(retries):
            count = bisect.bisect_left(retries, start_s + RETRY_WINDOW_S) - position
            requests = bisect.bisect_left(start_times_s, start_s + RETRY_WINDOW_S) - (
                bisect.bisect_left(start_times_s, start_s)
            )
            if count > RETRY_RATIO * requests + RETRY_SLACK:
                yield (
                    f"BUDGET: {count} retries in {requests} executions "
                    f"of {service.name}"
                )
                break
