"""``python -m vanillapitch_testbed.platform_soak``: soaks, one after another."""

import argparse
import asyncio
import pathlib
import random
import sys

from vanillapitch_testbed.platform_soak import SoakReport, run_soak


def main() -> int:
    """Run the soaks and return the exit code."""
    parser = argparse.ArgumentParser(prog="vanillapitch_testbed.platform_soak")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--logs", type=pathlib.Path, help="folder for logs of failures")
    arguments = parser.parse_args()
    seed = arguments.seed
    if seed is None:
        seed = random.SystemRandom().randrange(1_000_000)
    failed = 0
    for number in range(seed, seed + arguments.runs):
        report = asyncio.run(
            run_soak(seed=number, seconds=arguments.seconds, vms=arguments.vms)
        )
        _print_report(report)
        failed += bool(report.violations)
        if report.violations and arguments.logs:
            _write_logs(report, arguments.logs)
    print(f"soak: {arguments.runs} runs, {failed} with violations", flush=True)
    return 1 if failed else 0


def _print_report(report: SoakReport) -> None:
    statuses = " ".join(f"{key}:{n}" for key, n in sorted(report.statuses.items()))
    fault_counts = " ".join(f"{key}:{n}" for key, n in sorted(report.faults.items()))
    print(
        f"soak: seed {report.seed}; responses {statuses}; faults {fault_counts}",
        flush=True,
    )
    for violation in report.violations[:10]:
        print(f"  violated: {violation}", flush=True)


def _write_logs(report: SoakReport, folder: pathlib.Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for node, text in report.logs_by_node.items():
        (folder / f"{report.seed}-{node}.log").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    sys.exit(main())
