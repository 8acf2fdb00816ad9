"""Exhaustive exploration of small models of the claim protocol.

Every sender has a daemon of its own. Between any two steps, a write in flight may take
effect. Up to a limit, faults occur: a daemon crashes, an answer is lost, a write is
delayed until after a read, or a committer, the store or a holder cannot be reached.
The interleavings include paused processes, whose next step comes late, and replaced
committers, whose writes are delayed.
"""

import collections
import dataclasses
import functools

import pytest
from vanillapitch_core.claims import (
    ChangeKind,
    ChangeStatus,
    ClaimRecord,
    ClaimResult,
    ClaimState,
    HeldPhase,
    HolderState,
    claim_change,
    claim_store_key,
    finish_change,
    outcome_after_read,
    outcome_of_compare,
    parse_claim,
    release_change,
    sender,
)
from vanillapitch_core.outcome import Outcome

KEY = claim_store_key(route_pool="reserve", key="k")


@dataclasses.dataclass(frozen=True)
class Actor:
    """One send and its daemon."""

    step: sender.Step | None = None
    alive: bool = True
    answer: object = None
    ran: bool = False
    held: tuple = ()

    @functools.cached_property
    def _hash(self):
        return hash((self.step, self.alive, self.answer, self.ran, self.held))

    def __hash__(self):
        return self._hash


@dataclasses.dataclass(frozen=True)
class SystemState:
    """State of all sends, the store and the writes in flight."""

    actors: tuple[Actor, ...]
    faults_left: int
    value: bytes | None = None
    in_flight: frozenset = frozenset()

    def with_actor(self, index, **changes):
        actor = dataclasses.replace(self.actors[index], **changes)
        actors = (*self.actors[:index], actor, *self.actors[index + 1 :])
        return dataclasses.replace(self, actors=actors)

    def with_fault(self):
        return dataclasses.replace(self, faults_left=self.faults_left - 1)

    def sending(self, change):
        return dataclasses.replace(self, in_flight=self.in_flight | {change})

    def applying(self, change):
        """Apply a change as the store does."""
        matches = self.value == (change.expected or None)
        value = (change.value or None) if matches else self.value
        outcome = outcome_of_compare(change, succeeded=matches, current=self.value)
        return dataclasses.replace(self, value=value), outcome


class Model:
    """Generates the successors of a state with the protocol's own code."""

    def __init__(self, *, fingerprints, holder_type=HolderState):
        self.records = [
            ClaimRecord(claim_id=f"c{index}", fingerprint=each, holder=str(index))
            for index, each in enumerate(fingerprints)
        ]
        self.holder_type = holder_type

    def initial(self, faults):
        return SystemState(actors=(Actor(),) * len(self.records), faults_left=faults)

    def successors(self, system):
        for change in system.in_flight:
            rest = dataclasses.replace(system, in_flight=system.in_flight - {change})
            yield rest.applying(change)[0]
        for index, actor in enumerate(system.actors):
            if actor.alive and actor.answer is None:
                yield from self.transitions(system, index, actor)
                if system.faults_left:
                    yield system.with_fault().with_actor(index, alive=False)

    def transitions(self, system, index, actor):
        if actor.step is None:
            held = self.held(
                actor, lambda holder: holder.open(KEY, self.records[index])
            )
            step = sender.start(self.records[index])
            yield system.with_actor(index, step=step, held=held)
            return
        match actor.step.effect:
            case sender.SendClaim():
                yield from self.send_claim(system, index)
            case sender.ReadClaim():
                read = sender.RecordRead(record=self.record(system.value))
                yield self.after(system, index, read)
                yield from self.with_fault_events(
                    system, index, sender.ReadFailed(), sender.TimedOut()
                )
            case sender.AskHolder():
                yield from self.ask_holder(system, index, actor.step.effect.record)
            case sender.RemoveClaim():
                change = release_change(KEY, actor.step.effect.record)
                applied, _ = system.applying(change)
                yield self.after(applied, index, sender.Removed())
                yield from self.with_fault_events(
                    system.sending(change), index, sender.Removed()
                )
            case sender.Execute():
                yield from self.execute(system, index, actor)

    def send_claim(self, system, index):
        change = claim_change(KEY, self.records[index])
        applied, outcome = system.applying(change)
        yield self.after(applied, index, self.event(outcome))
        delayed = system.sending(change)
        yield from self.with_fault_events(
            system,
            index,
            sender.ChangeNotSent(),
            sender.ClaimNoEffect(),
            sender.TimedOut(),
        )
        for after in (applied, delayed):
            seen = self.event(outcome_after_read(change, after.value))
            yield from self.with_fault_events(
                after, index, seen, sender.ClaimLost(), sender.TimedOut()
            )

    def ask_holder(self, system, index, record):
        other = system.actors[int(record.holder)]
        if not other.alive:
            yield self.after(system, index, sender.HolderGone())
            return
        statement = self.holder_type(claims=other.held).statement(record.claim_id)
        yield self.after(system, index, statement)
        yield from self.with_fault_events(
            system, index, sender.HolderGone(), sender.TimedOut()
        )

    def execute(self, system, index, actor):
        record = self.records[index]
        if not actor.ran:
            yield system.with_actor(index, ran=True)
            ended = self.ended(system, index, HeldPhase.NOT_RUN, Outcome.NOT_RUN)
            yield ended.sending(release_change(KEY, record))
            return
        result = ClaimResult(status=200, body=record.claim_id.encode())
        for kept in (result, None):
            finish = finish_change(KEY, record, state=ClaimState.DONE, result=kept)
            ended = self.ended(system, index, HeldPhase.DONE, Outcome.RAN, kept)
            yield ended.sending(finish)
        finish = finish_change(KEY, record, state=ClaimState.UNKNOWN)
        ended = self.ended(system, index, HeldPhase.UNKNOWN, Outcome.UNKNOWN)
        yield ended.sending(finish)

    def ended(self, system, index, phase, answer, result=None):
        claim_id = self.records[index].claim_id
        held = self.held(
            system.actors[index], lambda holder: holder.end(claim_id, phase, result)
        )
        return system.with_actor(index, held=held, answer=answer)

    def with_fault_events(self, system, index, *events):
        if system.faults_left:
            for event in events:
                yield self.after(system.with_fault(), index, event)

    def after(self, system, index, event):
        actor = system.actors[index]
        step = sender.advance(actor.step.state, event)
        system = system.with_actor(index, step=step)
        if not isinstance(step.effect, sender.Refuse | sender.Replay):
            return system
        claim_id = self.records[index].claim_id
        if not step.effect.abandon:
            held = self.held(actor, lambda holder: holder.drop(claim_id))
            return system.with_actor(index, answer=step.effect, held=held)
        system = self.ended(system, index, HeldPhase.NOT_RUN, step.effect)
        return system.sending(release_change(KEY, self.records[index]))

    def held(self, actor, change):
        holder = self.holder_type(claims=actor.held)
        change(holder)
        return holder.claims()

    @staticmethod
    def record(value):
        return None if value is None else parse_claim(value)

    def event(self, outcome):
        match outcome.status:
            case ChangeStatus.APPLIED:
                return sender.ClaimCreated()
            case ChangeStatus.TAKEN:
                return sender.ClaimTaken(record=parse_claim(outcome.current))
            case ChangeStatus.NOT_SEEN:
                return sender.ClaimNotSeen()


def outcome_of(answer):
    match answer:
        case sender.Refuse():
            return answer.refusal.outcome
        case sender.Replay():
            return Outcome.RAN
    return answer


def check_no_orphan(system):
    """Check that the claim in the store can be removed if its send gave up."""
    if system.value is None:
        return
    record = parse_claim(system.value)
    holder = system.actors[int(record.holder)]
    if record.state is ClaimState.RUNNING and holder.alive and holder.answer:
        statement = HolderState(claims=holder.held).statement(record.claim_id)
        assert not isinstance(statement, sender.HolderGone), (
            "the claim of an answered send is unknown to its holder and blocks the key"
        )


def check(system):
    check_no_orphan(system)
    executed = [actor for actor in system.actors if actor.ran]
    assert len(executed) <= 1, "the key was executed twice"
    for actor in system.actors:
        outcome = outcome_of(actor.answer)
        assert not (actor.ran and outcome is Outcome.NOT_RUN), (
            "an executed request was answered with not_run"
        )
        assert executed or outcome is not Outcome.RAN, (
            "a request that was not executed was answered with ran"
        )
        if isinstance(actor.answer, sender.Replay):
            claim_id = executed[0].step.state.record.claim_id
            assert actor.answer.result.body == claim_id.encode()


def explore(model, faults):
    initial = model.initial(faults)
    seen = {initial}
    queue = collections.deque(seen)
    while queue:
        system = queue.popleft()
        check(system)
        for successor in model.successors(system):
            if successor not in seen:
                seen.add(successor)
                queue.append(successor)
    return seen


DUPLICATE_ANSWERS = {
    "key_in_progress",
    "outcome_unknown",
    "result_not_kept",
    sender.Replay,
}


@pytest.mark.parametrize(
    ("fingerprints", "faults", "expected"),
    [
        ("aa", 3, DUPLICATE_ANSWERS),
        ("ab", 3, {"key_reused"}),
        ("aaa", 1, DUPLICATE_ANSWERS),
        ("aba", 1, {*DUPLICATE_ANSWERS, "key_reused"}),
    ],
)
def test_no_interleaving_executes_a_key_twice(fingerprints, faults, expected):
    # Guards against a second execution of a key, and against a false not_run or ran in
    # an answer, when faults and delayed writes interleave with other sends.
    states = explore(Model(fingerprints=fingerprints), faults)
    answers = {
        actor.answer.refusal.code
        if isinstance(actor.answer, sender.Refuse)
        else type(actor.answer)
        for system in states
        for actor in system.actors
    }
    assert answers >= {"claims_unavailable", *expected}


class PrematureHolder(HolderState):
    """States ``not_run`` for a claim whose request has not ended."""

    def statement(self, claim_id):
        statement = super().statement(claim_id)
        if isinstance(statement, sender.HolderRunning):
            return sender.HolderNotRun()
        return statement


def test_exploration_detects_a_premature_not_run():
    # Guards against a model that does not detect a second execution: a holder that
    # states not_run for an open claim must cause one.
    with pytest.raises(AssertionError, match="executed twice"):
        explore(Model(fingerprints="aa", holder_type=PrematureHolder), 0)


def test_release_of_a_claim_never_removes_another():
    # Guards against a delayed release that removes the claim of a later send, so that
    # a third send could execute the request again.
    first, second = Model(fingerprints="aa").records
    system = SystemState(actors=(), faults_left=0)
    system, _ = system.applying(claim_change(KEY, second))
    after, outcome = system.applying(release_change(KEY, first))
    assert after.value == system.value
    assert outcome.status is ChangeStatus.APPLIED
    assert release_change(KEY, first).kind is ChangeKind.RELEASE
