"""Exhaustive exploration of small models of the claim protocol.

Every sender has a daemon of its own. Between any two steps a write that was sent may
take effect, a daemon may die, and within a budget of faults answers are lost, writes
are delayed beyond a reading, and committers, store and holders cannot be reached. A
paused process is one whose next step comes late, and a committer that was replaced is
one whose write is delayed, so both are among the interleavings.
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
    """One send with its daemon."""

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
class World:
    """All state of the model."""

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
        """Carry out a change as the store does."""
        held = self.value == (change.expected or None)
        value = (change.value or None) if held else self.value
        outcome = outcome_of_compare(change, succeeded=held, current=self.value)
        return dataclasses.replace(self, value=value), outcome


class Model:
    """Successors of a world, driven by the protocol's own code."""

    def __init__(self, *, fingerprints, holder_type=HolderState):
        self.records = [
            ClaimRecord(claim_id=f"c{index}", fingerprint=each, holder=str(index))
            for index, each in enumerate(fingerprints)
        ]
        self.holder_type = holder_type

    def first(self, faults):
        return World(actors=(Actor(),) * len(self.records), faults_left=faults)

    def successors(self, world):
        for change in world.in_flight:
            rest = dataclasses.replace(world, in_flight=world.in_flight - {change})
            yield rest.applying(change)[0]
        for index, actor in enumerate(world.actors):
            if actor.alive and actor.answer is None:
                yield from self.moves(world, index, actor)
                if world.faults_left:
                    yield world.with_fault().with_actor(index, alive=False)

    def moves(self, world, index, actor):
        if actor.step is None:
            held = self.held(
                actor, lambda holder: holder.open(KEY, self.records[index])
            )
            step = sender.start(self.records[index])
            yield world.with_actor(index, step=step, held=held)
            return
        match actor.step.effect:
            case sender.SendClaim():
                yield from self.send_claim(world, index)
            case sender.ReadClaim():
                read = sender.RecordRead(record=self.record(world.value))
                yield self.after(world, index, read)
                yield from self.faulty(
                    world, index, sender.ReadFailed(), sender.TimedOut()
                )
            case sender.AskHolder():
                yield from self.ask_holder(world, index, actor.step.effect.record)
            case sender.RemoveClaim():
                change = release_change(KEY, actor.step.effect.record)
                applied, _ = world.applying(change)
                yield self.after(applied, index, sender.Removed())
                yield from self.faulty(world.sending(change), index, sender.Removed())
            case sender.Execute():
                yield from self.run(world, index, actor)

    def send_claim(self, world, index):
        change = claim_change(KEY, self.records[index])
        applied, outcome = world.applying(change)
        yield self.after(applied, index, self.event(outcome))
        delayed = world.sending(change)
        yield from self.faulty(
            world,
            index,
            sender.ChangeNotSent(),
            sender.ClaimNoEffect(),
            sender.TimedOut(),
        )
        for after in (applied, delayed):
            seen = self.event(outcome_after_read(change, after.value))
            yield from self.faulty(
                after, index, seen, sender.ClaimLost(), sender.TimedOut()
            )

    def ask_holder(self, world, index, record):
        other = world.actors[int(record.holder)]
        if not other.alive:
            yield self.after(world, index, sender.HolderGone())
            return
        statement = self.holder_type(claims=other.held).statement(record.claim_id)
        yield self.after(world, index, statement)
        yield from self.faulty(world, index, sender.HolderGone(), sender.TimedOut())

    def run(self, world, index, actor):
        record = self.records[index]
        if not actor.ran:
            yield world.with_actor(index, ran=True)
            ended = self.ended(world, index, HeldPhase.NOT_RUN, Outcome.NOT_RUN)
            yield ended.sending(release_change(KEY, record))
            return
        result = ClaimResult(status=200, body=record.claim_id.encode())
        for kept in (result, None):
            finish = finish_change(KEY, record, state=ClaimState.DONE, result=kept)
            ended = self.ended(world, index, HeldPhase.DONE, Outcome.RAN, kept)
            yield ended.sending(finish)
        finish = finish_change(KEY, record, state=ClaimState.UNKNOWN)
        ended = self.ended(world, index, HeldPhase.UNKNOWN, Outcome.UNKNOWN)
        yield ended.sending(finish)

    def ended(self, world, index, phase, answer, result=None):
        claim_id = self.records[index].claim_id
        held = self.held(
            world.actors[index], lambda holder: holder.end(claim_id, phase, result)
        )
        return world.with_actor(index, held=held, answer=answer)

    def faulty(self, world, index, *events):
        if world.faults_left:
            for event in events:
                yield self.after(world.with_fault(), index, event)

    def after(self, world, index, event):
        actor = world.actors[index]
        step = sender.advance(actor.step.state, event)
        world = world.with_actor(index, step=step)
        if not isinstance(step.effect, sender.Refuse | sender.Replay):
            return world
        claim_id = self.records[index].claim_id
        if not step.effect.abandon:
            held = self.held(actor, lambda holder: holder.drop(claim_id))
            return world.with_actor(index, answer=step.effect, held=held)
        world = self.ended(world, index, HeldPhase.NOT_RUN, step.effect)
        return world.sending(release_change(KEY, self.records[index]))

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


def check(world):
    runners = [actor for actor in world.actors if actor.ran]
    assert len(runners) <= 1, "the key ran twice"
    for actor in world.actors:
        outcome = outcome_of(actor.answer)
        assert not (actor.ran and outcome is Outcome.NOT_RUN), "not_run is false"
        assert runners or outcome is not Outcome.RAN, "ran is false"
        if isinstance(actor.answer, sender.Replay):
            claim_id = runners[0].step.state.record.claim_id
            assert actor.answer.result.body == claim_id.encode()


def explore(model, faults):
    first = model.first(faults)
    seen = {first}
    queue = collections.deque(seen)
    while queue:
        world = queue.popleft()
        check(world)
        for successor in model.successors(world):
            if successor not in seen:
                seen.add(successor)
                queue.append(successor)
    return seen


WAITING = {"key_in_progress", "outcome_unknown", "result_not_kept", sender.Replay}


@pytest.mark.parametrize(
    ("fingerprints", "faults", "expected"),
    [
        ("aa", 3, WAITING),
        ("ab", 3, {"key_reused"}),
        ("aaa", 1, WAITING),
        ("aba", 1, {*WAITING, "key_reused"}),
    ],
)
def test_no_interleaving_runs_a_key_twice(fingerprints, faults, expected):
    # Guards against a second run of a key, and against a false not_run or ran.
    worlds = explore(Model(fingerprints=fingerprints), faults)
    answers = {
        actor.answer.refusal.code
        if isinstance(actor.answer, sender.Refuse)
        else type(actor.answer)
        for world in worlds
        for actor in world.actors
    }
    assert answers >= {"claims_unavailable", *expected}


class HastyHolder(HolderState):
    """States ``not_run`` for a claim whose send is still open."""

    def statement(self, claim_id):
        statement = super().statement(claim_id)
        if isinstance(statement, sender.HolderRunning):
            return sender.HolderNotRun()
        return statement


def test_exploration_finds_a_holder_that_gives_up_too_early():
    # Guards against a model that cannot see a second run.
    with pytest.raises(AssertionError, match="ran twice"):
        explore(Model(fingerprints="aa", holder_type=HastyHolder), 0)


def test_release_of_a_claim_never_removes_another():
    # Guards against a delayed release that frees a key which a later send holds.
    first, second = Model(fingerprints="aa").records
    world = World(actors=(), faults_left=0)
    world, _ = world.applying(claim_change(KEY, second))
    after, outcome = world.applying(release_change(KEY, first))
    assert after.value == world.value
    assert outcome.status is ChangeStatus.APPLIED
    assert release_change(KEY, first).kind is ChangeKind.RELEASE
