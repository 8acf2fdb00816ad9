"""Routing, ranking and admission as functions of state and time."""

import random

import hypothesis
import hypothesis.strategies as st
import pytest
from vanillapitch_relay import admission
from vanillapitch_relay.admission import AdmissionState, CallTicket, RefusalReason
from vanillapitch_relay.breaker import Breaker
from vanillapitch_relay.cold_rate import ColdRate, compute_cold_limit
from vanillapitch_relay.failure_share import FailureShare
from vanillapitch_relay.model import (
    ClientLimits,
    Configuration,
    EndpointState,
    Route,
    WeightedTarget,
)
from vanillapitch_relay.ranking import Candidate, order_candidates
from vanillapitch_relay.route_times import ExecutionTimes, RouteDeadlines
from vanillapitch_relay.routing import RouteTable, WeightedChoice


def make_route(name="r", host="a.example", prefix="/x/", **changes):
    fields = {
        "name": name,
        "host": host,
        "prefix": prefix,
        "idempotent": True,
        "timeout_ms": 1_000.0,
        "objective_ms": 300.0,
        "priority": 1,
        "targets": (WeightedTarget(service="shop", weight=1.0),),
        "max_attempts": 2,
    }
    return Route(**{**fields, **changes})


def make_table(*routes):
    limits = ClientLimits(
        max_header_bytes=16_384,
        max_body_bytes=1_000,
        header_timeout_ms=3_000.0,
        idle_timeout_ms=15_000.0,
    )
    configuration = Configuration(
        version="1", sequence=1, routes=routes, services_by_name={}, limits=limits
    )
    return RouteTable(configuration=configuration)


@pytest.mark.parametrize(
    ("host", "target", "name"),
    [
        ("a.example", "/x/1", "short"),
        ("a.example", "/x/y/1", "long"),
        ("A.Example:8080", "/x/y/", "long"),
        ("a.example", "/x/y", "short"),
        ("a.example", "/x/1?p=/x/y/", "short"),
        ("b.example", "/x/1", "other"),
        ("a.example", "/z", None),
        ("a.example", "/x", None),
        ("c.example", "/x/1", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, target, name):
    # Guards against requests that are routed by a shorter prefix, by the query or by
    # the routes of another host, and so reach the wrong service.
    table = make_table(
        make_route(name="short"),
        make_route(name="long", prefix="/x/y/"),
        make_route(name="other", host="b.example"),
    )
    route = table.match(host=host, target=target)
    assert (route and route.name) == name


@hypothesis.given(st.lists(st.integers(1, 100), min_size=2, max_size=4))
def test_weights_are_kept_over_short_spans(weights):
    # Guards against a choice that keeps the weights only over long spans: after 200
    # requests each service may be off by at most the number of services.
    targets = tuple(
        WeightedTarget(service=f"s{index}", weight=float(weight))
        for index, weight in enumerate(weights)
    )
    choice = WeightedChoice()
    route = make_route(targets=targets)
    chosen = [choice.choose(route) for _ in range(200)]
    for target in targets:
        share = target.weight / sum(weights)
        assert abs(chosen.count(target.service) - 200 * share) <= len(weights)


def make_candidate(node="n1", **changes):
    fields = {
        "zone": "a",
        "state": EndpointState.READY,
        "limit": 8,
        "in_flight": 0,
        "waiting": 0,
        "sent_since_report": 0,
        "speed_percent": 100,
        "failure_percent": 0,
        "reported_at_ms": 1_000.0,
    }
    return Candidate(node=node, **{**fields, **changes})


@pytest.mark.parametrize(
    "worse",
    [
        {"zone": "b"},
        {"in_flight": 6},
        {"waiting": 5, "in_flight": 8},
        {"sent_since_report": 6},
        {"speed_percent": 400},
        {"failure_percent": 40},
        {"state": EndpointState.COLD},
        {"limit": 0},
    ],
)
def test_the_better_endpoint_comes_first(worse):
    # Guards against a term of the cost that has no effect: each case makes one endpoint
    # worse in one respect.
    candidates = [make_candidate("worse", **worse), make_candidate("better")]
    order = order_candidates(candidates, zone="a", now_ms=1_000.0, rng=random.Random(1))
    assert order == ["better", "worse"]


@pytest.mark.parametrize(
    ("body_bytes", "load", "first"),
    [
        (0, {"in_flight": 3}, "near"),
        (0, {"in_flight": 7}, "far"),
        (60_000, {"in_flight": 7}, "near"),
        (60_000, {"in_flight": 8, "waiting": 6}, "far"),
        (60_000, {"speed_percent": 400}, "far"),
        (360_000, {"speed_percent": 400}, "near"),
    ],
)
def test_large_bodies_stay_in_their_zone_unless_it_is_full(body_bytes, load, first):
    # Guards against avoidable traffic between zones, which for an upload of 60 KB costs
    # a sixth of the value of the request.
    candidates = [make_candidate("near", **load), make_candidate("far", zone="b")]
    order = order_candidates(
        candidates,
        zone="a",
        now_ms=1_000.0,
        rng=random.Random(1),
        body_bytes=body_bytes,
    )
    assert order[0] == first


@pytest.mark.parametrize(
    "state",
    [
        EndpointState.DOWN,
        EndpointState.LEAVING,
        EndpointState.UNKNOWN,
        EndpointState.ZONE_OUT,
    ],
)
def test_unusable_endpoints_are_left_out(state):
    # Guards against calls to owners that have to refuse them because of the state of
    # their endpoint.
    order = order_candidates(
        [make_candidate(state=state)], zone="a", now_ms=0.0, rng=random.Random(1)
    )
    assert order == []


def test_an_old_speed_counts_less():
    # Guards against an endpoint that is avoided because of a speed reported 2 s ago.
    slow = make_candidate("slow", speed_percent=400, reported_at_ms=0.0)
    busy = make_candidate("busy", in_flight=8, reported_at_ms=2_000.0)
    order = order_candidates(
        [slow, busy], zone="a", now_ms=2_000.0, rng=random.Random(1)
    )
    assert order == ["slow", "busy"]


def make_state(**changes):
    fields = {"slots": 10, "max_connections": 100, "blocked": None, "latency_ms": 50.0}
    return AdmissionState(**{**fields, **changes})


def make_ticket(
    number, *, priority=1, due_ms=300.0, wait_until_ms=1_000.0, is_late=False
):
    return CallTicket(
        id=number,
        priority=priority,
        is_late=is_late,
        due_ms=due_ms,
        wait_until_ms=wait_until_ms,
    )


def fill(state, count, *, now_ms=0.0):
    for number in range(count):
        assert admission.offer(state, make_ticket(number), now_ms=now_ms) is None
        assert admission.admit_next(state, now_ms=now_ms) is not None


def test_running_calls_stay_within_the_limit():
    # Guards against endpoints that slow down because all their slots are busy.
    state = make_state()
    fill(state, state.limit)
    assert admission.offer(state, make_ticket(99), now_ms=0.0) is None
    assert admission.admit_next(state, now_ms=0.0) is None


def test_urgent_calls_go_first():
    # Guards against calls that are admitted before calls of a higher priority or,
    # within one priority, before calls whose objective passes earlier.
    state = make_state()
    fill(state, state.limit)
    for number, (priority, due_ms) in enumerate(((2, 100.0), (1, 400.0), (1, 120.0))):
        ticket = make_ticket(50 + number, priority=priority, due_ms=due_ms)
        assert admission.offer(state, ticket, now_ms=0.0) is None
    order = []
    for number in range(3):
        admission.finish(state, make_ticket(number), latency_ms=50.0)
        order.append(admission.admit_next(state, now_ms=1.0).id)
    assert order == [52, 51, 50]


def test_calls_that_will_be_late_go_after_those_that_can_be_on_time():
    # Guards against late responses under overload: when calls were admitted only by the
    # earliest objective, a third of the responses came just after it.
    state = make_state()
    fill(state, state.limit)
    for number, (priority, is_late, due_ms) in enumerate(
        ((1, True, 20.0), (1, False, 300.0), (2, False, 50.0), (-1, True, 10.0))
    ):
        ticket = make_ticket(
            50 + number, priority=priority, due_ms=due_ms, is_late=is_late
        )
        assert admission.offer(state, ticket, now_ms=0.0) is None
    order = []
    for number in range(4):
        admission.finish(state, make_ticket(number), latency_ms=50.0)
        order.append(admission.admit_next(state, now_ms=1.0).id)
    assert order == [53, 51, 50, 52]


@pytest.mark.parametrize(
    ("objective_ms", "remaining_ms", "typical_ms", "limit_ms"),
    [
        (600.0, 1_500.0, 100.0, 300.0),
        (600.0, 1_500.0, 400.0, 200.0),
        (600.0, 1_500.0, 580.0, 60.0),
        (600.0, 40.0, 100.0, 40.0),
        (-50.0, 900.0, 300.0, 10.0),
        (-50.0, -5.0, 300.0, 0.0),
    ],
)
def test_a_call_waits_while_it_can_still_be_on_time(
    objective_ms, remaining_ms, typical_ms, limit_ms
):
    # Guards against calls that wait so long that their execution must miss the latency
    # objective: the limit is half of what remains, less if the execution takes longer.
    assert limit_ms == admission.wait_limit_ms(
        objective_ms=objective_ms, remaining_ms=remaining_ms, typical_ms=typical_ms
    )


def test_the_objective_counts_from_the_first_attempt():
    # Guards against retries that are admitted ahead of new requests because their
    # latency objective is counted from the retry instead of the first attempt.
    deadlines = RouteDeadlines()
    assert deadlines.estimate_elapsed_ms("r", remaining_ms=1_500.0) == 0.0
    # Deadlines of callers differ by 15 %, which must not be classified as a retry.
    assert deadlines.estimate_elapsed_ms("r", remaining_ms=1_280.0) == 0.0
    assert deadlines.estimate_elapsed_ms("r", remaining_ms=775.0) > 450.0
    assert deadlines.estimate_elapsed_ms("other", remaining_ms=775.0) == 0.0


@pytest.mark.parametrize("seed", range(3))
def test_few_callers_with_longer_deadlines_make_no_other_caller_late(seed):
    # Guards against one caller with a deadline of 60 s that raises the estimate so far
    # that the requests of all others count as retries. 30 % of the requests are
    # retries, 4 % have the long deadline.
    rng = random.Random(seed)
    deadlines = RouteDeadlines()
    first_elapsed_ms, retry_elapsed_ms = [], []
    for number in range(2_000):
        draw = rng.random()
        remaining_ms = 1_500.0 * rng.uniform(0.85, 1.0)
        if draw < 0.04:
            remaining_ms = 60_000.0
        elif draw < 0.34:
            remaining_ms -= 500.0
        elapsed_ms = deadlines.estimate_elapsed_ms("r", remaining_ms=remaining_ms)
        if number >= 500 and draw >= 0.34:
            first_elapsed_ms.append(elapsed_ms)
        elif number >= 500 and draw >= 0.04:
            retry_elapsed_ms.append(elapsed_ms)
    assert max(first_elapsed_ms) < 0.1 * 1_500.0
    assert min(retry_elapsed_ms) > 150.0


def test_execution_times_are_estimated_per_route():
    # Guards against short calls whose expected time is that of the long calls of
    # another route to the same endpoint.
    times = ExecutionTimes()
    assert times.typical_ms("long") == times.typical_ms("short")
    for _ in range(100):
        times.record("long", 400.0)
        times.record("short", 20.0)
    times.record("long", 600.0)
    assert 400.0 < times.typical_ms("long") < 420.0
    assert times.typical_ms("short") == pytest.approx(20.0)


def test_a_call_that_would_wait_too_long_is_refused_at_once():
    # Guards against calls that are queued although their wait limit (60 ms) must pass
    # before a slot becomes free.
    state = make_state(latency_ms=800.0)
    fill(state, state.limit)
    ticket = make_ticket(99, wait_until_ms=60.0)
    assert admission.offer(state, ticket, now_ms=0.0) is RefusalReason.OVERLOADED


def test_calls_that_waited_too_long_are_expired():
    # Guards against requests that are sent after their wait limit (100 ms), when the
    # response comes too late for the caller.
    state = make_state()
    fill(state, state.limit)
    ticket = make_ticket(99, wait_until_ms=100.0)
    assert admission.offer(state, ticket, now_ms=0.0) is None
    assert admission.next_event_ms(state, now_ms=0.0) == 100.0
    assert admission.expire(state, now_ms=99.0) == []
    assert admission.expire(state, now_ms=100.0) == [ticket]


@hypothesis.given(
    st.lists(st.floats(0.0, 120.0), min_size=50, max_size=200),
    st.integers(0, 60),
)
def test_a_cold_endpoint_keeps_its_rate_in_every_second(gaps_ms, sent_before):
    # Guards against a cold endpoint that crashes because it receives more than its rate
    # in some second, also when it turns cold while requests are sent to it.
    state = make_state(slots=500, max_connections=1_000)
    now_ms = 10_000.0
    for number in range(sent_before):
        admission.offer(state, make_ticket(number), now_ms=now_ms)
        admission.admit_next(state, now_ms=now_ms)
        admission.finish(state, make_ticket(number), latency_ms=1.0)
    state.cold.until_ms = 1e9
    state.cold.limit = compute_cold_limit(cold_per_s=20.0, overshoot=1.5, slack=5.0)
    times_ms = []
    for number, gap_ms in enumerate(gaps_ms):
        now_ms += gap_ms
        ticket = make_ticket(1_000 + number, wait_until_ms=now_ms + 5_000.0)
        admission.offer(state, ticket, now_ms=now_ms)
        while (admitted := admission.admit_next(state, now_ms=now_ms)) is not None:
            times_ms.append(now_ms)
            admission.finish(state, admitted, latency_ms=1.0)
    for start_ms in times_ms:
        # In any second, 1.5 times the rate of 20 and five more requests are allowed; a
        # send may follow its admission by up to 100 ms.
        inside = [t for t in times_ms if start_ms <= t < start_ms + 1_100.0]
        assert len(inside) <= 35


def cold_state(sent_at_ms):
    cold = ColdRate(until_ms=1e9, limit=5)
    cold.sent_at_ms.extend(sent_at_ms)
    return make_state(cold=cold)


def test_a_call_waits_for_the_rate_of_a_cold_endpoint():
    # Guards against a cold endpoint that refuses calls although its rate allows them
    # within their wait limit. After a power failure of all VMs, calls were refused
    # until the time at which the next one could be sent.
    state = cold_state([0.0, 100.0, 200.0, 300.0, 400.0])
    late = make_ticket(1, wait_until_ms=1_099.0)
    assert admission.offer(state, late, now_ms=950.0) is RefusalReason.COLD
    for number, wait_until_ms in ((2, 1_100.0), (3, 1_200.0)):
        ticket = make_ticket(number, wait_until_ms=wait_until_ms)
        assert admission.offer(state, ticket, now_ms=950.0) is None
    assert admission.next_event_ms(state, now_ms=950.0) == 1_100.0
    assert admission.admit_next(state, now_ms=1_099.0) is None
    assert admission.admit_next(state, now_ms=1_100.0).id == 2
    assert admission.admit_next(state, now_ms=1_100.0) is None
    assert admission.admit_next(state, now_ms=1_200.0).id == 3


def test_sends_while_warm_count_for_an_endpoint_that_turns_cold():
    # Guards against calls that wait although they cannot be sent in time, because sends
    # made while the endpoint was warm were left out of the estimate.
    cold = cold_state([0.0, 100.0, 200.0, 300.0, 400.0, 500.0, 600.0]).cold
    assert cold.find_free_capacity(now_ms=650.0) == 0
    assert cold.find_wait_ms(ahead=0, now_ms=650.0) == 650.0
    assert cold.find_wait_ms(ahead=2, now_ms=650.0) == 850.0


def test_a_cold_endpoint_without_free_capacity_reports_limit_zero():
    # Guards against a cold endpoint that has used up its rate and is reported as idle:
    # most calls of its service were sent to it and refused.
    state = cold_state([0.0, 100.0, 200.0, 300.0, 400.0])
    assert state.limit_now(now_ms=950.0) == 0
    assert state.limit_now(now_ms=1_250.0) == 2
    assert state.limit_now(now_ms=1e9) == state.limit


@pytest.mark.parametrize(
    ("cold_started_ms", "admits_from_ms"), [(9_000.0, 10_700.0), (9_700.0, 10_000.0)]
)
def test_a_new_process_accounts_for_requests_of_the_previous_process(
    cold_started_ms, admits_from_ms
):
    # Guards against a cold endpoint that receives the rate of two daemon processes in
    # one second, before and after a restart of the daemon. An endpoint that started
    # after the end of the earlier process cannot have received requests from it.
    cold = ColdRate(
        admission_started_ms=10_000.0,
        duration_ms=3_000.0,
        until_ms=cold_started_ms + 3_000.0,
        limit=5,
    )
    state = make_state(cold=cold)
    ticket = make_ticket(1, wait_until_ms=11_000.0)
    assert admission.offer(state, ticket, now_ms=10_000.0) is None
    if admits_from_ms > 10_000.0:
        assert admission.admit_next(state, now_ms=admits_from_ms - 1.0) is None
        assert admission.next_event_ms(state, now_ms=10_000.0) == admits_from_ms
    assert admission.admit_next(state, now_ms=admits_from_ms) is ticket


def test_the_end_of_a_cold_start_ends_the_wait():
    # Guards against calls that still wait for the cold rate of an endpoint that has
    # warmed up.
    state = cold_state([900.0] * 5)
    state.cold.until_ms = 1_000.0
    ticket = make_ticket(1, wait_until_ms=1_050.0)
    assert admission.offer(state, ticket, now_ms=950.0) is None
    assert admission.next_event_ms(state, now_ms=950.0) == 1_000.0
    assert admission.admit_next(state, now_ms=1_000.0) is ticket


def test_a_blocked_endpoint_gets_nothing():
    # Guards against requests to endpoints that are leaving or whose zone is out of
    # service, also if the calls were queued before.
    state = make_state()
    assert admission.offer(state, make_ticket(1), now_ms=0.0) is None
    state.blocked = RefusalReason.LEAVING
    assert admission.admit_next(state, now_ms=0.0) is None
    assert admission.offer(state, make_ticket(2), now_ms=0.0) is RefusalReason.LEAVING
    assert [ticket.id for ticket in admission.expire(state, now_ms=0.0)] == [1]


def test_the_failure_share_decays():
    # Guards against an endpoint that is avoided permanently after some failures, since
    # without requests no success lowers the share: it must be below 5 % after 5 s.
    share = FailureShare()
    for _ in range(20):
        share.record(failed=True, now_ms=0.0)
    assert share.share(now_ms=0.0) > 0.9
    assert share.share(now_ms=5_000.0) < 0.05


def test_a_breaker_opens_after_failures_in_a_row_and_closes_with_a_success():
    # Guards against an endpoint that passes its health checks, fails all requests and
    # keeps receiving them.
    breaker = Breaker()
    for number in range(5):
        assert not breaker.is_open(typical_ms=50.0, now_ms=100.0)
        breaker.start(number, now_ms=100.0)
        breaker.end(number, succeeded=False, now_ms=100.0)
    assert breaker.is_open(typical_ms=50.0, now_ms=100.0)
    breaker.end(9, succeeded=None, now_ms=100.0)
    assert breaker.is_open(typical_ms=50.0, now_ms=100.0)
    breaker.end(10, succeeded=True, now_ms=100.0)
    assert not breaker.is_open(typical_ms=50.0, now_ms=100.0)


def test_a_breaker_opens_when_all_requests_hang():
    # Guards against an endpoint that accepts requests and never responds: they count as
    # stuck after 500 ms or six times the typical time, whichever is longer.
    breaker = Breaker(last_success_ms=1_000.0)
    for number in range(4):
        breaker.start(number, now_ms=1_000.0)
    assert not breaker.is_open(typical_ms=50.0, now_ms=1_499.0)
    assert breaker.is_open(typical_ms=50.0, now_ms=1_501.0)
    assert not breaker.is_open(typical_ms=200.0, now_ms=1_501.0)
    breaker.end(0, succeeded=True, now_ms=1_502.0)
    assert not breaker.is_open(typical_ms=50.0, now_ms=1_503.0)


def test_a_failing_endpoint_gets_one_request_at_a_time():
    # Guards against a failing endpoint that receives as many requests as a healthy one,
    # or none, so that no success can close its breaker.
    state = make_state(failing=True)
    fill(state, 1)
    assert admission.offer(state, make_ticket(50), now_ms=0.0) is None
    assert admission.admit_next(state, now_ms=0.0) is None


def test_a_failing_endpoint_receives_trial_requests():
    # Guards against an endpoint that never receives requests again after some failures,
    # because its cost ranks it last: about 5 % of the requests must try it.
    rng = random.Random(1)
    failing = make_candidate("failing", state=EndpointState.FAILING, zone="b")
    first_choices = [
        order_candidates(
            [failing, make_candidate("good", in_flight=7)],
            zone="a",
            now_ms=1_000.0,
            rng=rng,
            may_try_failing=may_try,
        )[0]
        for may_try in [True] * 1_000 + [False] * 1_000
    ]
    assert 20 <= first_choices[:1_000].count("failing") <= 100
    assert "failing" not in first_choices[1_000:]
