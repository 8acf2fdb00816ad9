"""Behaviour after the store was restored from a copy that lacks acknowledged writes."""

import asyncio

import pytest
from vanillapitch_testbed.platform_standins import ServiceSpec, make_route

TWO_ZONES = (ServiceSpec(name="shop", zones=("a", "b"), slots=8),)
BEFORE = make_route("before", service="stock")
AFTER = make_route("after", service="stock")
# A confirmed change is in force within 2 s, and what lapsed while the store was away is
# back within 2 s of its return.
APPLY_S = 2.0
RETURN_S = 2.0


@pytest.mark.parametrize("restores", [1, 2])
def test_a_change_after_a_restore_is_in_force_in_time(run_fleet, restores):
    # Guards against changes that are ignored because the restored store gives them
    # lower revisions than the ones known before.
    async def scenario(fleet):
        for _ in range(restores):
            copy = fleet.store.copy()
            for _ in range(3):
                fleet.configure(routes=[BEFORE])
            await fleet.wait_until_served("/before/a")
            fleet.store.restore(copy)
            await asyncio.sleep(0.3)
            fleet.configure(routes=[AFTER])
            await fleet.wait_until_served("/after/a", timeout_s=APPLY_S)
            fleet.configure()
            await asyncio.sleep(0.5)

    run_fleet(scenario)


def test_an_older_copy_is_not_put_in_force(run_fleet):
    # Guards against a configuration or a zone that goes back while the store shows its
    # older copy, before the operators have written again.
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.configure(routes=[{**BEFORE, "service": "shop"}])
        fleet.store.put("op/evacuate/b", b"{}")
        await fleet.wait_until_served("/before/a", timeout_s=3)
        await asyncio.sleep(0.3)
        started = len(fleet.vms[1].endpoint.executions)
        lost = fleet.store.copy()
        fleet.store.restore(copy, rewrite=False)
        statuses = set()
        for _ in range(40):
            for number in range(len(fleet.vms)):
                response = await fleet.call("/before/a", vm=number)
                statuses.add(response.status)
            await asyncio.sleep(0.02)
        for key in ("op/config", "op/evacuate/b"):
            fleet.store.put(key, lost.items_by_key[key].value)
        await asyncio.sleep(2.5)
        for number in range(20):
            await fleet.call("/before/a", vm=number % 2)
        return statuses, len(fleet.vms[1].endpoint.executions) - started

    statuses, executions = run_fleet(scenario, services=TWO_ZONES)
    assert statuses == {200}
    assert executions == 0


def test_a_zone_that_returned_in_the_lost_time_serves_again(run_fleet):
    # Guards against a zone that stays out because the copy still has its key, although
    # the operators removed it again.
    async def scenario(fleet):
        fleet.store.put("op/evacuate/b", b"{}")
        await fleet.wait_until(
            lambda: fleet.vms[1].daemon.endpoint_state == "zone_out", timeout_s=1
        )
        copy = fleet.store.copy()
        fleet.store.delete("op/evacuate/b")
        await fleet.wait_until_connected()
        fleet.store.restore(copy)
        await asyncio.sleep(0.5)
        await fleet.wait_until_connected(timeout_s=RETURN_S)

    run_fleet(scenario, services=TWO_ZONES)


@pytest.mark.parametrize("operation", ["drain", "deregister"])
def test_a_departure_that_the_store_lost_is_stored_again(run_fleet, operation):
    # Guards against a restarted daemon that uses an endpoint whose departure was
    # acknowledged, because the store lost the record.
    async def scenario(fleet):
        vm = fleet.vms[2]
        vm.endpoint._task.cancel()
        copy = fleet.store.copy()
        await getattr(vm.endpoint, operation)()
        fleet.store.restore(copy)
        lost = fleet.store.keys("outgoing/")
        await fleet.wait_until(
            lambda: fleet.store.keys("outgoing/"), timeout_s=RETURN_S
        )
        await fleet.restart_before_late_heartbeat(vm)
        return lost, await fleet.call("/stock/a")

    lost, response = run_fleet(scenario)
    assert lost == []
    assert response.status == 503


def test_members_that_the_store_lost_are_listed_again(run_fleet):
    # Guards against introducers that new daemons no longer find, since the store lost
    # their keys while their leases, or the ids of these, still exist.
    async def scenario(fleet):
        listed = fleet.store.keys("owners/")
        fleet.store.restore(fleet.store.copy().without("owners/"))
        await fleet.wait_until(
            lambda: set(listed) <= set(fleet.store.keys("owners/")),
            timeout_s=RETURN_S,
        )
        return listed

    assert run_fleet(scenario)
