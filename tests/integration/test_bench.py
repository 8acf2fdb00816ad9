"""Tests of the benchmark."""

import msgspec
from vanillapitch_cli._report_model import read_measurements
from vanillapitch_testbed.bench import SCENARIOS, BenchOptions, run_bench


def test_the_report_reads_the_results_of_a_short_scenario(tmp_path):
    # Guards against a benchmark that measures nothing, reports a target without a
    # measurement as met, or writes a file that `vanillapitch report` rejects.
    options = BenchOptions(
        scenarios=SCENARIOS[:1],
        policies=("random",),
        warm_up_s=1.0,
        measured_s=1.0,
        comparison_s=0.0,
    )
    report = run_bench(options)
    path = tmp_path / "bench.json"
    path.write_bytes(msgspec.json.encode(report))
    measurements = read_measurements(str(path))
    values = {
        (measurement.policy, measurement.name): measurement.value
        for measurement in measurements.figures
    }
    for policy in ("product", "random"):
        assert values[policy, "calls"] > 0
        assert values[policy, "goodput"] > 0
        assert values[policy, "p99"] >= values[policy, "p50"] > 0
    assert values["random", "p99 by that of product"] > 0
    unmeasured = [target for target in measurements.targets if target.value is None]
    assert unmeasured
    assert not any(target.met for target in unmeasured)
