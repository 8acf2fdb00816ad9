"""The task that watches the operators' keys."""

import asyncio

import pytest
from vanillapitch_adapter.main import DIALECT
from vanillapitch_core.clock import SystemClock
from vanillapitch_relay.configuration_follower import (
    STARTUP_DELAY_MS,
    ConfigurationFollower,
)
from vanillapitch_relay.configuration_state import ConfigurationState
from vanillapitch_relay.metrics import Metrics
from vanillapitch_relay.model import Bounds
from vanillapitch_relay.store_reachability import StoreReachability
from vanillapitch_store.exceptions import StoreUnavailable
from vanillapitch_store.model import PrefixResult

BOUNDS = Bounds(
    grace_ms=6_000.0,
    retry_ratio=0.1,
    retry_slack=5.0,
    retry_window_ms=10_000.0,
    cold_overshoot=1.0,
    cold_slack=1.0,
    reconnect_ms=3_000.0,
)


class SlowlyCancelledStore:
    """Store whose pending watch ends some iterations after its cancellation."""

    def __init__(self):
        self.watches = 0
        self.ending = asyncio.Event()

    async def watch_prefix(self, prefix, *, after_revision, timeout_ms):
        self.watches += 1
        try:
            await asyncio.sleep(60)
        finally:
            self.ending.set()
            await asyncio.sleep(0.05)

    async def get_prefix(self, prefix, *, before_watch=False):
        return PrefixResult(entries=(), revision=1)


@pytest.mark.parametrize("moment", ["pending", "ending"])
def test_the_follower_ends_when_it_is_cancelled(moment):
    # Guards against a daemon that keeps watching while it stops, because the
    # cancellation comes while the follower itself waits for a cancelled watch.
    async def scenario():
        store = SlowlyCancelledStore()
        reachability = StoreReachability(metrics=Metrics())
        follower = ConfigurationFollower(
            store=store,
            keys=DIALECT.keys,
            configuration=ConfigurationState(
                dialect=DIALECT, clock=SystemClock(), on_change=lambda _: None
            ),
            reachability=reachability,
            bounds=lambda: BOUNDS,
        )
        reachability.on_change = follower.on_reachability_change
        follower.set_follower(True)
        start = PrefixResult(entries=(), revision=1)
        task = asyncio.ensure_future(follower.run(start))
        await asyncio.sleep(STARTUP_DELAY_MS / 1_000.0 + 0.1)
        if moment == "ending":
            reachability.record_response("get")
            reachability.record_failure("get", StoreUnavailable("no response"))
            await store.ending.wait()
        task.cancel()
        await asyncio.wait((task,), timeout=1.0)
        watches, cancelled = store.watches, task.cancelled()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return watches, cancelled

    assert asyncio.run(asyncio.wait_for(scenario(), 10)) == (1, True)
