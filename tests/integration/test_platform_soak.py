"""Short soaks of the deployment's programs; the module runs them longer by hand."""

import asyncio

import pytest
from vanillapitch_testbed.platform_soak import run_soak

pytestmark = pytest.mark.integration

SECONDS = 6.0
# Seed 102 has planned work alone, so that each lost request counts. Seed 140: all power
# is lost while the store is silent, when no daemon can know a configuration.
SEEDS = (102, 140)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken_under_random_faults(seed):
    # Guards against faults that are handled one by one and not in combination.
    report = asyncio.run(asyncio.wait_for(run_soak(seed=seed, seconds=SECONDS), 60))
    assert report.violations == []
    assert report.statuses[200] > 100
    assert sum(report.faults.values()) >= 3
