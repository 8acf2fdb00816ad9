"""Stateful tests that apply random sequences of events to the decision logic.

The decision logic checks its own invariants; the state machines compare its state with
a model of the past events. Large time steps stand for pauses of the process.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from vanillapitch_core import Outcome, RefusalCode, admission, health, picking, retries
from vanillapitch_core.admission import AnswerKind, Decision
from vanillapitch_core.tables import Pool, WhenZonesOut

# Derandomised, so that each run uses the same examples.
SETTINGS = settings(
    derandomize=True, max_examples=60, stateful_step_count=60, deadline=None
)
ZONES = ["z0", "z1", "z2"]
STEPS_MS = st.sampled_from([0.0, 0.5, 3.0, 20.0, 250.0, 2_500.0, 60_000.0])


class AdmissionMachine(RuleBasedStateMachine):
    """Guards against too many requests in flight and against inconsistent queues.

    After random arrivals, ends, time-outs and state changes, at most `slots` requests
    may be in flight, and exactly the requests that were queued and neither admitted
    nor refused may wait, none longer than the maximum wait.
    """

    @initialize(slots=st.integers(1, 20), waiting=st.integers(0, 8))
    def start(self, slots, waiting):
        self.now_ms, self.count = 0.0, 0
        self.state = admission.AdmissionState(
            slots=slots, connections=200, max_waiting=waiting
        )
        self.waiting = {}
        self.running = set()

    def apply(self, decisions):
        for decision in decisions:
            self.waiting.pop(decision.ticket, None)
            if decision.decision is Decision.ADMITTED:
                assert not self.state.leaving
                self.running.add(decision.ticket)
            elif decision.decision is Decision.QUEUED:
                self.waiting[decision.ticket] = self.now_ms
            else:
                assert decision.refusal.outcome is Outcome.NOT_RUN

    @rule(step_ms=STEPS_MS)
    def wait(self, step_ms):
        self.now_ms += step_ms

    @rule(
        priority=st.integers(0, 9),
        remaining_ms=st.sampled_from([-5.0, 0.0, 2.0, 30.0, 10_000.0]),
        anyway=st.booleans(),
    )
    def arrive(self, priority, remaining_ms, anyway):
        self.count += 1
        request = admission.AdmissionRequest(
            ticket=str(self.count),
            priority=priority,
            remaining_ms=remaining_ms,
            serve_when_zone_out=anyway,
        )
        decisions = admission.admit(self.state, request, now_ms=self.now_ms)
        assert decisions[0].ticket == request.ticket
        admitted = decisions[0].decision is Decision.ADMITTED
        assert not (admitted and remaining_ms <= 0)
        assert not (admitted and not self.state.zone_in_service and not anyway)
        self.apply(decisions)

    @precondition(lambda self: self.running)
    @rule(
        kind=st.sampled_from(AnswerKind),
        latency_ms=st.sampled_from([0.0, 1.0, 10.0, 500.0, 60_000.0]),
        index=st.integers(0, 99),
    )
    def finish(self, kind, latency_ms, index):
        ticket = sorted(self.running)[index % len(self.running)]
        self.running.remove(ticket)
        self.apply(
            admission.release(
                self.state,
                ticket=ticket,
                kind=kind,
                latency_ms=latency_ms,
                now_ms=self.now_ms,
            )
        )

    @rule()
    def expire(self):
        self.apply(admission.expire_waiters(self.state, now_ms=self.now_ms))
        oldest_ms = self.now_ms - self.state.max_wait_ms
        assert all(since_ms > oldest_ms for since_ms in self.waiting.values())

    @rule(change=st.sampled_from(["zone", "down", "leave", "return", "cold"]))
    def change_state(self, change):
        now_ms = self.now_ms
        if change == "zone":
            in_service = not self.state.zone_in_service
            self.apply(
                admission.set_zone_in_service(
                    self.state, in_service=in_service, now_ms=now_ms
                )
            )
        elif change == "down":
            down = not self.state.backend_down
            self.apply(admission.set_backend_down(self.state, down=down, now_ms=now_ms))
        elif change == "leave":
            self.apply(admission.start_leaving(self.state, now_ms=now_ms))
            assert not self.state.waiters
        elif change == "return":
            admission.end_leaving(self.state, now_ms=now_ms)
        else:
            admission.start_warmup(self.state, now_ms=now_ms)
            assert admission.current_limit(self.state) <= max(1, self.state.slots // 5)

    @invariant()
    def bounds_hold(self):
        if not hasattr(self, "state"):
            return
        assert self.state.in_flight_tickets == self.running
        in_flight = admission.count_in_flight(self.state, now_ms=self.now_ms)
        assert len(self.running) <= in_flight <= self.state.slots
        assert 1 <= admission.current_limit(self.state) <= self.state.slots
        assert {w.request.ticket for w in self.state.waiters} == set(self.waiting)


class PickerMachine(RuleBasedStateMachine):
    """Guards against picks of unusable endpoints and against lost calls.

    After random changes of endpoints and zones, and results that may arrive twice, a
    pick must not choose an endpoint that is excluded, leaving or in a zone out of
    service, outstanding calls must match the calls that have not ended, and at most a
    third of the endpoints, or one, may be ejected.
    """

    @initialize(seed=st.integers(0, 9), anyway=st.booleans())
    def start(self, seed, anyway):
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        when = WhenZonesOut.SERVE_ANYWAY if anyway else WhenZonesOut.REFUSE
        self.pool = Pool(name="p", service="s", when_zones_out=when)
        self.state = picking.PickerState(instance="me", zone="z0", region="r")
        self.known, self.leaving, self.calls = {}, set(), []

    @rule(step_ms=STEPS_MS)
    def wait(self, step_ms):
        self.now_ms += step_ms

    @rule(number=st.integers(0, 11))
    def join(self, number):
        instance, zone = f"e{number}", ZONES[number % 3]
        picking.add_endpoint(
            self.state, instance=instance, service="s", zone=zone, region="r"
        )
        self.known[instance] = zone
        self.leaving.discard(instance)

    @rule(number=st.integers(0, 11), gone=st.booleans())
    def leave(self, number, gone):
        instance = f"e{number}"
        if gone:
            picking.remove_endpoint(self.state, instance=instance)
            self.known.pop(instance, None)
            self.leaving.discard(instance)
            return
        picking.mark_leaving(self.state, instance=instance)
        if instance in self.known:
            self.leaving.add(instance)

    @rule(zones=st.sets(st.sampled_from(ZONES)))
    def move_zones(self, zones):
        picking.set_zones_out(self.state, zones_out=zones)

    @rule(excluded=st.sets(st.integers(0, 11), max_size=3))
    def pick(self, excluded):
        excluded = {f"e{number}" for number in excluded}
        picked = picking.pick(
            self.state,
            pool=self.pool,
            excluded=excluded,
            now_ms=self.now_ms,
            rng=self.rng,
        )
        members = set(self.known) - self.leaving
        in_service = {m for m in members if self.known[m] not in self.state.zones_out}
        serve_anyway = self.pool.when_zones_out is WhenZonesOut.SERVE_ANYWAY
        usable = (in_service or (members if serve_anyway else set())) - excluded
        if isinstance(picked, picking.NoUsableEndpoint):
            assert not usable
            only_zones = bool(members) and not in_service and not serve_anyway
            assert (picked.code is RefusalCode.ZONE_OUT) == only_zones
            return
        assert picked.instance in usable
        assert picked.serve_anyway == (not in_service)
        self.calls.append((picked.instance, picked.call_id, self.now_ms))

    @precondition(lambda self: self.calls)
    @rule(
        index=st.integers(0, 99),
        result=st.sampled_from(picking.CallResult),
        limit=st.integers(0, 20),
        state=st.sampled_from(picking.EndpointState),
        twice=st.booleans(),
    )
    def end_call(self, index, result, limit, state, twice):
        instance, call_id, started_ms = self.calls.pop(index % len(self.calls))
        report = picking.LoadReport(in_flight=limit // 2, limit=limit, state=state)
        picking.record_report(
            self.state, instance=instance, report=report, now_ms=self.now_ms
        )
        for _ in range(1 + twice):
            picking.record_result(
                self.state,
                instance=instance,
                call_id=call_id,
                result=result,
                latency_ms=self.now_ms - started_ms,
                now_ms=self.now_ms,
            )

    @invariant()
    def bounds_hold(self):
        if not hasattr(self, "state"):
            return
        calls = {(instance, call_id) for instance, call_id, _ in self.calls}
        for endpoint in self.state.endpoints_by_instance.values():
            for call_id in endpoint.outstanding:
                assert (endpoint.instance, call_id) in calls
            assert 0.0 <= endpoint.failure_share <= 1.0
        for service in self.state.services_by_name.values():
            ejected = health.count_ejected(service.health)
            count = len(service.endpoints_by_instance)
            assert ejected <= max(1, count // 3) * (count > 1)


class RetryMachine(RuleBasedStateMachine):
    """Guards against too many retries and against executing a request twice.

    Retries and hedged requests must stay within 10% of the calls plus the initial
    retries. A request that may have been executed must not be retried unless it is
    idempotent, and never if it was executed or crashed the backend server.
    """

    @initialize()
    def start(self):
        self.budget = retries.RetryBudget()

    @rule(count=st.integers(1, 40))
    def call(self, count):
        for _ in range(count):
            retries.record_call(self.budget)

    @rule(
        code=st.sampled_from(RefusalCode),
        outcome=st.sampled_from(Outcome),
        idempotent=st.booleans(),
        attempt=st.integers(1, 4),
        request_attempt=st.integers(1, 3),
        remaining_ms=st.sampled_from([-1.0, 0.0, 5.0, 500.0]),
    )
    def retry(self, code, outcome, idempotent, attempt, request_attempt, remaining_ms):
        reason = retries.decide_retry(
            self.budget,
            code=code,
            outcome=outcome,
            idempotent=idempotent,
            attempt=attempt,
            request_attempt=request_attempt,
            remaining_ms=remaining_ms,
        )
        if reason.is_retry:
            assert outcome is Outcome.NOT_RUN or idempotent
            assert outcome is not Outcome.RAN
            assert code is not RefusalCode.BACKEND_CRASHED
            assert request_attempt == 1
            assert remaining_ms > 0

    @rule(enabled=st.booleans(), method=st.sampled_from(["GET", "POST"]))
    def hedge(self, enabled, method):
        reason = retries.decide_hedge(
            self.budget,
            enabled=enabled,
            method=method,
            idempotent=True,
            request_attempt=1,
            age_ms=10.0,
            hedge_after_ms=5.0,
            remaining_ms=100.0,
        )
        assert not reason.is_hedge or (enabled and method == "GET")

    @invariant()
    def share_holds(self):
        if hasattr(self, "budget"):
            budget = self.budget
            assert budget.retries <= 0.1 * budget.calls + retries.INITIAL_RETRIES + 1e-6


for machine in (AdmissionMachine, PickerMachine, RetryMachine):
    machine.TestCase.settings = SETTINGS
TestAdmission = AdmissionMachine.TestCase
TestPicker = PickerMachine.TestCase
TestRetry = RetryMachine.TestCase
