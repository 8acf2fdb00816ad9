"""State machine that claims the key of one send.

A send is one arrival of a keyed request at an ingress. `start` and `advance` return the
next state and one effect. The ingress carries out the effect and passes the result as
the next event, until the effect is a decision.
"""

import dataclasses
import enum
from typing import TypeAlias

from vanillapitch_core.claims.record import ClaimRecord, ClaimResult, ClaimState
from vanillapitch_core.outcome import Outcome, Refusal, RefusalCode

__all__ = [
    "AskHolder",
    "ChangeNotSent",
    "ClaimCreated",
    "ClaimLost",
    "ClaimNoEffect",
    "ClaimNotSeen",
    "ClaimTaken",
    "Decision",
    "Effect",
    "Event",
    "HolderGone",
    "HolderNotRun",
    "HolderResult",
    "HolderRunning",
    "Execute",
    "ReadClaim",
    "ReadFailed",
    "RecordRead",
    "Refuse",
    "RemoveClaim",
    "Removed",
    "Replay",
    "SendClaim",
    "SenderState",
    "Step",
    "TimedOut",
    "advance",
    "start",
]

# This is enough for one send of the claim to the preferred committer, one to the next,
# and one more each after a lost answer and after the removal of another claim.
MAX_SENDS = 4

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


class _Phase(enum.Enum):
    CLAIMING = enum.auto()
    READING_BACK = enum.auto()
    ASKING_HOLDER = enum.auto()
    READING_AGAIN = enum.auto()
    REMOVING = enum.auto()
    DECIDED = enum.auto()


@_frozen
class SenderState:
    """Progress of one send.

    Attributes
    ----------
    record : ClaimRecord
        The claim that the send tries to create.
    phase : enum
        The result that the send waits for.
    sends : int
        Number of times that the claim was sent to a committer.
    committer_rank : int
        Rank of the committer that the claim is sent to, 0 for the preferred one.
    may_exist : bool
        Whether the claim may be in the store, or a delayed write may still create it.
    existing : ClaimRecord or None
        The claim of another send that was last found under the key.
    """

    record: ClaimRecord
    phase: _Phase = _Phase.CLAIMING
    sends: int = 0
    committer_rank: int = 0
    may_exist: bool = False
    existing: ClaimRecord | None = None


@_frozen
class ClaimCreated:
    """The claim is in the store."""


@_frozen
class ClaimTaken:
    """The store already has a claim of the key."""

    record: ClaimRecord


@_frozen
class ClaimNoEffect:
    """The claim is not in the store and never will be."""


@_frozen
class ClaimNotSeen:
    """The store's answer was lost, and a read does not show the claim yet."""


@_frozen
class ClaimLost:
    """The committer or its answer was lost, so the outcome is unknown."""


@_frozen
class ChangeNotSent:
    """The committer cannot be reached, so the claim had no effect."""


@_frozen
class RecordRead:
    """The key was read; `record` is None if the key is absent."""

    record: ClaimRecord | None


@_frozen
class ReadFailed:
    """The key cannot be read."""


@_frozen
class HolderRunning:
    """The request has not ended after the bounded wait, or the answer timed out."""


@_frozen
class HolderResult:
    """The holder states that the request ended, with its result."""

    state: ClaimState
    result: ClaimResult | None = None


@_frozen
class HolderNotRun:
    """The holder states that the request was not executed and never will be."""


@_frozen
class HolderGone:
    """The holder cannot be reached, was replaced or does not know the claim."""


@_frozen
class Removed:
    """The removal of a claim that did not run was attempted and may have failed."""


@_frozen
class TimedOut:
    """The time limit for the claim has passed."""


Event: TypeAlias = (
    ClaimCreated
    | ClaimTaken
    | ClaimNoEffect
    | ClaimNotSeen
    | ClaimLost
    | ChangeNotSent
    | RecordRead
    | ReadFailed
    | HolderRunning
    | HolderResult
    | HolderNotRun
    | HolderGone
    | Removed
    | TimedOut
)


@_frozen
class SendClaim:
    """Send the claim to a committer of its shard."""

    committer_rank: int


@_frozen
class ReadClaim:
    """Read the key."""


@_frozen
class AskHolder:
    """Ask the holder of another claim for its result and wait for a bounded time."""

    record: ClaimRecord


@_frozen
class RemoveClaim:
    """Remove another claim whose holder states ``not_run``."""

    record: ClaimRecord


@_frozen
class Execute:
    """Execute the request; the send holds the claim."""


@_frozen
class Replay:
    """Answer with the recorded result.

    Attributes
    ----------
    result : ClaimResult
        The answer to the caller.
    abandon : bool
        See `Refuse`.
    """

    result: ClaimResult
    abandon: bool


@_frozen
class Refuse:
    """Refuse the send.

    Attributes
    ----------
    refusal : Refusal
        The answer to the caller.
    abandon : bool
        Whether the claim of this send may be in the store, or a delayed write may still
        create it. The holder must then state ``not_run`` for it and remove it.
    """

    refusal: Refusal
    abandon: bool


Decision: TypeAlias = Execute | Replay | Refuse
Effect: TypeAlias = SendClaim | ReadClaim | AskHolder | RemoveClaim | Decision


@_frozen
class Step:
    """The next state and the effect to carry out."""

    state: SenderState
    effect: Effect


def start(record: ClaimRecord) -> Step:
    """Start a send.

    Parameters
    ----------
    record : ClaimRecord
        The claim to create, with an id that no other send has.

    Returns
    -------
    Step
        The first effect.
    """
    return _send(SenderState(record=record), committer_rank=0)


def advance(state: SenderState, event: Event) -> Step:
    """Process the result of the last effect.

    Parameters
    ----------
    state : SenderState
        State that the last step returned.
    event : Event
        Result of the last effect, or `TimedOut`.

    Returns
    -------
    Step
        The next state and effect.

    Raises
    ------
    ValueError
        If the event cannot occur in the current phase.
    """
    if isinstance(event, TimedOut):
        return _timed_out(state)
    handler = _HANDLER_BY_PHASE.get(state.phase)
    step = handler(state, event) if handler else None
    if step is None:
        raise ValueError(f"event {event} cannot occur in {state.phase}")
    return step


def _after_claim(state: SenderState, event: Event) -> Step | None:
    match event:
        case ClaimCreated():
            return _decide(state, Execute())
        case ClaimTaken():
            return _handle_existing(state, event.record)
        case ClaimNoEffect():
            return _refuse(state, RefusalCode.CLAIMS_UNAVAILABLE)
        case ChangeNotSent():
            return _send(state, committer_rank=state.committer_rank + 1)
        case ClaimNotSeen():
            uncertain = dataclasses.replace(state, may_exist=True)
            return _send(uncertain, committer_rank=state.committer_rank)
        case ClaimLost():
            uncertain = dataclasses.replace(state, may_exist=True)
            return _step(uncertain, _Phase.READING_BACK, ReadClaim())
    return None


def _after_read_back(state: SenderState, event: Event) -> Step | None:
    match event:
        case RecordRead(record=None):
            return _send(state, committer_rank=state.committer_rank + 1)
        case RecordRead():
            return _handle_existing(state, event.record)
        case ReadFailed():
            return _refuse(state, RefusalCode.CLAIMS_UNAVAILABLE)
    return None


def _after_asking(state: SenderState, event: Event) -> Step | None:
    match event:
        case HolderRunning():
            return _refuse(state, RefusalCode.KEY_IN_PROGRESS)
        case HolderResult():
            return _decide_ended(state, event.state, event.result)
        case HolderNotRun():
            return _step(state, _Phase.REMOVING, RemoveClaim(record=state.existing))
        case HolderGone():
            return _step(state, _Phase.READING_AGAIN, ReadClaim())
    return None


def _after_reading_again(state: SenderState, event: Event) -> Step | None:
    match event:
        case RecordRead(record=None):
            return _send(state, committer_rank=state.committer_rank)
        case RecordRead():
            if event.record == state.existing:
                return _refuse(state, RefusalCode.OUTCOME_UNKNOWN)
            return _handle_existing(state, event.record)
        case ReadFailed():
            return _refuse(state, RefusalCode.OUTCOME_UNKNOWN)
    return None


def _after_removal(state: SenderState, event: Event) -> Step | None:
    if isinstance(event, Removed):
        return _send(state, committer_rank=state.committer_rank)
    return None


_HANDLER_BY_PHASE = {
    _Phase.CLAIMING: _after_claim,
    _Phase.READING_BACK: _after_read_back,
    _Phase.ASKING_HOLDER: _after_asking,
    _Phase.READING_AGAIN: _after_reading_again,
    _Phase.REMOVING: _after_removal,
}


def _timed_out(state: SenderState) -> Step:
    if state.phase in (_Phase.ASKING_HOLDER, _Phase.READING_AGAIN):
        return _refuse(state, RefusalCode.KEY_IN_PROGRESS)
    if state.phase is _Phase.CLAIMING:
        state = dataclasses.replace(state, may_exist=True)
    return _refuse(state, RefusalCode.CLAIMS_UNAVAILABLE)


def _handle_existing(state: SenderState, existing: ClaimRecord) -> Step:
    if existing.claim_id == state.record.claim_id:
        return _decide(state, Execute())
    if existing.fingerprint != state.record.fingerprint:
        return _refuse(state, RefusalCode.KEY_REUSED)
    if existing.state is not ClaimState.RUNNING:
        return _decide_ended(state, existing.state, existing.result)
    updated = dataclasses.replace(state, existing=existing)
    return _step(updated, _Phase.ASKING_HOLDER, AskHolder(record=existing))


def _decide_ended(
    state: SenderState, final_state: ClaimState, result: ClaimResult | None
) -> Step:
    if final_state is not ClaimState.DONE:
        return _refuse(state, RefusalCode.OUTCOME_UNKNOWN)
    if result is None:
        return _refuse(state, RefusalCode.RESULT_NOT_KEPT)
    return _decide(state, Replay(result=result, abandon=state.may_exist))


def _send(state: SenderState, *, committer_rank: int) -> Step:
    if state.sends == MAX_SENDS:
        return _refuse(state, RefusalCode.CLAIMS_UNAVAILABLE)
    sending = dataclasses.replace(
        state, sends=state.sends + 1, committer_rank=committer_rank
    )
    return _step(sending, _Phase.CLAIMING, SendClaim(committer_rank=committer_rank))


def _refuse(state: SenderState, code: RefusalCode) -> Step:
    outcome, detail = _REFUSAL_BY_CODE[code]
    refusal = Refusal(code=code, outcome=outcome, detail=detail)
    return _decide(state, Refuse(refusal=refusal, abandon=state.may_exist))


def _decide(state: SenderState, decision: Decision) -> Step:
    return _step(state, _Phase.DECIDED, decision)


def _step(state: SenderState, phase: _Phase, effect: Effect) -> Step:
    return Step(state=dataclasses.replace(state, phase=phase), effect=effect)


_REFUSAL_BY_CODE = {
    RefusalCode.CLAIMS_UNAVAILABLE: (
        Outcome.NOT_RUN,
        "The key could not be claimed, so this send did not run; this says nothing "
        "about an earlier send with the same key.",
    ),
    RefusalCode.KEY_REUSED: (
        Outcome.NOT_RUN,
        "The key belongs to a request with another body.",
    ),
    RefusalCode.KEY_IN_PROGRESS: (
        Outcome.UNKNOWN,
        "The first request with this key has not ended yet.",
    ),
    RefusalCode.OUTCOME_UNKNOWN: (
        Outcome.UNKNOWN,
        "It is not known whether the first request with this key ran.",
    ),
    RefusalCode.RESULT_NOT_KEPT: (
        Outcome.RAN,
        "The first request with this key ran; its result was too large to keep.",
    ),
}
