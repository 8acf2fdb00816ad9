"""Endpoints that name in their responses how many requests a second they accept."""

import asyncio

import hypothesis
import hypothesis.strategies as st
import pytest
from vanillapitch_relay.admission import AdmissionState, CallTicket, expire, offer
from vanillapitch_relay.named_rate import NamedRate
from vanillapitch_testbed.platform_standins import (
    ServiceSpec,
    count_most_in_window,
    make_route,
)

SHOP = (ServiceSpec(name="shop", zones=("a", "b"), slots=8),)
# In any 4 s an endpoint may get one and a half times its limit, and 5 requests more.
WINDOW_S, OVERSHOOT, SLACK = 4.0, 1.5, 5.0
URGENT = make_route("urgent", service="shop", priority=0)
OBJECTIVE_S = 0.3


def allowed(limit):
    return limit * WINDOW_S * OVERSHOOT + SLACK


def most_in_window(times_s):
    return count_most_in_window(times_s, WINDOW_S)


def count_served(results, target=""):
    return sum(
        result.response.status == 200 for result in results if target in result.target
    )


async def offer_briefly(fleet):
    """Send 30 requests within half a second; return how many were served."""
    results = await fleet.offer_load(per_s=60, seconds=0.5, targets=["/shop/a"])
    return count_served(results)


@pytest.mark.parametrize("limit", [0.5, 3.0, 12.7])
def test_an_endpoint_gets_no_more_requests_than_it_names(run_fleet, limit):
    # Guards against an endpoint that is overloaded further after it named its limit.
    async def scenario(fleet):
        fleet.name_rate_limits(limit)
        await asyncio.sleep(0.6)
        since_s = asyncio.get_running_loop().time()
        await fleet.offer_load(per_s=60, seconds=5, targets=["/shop/a"])
        return fleet.execution_times_s(since_s=since_s)

    for times_s in run_fleet(scenario, services=SHOP):
        assert most_in_window(times_s) <= allowed(limit)
        assert len(times_s) >= limit * 5.0 * 0.8 - 1.0


def test_refused_calls_cause_no_health_checks(run_fleet):
    # Guards against health checks for each call that a limited endpoint cannot get,
    # which load it further; without calls it gets one every 500 ms.
    async def scenario(fleet):
        fleet.name_rate_limits(0.1)
        await asyncio.sleep(0.6)
        before = [vm.endpoint.health_checks for vm in fleet.vms]
        await fleet.offer_load(per_s=100, seconds=3, targets=["/shop/a"])
        return [
            vm.endpoint.health_checks - count
            for vm, count in zip(fleet.vms, before, strict=True)
        ]

    for health_checks in run_fleet(scenario, services=SHOP):
        assert health_checks <= 3 / 0.5 + 2


def test_a_restarted_owner_keeps_the_limit(run_fleet):
    # Guards against a restarted daemon that sends at full rate until it learns the
    # limit, which the other ingresses are still bound by.
    async def scenario(fleet):
        fleet.name_rate_limits(5.0)
        await asyncio.sleep(0.6)
        since_s = asyncio.get_running_loop().time()
        load = asyncio.create_task(
            fleet.offer_load(per_s=60, seconds=5, targets=["/shop/a"])
        )
        await asyncio.sleep(2.0)
        await fleet.kill_daemon(fleet.vms[1])
        await asyncio.sleep(0.3)
        await fleet.start_daemon(fleet.vms[1])
        await load
        return fleet.execution_times_s(since_s=since_s)[1]

    times_s = run_fleet(scenario, services=SHOP)
    assert most_in_window(times_s) <= allowed(5.0)
    assert len(times_s) >= 10


def test_beyond_the_limits_the_least_urgent_are_refused_at_once(run_fleet):
    # Guards against requests beyond the limits that are held until they are late, or
    # that are served before more urgent ones.
    async def scenario(fleet):
        fleet.name_rate_limits(15.0)
        await asyncio.sleep(0.6)
        targets = ["/shop/a", "/urgent/a", "/shop/b"]
        return await fleet.offer_load(per_s=60, seconds=4, targets=targets)

    results = run_fleet(scenario, services=SHOP, routes=[URGENT])
    assert {result.response.status for result in results} == {200, 503}
    for result in results:
        is_served = result.response.status == 200
        assert result.took_s <= OBJECTIVE_S
        assert is_served != ("retry-after" in result.response.headers)
    served = [count_served(results, target) for target in ("/urgent/", "/shop/")]
    # 80 requests are urgent, 160 are not, and both endpoints accept 120.
    assert served[0] >= 0.9 * 80
    assert sum(served) >= 0.8 * 120


def test_a_limit_ends_with_the_header_or_the_incarnation(run_fleet):
    # Guards against a limit that outlives the overload or the endpoint that named it,
    # or that ends with a value that cannot be read.
    async def scenario(fleet):
        fleet.name_rate_limits(0.1)
        await asyncio.sleep(0.6)
        served = [await offer_briefly(fleet)]
        fleet.name_rate_limits("many")
        await asyncio.sleep(0.6)
        served.append(await offer_briefly(fleet))
        fleet.name_rate_limits(None)
        await asyncio.sleep(1.0)
        served.append(await offer_briefly(fleet))
        fleet.name_rate_limits(0.1)
        await asyncio.sleep(0.6)
        for vm in fleet.vms:
            await vm.endpoint.stop()
            vm.endpoint.faults.rate_limit = ""
            await vm.endpoint.restart(new_instance=False)
        await asyncio.sleep(1.0)
        served.append(await offer_briefly(fleet))
        return served

    limited, unreadable, ended, restarted = run_fleet(scenario, services=SHOP)
    assert max(limited, unreadable) <= 2
    assert (ended, restarted) == (30, 30)


@hypothesis.given(
    periods=st.lists(
        st.tuples(
            st.floats(min_value=0.0, max_value=200.0),
            st.lists(st.floats(min_value=0.0, max_value=900.0), max_size=60),
        ),
        max_size=6,
    )
)
def test_no_window_exceeds_the_rate_whatever_the_arrivals_and_changes(periods):
    # Guards against bursts after idle times, and after the limit was lowered.
    rate = NamedRate()
    now_ms = 0.0
    for limit, gaps_ms in periods:
        rate.name(limit, now_ms=now_ms)
        sent_s = []
        for gap_ms in gaps_ms:
            now_ms += gap_ms
            while rate.find_free_capacity(now_ms=now_ms):
                rate.record_send(now_ms=now_ms)
                sent_s.append(now_ms / 1_000.0)
        assert most_in_window(sent_s) <= allowed(limit)


def test_a_call_that_a_rate_delays_for_too_long_is_refused_at_once():
    # Guards against a call that keeps waiting after more urgent ones took its place.
    state = AdmissionState(slots=8, max_connections=100, blocked=None)
    state.named_rate.name(10.0, now_ms=0.0)

    def ticket(number, priority):
        return CallTicket(
            id=number, priority=priority, is_late=False, due_ms=0, wait_until_ms=250.0
        )

    for number, priority in ((1, 2), (2, 1), (3, 0)):
        assert offer(state, ticket(number, priority), now_ms=0.0) is None
    assert [refused.id for refused in expire(state, now_ms=0.0)] == [1]
    assert [waiting.id for waiting in state.waiting] == [3, 2]
