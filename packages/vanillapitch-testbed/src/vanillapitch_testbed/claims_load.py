"""Measure the store writes per keyed request at several request rates.

Usage: ``python -m vanillapitch_testbed.claims_load --shards 1 --rates 5,20,100``. All
requests go through one committer; each claims a different key and ends with a small
result. The load is open-loop, so that a slow store does not reduce the request rate.
Prints one line of JSON per rate.
"""

import argparse
import concurrent.futures
import dataclasses
import sys
import time
import uuid

import msgspec
from vanillapitch_core import SystemClock
from vanillapitch_core.claims import ClaimResult
from vanillapitch_daemon.claims import (
    Claim,
    ClaimsComponents,
    Executed,
    ShardsChanged,
    build_claims,
)
from vanillapitch_daemon.transport import Transport
from vanillapitch_store import EtcdGatewayStore

from vanillapitch_testbed.store import StoreProcess

__all__ = ["LoadMeasurement", "main", "measure"]

STORE_TIMEOUT_MS = 1_000
DEADLINE_MS = 5_000
SETTLE_TIMEOUT_MS = 10_000
SENDER_THREADS = 128
RESULT_BODY = b"r" * 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadMeasurement:
    """Measurements at one request rate.

    Attributes
    ----------
    requests_per_second : float
        Rate at which requests started.
    requests : int
        Number of requests.
    refused : int
        Number of requests that were not granted the claim of their key.
    writes_per_request : float
        Writing calls to the store per request, for claims and for results.
    writes_per_second : float
        Writing calls to the store per second of load.
    claim_p50_ms, claim_p99_ms : float
        Percentiles of the time that a granted claim took.
    """

    requests_per_second: float
    requests: int
    refused: int
    writes_per_request: float
    writes_per_second: float
    claim_p50_ms: float
    claim_p99_ms: float


def measure(
    *, shards: int, rate: float, seconds: float, slow_ms: float = 0.0
) -> LoadMeasurement:
    """Measure one request rate through one committer.

    Parameters
    ----------
    shards : int
        Number of shards, which determines the committer's write budget.
    rate : float
        Requests per second.
    seconds : float
        Duration of the load.
    slow_ms : float
        Delay that the store adds to each call.

    Returns
    -------
    LoadMeasurement
        Writes and claim times of this load.
    """
    with StoreProcess() as process:
        components = _build_components(process.address)
        components.committer.tell(ShardsChanged(shard_count=shards))
        # Warm-up: the first claim also makes the committer grant the hourly lease.
        _send(components)
        time.sleep(1.0)
        process.set_faults(slow_ms=slow_ms)
        process.reset_counters()
        claim_ms, elapsed_s = _run(components, rate, seconds)
        components.stop(SETTLE_TIMEOUT_MS)
        writes = process.counters().writes
    granted = sorted(each for each in claim_ms if each is not None)
    return LoadMeasurement(
        requests_per_second=round(len(claim_ms) / elapsed_s, 1),
        requests=len(claim_ms),
        refused=len(claim_ms) - len(granted),
        writes_per_request=round(writes / len(claim_ms), 3),
        writes_per_second=round(writes / elapsed_s, 1),
        claim_p50_ms=round(granted[len(granted) // 2], 2),
        claim_p99_ms=round(granted[int(len(granted) * 0.99)], 2),
    )


def _build_components(address: str) -> ClaimsComponents:
    clock = SystemClock()
    transport = Transport(cluster_key=b"", max_frame_bytes=1, clock=clock)
    stores = [
        EtcdGatewayStore(addresses=[address], timeout_ms=STORE_TIMEOUT_MS)
        for _ in range(2)
    ]
    return build_claims(
        instance="127.0.0.1:1/1",
        writing_store=stores[0],
        reading_store=stores[1],
        read_timeout_ms=STORE_TIMEOUT_MS,
        transport=transport,
        clock=clock,
    )


def _run(components: ClaimsComponents, rate: float, seconds: float):
    count = max(1, round(rate * seconds))
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(SENDER_THREADS) as threads:
        futures = []
        for index in range(count):
            time.sleep(max(0.0, started + index / rate - time.monotonic()))
            futures.append(threads.submit(_send, components))
        elapsed_s = time.monotonic() - started
        return [future.result() for future in futures], elapsed_s


def _send(components: ClaimsComponents) -> float | None:
    started_ms = SystemClock().now_ms()
    claim = components.gate.claim_key(
        key=uuid.uuid4().hex,
        route_pool="reserve",
        fingerprint="f" * 64,
        deadline_ms=started_ms + DEADLINE_MS,
    )
    elapsed_ms = SystemClock().now_ms() - started_ms
    if not isinstance(claim, Claim):
        return None
    components.gate.finish(
        claim, Executed(result=ClaimResult(status=201, body=RESULT_BODY))
    )
    return elapsed_ms


def main() -> int:
    """Measure each request rate given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shards", type=int, default=16)
    parser.add_argument("--rates", default="2,5,10,20,50,100,200,400")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--slow-ms", type=float, default=0.0)
    options = parser.parse_args()
    for rate in options.rates.split(","):
        measurement = measure(
            shards=options.shards,
            rate=float(rate),
            seconds=options.seconds,
            slow_ms=options.slow_ms,
        )
        print(msgspec.json.encode(measurement).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
