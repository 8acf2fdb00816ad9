"""Short run of the soak; ``make soak`` runs it for longer."""

import pytest
from vanillapitch_testbed.fleet import DEPLOYMENTS
from vanillapitch_testbed.soak import run_soak

pytestmark = pytest.mark.integration

DURATION_S = 20
SEED = 11


def test_the_invariants_hold_under_several_faults_at_once():
    # Guards against faults that are handled one at a time but not in combination.
    result = run_soak(deployment=DEPLOYMENTS["small"], seconds=DURATION_S, seed=SEED)
    report = "\n".join([*map(str, result.violations), *result.timeline])
    assert not result.violations, report
    assert sum(call.answered for call in result.calls) > 500
    assert len(result.faults_by_kind) >= 5
