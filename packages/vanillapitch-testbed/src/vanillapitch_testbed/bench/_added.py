"""Latency that the passage through the daemons adds to a direct call."""

from vanillapitch_testbed.bench._load import CallerProcesses
from vanillapitch_testbed.bench._model import Figure
from vanillapitch_testbed.bench._scenarios import SERVICE
from vanillapitch_testbed.bench_processes.job import Job, Sample
from vanillapitch_testbed.callers import percentile_ms
from vanillapitch_testbed.fleet import Fleet

__all__ = ["SEVERAL_CALLERS", "measure_added_latency"]

SEVERAL_CALLERS = 4
# Fixed, so that the difference of percentiles shows the passage alone.
_WORK_MS = 5.0
_PAIRS_PER_S = 30.0
# Connections are made in this time.
_WARM_UP_S = 1.0
_SHARES_BY_NAME = {"p50": 0.5, "p90": 0.9, "p99": 0.99}


def measure_added_latency(
    fleet: Fleet, *, policy: str, scenario: str, duration_s: float, seed: int
) -> list[Figure]:
    """Compare direct calls with calls through daemons, for one caller and several.

    Each caller is a process with one thread that sends a call through a daemon and a
    direct one in turn, so that both meet the same noise of the machine.
    """
    figures = []
    for callers in (1, SEVERAL_CALLERS):
        jobs = [
            Job(
                service=SERVICE.name,
                target=f"/{SERVICE.name}/item?work_ms={_WORK_MS:g}",
                addresses=[vm.callers for vm in fleet.vms],
                compared_addresses=[vm.backend_address for vm in fleet.vms],
                rate_per_s=_PAIRS_PER_S,
                duration_s=_WARM_UP_S + duration_s,
                threads=1,
                seed=seed * 1_000 + number,
            )
            for number in range(callers)
        ]
        with CallerProcesses(jobs=jobs) as processes:
            samples = processes.join()
        name = "1 caller" if callers == 1 else f"{callers} callers"
        figures += _compare(samples, callers=name, policy=policy, scenario=scenario)
    return figures


def _compare(
    samples: list[Sample], *, callers: str, policy: str, scenario: str
) -> list[Figure]:
    used = [sample for sample in samples if sample.at_s >= _WARM_UP_S]
    good = [sample for sample in used if not sample.reason]
    through = sorted(s.latency_ms for s in good if not s.compared)
    direct = sorted(s.latency_ms for s in good if s.compared)

    def figure(name: str, value: float | None, unit: str = "ms") -> Figure:
        return Figure(
            scenario=scenario,
            policy=policy,
            name=f"{name}, {callers}",
            value=value,
            unit=unit,
        )

    figures = [
        figure("compared calls", len(through), "calls"),
        figure("compared calls without answer", len(used) - len(good), "calls"),
    ]
    for name, share in _SHARES_BY_NAME.items():
        direct_ms = percentile_ms(direct, share) if direct else None
        through_ms = percentile_ms(through, share) if through else None
        measured = direct_ms is not None and through_ms is not None
        figures += [
            figure(f"direct call {name}", direct_ms),
            figure(f"call through daemons {name}", through_ms),
            figure(f"added {name}", through_ms - direct_ms if measured else None),
        ]
    return figures
