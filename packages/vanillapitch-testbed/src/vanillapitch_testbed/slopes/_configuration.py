"""Resource usage for the tables and for configuration changes."""

import time

from vanillapitch_testbed.fleet import Fleet, FleetError
from vanillapitch_testbed.slopes._fit import Point
from vanillapitch_testbed.slopes._fleets import (
    make_deployment,
    put_large_tables,
    read_store_counters,
)
from vanillapitch_testbed.slopes._process import sample

__all__ = ["measure_changes", "measure_tables"]

_POLL_INTERVAL_S = 0.01
_PROPAGATION_TIMEOUT_S = 9.0


def measure_tables(sizes: tuple[int, ...]) -> list[Point]:
    """Measure the memory of a daemon at several sizes of its tables.

    Parameters
    ----------
    sizes : tuple of int
        Numbers of services, each with a route and a pool.

    Returns
    -------
    list of Point
        One for each size.
    """
    points = []
    for size in sizes:
        with Fleet(deployment=make_deployment(endpoints=1)) as fleet:
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
    """Measure daemons while the tables are changed at one of them.

    Parameters
    ----------
    rates : tuple of float
        Changes per second; 0 measures without changes.
    daemons : int
        Number of real daemons, in two zones.
    services : int
        Number of services in the tables.
    window_s : float
        Duration of each load.

    Returns
    -------
    list of Point
        One for each rate.
    """
    points = []
    deployment = make_deployment(endpoints=daemons, zones=2)
    with Fleet(deployment=deployment) as fleet:
        put_large_tables(fleet, fleet.vms[0], services)
        for rate in rates:
            before = [sample(vm.daemon.pid) for vm in fleet.vms]
            calls_before = sum(read_store_counters(fleet)["calls_by_kind"].values())
            started_s = time.monotonic()
            propagation_times_ms = [
                _apply_change(fleet, started_s + index / rate)
                for index in range(round(rate * window_s))
            ]
            time.sleep(max(0.0, started_s + window_s - time.monotonic()))
            elapsed_s = time.monotonic() - started_s
            calls = (
                sum(read_store_counters(fleet)["calls_by_kind"].values()) - calls_before
            )
            after = [sample(vm.daemon.pid) for vm in fleet.vms]
            cpu_percents = [
                b.usage_since(a).cpu_percent for a, b in zip(before, after, strict=True)
            ]
            values = {
                "operator_cpu_percent": cpu_percents[0],
                "others_mean_cpu_percent": sum(cpu_percents[1:])
                / len(cpu_percents[1:]),
                "store_calls_per_s": calls / elapsed_s,
            }
            if propagation_times_ms:
                values["in_force_max_ms"] = max(propagation_times_ms)
            x = len(propagation_times_ms) / elapsed_s
            points.append(Point(x=x, values_by_figure=values))
    return points


def _apply_change(fleet: Fleet, at_s: float) -> float:
    """Change the tables at the given time; return the ms until all daemons adopt it."""
    time.sleep(max(0.0, at_s - time.monotonic()))
    operator = fleet.vms[0]
    base = fleet.tables(operator)
    started_s = time.monotonic()
    response = fleet.put_tables(operator, base=base)
    if response.status != 200:
        raise FleetError(f"PUT /v1/tables returned status {response.status}")
    revision = base["revision"] + 1
    pending = list(fleet.vms)
    while pending:
        if time.monotonic() - started_s > _PROPAGATION_TIMEOUT_S:
            raise FleetError(f"revision {revision} not adopted by all daemons in 9 s")
        if fleet.status(pending[-1])["revision"] >= revision:
            pending.pop()
        else:
            time.sleep(_POLL_INTERVAL_S)
    return (time.monotonic() - started_s) * 1_000
