"""Model check of two operators, a daemon and a store with faults.

The tests visit every interleaving of the protocol code: answers lost after the write
took effect, writes that take effect late, failed calls, answers to earlier attempts
that arrive late, and a deadline that passes at any point.
"""

import dataclasses
import itertools
from collections.abc import Iterator

import pytest
from vanillapitch_core import configuration as core
from vanillapitch_core.configuration import ChangeOutcome, FailureKind
from vanillapitch_core.tables import Pool, Tables

DEADLINE_MS = 1_000.0
BASE = Tables(revision=4, change_id="base")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Operator:
    """One change and the effect to carry out next."""

    state: core.ChangeState
    effect: core.ChangeEffect | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelState:
    """One state of the model."""

    tables: Tables
    mod_revision: int
    history: tuple[Tables, ...]
    operators: tuple[Operator, ...]
    faults_left: int
    late_writes: tuple[core.WriteTables, ...] = ()
    late_answers: tuple[tuple[int, core.ChangeEvent], ...] = ()
    adopted: Tables = BASE
    old_copies: tuple[Tables, ...] = (BASE,)


def start_operator(
    change: core.Change, change_id: str, *, is_resent: bool = False
) -> Operator:
    state, effect = core.start_change(
        change=change,
        change_id=change_id,
        author=change_id,
        wall_ms=0,
        deadline_ms=DEADLINE_MS,
        floor_revision=0,
        is_resent=is_resent,
    )
    return Operator(state=state, effect=effect)


def table_change(name: str) -> core.TablesChange:
    pool = Pool(name=name, service=name)
    return core.TablesChange(base_revision=4, routes=(), pools=(pool,))


def apply_write(model: ModelState, write: core.WriteTables) -> tuple[ModelState, bool]:
    if write.expected_mod_revision != model.mod_revision:
        return model, False
    changed = dataclasses.replace(
        model,
        tables=write.tables,
        mod_revision=model.mod_revision + 1,
        history=(*model.history, write.tables),
        old_copies=tuple(dict.fromkeys((*model.old_copies, write.tables))),
    )
    return changed, True


def read(model: ModelState, effect: core.ReadTables, now_ms: float) -> core.TablesRead:
    index = (effect.history_revision or 0) - 5
    is_known = 0 <= index < len(model.history)
    return core.TablesRead(
        attempt=effect.attempt,
        now_ms=now_ms,
        tables=model.tables,
        mod_revision=model.mod_revision,
        history=model.history[index] if is_known else None,
    )


def deliver(model: ModelState, index: int, event: core.ChangeEvent) -> ModelState:
    operator = model.operators[index]
    state, effect = core.advance_change(operator.state, event)
    if effect is None:
        return model
    operators = list(model.operators)
    operators[index] = Operator(state=state, effect=effect)
    return dataclasses.replace(model, operators=tuple(operators))


def fail(model: ModelState, index: int, kind: FailureKind, now_ms: float) -> ModelState:
    attempt = model.operators[index].effect.attempt
    event = core.StoreFailed(attempt=attempt, now_ms=now_ms, kind=kind)
    model = dataclasses.replace(model, faults_left=model.faults_left - 1)
    return deliver(model, index, event)


def add_late_answer(
    model: ModelState, index: int, event: core.ChangeEvent
) -> ModelState:
    answers = (*model.late_answers, (index, event))
    return dataclasses.replace(model, late_answers=answers)


def after_read(model: ModelState, index: int, now_ms: float) -> Iterator[ModelState]:
    effect = model.operators[index].effect
    answer = read(model, effect, now_ms)
    yield deliver(model, index, answer)
    if model.faults_left:
        yield fail(model, index, FailureKind.UNAVAILABLE, now_ms)
        waiting = add_late_answer(model, index, answer)
        yield fail(waiting, index, FailureKind.UNAVAILABLE, now_ms)


def after_write(model: ModelState, index: int, now_ms: float) -> Iterator[ModelState]:
    write = model.operators[index].effect
    written, succeeded = apply_write(model, write)
    answer = core.TablesWritten(
        attempt=write.attempt, now_ms=now_ms, succeeded=succeeded
    )
    yield deliver(written, index, answer)
    if not model.faults_left:
        return
    yield fail(model, index, FailureKind.UNAVAILABLE, now_ms)
    yield fail(model, index, FailureKind.REJECTED, now_ms)
    yield fail(model, index, FailureKind.UNKNOWN, now_ms)
    waiting = add_late_answer(written, index, answer)
    yield fail(waiting, index, FailureKind.UNKNOWN, now_ms)
    late = dataclasses.replace(model, late_writes=(*model.late_writes, write))
    yield fail(late, index, FailureKind.UNKNOWN, now_ms)


def operator_steps(model: ModelState) -> Iterator[ModelState]:
    for index, operator in enumerate(model.operators):
        for now_ms in (0.0, DEADLINE_MS):
            if isinstance(operator.effect, core.ReadTables):
                yield from after_read(model, index, now_ms)
            elif isinstance(operator.effect, core.WriteTables):
                yield from after_write(model, index, now_ms)


def late_steps(model: ModelState) -> Iterator[ModelState]:
    for position, write in enumerate(model.late_writes):
        rest = model.late_writes[:position] + model.late_writes[position + 1 :]
        yield apply_write(dataclasses.replace(model, late_writes=rest), write)[0]
    for position, (index, event) in enumerate(model.late_answers):
        rest = model.late_answers[:position] + model.late_answers[position + 1 :]
        yield deliver(dataclasses.replace(model, late_answers=rest), index, event)


def daemon_steps(model: ModelState) -> Iterator[ModelState]:
    for copy in model.old_copies:
        state = core.AdoptionState(tables=model.adopted)
        core.adopt_if_newer(state, copy)
        assert state.tables.revision >= model.adopted.revision
        yield dataclasses.replace(model, adopted=state.tables)


def finished(model: ModelState) -> list[core.ChangeFinished | None]:
    return [
        operator.effect if isinstance(operator.effect, core.ChangeFinished) else None
        for operator in model.operators
    ]


def stored_ids(model: ModelState) -> tuple[str, ...]:
    return tuple(tables.change_id for tables in model.history)


def check(model: ModelState) -> None:
    stored = stored_ids(model)
    assert len(set(stored)) == len(stored)
    assert model.tables.revision == 4 + len(model.history)
    assert model.adopted.change_id in ("base", *stored)
    for operator, result in zip(model.operators, finished(model), strict=True):
        if result is None:
            continue
        is_stored = operator.state.change_id in stored
        if result.outcome == ChangeOutcome.ACCEPTED:
            assert is_stored or "already" in result.detail
            assert result.tables in (BASE, *model.history)
        elif result.outcome != ChangeOutcome.UNKNOWN:
            assert not is_stored


def explore(model: ModelState) -> list[ModelState]:
    """Visit every reachable state and return those without operator or late steps."""
    seen = {model}
    pending = [model]
    final = []
    while pending:
        current = pending.pop()
        check(current)
        steps = [*operator_steps(current), *late_steps(current)]
        if not steps:
            final.append(current)
        for following in (*steps, *daemon_steps(current)):
            if following not in seen:
                seen.add(following)
                pending.append(following)
    return final


def initial_state(*operators: Operator, faults: int) -> ModelState:
    return ModelState(
        tables=BASE, mod_revision=7, history=(), operators=operators, faults_left=faults
    )


@pytest.mark.parametrize("faults", [0, 1, 2, 3])
def test_one_of_two_racing_changes_wins(faults):
    # Guards against an accepted change that is lost, two changes that are both accepted
    # for one base revision, and a reported outcome that contradicts the store, such as
    # a store without an answer when another operator won. These come about when store
    # calls fail, or their answers or writes arrive late, while two operators change
    # revision 4.
    racing = (
        start_operator(table_change("a"), "a"),
        start_operator(table_change("b"), "b"),
    )
    final = explore(initial_state(*racing, faults=faults))
    assert final
    for model in final:
        outcomes = [result.outcome for result in finished(model)]
        assert outcomes.count(ChangeOutcome.ACCEPTED) <= 1
        assert len(model.history) <= 1
        decided = {ChangeOutcome.ACCEPTED, ChangeOutcome.CONFLICT}
        if set(outcomes) <= decided:
            assert sorted(outcomes) == ["accepted", "conflict"]
        if not faults:
            has_written = [operator.state.attempt > 1 for operator in model.operators]
            assert set(itertools.compress(outcomes, has_written)) <= decided
    if not faults:
        unrejected = [w for w in final if "rejected" not in _outcomes(w)]
        assert all(len(model.history) == 1 for model in unrejected)


@pytest.mark.parametrize("faults", [0, 1, 2])
def test_a_zone_change_survives_a_racing_table_change(faults):
    # Guards against a zone that stays in service because a concurrent pool edit
    # overwrites the zone change, and against a pool edit that is undone by a zone
    # change on an older document.
    zone_out = core.ZoneChange(zone="zone-a", in_service=False)
    racing = (start_operator(table_change("a"), "a"), start_operator(zone_out, "z"))
    for model in explore(initial_state(*racing, faults=faults)):
        _, zone_result = finished(model)
        if zone_result.outcome == ChangeOutcome.ACCEPTED:
            assert "zone-a" in model.tables.zones_out
        if "a" in stored_ids(model):
            assert model.tables.pools
        if not faults and "a" in stored_ids(model) and "z" in stored_ids(model):
            assert model.tables.pools and model.tables.zones_out


def test_a_change_sent_twice_takes_effect_once():
    # Guards against a change that is applied twice, or is reported to conflict with
    # itself, when an operator repeats it after an unknown outcome.
    twice = (start_operator(table_change("a"), "a", is_resent=True),) * 2
    for model in explore(initial_state(*twice, faults=2)):
        assert stored_ids(model) in ((), ("a",))
        assert ChangeOutcome.CONFLICT not in _outcomes(model)


def _outcomes(model: ModelState) -> list[ChangeOutcome]:
    return [result.outcome for result in finished(model)]
