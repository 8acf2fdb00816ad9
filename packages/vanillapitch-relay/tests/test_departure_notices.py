"""Endpoints that state in their responses that they are leaving."""

import asyncio

from vanillapitch_testbed.platform_standins import EndpointFaults


def test_a_response_that_says_leaving_is_the_last(run_fleet):
    # Guards against requests to an endpoint whose departure was only in its responses.
    async def scenario(fleet):
        vm = fleet.vms[2]
        await vm.endpoint.leave_unannounced()
        first = await fleet.call("/stock/a")
        return first, [await fleet.call("/stock/b") for _ in range(5)], vm.endpoint

    first, later, endpoint = run_fleet(scenario)
    assert first.status in (200, 503)
    assert {response.status for response in later} == {503}
    assert all("retry-after" in response.headers for response in later)
    assert len(endpoint.executions) <= 1


def test_a_departure_in_responses_survives_a_daemon_restart(run_fleet):
    # Guards against an endpoint without requests that stays usable while its health
    # checks say that it leaves, and against a new process that uses it because a late
    # announcement says ready.
    async def scenario(fleet):
        vm = fleet.vms[2]
        await vm.endpoint.leave_unannounced()
        await fleet.wait_until(
            lambda: "vm-3" not in fleet.vms[0].daemon.usable_owners(), timeout_s=1
        )
        await fleet.wait_until(lambda: fleet.store.keys("outgoing/"), timeout_s=2)
        await fleet.kill_daemon(vm)
        vm.endpoint.faults = EndpointFaults()
        await fleet.start_daemon(vm)
        status = await vm.endpoint.announce()
        await asyncio.sleep(0.5)
        response = await fleet.call("/stock/a")
        writes = fleet.store.calls_by_path["kv-txn"]
        await vm.endpoint.drain()
        await vm.endpoint.drain()
        return status, response, fleet.store.calls_by_path["kv-txn"] - writes

    status, response, writes = run_fleet(scenario)
    assert (status, response.status) == (200, 503)
    assert writes == 0


def test_a_new_process_does_not_adopt_a_leaving_endpoint(run_fleet):
    # Guards against a daemon that starts while the store has lost the departure and a
    # health check says healthy.
    async def scenario(fleet):
        vm = fleet.vms[2]
        await vm.endpoint.leave_unannounced()
        await fleet.kill_daemon(vm)
        for key in fleet.store.keys("outgoing/"):
            fleet.store.delete(key)
        await fleet.start_daemon(vm)
        await asyncio.sleep(0.8)
        return await fleet.call("/stock/a"), vm.endpoint.executions

    response, executions = run_fleet(scenario)
    assert response.status == 503
    assert executions == []


def test_another_instance_that_leaves_does_not_end_the_known_one(run_fleet):
    # Guards against a departure that is taken from a response of another instance at
    # the same address.
    async def scenario(fleet):
        endpoint = fleet.vms[2].endpoint
        known, endpoint.instance = endpoint.instance, "i-other"
        await endpoint.leave_unannounced()
        await fleet.call("/stock/a")
        await asyncio.sleep(0.6)
        endpoint.instance = known
        endpoint.faults.says_leaving = False
        await fleet.wait_until(
            lambda: "vm-3" in fleet.vms[0].daemon.usable_owners(), timeout_s=2
        )
        return await fleet.call("/stock/b")

    assert run_fleet(scenario).status == 200
