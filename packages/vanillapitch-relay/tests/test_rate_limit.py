"""Endpoints that name in their responses how many requests a second they accept."""

import asyncio

import pytest
from vanillapitch_testbed.platform_standins import ServiceSpec

SHOP = (ServiceSpec(name="shop", zones=("a", "b"), slots=8),)
# In any 4 s an endpoint may get one and a half times its limit, and 5 requests more.
WINDOW_S, OVERSHOOT, SLACK = 4.0, 1.5, 5.0


async def offer(fleet, *, per_s, seconds, targets=("/shop/a",)):
    """Send requests at a constant rate to all daemons; return all responses."""
    loop = asyncio.get_running_loop()
    calls = []
    for number in range(int(per_s * seconds)):
        target = targets[number % len(targets)]
        vm = number % len(fleet.vms)
        calls.append(loop.create_task(fleet.call(target, vm=vm, deadline_ms=1_000)))
        await asyncio.sleep(1.0 / per_s)
    return await asyncio.gather(*calls)


def most_in_window(times_s):
    return max(
        (
            sum(start <= time_s < start + WINDOW_S for time_s in times_s)
            for start in times_s
        ),
        default=0,
    )


@pytest.mark.parametrize("limit", [0.5, 3.0, 12.7])
def test_an_endpoint_gets_no_more_requests_than_it_names(run_fleet, limit):
    # Guards against an endpoint that is overloaded further after it named its limit.
    async def scenario(fleet):
        for vm in fleet.vms:
            vm.endpoint.faults.rate_limit = str(limit)
        await asyncio.sleep(0.6)
        since_s = asyncio.get_running_loop().time()
        await offer(fleet, per_s=60, seconds=5)
        return [
            [e.started_s for e in vm.endpoint.executions if e.started_s >= since_s]
            for vm in fleet.vms
        ]

    for times_s in run_fleet(scenario, services=SHOP):
        assert most_in_window(times_s) <= limit * WINDOW_S * OVERSHOOT + SLACK
        assert len(times_s) >= limit * 5.0 * 0.8 - 1.0
