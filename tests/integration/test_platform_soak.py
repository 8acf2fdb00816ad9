"""Short soaks of the platform deployment.

``make soak DEPLOYMENT=platform`` runs more and longer ones.
"""

import asyncio

import pytest
from vanillapitch_testbed.platform_soak import (
    FAULTS,
    LIMITS_AND_RESTORES,
    Fault,
    run_soak,
)

pytestmark = pytest.mark.integration

DURATION_S = 6.0
# Seed 102 selects planned operations only, so that every lost request is a violation.
# Seed 140 kills all daemons at once while the store does not respond, so that no daemon
# can load a configuration.
# Seed 24 draws an endpoint that names a rate, and seed 25 restores of the store.
CASES = (
    (102, FAULTS),
    (140, FAULTS),
    (24, LIMITS_AND_RESTORES),
    (25, LIMITS_AND_RESTORES),
)


@pytest.mark.parametrize(("seed", "choices"), CASES)
def test_no_guarantee_is_violated_under_random_faults(seed, choices):
    # Guards against faults that are handled one at a time but not in combination.
    soak = run_soak(seed=seed, seconds=DURATION_S, choices=choices)
    report = asyncio.run(asyncio.wait_for(soak, 60))
    assert report.violations == []
    assert report.statuses[200] > 100
    assert sum(report.faults.values()) >= 3


def test_a_fault_that_fails_is_reported_with_the_logs():
    # Guards against a soak that ends with the error of a daemon that did not start or
    # stop in time, and keeps nothing that shows why.
    async def stop_too_slowly(context):
        raise TimeoutError("a daemon is still running")

    fault = Fault(name="stop", apply=stop_too_slowly)
    soak = run_soak(seed=140, seconds=1.0, choices=(fault,))
    report = asyncio.run(asyncio.wait_for(soak, 60))
    violation = "FAULT: stop failed: TimeoutError('a daemon is still running')"
    assert violation in report.violations
    assert '"started"' in report.logs_by_node["vm-1"]
