"""Latency that the daemons add to a direct call to the backend server."""

from vanillapitch_testbed.bench._load import CallerProcesses
from vanillapitch_testbed.bench._model import Measurement
from vanillapitch_testbed.bench._scenarios import SERVICE
from vanillapitch_testbed.bench_processes.job import Job, Sample
from vanillapitch_testbed.callers import percentile_ms
from vanillapitch_testbed.fleet import Fleet

__all__ = ["SEVERAL_CALLERS", "measure_added_latency"]

SEVERAL_CALLERS = 4
# Fixed, so that the percentiles of proxied and direct calls differ only by the
# latency that the daemons add.
_WORK_MS = 5.0
_PAIRS_PER_S = 30.0
# Excludes the setup of connections from the comparison.
_WARM_UP_S = 1.0
_QUANTILES_BY_NAME = {"p50": 0.5, "p90": 0.9, "p99": 0.99}


def measure_added_latency(
    fleet: Fleet, *, policy: str, scenario: str, duration_s: float, seed: int
) -> list[Measurement]:
    """Compare direct calls with calls through daemons, for one caller and several.

    Each caller is a process with one thread that alternates between a call through a
    daemon and a direct one, so that noise of the machine affects both alike.
    """
    measurements = []
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
        label = "1 caller" if callers == 1 else f"{callers} callers"
        measurements += _compare_latencies(
            samples, callers=label, policy=policy, scenario=scenario
        )
    return measurements


def _compare_latencies(
    samples: list[Sample], *, callers: str, policy: str, scenario: str
) -> list[Measurement]:
    measured_samples = [sample for sample in samples if sample.at_s >= _WARM_UP_S]
    successful = [sample for sample in measured_samples if not sample.reason]
    proxied_latencies_ms = sorted(s.latency_ms for s in successful if not s.compared)
    direct_latencies_ms = sorted(s.latency_ms for s in successful if s.compared)

    def make_measurement(
        label: str, value: float | None, unit: str = "ms"
    ) -> Measurement:
        return Measurement(
            scenario=scenario,
            policy=policy,
            name=f"{label}, {callers}",
            value=value,
            unit=unit,
        )

    measurements = [
        make_measurement("compared calls", len(proxied_latencies_ms), "calls"),
        make_measurement(
            "compared calls without answer",
            len(measured_samples) - len(successful),
            "calls",
        ),
    ]
    for label, quantile in _QUANTILES_BY_NAME.items():
        direct_ms = (
            percentile_ms(direct_latencies_ms, quantile)
            if direct_latencies_ms
            else None
        )
        proxied_ms = (
            percentile_ms(proxied_latencies_ms, quantile)
            if proxied_latencies_ms
            else None
        )
        is_measured = direct_ms is not None and proxied_ms is not None
        measurements += [
            make_measurement(f"direct call {label}", direct_ms),
            make_measurement(f"call through daemons {label}", proxied_ms),
            make_measurement(
                f"added {label}", proxied_ms - direct_ms if is_measured else None
            ),
        ]
    return measurements
