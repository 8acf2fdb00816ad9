"""State of the claims that a daemon made, and the statements it gives to its peers.

The statement ``not_run`` is final: the request of an abandoned claim is never executed,
even if a delayed write creates the claim's record afterwards.
"""

import dataclasses
import enum
from collections.abc import Iterable

from vanillapitch_core.claims.record import ClaimRecord, ClaimResult, ClaimState
from vanillapitch_core.claims.sender import (
    HolderGone,
    HolderNotRun,
    HolderResult,
    HolderRunning,
)

__all__ = ["HeldClaim", "HeldPhase", "HolderState"]

# A write that is delayed in the network or the store takes effect long before this.
NOT_RUN_RETENTION_MS = 24 * 3_600_000.0
# This many claims use about 5 MB; they arise only when answers of the store are lost.
MAX_RETAINED_NOT_RUN = 10_000


class HeldPhase(enum.Enum):
    """Progress of a claim at its holder."""

    OPEN = enum.auto()
    DONE = enum.auto()
    UNKNOWN = enum.auto()
    NOT_RUN = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldClaim:
    """A claim that this daemon made.

    Attributes
    ----------
    store_key : str
        Key of the claim in the store.
    record : ClaimRecord
        The record that creates the claim.
    phase : HeldPhase
        Progress of the claim.
    result : ClaimResult or None
        The response, when it is kept.
    late_write_possible : bool
        Whether a write that was sent can still create the claim's record.
    expires_at_ms : float or None
        Time at which the claim may be removed; None while its end is not in the store.
    """

    store_key: str
    record: ClaimRecord
    phase: HeldPhase = HeldPhase.OPEN
    result: ClaimResult | None = None
    late_write_possible: bool = False
    expires_at_ms: float | None = None


class HolderState:
    """Claims of one daemon, indexed by claim id.

    Parameters
    ----------
    claims : iterable of HeldClaim
        Initial claims.
    """

    def __init__(self, *, claims: Iterable[HeldClaim] = ()):
        self._claims_by_id = {held.record.claim_id: held for held in claims}

    def __len__(self) -> int:
        return len(self._claims_by_id)

    def claims(self) -> tuple[HeldClaim, ...]:
        """Return all claims that have not been removed."""
        return tuple(self._claims_by_id.values())

    def open(self, store_key: str, record: ClaimRecord) -> None:
        """Record a claim before it is sent to the store."""
        self._claims_by_id[record.claim_id] = HeldClaim(
            store_key=store_key, record=record
        )

    def drop(self, claim_id: str) -> None:
        """Remove a claim that will certainly never be in the store."""
        self._claims_by_id.pop(claim_id, None)

    def end(
        self,
        claim_id: str,
        phase: HeldPhase,
        result: ClaimResult | None = None,
        *,
        late_write_possible: bool = False,
    ) -> HeldClaim:
        """Record the end of an open claim.

        Raises
        ------
        ValueError
            If the claim is not open, since a claim ends only once.
        """
        held = self._claims_by_id.get(claim_id)
        if held is None or held.phase is not HeldPhase.OPEN:
            raise ValueError(f"claim {claim_id} is not open")
        held = dataclasses.replace(
            held, phase=phase, result=result, late_write_possible=late_write_possible
        )
        self._claims_by_id[claim_id] = held
        return held

    def record_stored(self, claim_id: str, now_ms: float) -> None:
        """Record that the end of a claim is in the store.

        The claim is removed, since later sends of its key now get their answer from the
        store. A claim that did not run is kept for `NOT_RUN_RETENTION_MS` if a late
        write can still create its record.
        """
        held = self._claims_by_id.get(claim_id)
        if held is None:
            return
        if held.phase is not HeldPhase.NOT_RUN or not held.late_write_possible:
            del self._claims_by_id[claim_id]
            return
        self._claims_by_id[claim_id] = dataclasses.replace(
            held, expires_at_ms=now_ms + NOT_RUN_RETENTION_MS
        )

    def prune(self, now_ms: float) -> None:
        """Remove expired claims, and the oldest beyond `MAX_RETAINED_NOT_RUN`."""
        expired = [
            claim_id
            for claim_id, held in self._claims_by_id.items()
            if held.expires_at_ms is not None and held.expires_at_ms <= now_ms
        ]
        for claim_id in expired:
            del self._claims_by_id[claim_id]
        retained = [
            claim_id
            for claim_id, held in self._claims_by_id.items()
            if held.phase is HeldPhase.NOT_RUN and held.expires_at_ms is not None
        ]
        for claim_id in retained[: max(0, len(retained) - MAX_RETAINED_NOT_RUN)]:
            del self._claims_by_id[claim_id]

    def statement(
        self, claim_id: str
    ) -> HolderRunning | HolderResult | HolderNotRun | HolderGone:
        """Return the statement about a claim that a later send of its key receives."""
        held = self._claims_by_id.get(claim_id)
        if held is None:
            return HolderGone()
        match held.phase:
            case HeldPhase.OPEN:
                return HolderRunning()
            case HeldPhase.NOT_RUN:
                return HolderNotRun()
            case HeldPhase.DONE:
                return HolderResult(state=ClaimState.DONE, result=held.result)
            case HeldPhase.UNKNOWN:
                return HolderResult(state=ClaimState.UNKNOWN)
