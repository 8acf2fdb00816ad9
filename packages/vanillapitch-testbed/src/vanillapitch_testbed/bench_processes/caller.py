"""One caller process of the benchmark.

It reads a job as JSON from standard input, writes a line when it is ready, waits for
another line of input and then sends calls at Poisson arrival times. The load is
open-loop: arrivals do not depend on responses unless all threads are busy. The samples
are written to standard output as JSON.
"""

import random
import sys
import threading
import time

import msgspec
import urllib3

from vanillapitch_testbed.bench_processes.job import Job, Sample
from vanillapitch_testbed.callers import Call, send

_MAX_CALLS = 20_000
_MAX_CONNECTIONS_PER_ADDRESS = 64


class _Arrivals:
    """Thread-safe generator of arrival times, shared by the threads of a caller."""

    def __init__(self, job: Job):
        self._lock = threading.Lock()
        self._rng = random.Random(job.seed)
        self._job = job
        self._at_s = 0.0
        self._calls = 0

    def take_next(self) -> tuple[float, int] | None:
        with self._lock:
            self._at_s += self._rng.expovariate(self._job.rate_per_s)
            self._calls += 1
            if self._at_s > self._job.duration_s or self._calls > _MAX_CALLS:
                return None
            return self._at_s, self._calls


def _run_job(job: Job) -> list[Sample]:
    pool = urllib3.PoolManager(maxsize=_MAX_CONNECTIONS_PER_ADDRESS, num_pools=64)
    arrivals = _Arrivals(job)
    samples: list[Sample] = []
    started_s = time.perf_counter()

    def send_arrivals() -> None:
        while (arrival := arrivals.take_next()) is not None:
            at_s, number = arrival
            rng = random.Random(f"{job.seed}/{number}")
            time.sleep(max(0.0, started_s + at_s - time.perf_counter()))
            samples.append(send_call(job, pool, rng.choice(job.addresses), at_s))
            if job.compared_addresses:
                address = rng.choice(job.compared_addresses)
                samples.append(send_call(job, pool, address, at_s, compared=True))

    def send_call(job, pool, address, at_s, compared=False) -> Sample:
        lag_ms = (time.perf_counter() - started_s - at_s) * 1_000
        call = Call(service=job.service, method="GET", target=job.target)
        send(pool, call, address=address, timeout_ms=job.timeout_ms)
        return Sample(
            at_s=at_s,
            lag_ms=max(0.0, lag_ms),
            latency_ms=call.latency_ms,
            reason=_failure_reason(call),
            compared=compared,
        )

    threads = [threading.Thread(target=send_arrivals) for _ in range(job.threads)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return samples


def _failure_reason(call: Call) -> str:
    if call.code:
        return call.code
    if call.status >= 400:
        return f"status {call.status}"
    return "wrong answer" if call.fault else ""


def _main() -> None:
    job = msgspec.json.decode(sys.stdin.buffer.readline(), type=Job)
    print("ready", flush=True)
    sys.stdin.buffer.readline()
    samples = _run_job(job)
    sys.stdout.buffer.write(msgspec.json.encode(samples) + b"\n")


if __name__ == "__main__":
    _main()
