"""What a holder knows of the claims that it made, and what it states about them.

The statement ``not_run`` is final: a claim that the holder gave up never runs, even if
its record gets into the store afterwards.
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

# A write that was delayed in the network or the service takes effect long before this.
REMEMBER_NOT_RUN_MS = 24 * 3_600_000.0
# About 5 MB; such claims arise only when answers of the store are lost.
MAX_REMEMBERED_NOT_RUN = 10_000


class HeldPhase(enum.Enum):
    """Progress of a claim at its holder."""

    OPEN = enum.auto()
    DONE = enum.auto()
    UNKNOWN = enum.auto()
    NOT_RUN = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldClaim:
    """A claim of this holder.

    Attributes
    ----------
    store_key : str
        Its key in the store.
    record : ClaimRecord
        The record as claimed.
    phase : HeldPhase
        Its progress.
    result : ClaimResult or None
        The response, when it is kept.
    late_write_possible : bool
        Whether a write that was sent can still create the claim's record.
    forget_at_ms : float or None
        When it may be forgotten; None while its end is not in the store.
    """

    store_key: str
    record: ClaimRecord
    phase: HeldPhase = HeldPhase.OPEN
    result: ClaimResult | None = None
    late_write_possible: bool = False
    forget_at_ms: float | None = None


class HolderState:
    """Claims of one daemon by their id.

    Parameters
    ----------
    claims : iterable of HeldClaim
        Claims to start with.
    """

    def __init__(self, *, claims: Iterable[HeldClaim] = ()):
        self._claims_by_id = {held.record.claim_id: held for held in claims}

    def __len__(self) -> int:
        return len(self._claims_by_id)

    def claims(self) -> tuple[HeldClaim, ...]:
        """Return all claims that are not forgotten."""
        return tuple(self._claims_by_id.values())

    def open(self, store_key: str, record: ClaimRecord) -> None:
        """Note a claim before it is sent to the store."""
        self._claims_by_id[record.claim_id] = HeldClaim(
            store_key=store_key, record=record
        )

    def drop(self, claim_id: str) -> None:
        """Forget a claim that certainly never gets into the store."""
        self._claims_by_id.pop(claim_id, None)

    def end(
        self,
        claim_id: str,
        phase: HeldPhase,
        result: ClaimResult | None = None,
        *,
        late_write_possible: bool = False,
    ) -> HeldClaim:
        """Note the end of an open claim.

        Raises
        ------
        ValueError
            If the claim is not open: a claim ends once.
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
        """Note that the end of a claim is in the store, which speaks for it now."""
        held = self._claims_by_id.get(claim_id)
        if held is None:
            return
        if held.phase is not HeldPhase.NOT_RUN or not held.late_write_possible:
            del self._claims_by_id[claim_id]
            return
        self._claims_by_id[claim_id] = dataclasses.replace(
            held, forget_at_ms=now_ms + REMEMBER_NOT_RUN_MS
        )

    def prune(self, now_ms: float) -> None:
        """Forget claims whose time has come, and the oldest beyond the bound."""
        expired = [
            claim_id
            for claim_id, held in self._claims_by_id.items()
            if held.forget_at_ms is not None and held.forget_at_ms <= now_ms
        ]
        for claim_id in expired:
            del self._claims_by_id[claim_id]
        removed = [
            claim_id
            for claim_id, held in self._claims_by_id.items()
            if held.phase is HeldPhase.NOT_RUN and held.forget_at_ms is not None
        ]
        for claim_id in removed[: max(0, len(removed) - MAX_REMEMBERED_NOT_RUN)]:
            del self._claims_by_id[claim_id]

    def statement(
        self, claim_id: str
    ) -> HolderRunning | HolderResult | HolderNotRun | HolderGone:
        """Return what a second sender is told about a claim."""
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
