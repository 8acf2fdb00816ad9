"""Fixtures of the relay's tests: a fleet of daemons with fakes of the platform."""

import asyncio

import pytest
from vanillapitch_testbed.event_loop import SteadyEventLoop
from vanillapitch_testbed.platform_standins import ServiceSpec, SimulatedFleet

SHOP = ServiceSpec(name="shop", zones=("a", "b"), slots=8)
STOCK = ServiceSpec(name="stock", zones=("b",), slots=8)


@pytest.fixture
def run_fleet():
    """Run a coroutine function with a started fleet as its argument."""

    def run(scenario, *, services=(SHOP, STOCK), start=True, **options):
        async def body():
            fleet = SimulatedFleet(services=list(services))
            try:
                if start:
                    await fleet.start(**options)
                return await scenario(fleet)
            finally:
                await fleet.stop()

        with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
            return runner.run(asyncio.wait_for(body(), 30))

    return run
