"""Execution of all scenarios with all policies."""

import contextlib
import dataclasses
import sys
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor

from vanillapitch_testbed.bench._added_latency import measure_added_latency
from vanillapitch_testbed.bench._counters import read_counters
from vanillapitch_testbed.bench._load import CallerProcesses
from vanillapitch_testbed.bench._measurements import (
    ScenarioResult,
    make_measurements,
    make_ratios,
    make_timelines,
)
from vanillapitch_testbed.bench._model import Report
from vanillapitch_testbed.bench._scenarios import (
    DEPLOYMENT,
    SCENARIOS,
    SERVICE,
    STEADY,
    Scenario,
)
from vanillapitch_testbed.bench._targets import evaluate_targets
from vanillapitch_testbed.bench_processes.job import Job
from vanillapitch_testbed.bench_processes.policy_daemon import POLICIES_BY_NAME
from vanillapitch_testbed.fleet import Fleet

__all__ = ["PRODUCT", "BenchOptions", "run_bench"]

PRODUCT = "product"
_THREADS_PER_CALLER_PROCESS = 40
_SETTLE_S = 0.5
_BACKEND_OPTIONS = {"service_shape": "lognormal"}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BenchOptions:
    """Scenarios, policies and durations of the benchmark.

    Attributes
    ----------
    policies : sequence of str
        Names of the baselines that the product's policy is compared with.
    warm_up_s : float
        Duration of the load before the measurement. All faults except the return to
        cold are already applied; the calls are counted separately.
    measured_s : float
        Duration of the measurement.
    comparison_s : float
        Duration of each comparison with direct calls; 0 skips the comparisons.
    """

    scenarios: Sequence[Scenario] = SCENARIOS
    policies: Sequence[str] = tuple(POLICIES_BY_NAME)
    warm_up_s: float = 2.0
    measured_s: float = 6.0
    comparison_s: float = 10.0
    seed: int = 1


def run_bench(options: BenchOptions) -> Report:
    """Run the benchmark.

    All fleets are up for the whole benchmark, but only one has load at a time. The
    policies take turns within each scenario, so that the noise of the machine differs
    as little as possible between them.

    Raises
    ------
    FleetError
        If a process does not start or respond.
    RuntimeError
        If a caller process fails.
    """
    warm_up_options = dataclasses.replace(options, measured_s=0.0)
    report = Report(figures=[], targets=[], timelines=[])
    with _start_fleets(options) as fleets_by_policy:
        for fleet in fleets_by_policy.values():
            # Not recorded: keeps the startup of the daemons out of the measurements.
            _measure(fleet, options.scenarios[0], warm_up_options)
        if options.comparison_s:
            _print_progress("latency added to a direct call")
            report.figures += measure_added_latency(
                fleets_by_policy[PRODUCT],
                policy=PRODUCT,
                scenario=STEADY,
                duration_s=options.comparison_s,
                seed=options.seed,
            )
        for scenario in options.scenarios:
            for policy, fleet in fleets_by_policy.items():
                _print_progress(f"{scenario.name}, {policy}")
                result = _measure(fleet, scenario, options)
                report.figures += make_measurements(result, policy=policy)
                report.timelines += make_timelines(result, policy=policy)
    report.figures += make_ratios(report.figures, reference=PRODUCT)
    report.targets = evaluate_targets(report.figures, policy=PRODUCT)
    return report


@contextlib.contextmanager
def _start_fleets(options: BenchOptions) -> Iterator[dict[str, Fleet]]:
    module = "vanillapitch_testbed.bench_processes.policy_daemon"
    commands_by_policy = {PRODUCT: None}
    for name in options.policies:
        commands_by_policy[name] = [sys.executable, "-m", module, name]
    fleets_by_policy = {
        policy: Fleet(
            deployment=DEPLOYMENT,
            seed=options.seed,
            backend_options=_BACKEND_OPTIONS,
            daemon_command=command,
        )
        for policy, command in commands_by_policy.items()
    }
    fleets = list(fleets_by_policy.values())
    _print_progress(f"starting {len(fleets)} fleets")
    with ThreadPoolExecutor(len(fleets)) as executor:
        try:
            list(executor.map(Fleet.start, fleets))
            yield fleets_by_policy
        finally:
            list(executor.map(Fleet.stop, fleets))


def _measure(fleet: Fleet, scenario: Scenario, options: BenchOptions) -> ScenarioResult:
    duration_s = options.warm_up_s + options.measured_s
    jobs = [
        Job(
            service=SERVICE.name,
            target=scenario.target,
            addresses=[vm.callers for vm in fleet.vms],
            rate_per_s=scenario.rate_per_s / scenario.caller_processes,
            duration_s=duration_s,
            threads=_THREADS_PER_CALLER_PROCESS,
            seed=options.seed * 1_000 + number,
        )
        for number in range(scenario.caller_processes)
    ]
    for vm in fleet.vms:
        fleet.set_scenario(vm)
        fleet.reset_max_in_flight(vm)
    before = read_counters(fleet)
    callers = CallerProcesses(jobs=jobs)
    with callers:
        fault = scenario.fault(fleet, options.warm_up_s, options.measured_s)
        with fault as observations:
            samples = callers.join()
        after = read_counters(fleet)
    time.sleep(_SETTLE_S)
    return ScenarioResult(
        scenario=scenario,
        samples=samples,
        warm_up_s=options.warm_up_s,
        measured_s=options.measured_s,
        before=before,
        after=after,
        observations=observations,
        slots=DEPLOYMENT.slots,
    )


def _print_progress(text: str) -> None:
    print(f"bench: {text}", file=sys.stderr, flush=True)
