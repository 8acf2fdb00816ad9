"""Departures that must outlive the process which acknowledged them."""

import asyncio

import pytest
from vanillapitch_core.clock import SystemClock
from vanillapitch_relay.departure_exchange import HOLDERS_PER_ZONE
from vanillapitch_relay.departure_keeper import DepartureKeeper
from vanillapitch_relay.departure_store import DepartureRecord
from vanillapitch_relay.endpoint_state import ObservedEndpoint, apply_departure
from vanillapitch_testbed.platform_standins import Refusal, ServiceSpec, StoreFaults

CONTACT_S = 3.0
WIDE = ServiceSpec(name="shop", zones=("a", "a", "a", "a", "b"))
STOCK = ServiceSpec(name="stock", zones=("b",))


class _NoStore:
    """Departure store that holds nothing."""

    def holds(self, record):
        return False


def make_keeper(shared):
    return DepartureKeeper(
        observed=ObservedEndpoint(service="shop", departures_known=True),
        departures=_NoStore(),
        clock=SystemClock(),
        share=shared.append,
    )


@pytest.mark.parametrize("is_later", [False, True])
def test_only_a_later_departure_replaces_the_last_one(is_later):
    # Guards against a process that acknowledges a departure while the store is down and
    # then stores an older one in its place, and against one that keeps the older one.
    shared = []
    keeper = make_keeper(shared)
    apply_departure(keeper._observed, "i-1")
    keeper.keep()
    other = DepartureRecord(
        instance="i-0",
        born_ms=500,
        stored_ms=keeper.owed.stored_ms + (1_000 if is_later else -1_000),
    )
    keeper.restore(other)
    assert keeper.owed.instance == ("i-0" if is_later else "i-1")
    assert keeper._observed.left_instance == keeper.owed.instance
    assert [record.instance for record in shared] == ["i-1"]


@pytest.mark.parametrize("operation", ["drain", "deregister"])
def test_a_departure_survives_a_kill_during_the_outage(run_fleet, operation):
    # Guards against a departure that only the process knows that acknowledged it: it is
    # killed before the store is back, and the next one uses the endpoint again.
    async def scenario(fleet):
        vm = fleet.vms[-1]
        vm.endpoint._task.cancel()
        fleet.store.faults = StoreFaults(refusal=Refusal.BUSY, pause_leases=True)
        status = await getattr(vm.endpoint, operation)()
        holders = sum(
            vm.settings.node in other.daemon._hub.departures._held_by_node
            for other in fleet.vms[:-1]
        )
        reannounced = await fleet.restart_before_late_heartbeat(vm)
        for number in range(60):
            await fleet.call(f"/stock/{number}", vm=number % len(fleet.vms))
            await asyncio.sleep(0.02)
        fleet.store.faults = StoreFaults()
        await fleet.wait_until(
            lambda: fleet.store.keys("outgoing/"), timeout_s=CONTACT_S
        )
        return (status, reannounced), holders, fleet.executions("/stock/")

    statuses, holders, executions = run_fleet(scenario, services=(WIDE, STOCK))
    assert statuses == (200, 200)
    assert holders == HOLDERS_PER_ZONE + 1
    assert executions == []
