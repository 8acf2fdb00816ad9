"""Claims of keyed requests at the ingress."""

import dataclasses
import uuid
from collections.abc import Callable
from typing import TypeAlias

import pykka
from vanillapitch_core import Clock, Refusal
from vanillapitch_core.claims import (
    MAX_RESULT_BYTES,
    ChangeOutcome,
    ChangeStatus,
    ClaimRecord,
    ClaimResult,
    ClaimState,
    HeldPhase,
    claim_store_key,
    finish_change,
    release_change,
    sender,
)

from vanillapitch_daemon.claims._attempt import ClaimAttempt
from vanillapitch_daemon.claims._holder import DropClaim, EndClaim, OpenClaim
from vanillapitch_daemon.claims._recorder import Recorder
from vanillapitch_daemon.claims._routes import CommitRoutes
from vanillapitch_daemon.claims.exceptions import PeerNotReached, PeerReplyLost

__all__ = ["Claim", "ClaimGate", "Executed", "ExecutionUnknown", "NotExecuted"]

RELEASE_TIMEOUT_MS = 250.0
_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Claim:
    """A claim held by a send; `ClaimGate.finish` must be called for it exactly once.

    Attributes
    ----------
    store_key : str
        Key in the store.
    record : ClaimRecord
        The record as claimed.
    late_write_possible : bool
        Whether a delayed write can create the record again after its removal.
    deadline_ms : float
        Monotonic time in milliseconds by which the caller must have its response.
    """

    store_key: str
    record: ClaimRecord
    late_write_possible: bool
    deadline_ms: float


@_frozen
class Executed:
    """The request was executed.

    Attributes
    ----------
    result : ClaimResult or None
        The response to store; None to store only that the request was executed.
    """

    result: ClaimResult | None


@_frozen
class NotExecuted:
    """The request was not executed and will not be."""


@_frozen
class ExecutionUnknown:
    """It is unknown whether the request was executed."""


ExecutionOutcome: TypeAlias = Executed | NotExecuted | ExecutionUnknown


class ClaimGate:
    """Ensures that a keyed request is executed at most once.

    Parameters
    ----------
    instance : str
        Instance name of this daemon.
    attempt : callable
        Claims a key for one send, see `make_claim_attempt`.
    routes : CommitRoutes
        Committers of the shards.
    holder : pykka.ActorRef
        Actor that holds the claims of this daemon.
    recorder : Recorder
        Records the ends of claims.
    clock : Clock
        Source of time.
    count_event : callable
        Takes the name of each event.
    """

    def __init__(
        self,
        *,
        instance: str,
        attempt: ClaimAttempt,
        routes: CommitRoutes,
        holder: pykka.ActorRef,
        recorder: Recorder,
        clock: Clock,
        count_event: Callable[[str], None],
    ):
        self._instance = instance
        self._attempt = attempt
        self._routes = routes
        self._holder = holder
        self._recorder = recorder
        self._clock = clock
        self._count_event = count_event

    def claim_key(
        self, *, key: str, route_pool: str, fingerprint: str, deadline_ms: float
    ) -> Claim | ClaimResult | Refusal:
        """Claim a key.

        Parameters
        ----------
        key : str
            The caller's idempotency key.
        route_pool : str
            Pool of the matched route.
        fingerprint : str
            Hash of the request.
        deadline_ms : float
            Monotonic time in milliseconds by which the caller must have its response.

        Returns
        -------
        Claim
            The request may be executed; the caller must then call `finish`.
        ClaimResult
            The recorded result of an earlier send.
        Refusal
            The request must not be executed.
        """
        store_key = claim_store_key(route_pool=route_pool, key=key)
        record = ClaimRecord(
            claim_id=uuid.uuid4().hex, fingerprint=fingerprint, holder=self._instance
        )
        self._holder.tell(OpenClaim(store_key=store_key, record=record))
        claim = Claim(
            store_key=store_key,
            record=record,
            late_write_possible=True,
            deadline_ms=deadline_ms,
        )
        try:
            step = self._attempt(store_key, record, deadline_ms)
        except BaseException:
            self._abandon(claim)
            raise
        return self._apply_decision(claim, step)

    def finish(self, claim: Claim, outcome: ExecutionOutcome) -> None:
        """End a claim.

        Does not block if the request may have been executed. Otherwise waits for the
        release of the claim, so that the caller can send again, but at most
        `RELEASE_TIMEOUT_MS` and until the deadline of the caller.

        Parameters
        ----------
        claim : Claim
            The claim returned by `claim_key`.
        outcome : Executed, NotExecuted or ExecutionUnknown
            Whether the request was executed.
        """
        match outcome:
            case Executed():
                self._finish_executed(claim, outcome.result)
            case NotExecuted():
                self._finish_not_executed(claim)
            case ExecutionUnknown():
                self._notify_end(claim, HeldPhase.UNKNOWN)
                self._record_end(claim, ClaimState.UNKNOWN, None)

    def _finish_executed(self, claim: Claim, result: ClaimResult | None) -> None:
        if result is not None and not self._can_store(result):
            self._count_event("result_not_kept")
            result = None
        self._notify_end(claim, HeldPhase.DONE, result)
        self._record_end(claim, ClaimState.DONE, result)

    def _can_store(self, result: ClaimResult) -> bool:
        size_bytes = result.size_bytes()
        return size_bytes <= MAX_RESULT_BYTES and self._recorder.has_capacity(
            size_bytes
        )

    def _finish_not_executed(self, claim: Claim) -> None:
        self._notify_end(claim, HeldPhase.NOT_RUN)
        change = release_change(claim.store_key, claim.record)
        committer = self._routes.committer(claim.store_key, 0)
        now_ms = self._clock.now_ms()
        deadline_ms = min(claim.deadline_ms, now_ms + RELEASE_TIMEOUT_MS)
        if deadline_ms <= now_ms:
            self._recorder.add(claim.record.claim_id, change)
            return
        try:
            outcome = self._routes.commit(committer, [change], deadline_ms)[0]
        except (PeerNotReached, PeerReplyLost):
            outcome = ChangeOutcome(status=ChangeStatus.LOST)
        if outcome.status in (ChangeStatus.APPLIED, ChangeStatus.TAKEN):
            self._count_event("released")
            self._recorder.notify_stored(claim.record.claim_id)
            return
        self._recorder.add(claim.record.claim_id, change)

    def _notify_end(
        self, claim: Claim, phase: HeldPhase, result: ClaimResult | None = None
    ) -> None:
        self._holder.tell(
            EndClaim(
                claim_id=claim.record.claim_id,
                phase=phase,
                result=result,
                late_write_possible=claim.late_write_possible,
            )
        )

    def _record_end(
        self, claim: Claim, state: ClaimState, result: ClaimResult | None
    ) -> None:
        change = finish_change(
            claim.store_key, claim.record, state=state, result=result
        )
        self._recorder.add(claim.record.claim_id, change)

    def _apply_decision(
        self, claim: Claim, step: sender.Step
    ) -> Claim | ClaimResult | Refusal:
        decision = step.effect
        if isinstance(decision, sender.Execute):
            self._count_event("claimed")
            return dataclasses.replace(claim, late_write_possible=step.state.may_exist)
        if decision.abandon:
            self._abandon(claim)
        else:
            self._holder.tell(DropClaim(claim_id=claim.record.claim_id))
        if isinstance(decision, sender.Replay):
            self._count_event("replayed")
            return decision.result
        self._count_event(decision.refusal.code.value)
        return decision.refusal

    def _abandon(self, claim: Claim) -> None:
        self._count_event("abandoned")
        self._notify_end(claim, HeldPhase.NOT_RUN)
        change = release_change(claim.store_key, claim.record)
        self._recorder.add(claim.record.claim_id, change)
