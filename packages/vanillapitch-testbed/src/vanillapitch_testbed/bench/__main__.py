"""Command line of the benchmark."""

import argparse
import pathlib
import signal
import sys

import msgspec

from vanillapitch_testbed.bench import BenchOptions, run_bench
from vanillapitch_testbed.bench._table import format_report
from vanillapitch_testbed.fleet import FleetError

__all__ = ["main"]


def main() -> int:
    """Run the benchmark.

    A missed target is reported, but does not change the exit status.
    """
    parser = argparse.ArgumentParser(prog="vanillapitch_testbed.bench")
    parser.add_argument("--out", type=pathlib.Path, required=True, metavar="FILE")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    # SystemExit unwinds the fleets' context manager, which stops all processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    try:
        report = run_bench(BenchOptions(seed=arguments.seed))
        arguments.out.parent.mkdir(parents=True, exist_ok=True)
        arguments.out.write_bytes(msgspec.json.encode(report))
    except (FleetError, RuntimeError, OSError) as error:
        print(f"bench: {error}", file=sys.stderr)
        return 1
    print(format_report(report))
    print(f"bench: wrote {arguments.out}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
