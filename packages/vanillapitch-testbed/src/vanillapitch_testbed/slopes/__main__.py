"""Command line that measures the slopes."""

import argparse
import pathlib
import platform
import signal
import sys
import time
from collections.abc import Callable

import msgspec

from vanillapitch_testbed.slopes._baseline import measure_baseline
from vanillapitch_testbed.slopes._calls import measure_calls, measure_keyed
from vanillapitch_testbed.slopes._configuration import (
    measure_changes,
    measure_tables,
)
from vanillapitch_testbed.slopes._fit import Point, fit
from vanillapitch_testbed.slopes._members import (
    measure_real_members,
    measure_restarts,
    measure_simulated_members,
)

__all__ = ["main"]

# By name of the measurement: the unit of its load, and the function that measures.
_MEASUREMENTS: dict[str, tuple[str, Callable[[float], list[Point]]]] = {
    "real_members": (
        "member",
        lambda window_s: measure_real_members((4, 12, 24), window_s=window_s),
    ),
    "stand_in_members": (
        "member",
        lambda window_s: measure_simulated_members((100, 300, 710), window_s=window_s),
    ),
    "restarts": (
        "restart/s",
        lambda window_s: measure_restarts(
            (0.0, 1.0, 3.0), members=300, window_s=window_s
        ),
    ),
    "tables": ("service", lambda window_s: measure_tables((1, 18, 180))),
    "changes": (
        "change/s",
        lambda window_s: measure_changes(
            (0.0, 0.5, 1.0), daemons=6, services=18, window_s=window_s
        ),
    ),
    "calls": (
        "call/s",
        lambda window_s: measure_calls((0.0, 25.0, 50.0, 100.0), window_s=window_s),
    ),
    "keyed": (
        "keyed request/s",
        lambda window_s: measure_keyed(
            (10.0, 50.0, 200.0, 400.0), window_s=window_s / 2
        ),
    ),
}


def main() -> int:
    """Measure the slopes and write them as JSON."""
    parser = argparse.ArgumentParser(prog="vanillapitch_testbed.slopes")
    parser.add_argument("--out", required=True)
    parser.add_argument("--window-s", type=float, default=6.0)
    parser.add_argument("--only", nargs="*", choices=_MEASUREMENTS, default=None)
    options = parser.parse_args()
    # SystemExit unwinds the context manager of a fleet, which stops its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    started_s = time.monotonic()
    slopes, errors_by_name = [], {}
    for name in options.only or _MEASUREMENTS:
        load_unit, measure = _MEASUREMENTS[name]
        try:
            slopes += fit(name=name, per=load_unit, points=measure(options.window_s))
        except Exception as error:  # a failure must not prevent other measurements
            errors_by_name[name] = f"{type(error).__name__}: {error}"
            print(f"slopes: {name} failed: {errors_by_name[name]}", file=sys.stderr)
        elapsed_s = time.monotonic() - started_s
        print(f"slopes: {name} ended after {elapsed_s:.0f} s", flush=True)
    document = {
        "command": f"make slopes (window {options.window_s:g} s)",
        "python": platform.python_version(),
        "measured_at": time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()),
        "duration_s": round(time.monotonic() - started_s, 1),
        "baseline": measure_baseline(),
        "errors_by_name": errors_by_name,
        "slopes": slopes,
    }
    path = pathlib.Path(options.out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document)) + b"\n")
    return 1 if errors_by_name else 0


if __name__ == "__main__":
    sys.exit(main())
