"""Tests of the records that the soak's faults make."""

import random
import types

import pytest
from vanillapitch_testbed.fleet import DEPLOYMENTS, FleetError
from vanillapitch_testbed.soak import _faults


class ZoneFleet:
    """Fleet that answers each zone change with the next status."""

    deployment = DEPLOYMENTS["small"]

    def __init__(self, statuses):
        self.statuses = statuses
        daemon = types.SimpleNamespace(is_running=lambda: True, stopped=False)
        self.vms = [
            types.SimpleNamespace(name=f"vm-{zone}", zone=zone, daemon=daemon)
            for zone in self.deployment.zones
        ]

    def set_zone(self, zone, *, in_service, vm):
        return types.SimpleNamespace(status=self.statuses.pop(0))


def test_a_period_ends_at_the_first_request_to_reverse_it(monkeypatch):
    # Guards against a report of late requests at a zone that is in service again,
    # because the response to the change that returned it was lost.
    context = _faults.FaultContext(
        fleet=ZoneFleet([200, 503, 200]), rng=random.Random(1)
    )
    times_ms = iter([1_000, 6_000, 9_000])
    monkeypatch.setattr(
        _faults, "_CLOCK", types.SimpleNamespace(wall_ms=lambda: next(times_ms))
    )
    fault = _faults._zone_out(context)
    with pytest.raises(FleetError):
        fault.undo()
    fault.undo()
    assert [(each.began_ms, each.ended_ms) for each in context.windows] == [
        (1_000, 6_000)
    ]
