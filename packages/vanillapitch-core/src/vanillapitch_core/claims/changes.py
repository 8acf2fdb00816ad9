"""Changes of claims in the store and the interpretation of their outcomes."""

import dataclasses
import enum

from vanillapitch_core.claims.record import (
    ClaimRecord,
    ClaimResult,
    ClaimState,
    encode_claim,
    finished_record,
    parse_claim,
)

__all__ = [
    "ChangeKind",
    "ChangeOutcome",
    "ChangeStatus",
    "ClaimChange",
    "claim_change",
    "finish_change",
    "outcome_after_read",
    "outcome_of_compare",
    "release_change",
]

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


class ChangeKind(enum.StrEnum):
    """What a change does to a claim."""

    CREATE = "create"
    FINISH = "finish"
    RELEASE = "release"


class ChangeStatus(enum.StrEnum):
    """What is known about a change.

    ``applied``: the change took effect, now or earlier. ``taken``: the key does not
    have the expected value, so the change does not take effect. ``no_effect``: the
    change certainly had no effect. ``not_seen``: the store's answer was lost and a
    later read does not show the change, which may still take effect. ``lost``: the
    outcome is unknown.
    """

    APPLIED = "applied"
    TAKEN = "taken"
    NO_EFFECT = "no_effect"
    NOT_SEEN = "not_seen"
    LOST = "lost"


@_frozen
class ClaimChange:
    """A compare-and-swap on one claim.

    Attributes
    ----------
    kind : ChangeKind
        ``create`` requires that the key is absent, the others that it has `expected`.
    store_key : str
        Key of the claim in the store.
    expected : bytes
        Value that the key must have; empty for ``create``.
    value : bytes
        New value; empty for ``release``.
    """

    kind: ChangeKind
    store_key: str
    expected: bytes = b""
    value: bytes = b""

    @property
    def is_urgent(self) -> bool:
        """Whether a caller waits for the change."""
        return self.kind is not ChangeKind.FINISH

    @property
    def size_bytes(self) -> int:
        """Size of the change in a transaction."""
        return len(self.store_key) + len(self.expected) + len(self.value)


@_frozen
class ChangeOutcome:
    """The known outcome of a change.

    Attributes
    ----------
    status : ChangeStatus
        Whether the change took effect.
    current : bytes
        Value in the store, for ``taken``; empty if the key is absent.
    """

    status: ChangeStatus
    current: bytes = b""


def claim_change(store_key: str, record: ClaimRecord) -> ClaimChange:
    """Return the change that creates a claim."""
    return ClaimChange(
        kind=ChangeKind.CREATE, store_key=store_key, value=encode_claim(record)
    )


def finish_change(
    store_key: str,
    running: ClaimRecord,
    *,
    state: ClaimState,
    result: ClaimResult | None = None,
) -> ClaimChange:
    """Return the change that records the end of a request.

    Parameters
    ----------
    store_key : str
        Key of the claim.
    running : ClaimRecord
        The record that created the claim.
    state : ClaimState
        ``done`` or ``unknown``.
    result : ClaimResult or None
        The response; not recorded when larger than `MAX_RESULT_BYTES`.
    """
    finished = finished_record(running, state=state, result=result)
    return ClaimChange(
        kind=ChangeKind.FINISH,
        store_key=store_key,
        expected=encode_claim(running),
        value=encode_claim(finished),
    )


def release_change(store_key: str, running: ClaimRecord) -> ClaimChange:
    """Return the change that removes the claim of a request that is not executed.

    The change compares the whole value including its claim id, so it never removes
    another claim.
    """
    return ClaimChange(
        kind=ChangeKind.RELEASE, store_key=store_key, expected=encode_claim(running)
    )


def outcome_of_compare(
    change: ClaimChange, *, succeeded: bool, current: bytes | None
) -> ChangeOutcome:
    """Interpret the store's answer to a change.

    Parameters
    ----------
    change : ClaimChange
        The change; an earlier attempt may have been applied already.
    succeeded : bool
        Whether its compare succeeded.
    current : bytes or None
        The value in the store if the compare failed; None if the key is absent.

    Returns
    -------
    ChangeOutcome
        ``applied`` or ``taken``.
    """
    if succeeded or _was_applied(change, current):
        return ChangeOutcome(status=ChangeStatus.APPLIED)
    return ChangeOutcome(status=ChangeStatus.TAKEN, current=current or b"")


def outcome_after_read(change: ClaimChange, current: bytes | None) -> ChangeOutcome:
    """Interpret a read of the key after the store's answer was lost.

    Parameters
    ----------
    change : ClaimChange
        The change whose answer was lost.
    current : bytes or None
        The value that was read; None if the key is absent.

    Returns
    -------
    ChangeOutcome
        ``applied``, ``taken`` or ``not_seen``.
    """
    if _was_applied(change, current):
        return ChangeOutcome(status=ChangeStatus.APPLIED)
    # A claim of another send may be released before the delayed write is applied.
    can_still_apply = change.kind is ChangeKind.CREATE or current == change.expected
    if can_still_apply:
        return ChangeOutcome(status=ChangeStatus.NOT_SEEN)
    return ChangeOutcome(status=ChangeStatus.TAKEN, current=current or b"")


def _was_applied(change: ClaimChange, current: bytes | None) -> bool:
    match change.kind:
        case ChangeKind.CREATE:
            return current is not None and _same_claim(current, change.value)
        case ChangeKind.FINISH:
            return current == change.value
        case ChangeKind.RELEASE:
            return current != change.expected


def _same_claim(first: bytes, second: bytes) -> bool:
    return first == second or parse_claim(first).claim_id == (
        parse_claim(second).claim_id
    )
