"""The deployment's programs on a simulated platform, for ``make demo``.

While callers send requests, a zone is evacuated and returned to service, a daemon is
killed and restarted, another is stopped gracefully, and the store stops responding. The
demo prints the responses by status and fails when a guarantee is violated.
"""

import argparse
import asyncio
import collections
import dataclasses
import random
import signal
import sys
import time

from vanillapitch_testbed.platform_standins import (
    CallerResponse,
    Refusal,
    ServiceSpec,
    send_request,
)
from vanillapitch_testbed.platform_standins._processes import ProcessFleet

__all__ = ["DemoReport", "main", "run_demo"]

SERVICES = (
    ServiceSpec(name="catalog", zones=("a", "b", "c"), slots=8),
    ServiceSpec(name="reserve", zones=("a", "b"), slots=8),
)
CALLERS = 12
REQUEST_INTERVAL_S = 0.02
# Bound within which a zone must be evacuated, as the platform's deployments set it.
ZONE_BOUND_S = 5.0
MIN_SERVED_SHARE = 0.8


@dataclasses.dataclass(slots=True, kw_only=True)
class SentRequest:
    """A request with its response.

    Attributes
    ----------
    at_most_once : bool
        Whether it may be executed at most once.
    sent_s : float
        Monotonic time at which it was sent.
    response : CallerResponse or None
        None when the connection failed.
    """

    at_most_once: bool
    sent_s: float
    response: CallerResponse | None


@dataclasses.dataclass(slots=True, kw_only=True)
class DemoReport:
    """Requests of a demo and the violations found.

    Attributes
    ----------
    requests : list of SentRequest
        All requests.
    violations : list of str
        One sentence for each violation of a guarantee.
    """

    requests: list[SentRequest] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)

    def check(self, fleet: ProcessFleet, zone_out: tuple[str, float, float]) -> None:
        """Compare the responses of callers with the executions at endpoints."""
        executions_by_id = collections.Counter(
            execution.request_id for execution in fleet.executions()
        )
        for item in self.requests:
            if item.response is not None:
                self._check_response(item, executions_by_id[item.response.request_id])
        zone, since_s, until_s = zone_out
        for vm in fleet.vms:
            if vm.endpoint.max_running > vm.endpoint.slots:
                self.violations.append(
                    f"{vm.settings.node} executed more requests at once than its slots"
                )
            late = [
                execution
                for execution in vm.endpoint.executions
                if vm.settings.zone == zone
                and since_s + ZONE_BOUND_S <= execution.started_s <= until_s
            ]
            if late:
                self.violations.append(
                    f"{len(late)} executions in zone {zone} while it was evacuated"
                )
        served = sum(
            item.response is not None and item.response.status == 200
            for item in self.requests
        )
        if served < MIN_SERVED_SHARE * len(self.requests):
            self.violations.append(
                f"only {served} of {len(self.requests)} requests were served"
            )

    def _check_response(self, item: SentRequest, executions: int) -> None:
        response = item.response
        if item.at_most_once and executions > 1:
            self.violations.append(
                f"{response.request_id} was executed {executions} times"
            )
        if item.at_most_once and response.status == 503 and executions:
            self.violations.append(f"{response.request_id} was refused and executed")
        expected = f"answer to {response.request_id}".encode() * 10
        if response.status == 200 and response.body != expected:
            self.violations.append(f"{response.request_id} got an unexpected body")


async def run_demo(*, seed: int) -> DemoReport:
    """Run the demo.

    Parameters
    ----------
    seed : int
        Seed of the callers.

    Returns
    -------
    DemoReport
        Requests and violated guarantees.
    """
    fleet = ProcessFleet(services=list(SERVICES))
    report = DemoReport()
    try:
        await fleet.start()
        stop = asyncio.Event()
        callers = [
            asyncio.create_task(_send_requests(fleet, report, stop, seed=seed + number))
            for number in range(CALLERS)
        ]
        zone_out = await _inject_faults(fleet, report)
        stop.set()
        await asyncio.gather(*callers)
        report.check(fleet, zone_out)
    finally:
        await fleet.stop()
    return report


def main() -> int:
    """Run the demo and return the exit code."""
    parser = argparse.ArgumentParser(prog="vanillapitch_testbed.platform_demo")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    report = asyncio.run(run_demo(seed=arguments.seed))
    counts = collections.Counter(
        "no response" if item.response is None else item.response.status
        for item in report.requests
    )
    print(f"{len(report.requests)} requests; responses by status:")
    for status, count in sorted(counts.items(), key=lambda pair: str(pair[0])):
        print(f"  {status}: {count}")
    for violation in report.violations:
        print(f"violated: {violation}")
    print(f"{len(report.violations)} guarantees violated")
    return 1 if report.violations else 0


async def _send_requests(
    fleet: ProcessFleet, report: DemoReport, stop: asyncio.Event, *, seed: int
) -> None:
    rng = random.Random(seed)
    while not stop.is_set():
        vm = rng.choice(fleet.vms)
        at_most_once = rng.random() < 0.3
        service = rng.choice(SERVICES).name
        target = f"/{service}{'-once' if at_most_once else ''}/{rng.randrange(100)}"
        item = SentRequest(
            at_most_once=at_most_once, sent_s=time.monotonic(), response=None
        )
        report.requests.append(item)
        try:
            item.response = await send_request(
                vm.settings.caller_address,
                target,
                method="POST" if at_most_once else "GET",
                body=b"x" * rng.randrange(5_000) if at_most_once else b"",
            )
        except (OSError, TimeoutError):
            # The daemon of that VM is down; the check counts the served requests.
            item.response = None
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def _inject_faults(
    fleet: ProcessFleet, report: DemoReport
) -> tuple[str, float, float]:
    """Evacuate a zone, kill, stop and start daemons, and make the store silent.

    Returns the zone and the monotonic times at which its evacuation started and ended.
    """
    await asyncio.sleep(1.0)
    fleet.store.put("op/evacuate/b", b"{}")
    since_s = time.monotonic()
    await asyncio.sleep(1.0)
    killed = fleet.vms[0]
    await fleet.kill_daemon(killed)
    await asyncio.sleep(0.5)
    await fleet.start_daemon(killed)
    await asyncio.sleep(1.5)
    stopped = fleet.vms[2]
    fleet.signal(stopped, signal.SIGTERM)
    code = await fleet.wait_for_exit(stopped)
    if code != 0:
        report.violations.append(f"a graceful stop ended with exit code {code}")
    await fleet.start_daemon(stopped)
    until_s = time.monotonic()
    fleet.store.delete("op/evacuate/b")
    await asyncio.sleep(1.0)
    fleet.store.faults.refusal = Refusal.SILENT
    fleet.store.cut_connections()
    await asyncio.sleep(2.0)
    fleet.store.faults.refusal = None
    fleet.configure()
    await asyncio.sleep(2.0)
    return "b", since_s, until_s


if __name__ == "__main__":
    sys.exit(main())
