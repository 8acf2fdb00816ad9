"""Measured speed of an endpoint, and admission of calls while it is slow."""

import asyncio

from vanillapitch_relay.endpoint_speed import MEAN_SPEED_PERCENT, EndpointSpeed
from vanillapitch_testbed.platform_standins import ServiceSpec

TWO_ZONES = (ServiceSpec(name="shop", zones=("a", "b"), slots=8),)


def make_speed(*measurements):
    speed = EndpointSpeed()
    for now_ms, percent in measurements:
        speed.record(percent, now_ms=now_ms)
    return speed


def test_slow_is_relative_to_the_recent_baseline():
    # Guards against an endpoint that counts as slow throughout its cold start, because
    # its speed is compared with a fixed value instead of its recent baseline.
    assert not make_speed((0.0, 200)).is_slow(now_ms=0.0)
    assert make_speed((0.0, 200), (100.0, 800)).is_slow(now_ms=100.0)
    assert make_speed((0.0, 100), (1_500.0, 400)).is_slow(now_ms=1_500.0)


def test_an_endpoint_that_stays_slow_receives_calls_again():
    # Guards against a service that refuses all calls because all its endpoints are
    # slow: after a constant speed for 2 s or more, the baseline must have followed it.
    speed = make_speed(*((now_ms, 400) for now_ms in range(0, 3_000, 20)))
    assert not speed.is_slow(now_ms=2_980.0)
    speed = make_speed((0.0, 100), *((t, 400) for t in range(20, 3_000, 20)))
    assert not speed.is_slow(now_ms=2_980.0)


def test_an_old_measurement_is_ignored():
    # Guards against refusals because of a measurement that is out of date: it counts
    # 20 ms after it was received, and no longer after 200 ms.
    speed = make_speed((0.0, 100), (100.0, 400))
    assert speed.is_slow(now_ms=120.0)
    assert not speed.is_slow(now_ms=300.0)
    assert speed.estimate_percent(now_ms=100.0) == 400.0
    assert abs(speed.estimate_percent(now_ms=5_000.0) - MEAN_SPEED_PERCENT) < 1.0
    assert EndpointSpeed().estimate_percent(now_ms=0.0) == MEAN_SPEED_PERCENT


def test_calls_go_to_another_endpoint_while_one_is_slow(run_fleet):
    # Guards against executions that start on an endpoint that has just become slow and
    # keep that speed, because the measurement used to choose it predates the change.
    async def scenario(fleet):
        slow = fleet.vms[0].endpoint
        for number in range(8):
            await fleet.call(f"/shop/warm{number}")
        started = len(slow.executions)
        # The measurements of the responses are no longer fresh, and none shows the
        # change.
        await asyncio.sleep(0.05)
        slow.speed_percent = 400
        responses = [
            await fleet.call(f"/shop/{number}", vm=number % 2) for number in range(20)
        ]
        during = len(slow.executions) - started
        slow.speed_percent = 100
        await asyncio.sleep(0.05)
        await asyncio.gather(*(fleet.call(f"/shop/x{n}") for n in range(12)))
        return responses, during, len(slow.executions) - started - during

    responses, during, after = run_fleet(scenario, services=TWO_ZONES)
    assert [response.status for response in responses] == [200] * 20
    assert during == 0
    assert after > 0


def test_the_only_endpoint_of_a_service_executes_calls_while_slow(run_fleet):
    # Guards against calls that are refused because the endpoint is slow although the
    # service has no other endpoint.
    async def scenario(fleet):
        only = fleet.vms[2].endpoint
        await fleet.call("/stock/a")
        only.speed_percent = 400
        return [await fleet.call(f"/stock/{number}") for number in range(10)]

    responses = run_fleet(scenario)
    assert [response.status for response in responses] == [200] * 10


def test_calls_wait_for_the_end_of_a_slow_period(run_fleet):
    # Guards against executions that start during a slow period under overload and each
    # occupy a slot for as long as four others would.
    async def scenario(fleet):
        only = fleet.vms[2].endpoint
        await fleet.call("/stock/a")
        only.speed_percent = 400
        await fleet.vms[2].daemon._await_health_check()
        waiting = asyncio.create_task(fleet.call("/stock/b"))
        await asyncio.sleep(0.08)
        started = len(only.executions)
        only.speed_percent = 100
        return await waiting, started, len(only.executions)

    response, before, after = run_fleet(scenario)
    assert response.status == 200
    assert (before, after) == (1, 2)


def test_a_slow_endpoint_executes_calls_that_no_other_one_accepts(run_fleet):
    # Guards against a refused request while the endpoint that was chosen first is idle:
    # it refused as slow, and the only other endpoint has no free slot.
    async def scenario(fleet):
        slow, busy = fleet.vms
        long = asyncio.create_task(fleet.call("/shop/long?work_ms=1200", vm=1))
        await fleet.wait_until(lambda: busy.endpoint.executions)
        await asyncio.sleep(0.05)
        slow.endpoint.speed_percent = 400
        responses = [await fleet.call(f"/shop/{number}") for number in range(3)]
        await long
        return responses, len(slow.endpoint.executions)

    service = ServiceSpec(name="shop", zones=("a", "b"), slots=1)
    responses, executions = run_fleet(scenario, services=(service,))
    assert [response.status for response in responses] == [200] * 3
    assert executions == 3


def test_a_health_check_that_hangs_delays_no_call(run_fleet):
    # Guards against calls that wait for a health check without end: the check hangs,
    # and the response to the call must arrive within 150 ms.
    async def scenario(fleet):
        for vm in fleet.vms:
            vm.daemon._owner._await_health_check = asyncio.Event().wait
        await asyncio.sleep(0.05)
        started_s = asyncio.get_running_loop().time()
        response = await fleet.call("/shop/a?work_ms=1")
        return response, asyncio.get_running_loop().time() - started_s

    response, took_s = run_fleet(scenario)
    assert response.status == 200
    assert took_s < 0.15
