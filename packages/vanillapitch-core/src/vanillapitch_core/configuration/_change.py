"""State machine of a change: compare-and-swap, read back after a lost answer."""

import dataclasses
import enum

from vanillapitch_core.configuration._proposal import Change, TablesChange, propose
from vanillapitch_core.exceptions import TableError
from vanillapitch_core.tables import Tables

__all__ = [
    "ChangeEffect",
    "ChangeEvent",
    "ChangeFinished",
    "ChangeOutcome",
    "ChangeState",
    "FailureKind",
    "ReadTables",
    "RejectionReason",
    "StoreFailed",
    "TablesRead",
    "TablesWritten",
    "WriteTables",
    "advance_change",
    "start_change",
]


class ChangeOutcome(enum.StrEnum):
    """Outcome that is reported to the operator."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class RejectionReason(enum.StrEnum):
    """Why a change was rejected; a rejected change never takes effect."""

    INVALID = "invalid"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_REJECTED = "store_rejected"
    STORE_BEHIND = "store_behind"


class FailureKind(enum.StrEnum):
    """How a call to the store failed."""

    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    REJECTED = "rejected"


class _Phase(enum.Enum):
    READING = enum.auto()
    WRITING = enum.auto()
    READING_BACK = enum.auto()
    FINISHED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeEvent:
    """Base class of answers from the store.

    Attributes
    ----------
    attempt : int
        Attempt that this answers; answers to other attempts are ignored.
    now_ms : float
        Monotonic time.
    """

    attempt: int
    now_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablesRead(ChangeEvent):
    """The store answered a read.

    Attributes
    ----------
    tables : Tables
        The document; empty tables of revision 0 when there is none.
    mod_revision : int
        Store revision of its last change; 0 when there is none.
    history : Tables or None
        History entry at the requested revision, if any.
    """

    tables: Tables
    mod_revision: int
    history: Tables | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablesWritten(ChangeEvent):
    """The store answered a compare-and-swap.

    Attributes
    ----------
    succeeded : bool
        False when the document was not at the expected store revision.
    """

    succeeded: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreFailed(ChangeEvent):
    """A call to the store failed.

    Attributes
    ----------
    kind : FailureKind
        Whether the call may have had an effect.
    """

    kind: FailureKind


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadTables:
    """Read the document and a history entry from one consistent snapshot.

    Attributes
    ----------
    attempt : int
        Number to repeat in the answer.
    history_revision : int or None
        Revision whose history entry to read, if any.
    delay_ms : float
        Delay before the read.
    """

    attempt: int
    history_revision: int | None
    delay_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteTables:
    """Compare and swap the document, with its history entry in one transaction.

    Attributes
    ----------
    attempt : int
        Number to repeat in the answer.
    tables : Tables
        The new document.
    expected_mod_revision : int
        Store revision that the document must still have.
    """

    attempt: int
    tables: Tables
    expected_mod_revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeFinished:
    """The change has finished, and its outcome can be reported.

    Attributes
    ----------
    outcome : ChangeOutcome
        What happened to the change.
    tables : Tables or None
        The accepted document, or on a conflict the one in the store.
    reason : RejectionReason or None
        Why it was rejected.
    detail : str
        Explanation for the operator.
    """

    outcome: ChangeOutcome
    tables: Tables | None = None
    reason: RejectionReason | None = None
    detail: str = ""


ChangeEffect = ReadTables | WriteTables | ChangeFinished


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeState:
    """Progress of one change; immutable.

    Attributes
    ----------
    may_be_written : bool
        Whether a write that was sent may have taken effect or may still do so.
    """

    change: Change
    change_id: str
    author: str
    wall_ms: int
    deadline_ms: float
    floor_revision: int
    phase: _Phase = _Phase.READING
    attempt: int = 1
    proposal: Tables | None = None
    expected_mod_revision: int = 0
    may_be_written: bool = False


# Delay between a failed call and the next read.
_RETRY_DELAY_MS = 200.0


def start_change(
    *,
    change: Change,
    change_id: str,
    author: str,
    wall_ms: int,
    deadline_ms: float,
    floor_revision: int,
    is_resent: bool = False,
) -> tuple[ChangeState, ChangeEffect]:
    """Start a change.

    Parameters
    ----------
    change : Change
        The requested change.
    change_id : str
        Unique id; a change that is sent again with the same id is applied only once.
    author : str
        Name of the operator.
    wall_ms : int
        Milliseconds since the Unix epoch.
    deadline_ms : float
        Monotonic time after which the last known outcome is reported without
        further calls, apart from one read after a lost race.
    floor_revision : int
        Revision in force at this daemon; the store must not be behind it.
    is_resent : bool
        Whether a change with this id was sent before. Its write may still be
        in progress, so a failed call does not prove that nothing was written.

    Returns
    -------
    tuple of ChangeState and ChangeEffect
        The state and the first read.
    """
    state = ChangeState(
        change=change,
        change_id=change_id,
        author=author,
        wall_ms=wall_ms,
        deadline_ms=deadline_ms,
        floor_revision=floor_revision,
        may_be_written=is_resent,
    )
    return state, ReadTables(attempt=1, history_revision=_history_revision(state))


def advance_change(
    state: ChangeState, event: ChangeEvent
) -> tuple[ChangeState, ChangeEffect | None]:
    """Process an answer from the store.

    Parameters
    ----------
    state : ChangeState
        Progress of the change.
    event : ChangeEvent
        The answer.

    Returns
    -------
    tuple of ChangeState and ChangeEffect or None
        The next state and what to do; None for an answer to an earlier attempt.
    """
    if state.phase == _Phase.FINISHED or event.attempt != state.attempt:
        return state, None
    if state.phase == _Phase.READING:
        return _after_reading(state, event)
    if state.phase == _Phase.WRITING:
        return _after_writing(state, event)
    return _after_reading_back(state, event)


def _after_reading(
    state: ChangeState, event: ChangeEvent
) -> tuple[ChangeState, ChangeEffect]:
    if isinstance(event, StoreFailed):
        return _reject_failure(state, event.kind)
    assert isinstance(event, TablesRead)
    own = _find_own(state, event)
    if own is not None:
        return _finish(state, _accepted(own))
    if event.tables.revision < state.floor_revision:
        detail = (
            f"the store holds revision {event.tables.revision}, "
            f"behind revision {state.floor_revision} in force"
        )
        return _reject(state, RejectionReason.STORE_BEHIND, detail)
    change = state.change
    is_table_change = isinstance(change, TablesChange)
    if is_table_change and change.base_revision != event.tables.revision:
        return _finish(state, _conflict(event.tables))
    return _write_proposal(state, event)


def _write_proposal(
    state: ChangeState, event: TablesRead
) -> tuple[ChangeState, ChangeEffect]:
    try:
        proposal = propose(
            base=event.tables,
            change=state.change,
            change_id=state.change_id,
            author=state.author,
            wall_ms=state.wall_ms,
        )
    except TableError as error:
        return _reject(state, RejectionReason.INVALID, str(error))
    if proposal is None:
        finished = ChangeFinished(
            outcome=ChangeOutcome.ACCEPTED,
            tables=event.tables,
            detail="the zone already was in this state",
        )
        return _finish(state, finished)
    state = dataclasses.replace(
        state, proposal=proposal, expected_mod_revision=event.mod_revision
    )
    return _write(state, event.now_ms)


def _after_writing(
    state: ChangeState, event: ChangeEvent
) -> tuple[ChangeState, ChangeEffect]:
    if isinstance(event, TablesWritten):
        if event.succeeded:
            return _finish(state, _accepted(state.proposal))
        # Also at the deadline: the operator is told which revision came first.
        return _start_reading_back(state, delay_ms=0.0)
    assert isinstance(event, StoreFailed)
    if event.kind == FailureKind.UNKNOWN:
        state = dataclasses.replace(state, may_be_written=True)
    if state.may_be_written:
        return _read_back(state, event.now_ms, delay_ms=_RETRY_DELAY_MS)
    return _reject_failure(state, event.kind)


def _after_reading_back(
    state: ChangeState, event: ChangeEvent
) -> tuple[ChangeState, ChangeEffect]:
    if isinstance(event, StoreFailed):
        return _read_back(state, event.now_ms, delay_ms=_RETRY_DELAY_MS)
    assert isinstance(event, TablesRead)
    own = _find_own(state, event)
    if own is not None:
        return _finish(state, _accepted(own))
    if event.mod_revision == state.expected_mod_revision:
        return _write(state, event.now_ms)
    # Another writer has changed the document. Writes of this change that are still
    # pending expect a store revision that no longer exists, so they cannot succeed.
    state = dataclasses.replace(state, may_be_written=False)
    if isinstance(state.change, TablesChange):
        return _finish(state, _conflict(event.tables))
    if event.now_ms >= state.deadline_ms:
        return _finish(state, _conflict(event.tables))
    return _write_proposal(state, event)


def _write(state: ChangeState, now_ms: float) -> tuple[ChangeState, ChangeEffect]:
    if now_ms >= state.deadline_ms:
        return _finish_at_deadline(state)
    state = _next_attempt(state, _Phase.WRITING)
    return state, WriteTables(
        attempt=state.attempt,
        tables=state.proposal,
        expected_mod_revision=state.expected_mod_revision,
    )


def _read_back(
    state: ChangeState, now_ms: float, *, delay_ms: float
) -> tuple[ChangeState, ChangeEffect]:
    if now_ms + delay_ms >= state.deadline_ms:
        return _finish_at_deadline(state)
    return _start_reading_back(state, delay_ms=delay_ms)


def _start_reading_back(
    state: ChangeState, *, delay_ms: float
) -> tuple[ChangeState, ChangeEffect]:
    state = _next_attempt(state, _Phase.READING_BACK)
    return state, ReadTables(
        attempt=state.attempt,
        history_revision=_history_revision(state),
        delay_ms=delay_ms,
    )


def _finish_at_deadline(state: ChangeState) -> tuple[ChangeState, ChangeEffect]:
    return _reject_failure(state, FailureKind.UNAVAILABLE)


def _next_attempt(state: ChangeState, phase: _Phase) -> ChangeState:
    return dataclasses.replace(state, phase=phase, attempt=state.attempt + 1)


def _history_revision(state: ChangeState) -> int | None:
    if state.proposal is not None:
        return state.proposal.revision
    if isinstance(state.change, TablesChange):
        return state.change.base_revision + 1
    return None


def _find_own(state: ChangeState, event: TablesRead) -> Tables | None:
    for tables in (event.tables, event.history):
        if tables is not None and tables.change_id == state.change_id:
            return tables
    return None


def _accepted(tables: Tables) -> ChangeFinished:
    return ChangeFinished(outcome=ChangeOutcome.ACCEPTED, tables=tables)


def _conflict(current: Tables) -> ChangeFinished:
    detail = f"revision {current.revision} by {current.author or 'nobody'} came first"
    return ChangeFinished(outcome=ChangeOutcome.CONFLICT, tables=current, detail=detail)


def _reject_failure(
    state: ChangeState, kind: FailureKind
) -> tuple[ChangeState, ChangeEffect]:
    if kind == FailureKind.REJECTED:
        detail = "the store refused the call"
        return _reject(state, RejectionReason.STORE_REJECTED, detail)
    detail = "the store did not answer in time; nothing was written"
    return _reject(state, RejectionReason.STORE_UNAVAILABLE, detail)


def _reject(
    state: ChangeState, reason: RejectionReason, detail: str
) -> tuple[ChangeState, ChangeEffect]:
    if state.may_be_written:
        detail = "the store did not confirm the change in time; it may take effect"
        finished = ChangeFinished(outcome=ChangeOutcome.UNKNOWN, detail=detail)
        return _finish(state, finished)
    finished = ChangeFinished(
        outcome=ChangeOutcome.REJECTED, reason=reason, detail=detail
    )
    return _finish(state, finished)


def _finish(
    state: ChangeState, finished: ChangeFinished
) -> tuple[ChangeState, ChangeEffect]:
    return dataclasses.replace(state, phase=_Phase.FINISHED), finished
