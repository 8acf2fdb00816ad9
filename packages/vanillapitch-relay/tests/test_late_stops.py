"""Requests that are in progress late in the grace period of a planned stop."""

import asyncio

import pytest
from vanillapitch_testbed.platform_standins import ServiceSpec, send_pipelined

SHOP = (ServiceSpec(name="shop", zones=("a", "b"), slots=8),)
GRACE_S = 6.0


def test_pipelined_requests_are_not_started_late_in_a_stop(run_fleet):
    # Guards against requests behind others of their connection that are passed on late
    # in the grace period and cut at its end, although the caller could send them again.
    async def scenario(fleet):
        vm = fleet.vms[0]
        reader, writer = await send_pipelined(
            vm.settings.caller_address,
            ["/stock-once/p?work_ms=800"] * 9,
            method="POST",
            deadline_ms=9_000,
        )
        await fleet.wait_until(lambda: fleet.executions("/stock-once/"))
        vm.daemon.request_stop()
        received = await asyncio.wait_for(reader.read(), GRACE_S + 1)
        writer.close()
        await asyncio.wait_for(vm.task, GRACE_S + 1)
        return received, fleet.executions("/stock-once/")

    received, executions = run_fleet(scenario, timeout_s=10.0)
    assert received.count(b"HTTP/1.1 200") == len(executions) > 0
    assert received.count(b"connection: close") == 1


@pytest.mark.parametrize("vm", [0, 2])
def test_a_request_that_outlasts_the_grace_period_is_answered(run_fleet, vm):
    # Guards against a connection that ends without an answer when the daemon must end
    # before the endpoint, on another VM or its own, has answered.
    async def scenario(fleet):
        target = "/stock-once/a?work_ms=8000"
        call = asyncio.create_task(
            fleet.call(target, vm=vm, method="POST", deadline_ms=9_000, timeout_s=9.0)
        )
        await fleet.wait_until(lambda: fleet.executions("/stock-once/"))
        fleet.vms[vm].daemon.request_stop()
        await asyncio.wait_for(fleet.vms[vm].task, GRACE_S)
        return await call

    response = run_fleet(scenario, timeout_s=10.0)
    assert (response.status, response.complete) == (504, True)


def test_a_stopping_owner_refuses_calls_of_ingresses_that_missed_its_report(run_fleet):
    # Guards against calls that a stopping daemon accepts until its end, where they are
    # cut while the endpoint executes them.
    async def scenario(fleet):
        stopping = fleet.vms[1]
        link = fleet.vms[0].daemon._hub.links_by_node["vm-2"]
        stopping.daemon.request_stop()
        calls = []
        while not stopping.task.done():
            if link.report is not None:
                link.report.state = "ready"
            calls.append(
                asyncio.create_task(
                    fleet.call("/shop-once/a?work_ms=500", method="POST")
                )
            )
            await asyncio.sleep(0.1)
        return [response.status for response in await asyncio.gather(*calls)]

    statuses = run_fleet(scenario, services=SHOP)
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) >= 0.9 * len(statuses)
