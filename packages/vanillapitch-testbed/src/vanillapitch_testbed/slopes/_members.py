"""Resource usage for membership: real daemons, simulated members and restarts."""

import time

from vanillapitch_testbed.fleet import Fleet, Vm
from vanillapitch_testbed.slopes._fit import Point
from vanillapitch_testbed.slopes._fleets import (
    GOSSIP_KEY,
    make_deployment,
    put_large_tables,
    read_gossip_bytes,
    read_store_counters,
)
from vanillapitch_testbed.slopes._process import sample
from vanillapitch_testbed.slopes._simulated_members import SimulatedMembers

__all__ = [
    "measure_real_members",
    "measure_restarts",
    "measure_simulated_members",
]

# After this time, the daemon no longer repeats new records at the initial rate.
SETTLE_S = 6.0
# Covers one long-polling watch and one lease renewal of each daemon.
STORE_WINDOW_S = 20.0
SERVICES = 18


def measure_real_members(
    counts: tuple[int, ...], *, window_s: float, settle_s: float = SETTLE_S
) -> list[Point]:
    """Measure a daemon in fleets of real daemons without calls.

    Parameters
    ----------
    counts : tuple of int
        Numbers of daemons.
    window_s : float
        Minimum duration of each measurement; raised to 20 s for the calls to the
        store.
    settle_s : float
        Wait before each measurement, during which the membership converges.

    Returns
    -------
    list of Point
        One for each count.
    """
    window_s = max(window_s, STORE_WINDOW_S)
    points = []
    for count in counts:
        with Fleet(deployment=make_deployment(endpoints=count)) as fleet:
            time.sleep(settle_s)
            calls_before = sum(read_store_counters(fleet)["calls_by_kind"].values())
            values = _measure_usage(fleet.vms[-1], window_s)
            counters = read_store_counters(fleet)
            calls = sum(counters["calls_by_kind"].values()) - calls_before
            values["store_calls_per_s"] = calls / window_s
            values["store_watches_open"] = counters["watches_open"]
            points.append(Point(x=count, values_by_figure=values))
    return points


def measure_simulated_members(
    counts: tuple[int, ...], *, window_s: float, settle_s: float = SETTLE_S
) -> list[Point]:
    """Measure one real daemon that holds the records of simulated members.

    Parameters
    ----------
    counts : tuple of int
        Numbers of members, the daemon included.
    window_s, settle_s : float
        As in `measure_real_members`.

    Returns
    -------
    list of Point
        One for each count.
    """
    return [
        _measure_with_simulated_members(
            count, count, 0.0, window_s=window_s, settle_s=settle_s
        )
        for count in counts
    ]


def measure_restarts(
    rates: tuple[float, ...],
    *,
    members: int,
    window_s: float,
    settle_s: float = SETTLE_S,
) -> list[Point]:
    """Measure one real daemon while simulated members restart.

    Parameters
    ----------
    rates : tuple of float
        Restarts per second of all members together.
    members : int
        Number of members, the daemon included.
    window_s, settle_s : float
        As in `measure_real_members`.

    Returns
    -------
    list of Point
        One for each rate.
    """
    return [
        _measure_with_simulated_members(
            rate, members, rate, window_s=window_s, settle_s=settle_s
        )
        for rate in rates
    ]


def _measure_with_simulated_members(
    x: float, members: int, restarts_per_s: float, *, window_s: float, settle_s: float
) -> Point:
    with Fleet(deployment=make_deployment(endpoints=1)) as fleet:
        vm = fleet.vms[0]
        put_large_tables(fleet, vm, SERVICES)
        with SimulatedMembers(
            members=members - 1,
            daemon_gossip=vm.gossip,
            cluster_key=GOSSIP_KEY,
            restarts_per_s=restarts_per_s,
        ) as simulated_members:
            time.sleep(settle_s)
            messages_before = simulated_members.message_count
            values = _measure_usage(vm, window_s)
            messages = simulated_members.message_count - messages_before
            values["messages_per_s"] = messages / window_s
            members_by_state = fleet.status(vm)["members_by_state"]
            values["members_alive_count"] = members_by_state.get("alive", 0)
    return Point(x=x, values_by_figure=values)


def _measure_usage(vm: Vm, window_s: float) -> dict[str, float]:
    bytes_before = read_gossip_bytes(vm)
    before = sample(vm.daemon.pid)
    time.sleep(window_s)
    after = sample(vm.daemon.pid)
    usage = after.usage_since(before)
    return {
        "gossip_bytes_per_s": (read_gossip_bytes(vm) - bytes_before) / window_s,
        "cpu_percent": usage.cpu_percent,
        "wakeups_per_s": usage.wakeups_per_s,
        "resident_mb": after.resident_mb,
        "anonymous_mb": after.anonymous_mb,
        "threads_count": after.threads,
    }
