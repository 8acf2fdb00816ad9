"""Exhaustive exploration of two operators, a daemon and a store with faults.

Every interleaving of the protocol's own code is visited: answers lost after the swap
took effect, swaps that take effect late, calls that fail, old answers that arrive
late, and a deadline that passes at any point.
"""

import dataclasses
from collections.abc import Iterator

import pytest
from vanillapitch_core import configuration as core
from vanillapitch_core.configuration import ChangeOutcome, FailureKind
from vanillapitch_core.tables import Pool, Tables

DEADLINE_MS = 1_000.0
BASE = Tables(revision=4, change_id="base")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Operator:
    """One change with the effect that is to be carried out next."""

    state: core.ChangeState
    effect: core.ChangeEffect | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class World:
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


def begin(change: core.Change, change_id: str, *, is_resent: bool = False) -> Operator:
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


def apply_write(world: World, write: core.WriteTables) -> tuple[World, bool]:
    if write.expected_mod_revision != world.mod_revision:
        return world, False
    changed = dataclasses.replace(
        world,
        tables=write.tables,
        mod_revision=world.mod_revision + 1,
        history=(*world.history, write.tables),
        old_copies=tuple(dict.fromkeys((*world.old_copies, write.tables))),
    )
    return changed, True


def read(world: World, effect: core.ReadTables, now_ms: float) -> core.TablesRead:
    index = (effect.history_revision or 0) - 5
    is_known = 0 <= index < len(world.history)
    return core.TablesRead(
        attempt=effect.attempt,
        now_ms=now_ms,
        tables=world.tables,
        mod_revision=world.mod_revision,
        history=world.history[index] if is_known else None,
    )


def deliver(world: World, index: int, event: core.ChangeEvent) -> World:
    operator = world.operators[index]
    state, effect = core.advance_change(operator.state, event)
    if effect is None:
        return world
    operators = list(world.operators)
    operators[index] = Operator(state=state, effect=effect)
    return dataclasses.replace(world, operators=tuple(operators))


def fail(world: World, index: int, kind: FailureKind, now_ms: float) -> World:
    attempt = world.operators[index].effect.attempt
    event = core.StoreFailed(attempt=attempt, now_ms=now_ms, kind=kind)
    world = dataclasses.replace(world, faults_left=world.faults_left - 1)
    return deliver(world, index, event)


def add_late_answer(world: World, index: int, event: core.ChangeEvent) -> World:
    answers = (*world.late_answers, (index, event))
    return dataclasses.replace(world, late_answers=answers)


def after_read(world: World, index: int, now_ms: float) -> Iterator[World]:
    effect = world.operators[index].effect
    answer = read(world, effect, now_ms)
    yield deliver(world, index, answer)
    if world.faults_left:
        yield fail(world, index, FailureKind.UNAVAILABLE, now_ms)
        waiting = add_late_answer(world, index, answer)
        yield fail(waiting, index, FailureKind.UNAVAILABLE, now_ms)


def after_write(world: World, index: int, now_ms: float) -> Iterator[World]:
    write = world.operators[index].effect
    written, succeeded = apply_write(world, write)
    answer = core.TablesWritten(
        attempt=write.attempt, now_ms=now_ms, succeeded=succeeded
    )
    yield deliver(written, index, answer)
    if not world.faults_left:
        return
    yield fail(world, index, FailureKind.UNAVAILABLE, now_ms)
    yield fail(world, index, FailureKind.REJECTED, now_ms)
    yield fail(world, index, FailureKind.UNKNOWN, now_ms)
    waiting = add_late_answer(written, index, answer)
    yield fail(waiting, index, FailureKind.UNKNOWN, now_ms)
    late = dataclasses.replace(world, late_writes=(*world.late_writes, write))
    yield fail(late, index, FailureKind.UNKNOWN, now_ms)


def operator_steps(world: World) -> Iterator[World]:
    for index, operator in enumerate(world.operators):
        for now_ms in (0.0, DEADLINE_MS):
            if isinstance(operator.effect, core.ReadTables):
                yield from after_read(world, index, now_ms)
            elif isinstance(operator.effect, core.WriteTables):
                yield from after_write(world, index, now_ms)


def late_steps(world: World) -> Iterator[World]:
    for position, write in enumerate(world.late_writes):
        rest = world.late_writes[:position] + world.late_writes[position + 1 :]
        yield apply_write(dataclasses.replace(world, late_writes=rest), write)[0]
    for position, (index, event) in enumerate(world.late_answers):
        rest = world.late_answers[:position] + world.late_answers[position + 1 :]
        yield deliver(dataclasses.replace(world, late_answers=rest), index, event)


def daemon_steps(world: World) -> Iterator[World]:
    for copy in world.old_copies:
        state = core.AdoptionState(tables=world.adopted)
        core.adopt_if_newer(state, copy)
        assert state.tables.revision >= world.adopted.revision
        yield dataclasses.replace(world, adopted=state.tables)


def finished(world: World) -> list[core.ChangeFinished | None]:
    return [
        operator.effect if isinstance(operator.effect, core.ChangeFinished) else None
        for operator in world.operators
    ]


def stored_ids(world: World) -> tuple[str, ...]:
    return tuple(tables.change_id for tables in world.history)


def check(world: World) -> None:
    stored = stored_ids(world)
    assert len(set(stored)) == len(stored)
    assert world.tables.revision == 4 + len(world.history)
    assert world.adopted.change_id in ("base", *stored)
    for operator, result in zip(world.operators, finished(world), strict=True):
        if result is None:
            continue
        is_stored = operator.state.change_id in stored
        if result.outcome == ChangeOutcome.ACCEPTED:
            assert is_stored or "already" in result.detail
            assert result.tables in (BASE, *world.history)
        elif result.outcome != ChangeOutcome.UNKNOWN:
            assert not is_stored


def explore(world: World) -> list[World]:
    """Visit every reachable state and return those in which nothing is left to do."""
    seen = {world}
    pending = [world]
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


def start(*operators: Operator, faults: int) -> World:
    return World(
        tables=BASE, mod_revision=7, history=(), operators=operators, faults_left=faults
    )


@pytest.mark.parametrize("faults", [0, 1, 2, 3])
def test_one_of_two_racing_changes_wins(faults):
    # Guards against a change that is accepted and lost, two changes that are both
    # accepted for one base, and an operator who is told something untrue.
    racing = (begin(table_change("a"), "a"), begin(table_change("b"), "b"))
    final = explore(start(*racing, faults=faults))
    assert final
    for world in final:
        outcomes = [result.outcome for result in finished(world)]
        assert outcomes.count(ChangeOutcome.ACCEPTED) <= 1
        assert len(world.history) <= 1
        decided = {ChangeOutcome.ACCEPTED, ChangeOutcome.CONFLICT}
        if set(outcomes) <= decided:
            assert sorted(outcomes) == ["accepted", "conflict"]
    if not faults:
        on_time = [w for w in final if "rejected" not in _outcomes(w)]
        assert all(len(world.history) == 1 for world in on_time)


@pytest.mark.parametrize("faults", [0, 1, 2])
def test_a_zone_change_survives_a_racing_table_change(faults):
    # Guards against a zone that stays in service because somebody edited a pool, and
    # against a pool edit that is undone by a zone change on an older document.
    zone_out = core.ZoneChange(zone="zone-a", in_service=False)
    racing = (begin(table_change("a"), "a"), begin(zone_out, "z"))
    for world in explore(start(*racing, faults=faults)):
        _, zone_result = finished(world)
        if zone_result.outcome == ChangeOutcome.ACCEPTED:
            assert "zone-a" in world.tables.zones_out
        if "a" in stored_ids(world):
            assert world.tables.pools
        if not faults and "a" in stored_ids(world) and "z" in stored_ids(world):
            assert world.tables.pools and world.tables.zones_out


def test_a_change_sent_twice_takes_effect_once():
    # Guards against an operator who repeats a change after an unknown outcome and
    # so makes it twice, or is told of a conflict with itself.
    twice = (begin(table_change("a"), "a", is_resent=True),) * 2
    for world in explore(start(*twice, faults=2)):
        assert stored_ids(world) in ((), ("a",))
        assert ChangeOutcome.CONFLICT not in _outcomes(world)


def _outcomes(world: World) -> list[ChangeOutcome]:
    return [result.outcome for result in finished(world)]
