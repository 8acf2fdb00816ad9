"""Resource usage for calls at the ingress and at the owner, and for keyed requests."""

import concurrent.futures
import time

import urllib3

from vanillapitch_testbed.callers import Call, percentile_ms, send
from vanillapitch_testbed.claims_load import measure as measure_claims
from vanillapitch_testbed.fleet import Deployment, Fleet, Service
from vanillapitch_testbed.slopes._fit import Point
from vanillapitch_testbed.slopes._process import sample

__all__ = ["measure_calls", "measure_keyed"]

WARM_UP_S = 6.0
WARM_UP_RATE_PER_S = 60.0
THREADS = 16
TIMEOUT_MS = 2_000
COMMITTER_SHARDS = 16
# No call goes to the backend server of the first daemon, so that this daemon is only
# ingress and the second one only owner.
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
    """Measure one daemon that is only ingress and one that is only owner.

    Parameters
    ----------
    rates : tuple of float
        Calls per second through the ingress; 0 measures without load.
    window_s : float
        Duration of each load.
    warm_up_s : float
        Duration of the load before the first measurement, during which the endpoint
        completes its cold start.

    Returns
    -------
    list of Point
        One for each rate.
    """
    with Fleet(deployment=DEPLOYMENT) as fleet:
        ingress, owner = fleet.vms
        _send_calls((ingress.callers,), WARM_UP_RATE_PER_S, warm_up_s)
        points = []
        for rate in rates:
            before = [sample(vm.daemon.pid) for vm in (ingress, owner)]
            # Calls alternate between both, so that machine noise affects both alike.
            addresses = (ingress.callers, owner.backend_address)
            sent, elapsed_s = _send_calls(addresses, rate, window_s)
            after = [sample(vm.daemon.pid) for vm in (ingress, owner)]
            proxied = [call for call in sent if call.sent_to == ingress.callers]
            direct = [call for call in sent if call.sent_to != ingress.callers]
            usages = [b.usage_since(a) for a, b in zip(before, after, strict=True)]
            values = {
                "ingress_cpu_percent": usages[0].cpu_percent,
                "owner_cpu_percent": usages[1].cpu_percent,
                "ingress_resident_mb": after[0].resident_mb,
                "owner_resident_mb": after[1].resident_mb,
                "answered_per_s": sum(call.answered for call in proxied) / elapsed_s,
                "unanswered_count": sum(not call.answered for call in proxied),
            }
            points.append(
                Point(
                    x=len(proxied) / elapsed_s,
                    values_by_figure=values | _added_latency_ms(proxied, direct),
                )
            )
    return points


def measure_keyed(rates: tuple[float, ...], *, window_s: float) -> list[Point]:
    """Measure the store writes for keyed requests through one committer.

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
        measured = measure_claims(shards=COMMITTER_SHARDS, rate=rate, seconds=window_s)
        values = {
            "store_writes_per_s": measured.writes_per_second,
            "store_writes_per_request": measured.writes_per_request,
            "claim_p50_ms": measured.claim_p50_ms,
            "claim_p99_ms": measured.claim_p99_ms,
            "refused_count": measured.refused,
        }
        points.append(Point(x=measured.requests_per_second, values_by_figure=values))
    return points


def _added_latency_ms(proxied: list[Call], direct: list[Call]) -> dict[str, float]:
    proxied_ms = sorted(call.latency_ms for call in proxied if call.answered)
    direct_ms = sorted(call.latency_ms for call in direct if call.answered)
    if not proxied_ms or not direct_ms:
        return {}
    return {
        f"added_p{100 * quantile:.0f}_ms": percentile_ms(proxied_ms, quantile)
        - percentile_ms(direct_ms, quantile)
        for quantile in (0.50, 0.99)
    }


def _send_calls(
    addresses: tuple[str, ...], rate: float, window_s: float
) -> tuple[list[Call], float]:
    """Send calls to all addresses in an open loop; return them and the duration."""
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
