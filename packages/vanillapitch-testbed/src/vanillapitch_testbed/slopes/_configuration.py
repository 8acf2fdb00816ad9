"""Cost of the tables and of configuration changes."""

import time

from vanillapitch_testbed.fleet import Fleet, FleetError
from vanillapitch_testbed.slopes._figures import Point
from vanillapitch_testbed.slopes._fleets import (
    deployment_of,
    put_large_tables,
    store_calls,
)
from vanillapitch_testbed.slopes._process import sample

__all__ = ["measure_changes", "measure_tables"]

_POLL_S = 0.01
_FORCE_TIMEOUT_S = 9.0


def measure_tables(sizes: tuple[int, ...]) -> list[Point]:
    """Measure a daemon against the size of its tables.

    Parameters
    ----------
    sizes : tuple of int
        Services, each with a route and a pool.

    Returns
    -------
    list of Point
        One for each size.
    """
    points = []
    for size in sizes:
        with Fleet(deployment=deployment_of(endpoints=1)) as fleet:
            vm = fleet.vms[0]
            document_bytes = put_large_tables(fleet, vm, size)
            time.sleep(1.0)
            state = sample(vm.daemon.pid)
            values = {
                "document_bytes": document_bytes,
                "resident_mb": state.resident_mb,
                "anonymous_mb": state.anonymous_mb,
            }
            points.append(Point(x=size, values_by_figure=values))
    return points


def measure_changes(
    rates: tuple[float, ...], *, daemons: int, services: int, window_s: float
) -> list[Point]:
    """Measure daemons while operators change the tables.

    Parameters
    ----------
    rates : tuple of float
        Changes per second; 0 for none.
    daemons : int
        Number of real daemons, in two zones.
    services : int
        Services of the tables.
    window_s : float
        Duration of each load.

    Returns
    -------
    list of Point
        One for each rate.
    """
    points = []
    deployment = deployment_of(endpoints=daemons, zones=2)
    with Fleet(deployment=deployment) as fleet:
        put_large_tables(fleet, fleet.vms[0], services)
        for rate in rates:
            before = [sample(vm.daemon.pid) for vm in fleet.vms]
            calls_before = sum(store_calls(fleet)["calls_by_kind"].values())
            started_s = time.monotonic()
            force_ms = [
                _change(fleet, started_s + index / rate)
                for index in range(round(rate * window_s))
            ]
            time.sleep(max(0.0, started_s + window_s - time.monotonic()))
            elapsed_s = time.monotonic() - started_s
            calls = sum(store_calls(fleet)["calls_by_kind"].values()) - calls_before
            after = [sample(vm.daemon.pid) for vm in fleet.vms]
            shares = [
                b.spent_since(a).cpu_percent for a, b in zip(before, after, strict=True)
            ]
            values = {
                "operator_cpu_percent": shares[0],
                "others_mean_cpu_percent": sum(shares[1:]) / len(shares[1:]),
                "store_calls_per_s": calls / elapsed_s,
            }
            if force_ms:
                values["in_force_max_ms"] = max(force_ms)
            x = len(force_ms) / elapsed_s
            points.append(Point(x=x, values_by_figure=values))
    return points


def _change(fleet: Fleet, at_s: float) -> float:
    """Change the tables at a time, and return the time until all daemons have them."""
    time.sleep(max(0.0, at_s - time.monotonic()))
    operator = fleet.vms[0]
    base = fleet.tables(operator)
    started_s = time.monotonic()
    response = fleet.put_tables(operator, base=base)
    if response.status != 200:
        raise FleetError(f"PUT /v1/tables: {response.status}")
    revision = base["revision"] + 1
    waiting = list(fleet.vms)
    while waiting:
        if time.monotonic() - started_s > _FORCE_TIMEOUT_S:
            raise FleetError(f"revision {revision} is not in force within 9 s")
        if fleet.status(waiting[-1])["revision"] >= revision:
            waiting.pop()
        else:
            time.sleep(_POLL_S)
    return (time.monotonic() - started_s) * 1_000
