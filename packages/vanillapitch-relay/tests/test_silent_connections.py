"""Open connections that go silent for good, while new ones work."""

import asyncio

import pytest
from vanillapitch_relay import registration
from vanillapitch_testbed.platform_standins import ServiceSpec, make_route

# A daemon must act on the current state this long after its connections went silent.
CONTACT_S = 3.0
TWO_ZONES = (ServiceSpec(name="shop", zones=("a", "a", "a", "b", "b", "b")),)


def versions(fleet):
    return {vm.daemon._configuration.version for vm in fleet.vms}


@pytest.mark.parametrize("call_after_s", [None, 0.4, 1.0, 1.6])
def test_a_change_after_a_silence_is_in_force_in_time(
    run_fleet, monkeypatch, call_after_s
):
    # Guards against daemons that serve an old configuration while their watches wait on
    # silent connections. No lease is renewed meanwhile, which would show the silence;
    # another call may be waiting on its own silent connection.
    monkeypatch.setattr(registration, "RENEW_INTERVAL_MS", 60_000.0)
    monkeypatch.setattr(registration, "INTRODUCERS_CHECK_MS", 60_000.0)

    async def scenario(fleet):
        await fleet.wait_until(lambda: len(fleet.store.keys("owners/")) >= 2)
        await asyncio.sleep(3.0)
        # All watches start anew with this change.
        fleet.configure(routes=[make_route("first", service="shop")])
        await fleet.wait_until(lambda: versions(fleet) == {"00000002"})
        await asyncio.sleep(0.1)
        fleet.store.silence_connections()
        loop = asyncio.get_running_loop()
        silent_s = loop.time()
        calls = []
        if call_after_s is not None:
            await asyncio.sleep(call_after_s)
            calls = [asyncio.create_task(vm.daemon._store.get("x")) for vm in fleet.vms]
        await asyncio.sleep(max(0.0, silent_s + 0.6 - loop.time()))
        fleet.configure(routes=[make_route("second", service="shop")])
        await fleet.wait_until(lambda: versions(fleet) == {"00000003"}, timeout_s=9)
        took_s = loop.time() - silent_s
        await asyncio.gather(*calls, return_exceptions=True)
        return took_s

    assert run_fleet(scenario, services=TWO_ZONES) <= CONTACT_S
