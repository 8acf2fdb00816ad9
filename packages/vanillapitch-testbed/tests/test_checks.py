"""Tests of the invariant checks of the testbed."""

import dataclasses

import msgspec
import pytest
from vanillapitch_testbed.backend import JournalEntry
from vanillapitch_testbed.callers import Call, percentile_ms
from vanillapitch_testbed.checks import (
    Window,
    check_calls,
    check_windows,
    count_keys,
)

EXECUTION = JournalEntry(
    server="a", process_id=1, serial=1, began_ms=10_000, nonce="n1", key="k1"
)
CALL = Call(service="s", method="POST", target="/s", key="k1", nonce="n1", status=200)
REFUSED = dataclasses.replace(CALL, status=503, code="overloaded", outcome="not_run")
SECOND_EXECUTION = msgspec.structs.replace(EXECUTION, serial=2, nonce="n2")


@pytest.mark.parametrize(
    ("calls", "executions", "invariants"),
    [
        ([CALL], [EXECUTION], []),
        ([REFUSED], [], []),
        ([CALL], [EXECUTION, SECOND_EXECUTION], ["I6"]),
        ([REFUSED], [EXECUTION], ["I5"]),
        ([dataclasses.replace(CALL, fault="foreign answer")], [EXECUTION], ["I4"]),
        ([dataclasses.replace(CALL, key="", code="partial_answer")], [], ["I4"]),
        ([CALL], [], ["I4", "I4"]),
    ],
)
def test_checks_detect_each_violation(calls, executions, invariants):
    # Guards against a check that never fails, so that a soak passes despite double
    # executions (I6), executions after `not_run` (I5) or wrong responses (I4).
    found = [violation.invariant for violation in check_calls(calls, executions)]
    assert found == invariants


@pytest.mark.parametrize(
    ("began_ms", "is_late"), [(9_000, False), (13_000, False), (13_001, True)]
)
def test_work_in_a_window_is_late_after_the_bound(began_ms, is_late):
    # Guards against a bound other than the 3 s of I3 and I7. Work that starts at a
    # server of the window within 3,000 ms of the change is allowed; later work is not.
    window = Window(
        invariant="I3", servers=frozenset("a"), began_ms=10_000, ended_ms=20_000
    )
    execution = msgspec.structs.replace(EXECUTION, began_ms=began_ms)
    assert bool(check_windows([window], [execution])) == is_late
    other = msgspec.structs.replace(execution, server="b")
    assert not check_windows([window], [other])


def test_a_key_with_a_response_but_no_execution_is_lost():
    # Guards against lost reservations that are not counted: the caller gets a success
    # response, but no backend server executed the request.
    assert count_keys([CALL], []).lost == 1
    assert count_keys([CALL], [EXECUTION]).once == 1
    assert count_keys([REFUSED], []).not_run == 1


@pytest.mark.parametrize(
    ("share", "expected"), [(0.5, 50), (0.99, 99), (0.999, 100), (0.001, 1)]
)
def test_percentiles_use_the_nearest_rank(share, expected):
    # Guards against an off-by-one index that reports a percentile one rank too low.
    latencies_ms = [float(value) for value in range(1, 101)]
    assert percentile_ms(latencies_ms, share) == expected
