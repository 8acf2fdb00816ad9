"""The deployment's programs on stand-ins of the platform, for ``make demo``.

While callers send requests, a zone is taken out and brought back, a daemon is killed
and started again, one is stopped gracefully, and the store goes away. The demo prints
what callers got and fails when a promise is broken.
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
    CallerAnswer,
    Refusal,
    ServiceSpec,
    send_request,
)
from vanillapitch_testbed.platform_standins._processes import ProcessFleet

__all__ = ["Promises", "main", "run_demo"]

SERVICES = (
    ServiceSpec(name="catalog", zones=("a", "b", "c"), slots=8),
    ServiceSpec(name="reserve", zones=("a", "b"), slots=8),
)
CALLERS = 12
PAUSE_S = 0.02
# Times of the bounds that the platform's deployments set.
ZONE_BOUND_S = 5.0
MIN_SERVED_SHARE = 0.8


@dataclasses.dataclass(slots=True, kw_only=True)
class Sent:
    """A request with its answer.

    Attributes
    ----------
    once : bool
        Whether it may run at most once.
    sent_s : float
        Monotonic time of sending.
    response : CallerAnswer or None
        None when the connection failed.
    """

    once: bool
    sent_s: float
    response: CallerAnswer | None


@dataclasses.dataclass(slots=True, kw_only=True)
class Promises:
    """What a run showed.

    Attributes
    ----------
    requests : list of Sent
        All requests.
    violations : list of str
        A sentence for each broken promise.
    """

    requests: list[Sent] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)

    def check(self, fleet: ProcessFleet, zone_out: tuple[str, float, float]) -> None:
        """Compare what callers got with what endpoints ran."""
        runs_by_id = collections.Counter(run.request_id for run in fleet.executions())
        for item in self.requests:
            if item.response is not None:
                self._check_answer(item, runs_by_id[item.response.request_id])
        zone, since_s, until_s = zone_out
        for vm in fleet.vms:
            if vm.endpoint.max_running > vm.endpoint.slots:
                self.violations.append(f"{vm.settings.node} ran more than its slots")
            late = [
                run
                for run in vm.endpoint.executions
                if vm.settings.zone == zone
                and since_s + ZONE_BOUND_S <= run.started_s <= until_s
            ]
            if late:
                self.violations.append(
                    f"{len(late)} runs in zone {zone} while it was out"
                )
        served = sum(
            item.response is not None and item.response.status == 200
            for item in self.requests
        )
        if served < MIN_SERVED_SHARE * len(self.requests):
            self.violations.append(f"only {served} of {len(self.requests)} were served")

    def _check_answer(self, item: Sent, executions: int) -> None:
        response = item.response
        if item.once and executions > 1:
            self.violations.append(f"{response.request_id} ran {executions} times")
        if item.once and response.status == 503 and executions:
            self.violations.append(f"{response.request_id} was refused and ran")
        expected = f"answer to {response.request_id}".encode() * 10
        if response.status == 200 and response.body != expected:
            self.violations.append(f"{response.request_id} got another answer")


async def run_demo(*, seed: int) -> Promises:
    """Run the demo and return what it showed.

    Parameters
    ----------
    seed : int
        Seed of the callers.

    Returns
    -------
    Promises
        Requests and broken promises.
    """
    fleet = ProcessFleet(services=list(SERVICES))
    report = Promises()
    try:
        await fleet.start()
        stop = asyncio.Event()
        callers = [
            asyncio.create_task(_press(fleet, report, stop, seed=seed + number))
            for number in range(CALLERS)
        ]
        zone_out = await _trouble(fleet, report)
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
        "no answer" if item.response is None else item.response.status
        for item in report.requests
    )
    print(f"{len(report.requests)} requests; answers by status:")
    for status, count in sorted(counts.items(), key=lambda pair: str(pair[0])):
        print(f"  {status}: {count}")
    for sentence in report.violations:
        print(f"broken: {sentence}")
    print(f"{len(report.violations)} promises broken")
    return 1 if report.violations else 0


async def _press(
    fleet: ProcessFleet, report: Promises, stop: asyncio.Event, *, seed: int
) -> None:
    rng = random.Random(seed)
    while not stop.is_set():
        vm = rng.choice(fleet.vms)
        once = rng.random() < 0.3
        service = rng.choice(SERVICES).name
        target = f"/{service}{'-once' if once else ''}/{rng.randrange(100)}"
        item = Sent(once=once, sent_s=time.monotonic(), response=None)
        report.requests.append(item)
        try:
            item.response = await send_request(
                vm.settings.caller_address,
                target,
                method="POST" if once else "GET",
                body=b"x" * rng.randrange(5_000) if once else b"",
            )
        except (OSError, TimeoutError):
            # The daemon of that VM is down; the check counts what was served.
            item.response = None
        await asyncio.sleep(PAUSE_S)


async def _trouble(fleet: ProcessFleet, report: Promises) -> tuple[str, float, float]:
    """Take a zone out, kill, stop and start daemons, and cut the store off."""
    await asyncio.sleep(1.0)
    fleet.store.put("op/evacuate/b", b"{}")
    since_s = time.monotonic()
    await asyncio.sleep(1.0)
    victim = fleet.vms[0]
    await fleet.kill_daemon(victim)
    await asyncio.sleep(0.5)
    await fleet.start_daemon(victim)
    await asyncio.sleep(1.5)
    stopped = fleet.vms[2]
    fleet.signal(stopped, signal.SIGTERM)
    code = await fleet.wait_for_exit(stopped)
    if code != 0:
        report.violations.append(f"a graceful stop ended with code {code}")
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
