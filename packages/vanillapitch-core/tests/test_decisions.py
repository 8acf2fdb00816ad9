"""Unit tests of individual decisions."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from vanillapitch_core import InvariantError, admission, health, picking, probes, warmup
from vanillapitch_core.quarantine import (
    QuarantineState,
    Strike,
    compute_fingerprint,
    is_quarantined,
    list_active_strikes,
    merge_strikes,
    record_answer,
)
from vanillapitch_core.tables import Pool

EVENTS = settings(derandomize=True, max_examples=100, deadline=None)


@EVENTS
@given(
    slots=st.integers(1, 40),
    events=st.lists(
        st.tuples(
            st.floats(0, 5_000),
            st.one_of(st.floats(0, 100), st.just(60_000.0)),
            st.booleans(),
        ),
        max_size=60,
    ),
)
def test_probes_stay_within_their_share_of_slot_time(slots, events):
    # Guards against probes that load the backend server they measure: before each
    # start, the time used and reserved is within 1% of the slot time. A probe that
    # overruns, for 60 s when the daemon is paused, delays the next ones.
    budget = probes.ProbeBudget(slots=slots)
    now_ms, used_ms = 0.0, 0.0
    for step_ms, duration_ms, paused in events:
        now_ms += 60_000.0 if paused else step_ms
        if not probes.start_probe(budget, last_result_at_ms=None, now_ms=now_ms):
            continue
        assert used_ms + budget.timeout_ms <= now_ms * slots * 0.01 + 1e-6
        now_ms += duration_ms
        used_ms += duration_ms
        probes.finish_probe(budget, duration_ms=duration_ms, now_ms=now_ms)


def test_probe_is_unnecessary_after_a_recent_result():
    # Guards against redundant probes: the result of a request within the last second
    # makes a probe unnecessary.
    budget = probes.ProbeBudget(slots=12)
    assert not probes.start_probe(budget, last_result_at_ms=9_500.0, now_ms=10_000.0)
    assert probes.start_probe(budget, last_result_at_ms=8_000.0, now_ms=10_000.0)


def test_probe_that_was_not_started_cannot_finish():
    # Guards against slot time that is returned to the budget twice, when a probe is
    # finished that is not running.
    with pytest.raises(InvariantError):
        probes.finish_probe(probes.ProbeBudget(slots=1), duration_ms=1.0, now_ms=1.0)


def make_strike(number, *, fingerprint="f", age_ms=0.0):
    return Strike(strike_id=f"s{number}", fingerprint=fingerprint, age_ms=age_ms)


def test_second_strike_quarantines_until_it_expires():
    # Guards against a request that crashes one backend server after another, and
    # against a quarantine that never ends: it lasts from the second distinct strike
    # until 10 minutes after it. A repeated strike does not count.
    state = QuarantineState()
    merge_strikes(state, strikes=[make_strike(1)], now_ms=0.0)
    merge_strikes(state, strikes=[make_strike(1)], now_ms=5.0)
    assert not is_quarantined(state, fingerprint="f", now_ms=10.0)
    assert merge_strikes(state, strikes=[make_strike(2)], now_ms=10.0)
    assert is_quarantined(state, fingerprint="f", now_ms=600_009.0)
    assert not is_quarantined(state, fingerprint="f", now_ms=600_010.0)


def test_strikes_exchanged_in_a_cycle_expire_on_time():
    # Guards against a quarantine that does not expire because two daemons keep sending
    # each other the same strikes: a received strike keeps its age.
    states = [QuarantineState(), QuarantineState()]
    merge_strikes(states[0], strikes=[make_strike(1), make_strike(2)], now_ms=0.0)
    for now_ms in range(0, 700_000, 50_000):
        for source, target in (states, reversed(states)):
            shared = list_active_strikes(source, now_ms=float(now_ms))
            merge_strikes(target, strikes=shared, now_ms=float(now_ms))
    assert not any(
        is_quarantined(state, fingerprint="f", now_ms=600_000.0) for state in states
    )


def test_complete_answer_clears_strikes():
    # Guards against the quarantine of a frequent request that was in flight during
    # crashes that it did not cause: an answer clears its strikes, also when they are
    # received again.
    state = QuarantineState()
    merge_strikes(state, strikes=[make_strike(1)], now_ms=0.0)
    record_answer(state, fingerprint="f", now_ms=50.0)
    assert not merge_strikes(state, strikes=[make_strike(1, age_ms=60.0)], now_ms=60.0)
    merge_strikes(state, strikes=[make_strike(2)], now_ms=100.0)
    assert not is_quarantined(state, fingerprint="f", now_ms=101.0)


@EVENTS
@given(
    numbers=st.lists(st.tuples(st.integers(0, 9), st.integers(0, 30)), max_size=60),
    rng=st.randoms(use_true_random=False),
)
def test_merging_strikes_is_idempotent_and_bounded(numbers, rng):
    # Guards against a table that grows without bound under hostile requests, and
    # against daemons that disagree because they received the same strikes in another
    # order or twice.
    strikes = [
        Strike(strike_id=f"{fingerprint}-{number}", fingerprint=str(fingerprint))
        for number, fingerprint in numbers
    ]
    one, other = QuarantineState(), QuarantineState()
    merge_strikes(one, strikes=strikes, now_ms=0.0)
    shuffled = strikes + strikes[::2]
    rng.shuffle(shuffled)
    merge_strikes(other, strikes=shuffled, now_ms=0.0)
    for fingerprint in map(str, range(31)):
        assert is_quarantined(one, fingerprint=fingerprint, now_ms=1.0) == (
            is_quarantined(other, fingerprint=fingerprint, now_ms=1.0)
        )
    small = QuarantineState(max_fingerprints=5)
    merge_strikes(small, strikes=strikes, now_ms=0.0)
    assert len(small.struck_at_ms_by_fingerprint) <= 5


def test_fingerprints_distinguish_requests():
    # Guards against the quarantine of another request, when method, host, target and
    # body are concatenated without separation.
    parts = [("GET", "a", "/x", b""), ("GET", "a/", "x", b""), ("GET", "a", "/x", b"1")]
    fingerprints = {
        compute_fingerprint(method=m, host=h, target=t, body=b) for m, h, t, b in parts
    }
    assert len(fingerprints) == 3


@pytest.mark.parametrize(
    ("fast", "failed_probe", "expected"),
    [(False, False, 5), (True, False, 3), (False, True, 2)],
)
def test_failures_needed_to_eject(fast, failed_probe, expected):
    # Guards against probes that eject an endpoint by themselves, and against tolerating
    # fast failures: 5 failures eject, 3 if they are fast, 2 after a failed probe.
    state = health.HealthState()
    for instance in "abcd":
        health.add_endpoint(state, instance=instance)
    if failed_probe:
        health.record_probe(state, instance="a", healthy=False, now_ms=0.0)
    assert health.count_ejected(state) == 0
    needed = 0
    while not health.count_ejected(state):
        health.record_request(state, instance="a", failed=True, fast=fast, now_ms=1.0)
        needed += 1
    assert needed == expected


def test_good_probe_does_not_restore():
    # Guards against restoring an endpoint whose health probe succeeds while its
    # requests fail.
    state = health.HealthState()
    for instance in "ab":
        health.add_endpoint(state, instance=instance)
    for _ in range(5):
        health.record_request(state, instance="a", failed=True, fast=False, now_ms=0.0)
    health.record_probe(state, instance="a", healthy=True, now_ms=1.0)
    assert health.count_ejected(state) == 1


def test_subset_is_stable():
    # Guards against reconnecting to all endpoints when one leaves: the other 7 members
    # of the subset of 8 must stay.
    endpoints = [
        picking.Endpoint(instance=f"e{n}", service="s", zone="z", region="r")
        for n in range(40)
    ]
    before = picking.choose_subset(ingress="i", endpoints=endpoints, size=8)
    rest = [endpoint for endpoint in endpoints if endpoint is not before[0]]
    after = picking.choose_subset(ingress="i", endpoints=rest, size=8)
    assert [e.instance for e in after[:7]] == [e.instance for e in before[1:]]


def test_unknown_endpoint_gets_one_call_until_it_answers():
    # Guards against a burst of calls to an endpoint that was just announced: it gets
    # one of 20 calls before its first answer.
    state = picking.PickerState(instance="me", zone="z", region="r")
    rng = random.Random(1)
    pool = Pool(name="p", service="s")
    picking.add_endpoint(state, instance="old", service="s", zone="z", region="r")
    first = picking.pick(state, pool=pool, now_ms=0.0, rng=rng)
    picking.record_result(
        state,
        instance="old",
        call_id=first.call_id,
        result=picking.CallResult.ANSWERED,
        latency_ms=5.0,
        now_ms=5.0,
    )
    picking.add_endpoint(state, instance="new", service="s", zone="z", region="r")
    picks = [picking.pick(state, pool=pool, now_ms=6.0, rng=rng) for _ in range(20)]
    assert [picked.instance for picked in picks].count("new") == 1


def test_unknown_endpoint_gets_calls_without_load():
    # Guards against a new endpoint that never gets calls, because the warm endpoints
    # always have free capacity: it must get at least 20 of 100 calls.
    state = picking.PickerState(instance="me", zone="z", region="r")
    rng = random.Random(1)
    pool = Pool(name="p", service="s")
    picks = []
    for number in range(200):
        if number in (0, 1, 100):
            instance = f"e{number}"
            picking.add_endpoint(
                state, instance=instance, service="s", zone="z", region="r"
            )
        picked = picking.pick(state, pool=pool, now_ms=10.0 * number, rng=rng)
        picks.append(picked.instance)
        report = picking.LoadReport(in_flight=1, limit=12)
        picking.record_report(
            state, instance=picked.instance, report=report, now_ms=10.0 * number + 5
        )
        picking.record_result(
            state,
            instance=picked.instance,
            call_id=picked.call_id,
            result=picking.CallResult.ANSWERED,
            latency_ms=5.0,
            now_ms=10.0 * number + 5,
        )
    assert picks[100:].count("e100") >= 20


def test_refused_connection_backs_off_at_once():
    # Guards against retries at the same unreachable owner: after a refused connection,
    # the next 20 calls go to the other endpoint.
    state = picking.PickerState(instance="me", zone="z", region="r")
    rng = random.Random(1)
    pool = Pool(name="p", service="s")
    for instance in "ab":
        picking.add_endpoint(
            state, instance=instance, service="s", zone="z", region="r"
        )
    first = picking.pick(state, pool=pool, now_ms=0.0, rng=rng)
    picking.record_result(
        state,
        instance=first.instance,
        call_id=first.call_id,
        result=picking.CallResult.UNREACHABLE,
        latency_ms=0.1,
        now_ms=0.1,
    )
    others = {
        picking.pick(state, pool=pool, now_ms=1.0 + n, rng=rng).instance
        for n in range(20)
    }
    assert others == {"a", "b"} - {first.instance}


def test_deadline_below_the_latency_floor_is_refused_until_the_floor_expires():
    # Guards against admitting a request that cannot meet its deadline, and against
    # refusing such requests for ever: the latency floor of 50 ms must expire within
    # 2.1 s.
    state = admission.AdmissionState(slots=4, connections=200)

    def admit(ticket, now_ms):
        request = admission.AdmissionRequest(
            ticket=ticket, priority=5, remaining_ms=20.0
        )
        return admission.admit(state, request, now_ms=now_ms)[0].decision

    assert admit("1", 0.0) is admission.Decision.ADMITTED
    admission.release(
        state,
        ticket="1",
        kind=admission.AnswerKind.ANSWERED,
        latency_ms=50.0,
        now_ms=50.0,
    )
    assert admit("2", 60.0) is admission.Decision.REFUSED
    assert admit("3", 2_100.0) is admission.Decision.ADMITTED


@pytest.mark.parametrize("error_kind", ["SHED", "FAILED"])
def test_latency_jump_with_sheds_or_failures_starts_the_ramp(error_kind):
    # Guards against full load on a backend server whose restart was not detected: its
    # latency rises to 5 times the baseline while it sheds or fails requests.
    state = warmup.WarmupState(ceiling=12)
    for _ in range(30):
        assert not warmup.record_answer(
            state, kind=warmup.WarmupAnswer.GOOD, latency_ms=10.0, now_ms=0.0
        )
    kinds = [warmup.WarmupAnswer[error_kind], *[warmup.WarmupAnswer.GOOD] * 3] * 3
    ramp_started = [
        warmup.record_answer(state, kind=kind, latency_ms=50.0, now_ms=1.0)
        for kind in kinds
    ]
    assert any(ramp_started)
    assert warmup.cap(state) == 1


def test_ramp_reaches_the_ceiling_and_halves_on_a_shed():
    # Guards against a ramp that never ends, or that ignores a shed request: the ramp to
    # 12 slots must end within 10 s and halve the cap from 8 to 4 on the shed request.
    state = warmup.WarmupState(ceiling=12)
    warmup.start_ramp(state, now_ms=0.0)
    caps, now_ms, sheds = [], 0.0, 0
    while state.ramping and now_ms < 10_000.0:
        now_ms += 20.0
        kind = warmup.WarmupAnswer.GOOD
        if sheds == 0 and warmup.cap(state) == 8:
            kind = warmup.WarmupAnswer.SHED
            sheds = 1
        warmup.record_answer(state, kind=kind, latency_ms=10.0, now_ms=now_ms)
        caps.append(warmup.cap(state))
    assert caps[-1] == 12
    assert 4 in caps[caps.index(8) :]
