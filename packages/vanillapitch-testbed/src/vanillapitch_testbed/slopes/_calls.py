"""Cost of calls at the ingress and at the owner, and of keyed requests."""

import concurrent.futures
import time

import urllib3

from vanillapitch_testbed.callers import Call, percentile_ms, send
from vanillapitch_testbed.claims_load import measure as measure_claims
from vanillapitch_testbed.fleet import Deployment, Fleet, Service
from vanillapitch_testbed.slopes._figures import Point
from vanillapitch_testbed.slopes._process import sample

__all__ = ["measure_calls", "measure_keyed"]

WARM_UP_S = 6.0
WARM_UP_RATE = 60.0
THREADS = 16
TIMEOUT_MS = 2_000
COMMITTER_SHARDS = 16
# The first daemon has a backend server that no caller uses, so that each of the two
# daemons has one role only.
DEPLOYMENT = Deployment(
    name="slopes-calls",
    region="region-1",
    zones=("z-1",),
    services=(
        Service(name="unused", endpoints=1, kind="read", service_ms=2.0),
        Service(name="used", endpoints=1, kind="read", service_ms=2.0),
    ),
    slots=16,
)


def measure_calls(
    rates: tuple[float, ...], *, window_s: float, warm_up_s: float = WARM_UP_S
) -> list[Point]:
    """Measure a daemon as ingress only and one as owner only.

    Parameters
    ----------
    rates : tuple of float
        Calls per second; 0 for none.
    window_s : float
        Duration of each load.
    warm_up_s : float
        Duration of the load before, in which the cold start of the endpoint ends.

    Returns
    -------
    list of Point
        One for each rate.
    """
    with Fleet(deployment=DEPLOYMENT) as fleet:
        ingress, owner = fleet.vms
        _send_calls((ingress.callers,), WARM_UP_RATE, warm_up_s)
        points = []
        for rate in rates:
            before = [sample(vm.daemon.pid) for vm in (ingress, owner)]
            # Sent in turn, so that both meet the same state of the machine.
            addresses = (ingress.callers, owner.backend_address)
            sent, elapsed_s = _send_calls(addresses, rate, window_s)
            after = [sample(vm.daemon.pid) for vm in (ingress, owner)]
            calls = [call for call in sent if call.sent_to == ingress.callers]
            direct = [call for call in sent if call.sent_to != ingress.callers]
            spent = [b.spent_since(a) for a, b in zip(before, after, strict=True)]
            values = {
                "ingress_cpu_percent": spent[0].cpu_percent,
                "owner_cpu_percent": spent[1].cpu_percent,
                "ingress_resident_mb": after[0].resident_mb,
                "owner_resident_mb": after[1].resident_mb,
                "answered_per_s": sum(call.answered for call in calls) / elapsed_s,
                "unanswered_count": sum(not call.answered for call in calls),
            }
            points.append(
                Point(
                    x=len(calls) / elapsed_s,
                    values_by_figure=values | _added(calls, direct),
                )
            )
    return points


def measure_keyed(rates: tuple[float, ...], *, window_s: float) -> list[Point]:
    """Measure writes to the store for keyed requests through one committer.

    Parameters
    ----------
    rates : tuple of float
        Keyed requests per second.
    window_s : float
        Duration of each load.

    Returns
    -------
    list of Point
        One for each rate.
    """
    points = []
    for rate in rates:
        figures = measure_claims(shards=COMMITTER_SHARDS, rate=rate, seconds=window_s)
        values = {
            "store_writes_per_s": figures.writes_per_second,
            "store_writes_per_request": figures.writes_per_request,
            "claim_p50_ms": figures.claim_p50_ms,
            "claim_p99_ms": figures.claim_p99_ms,
            "refused_count": figures.refused,
        }
        points.append(Point(x=figures.requests_per_second, values_by_figure=values))
    return points


def _added(calls: list[Call], direct: list[Call]) -> dict[str, float]:
    through_ms = sorted(call.latency_ms for call in calls if call.answered)
    direct_ms = sorted(call.latency_ms for call in direct if call.answered)
    if not through_ms or not direct_ms:
        return {}
    return {
        f"added_p{100 * share:.0f}_ms": percentile_ms(through_ms, share)
        - percentile_ms(direct_ms, share)
        for share in (0.50, 0.99)
    }


def _send_calls(
    addresses: tuple[str, ...], rate: float, window_s: float
) -> tuple[list[Call], float]:
    """Send calls to each address in an open loop; return them with the duration."""
    started_s = time.monotonic()
    if rate == 0:
        time.sleep(window_s)
        return [], window_s
    interval_s = 1.0 / (rate * len(addresses))
    count = max(1, round(window_s / interval_s))
    pool = urllib3.PoolManager(maxsize=THREADS)
    with concurrent.futures.ThreadPoolExecutor(THREADS) as threads:
        futures = []
        for index in range(count):
            time.sleep(max(0.0, started_s + index * interval_s - time.monotonic()))
            address = addresses[index % len(addresses)]
            futures.append(threads.submit(_send_one, pool, address))
        elapsed_s = time.monotonic() - started_s
        calls = [future.result() for future in futures]
    pool.clear()
    return calls, elapsed_s


def _send_one(pool: urllib3.PoolManager, address: str) -> Call:
    call = Call(service="used", method="GET", target="/used/item?bytes=500")
    return send(pool, call, address=address, timeout_ms=TIMEOUT_MS)
