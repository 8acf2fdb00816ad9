"""The deployment's programs as processes, on stand-ins of the platform."""

import asyncio
import contextlib
import signal

import pytest
from vanillapitch_testbed.platform_demo import run_demo
from vanillapitch_testbed.platform_standins import ServiceSpec
from vanillapitch_testbed.platform_standins._processes import (
    STOP_TIMEOUT_S,
    ProcessFleet,
)

pytestmark = pytest.mark.integration

SHOP = ServiceSpec(name="shop", zones=("a", "b"))


def run_processes(scenario):
    async def body():
        fleet = ProcessFleet(services=[SHOP])
        try:
            await fleet.start()
            return await scenario(fleet)
        finally:
            await fleet.stop()

    return asyncio.run(asyncio.wait_for(body(), 60))


def test_the_demo_breaks_no_promise():
    # Guards against a deployment that works only inside one event loop.
    report = asyncio.run(asyncio.wait_for(run_demo(seed=7), 90))
    assert report.violations == []
    assert len(report.requests) > 500


def test_signals_stop_and_reload(tmp_path):
    # Guards against a reload that ends the process and a stop that is not clean.
    async def scenario(fleet):
        vm = fleet.vms[0]
        fleet.signal(vm, signal.SIGHUP)
        await asyncio.sleep(0.3)
        response = await fleet.call("/shop/a")
        fleet.signal(vm, signal.SIGTERM)
        return response, await fleet.wait_for_exit(vm), fleet.log_of(vm)

    response, code, log = run_processes(scenario)
    assert (response.status, code) == (200, 0)
    events = ['"started"', '"reloaded"', '"stopping"', '"stopped"']
    positions = [log.index(event) for event in events]
    assert positions == sorted(positions)


def test_stop_signals_until_the_end_change_nothing():
    # Seen in the soak with seed 11: a second SIGTERM met the end of the interpreter,
    # when its default action was in force again.
    async def scenario(fleet):
        vm = fleet.vms[0]
        waiting = asyncio.create_task(fleet.wait_for_exit(vm))
        while not waiting.done():
            with contextlib.suppress(ProcessLookupError):
                fleet.signal(vm, signal.SIGTERM)
            await asyncio.sleep(0.001)
        return await waiting

    assert run_processes(scenario) == 0


def test_signals_leave_the_exit_code_of_a_process_to_its_waiter():
    # Seen in CI: a signal at the moment of the end reaped the process, and its exit
    # code was reported as 255.
    async def scenario(fleet):
        vm = fleet.vms[0]
        fleet.signal(vm, signal.SIGTERM)
        await fleet.wait_until(
            lambda: '"stopped"' in fleet.log_of(vm), timeout_s=STOP_TIMEOUT_S
        )
        with contextlib.suppress(ProcessLookupError):
            async with asyncio.timeout(STOP_TIMEOUT_S):
                while True:
                    fleet.signal(vm, signal.SIGTERM)
                    await asyncio.sleep(0)
        return await fleet.wait_for_exit(vm)

    assert run_processes(scenario) == 0


def test_a_stopped_process_loses_its_work_and_gets_it_back():
    # Guards against calls that hang on a daemon that does not run.
    async def scenario(fleet):
        frozen = fleet.vms[1]
        fleet.signal(frozen, signal.SIGSTOP)
        await asyncio.sleep(2.5)
        responses = [await fleet.call(f"/shop/{number}") for number in range(20)]
        fleet.signal(frozen, signal.SIGCONT)
        before = len(frozen.endpoint.executions)
        async with asyncio.timeout(5):
            while len(frozen.endpoint.executions) < before + 3:
                await asyncio.gather(*(fleet.call(f"/shop/b{n}") for n in range(12)))
        return responses

    responses = run_processes(scenario)
    assert [response.status for response in responses] == [200] * 20
