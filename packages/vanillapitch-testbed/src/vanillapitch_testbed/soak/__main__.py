"""Command line of the soak test."""

import argparse
import random
import signal
import sys

from vanillapitch_testbed.callers import summarize
from vanillapitch_testbed.fleet import DEPLOYMENTS, FleetError
from vanillapitch_testbed.soak import SoakResult, run_soak

_SHOWN_VIOLATIONS = 20


def main() -> int:
    """Run the soak test and return the exit code."""
    parser = argparse.ArgumentParser(prog="vanillapitch_testbed.soak")
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="small")
    parser.add_argument("--timeline", action="store_true", help="print all faults")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    seed = arguments.seed
    if seed is None:
        seed = random.SystemRandom().randrange(1_000_000)
    print(f"soak: seed {seed}, {arguments.seconds:g} s", flush=True)
    try:
        result = run_soak(
            deployment=DEPLOYMENTS[arguments.deployment],
            seconds=arguments.seconds,
            seed=seed,
        )
    except FleetError as error:
        print(f"soak: seed {seed}: {error}", file=sys.stderr)
        return 1
    _print_result(result, with_timeline=arguments.timeline)
    return 1 if result.violations else 0


def _print_result(result: SoakResult, *, with_timeline: bool) -> None:
    # A second run differs, so a violation is traced from the timeline of its own run.
    if with_timeline or result.violations:
        print("\n".join(result.timeline))
    for summary in summarize(result.calls):
        codes = sorted(summary.refusals_by_code.items())
        refused = ", ".join(f"{code} {count}" for code, count in codes)
        print(
            f"{summary.service}: {summary.calls} calls, {summary.responses} responses, "
            f"p50 {summary.p50_ms:.1f} ms, p99 {summary.p99_ms:.0f} ms; {refused}"
        )
    faults = sorted(result.faults_by_kind.items())
    print("faults: " + ", ".join(f"{name} {count}" for name, count in faults))
    print(
        f"most in flight at one backend server: {result.max_in_flight}, "
        f"failures while cold: {result.cold_failures}"
    )
    for violation in result.violations[:_SHOWN_VIOLATIONS]:
        print(f"VIOLATION {violation}")
    print(
        f"soak: seed {result.seed}, {len(result.calls)} calls, "
        f"{sum(result.faults_by_kind.values())} faults, "
        f"{len(result.violations)} violations"
    )


if __name__ == "__main__":
    sys.exit(main())
