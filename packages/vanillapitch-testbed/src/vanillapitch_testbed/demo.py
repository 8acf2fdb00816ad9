"""Demonstration with a small deployment of real processes, for ``make demo``.

While callers send a limited load, an operator takes one zone out of service and back,
and one backend server is killed. The demo prints a table and fails when an invariant
of the design page is violated.
"""

import argparse
import collections
import dataclasses
import signal
import sys
import time

from vanillapitch_core import SystemClock

from vanillapitch_testbed.backend import JournalEntry
from vanillapitch_testbed.callers import Call, Load, LoadOptions, summarize
from vanillapitch_testbed.checks import (
    LEAVE_BOUND_MS,
    RevisionWatch,
    Violation,
    Window,
    check_calls,
    check_overload,
    check_windows,
    count_keys,
)
from vanillapitch_testbed.fleet import DEPLOYMENTS, Fleet, FleetError

__all__ = ["main"]

_LOAD_S = 20.0
_ZONE_OUT_AT_S = 4.0
_KILL_AT_S = 8.0
_ZONE_IN_AT_S = 13.0
# Includes the drain of a daemon, which waits for its callers' connections up to the
# limit in the daemon's settings.
_DRAIN_TIMEOUT_S = 15.0
_SHOWN_VIOLATIONS = 10
_CLOCK = SystemClock()


@dataclasses.dataclass(slots=True, kw_only=True)
class _DemoResult:
    """Calls, journal entries and violations of the demo."""

    calls: list[Call]
    entries: list[JournalEntry]
    windows: list[Window]
    zone: str
    violations: list[Violation]


def main() -> int:
    """Run the demo and return the exit code."""
    parser = argparse.ArgumentParser(prog="vanillapitch_testbed.demo")
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="hanul")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    # SystemExit makes the fleet's context manager stop all processes on SIGTERM.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    fleet = Fleet(deployment=DEPLOYMENTS[arguments.deployment], seed=arguments.seed)
    try:
        with fleet:
            _print_progress(
                f"{arguments.deployment}: {len(fleet.processes)} processes are ready"
            )
            result = _run_demo(fleet, seed=arguments.seed)
            result.violations += _stop_daemons(fleet)
    except FleetError as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1
    _print_table(result)
    for violation in result.violations[:_SHOWN_VIOLATIONS]:
        print(f"VIOLATION {violation}")
    counts = collections.Counter(violation.invariant for violation in result.violations)
    for invariant, count in sorted(counts.items()):
        _print_progress(f"{invariant} was violated {count} times")
    _print_progress(f"{len(result.violations)} invariant violations")
    return 1 if result.violations else 0


def _run_demo(fleet: Fleet, *, seed: int) -> _DemoResult:
    load = Load(
        deployment=fleet.deployment,
        addresses=[vm.callers for vm in fleet.vms],
        options=LoadOptions(duration_s=_LOAD_S, seed=seed),
    )
    watch = RevisionWatch(fleet=fleet)
    zone = fleet.deployment.zones[0]
    servers = frozenset(vm.name for vm in fleet.vms if vm.zone == zone)
    started_s = time.monotonic()
    watch.start()
    load.start()
    _sleep_until(started_s + _ZONE_OUT_AT_S)
    _change_zone(fleet, "out", zone)
    out_ms = _CLOCK.wall_ms()
    _sleep_until(started_s + _KILL_AT_S)
    killed = next(vm for vm in fleet.vms if vm.zone != zone)
    killed_counters = fleet.counters(killed)
    killed.backend.kill()
    _print_progress(f"killed the backend server of {killed.name} in {killed.zone}")
    _sleep_until(started_s + _ZONE_IN_AT_S)
    in_ms = _CLOCK.wall_ms()
    _change_zone(fleet, "in", zone)
    calls = load.join()
    watch.stop()
    counters_by_vm = {
        vm.name: fleet.counters(vm) for vm in fleet.vms if vm is not killed
    }
    counters_by_vm[killed.name] = killed_counters
    entries = fleet.journal()
    window = Window(invariant="I3", servers=servers, began_ms=out_ms, ended_ms=in_ms)
    violations = check_calls(calls, entries) + check_windows([window], entries)
    violations += check_overload(fleet, counters_by_vm) + watch.violations
    return _DemoResult(
        calls=calls, entries=entries, windows=[window], zone=zone, violations=violations
    )


def _change_zone(fleet: Fleet, action: str, zone: str) -> None:
    result = fleet.run_cli("zone", action, zone)
    if result.returncode:
        raise FleetError(f"zone {action} {zone}: {result.stdout}{result.stderr}")
    _print_progress(f"zone {zone} is {action}")


def _stop_daemons(fleet: Fleet) -> list[Violation]:
    for vm in fleet.vms:
        vm.daemon.send_signal(signal.SIGTERM)
    violations = []
    for vm in fleet.vms:
        code = vm.daemon.terminate(_DRAIN_TIMEOUT_S)
        if code:
            detail = f"the daemon of {vm.name} stopped with exit code {code}"
            violations.append(Violation(invariant="I8", detail=detail))
    return violations


def _print_table(result: _DemoResult) -> None:
    print(f"{'service':<14}{'calls':>7}{'answers':>9}{'p50':>9}{'p99':>9}{'p99.9':>9}")
    for summary in summarize(result.calls):
        print(
            f"{summary.service:<14}{summary.calls:>7}{summary.responses:>9}"
            f"{summary.p50_ms:>6.1f} ms{summary.p99_ms:>6.0f} ms"
            f"{summary.p999_ms:>6.0f} ms"
        )
        for code, count in sorted(summary.refusals_by_code.items()):
            print(f"    refused {code}: {count}")
        if summary.failed_responses:
            print(
                f"    responses with status 400 or higher: {summary.failed_responses}"
            )
    counts = count_keys(result.calls, result.entries)
    print(
        f"keyed requests: {counts.once} executed once, {counts.twice} twice, "
        f"{counts.lost} lost, {counts.not_run} refused"
    )
    window = result.windows[0]
    ages_ms = [
        entry.began_ms - window.began_ms
        for entry in result.entries
        if entry.server in window.servers
        and window.began_ms < entry.began_ms < window.ended_ms
    ]
    late = sum(age_ms > LEAVE_BOUND_MS for age_ms in ages_ms)
    print(
        f"requests started in {result.zone} while it was out of service: "
        f"{len(ages_ms)}, "
        f"the last after {max(ages_ms, default=0)} ms, "
        f"{late} after the bound of {LEAVE_BOUND_MS} ms"
    )


def _sleep_until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))


def _print_progress(text: str) -> None:
    print(f"demo: {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
