"""The ingress side of claims."""

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

from vanillapitch_daemon.claims._attempt import Attempter
from vanillapitch_daemon.claims._holder import DropClaim, EndClaim, OpenClaim
from vanillapitch_daemon.claims._recorder import Recorder
from vanillapitch_daemon.claims._routes import CommitRoutes
from vanillapitch_daemon.claims.exceptions import PeerAnswerLost, PeerNotReached

__all__ = ["Claim", "ClaimGate", "Executed", "ExecutionUnknown", "NotExecuted"]

RELEASE_TIMEOUT_MS = 250.0
_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Claim:
    """A claim that its send holds; exactly one call of `ClaimGate.finish` ends it.

    Attributes
    ----------
    store_key : str
        Key in the store.
    record : ClaimRecord
        The record as claimed.
    may_return : bool
        Whether a delayed write can create the record again after its removal.
    deadline_ms : float
        Monotonic time in milliseconds at which the caller must have its answer.
    """

    store_key: str
    record: ClaimRecord
    may_return: bool
    deadline_ms: float


@_frozen
class Executed:
    """The request ran and has a response.

    Attributes
    ----------
    result : ClaimResult or None
        The response; None when it is not to be kept.
    """

    result: ClaimResult | None


@_frozen
class NotExecuted:
    """The request certainly did not run and will not."""


@_frozen
class ExecutionUnknown:
    """The request may have run."""


Ending: TypeAlias = Executed | NotExecuted | ExecutionUnknown


class ClaimGate:
    """Lets a keyed request run once.

    Parameters
    ----------
    instance : str
        Name of this daemon.
    attempt : callable
        Runs the protocol of one send, see `make_attempter`.
    routes : CommitRoutes
        Committers.
    holder : pykka.ActorRef
        Knows this daemon's claims.
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
        attempt: Attempter,
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
            Hash of the body.
        deadline_ms : float
            Monotonic time in milliseconds at which the caller must have its answer.

        Returns
        -------
        Claim
            The request may run, and `finish` must be called.
        ClaimResult
            The recorded result of the first request.
        Refusal
            The request must not run.
        """
        store_key = claim_store_key(route_pool=route_pool, key=key)
        record = ClaimRecord(
            claim_id=uuid.uuid4().hex, fingerprint=fingerprint, holder=self._instance
        )
        self._holder.tell(OpenClaim(store_key=store_key, record=record))
        claim = Claim(
            store_key=store_key, record=record, may_return=True, deadline_ms=deadline_ms
        )
        try:
            step = self._attempt(store_key, record, deadline_ms)
        except BaseException:
            self._abandon(claim)
            raise
        return self._decided(claim, step)

    def finish(self, claim: Claim, ending: Ending) -> None:
        """End a claim.

        Returns at once, except that a claim that did not run is released first if that
        takes little time, so that the caller can send again.

        Parameters
        ----------
        claim : Claim
            What `claim_key` returned.
        ending : Executed, NotExecuted or ExecutionUnknown
            What is known about the request.
        """
        match ending:
            case Executed():
                self._finish_ran(claim, ending.result)
            case NotExecuted():
                self._finish_not_run(claim)
            case ExecutionUnknown():
                self._end(claim, HeldPhase.UNKNOWN)
                self._record_end(claim, ClaimState.UNKNOWN, None)

    def _finish_ran(self, claim: Claim, result: ClaimResult | None) -> None:
        if result is not None and not self._may_keep(result):
            self._count_event("result_not_kept")
            result = None
        self._end(claim, HeldPhase.DONE, result)
        self._record_end(claim, ClaimState.DONE, result)

    def _may_keep(self, result: ClaimResult) -> bool:
        size_bytes = result.size_bytes()
        return size_bytes <= MAX_RESULT_BYTES and self._recorder.has_room(size_bytes)

    def _finish_not_run(self, claim: Claim) -> None:
        self._end(claim, HeldPhase.NOT_RUN)
        change = release_change(claim.store_key, claim.record)
        committer = self._routes.committer(claim.store_key, 0)
        now_ms = self._clock.now_ms()
        deadline_ms = min(claim.deadline_ms, now_ms + RELEASE_TIMEOUT_MS)
        if deadline_ms <= now_ms:
            self._recorder.add(claim.record.claim_id, change)
            return
        try:
            outcome = self._routes.commit(committer, [change], deadline_ms)[0]
        except (PeerNotReached, PeerAnswerLost):
            outcome = ChangeOutcome(status=ChangeStatus.LOST)
        if outcome.status in (ChangeStatus.APPLIED, ChangeStatus.TAKEN):
            self._count_event("released")
            self._recorder.tell_stored(claim.record.claim_id)
            return
        self._recorder.add(claim.record.claim_id, change)

    def _end(
        self, claim: Claim, phase: HeldPhase, result: ClaimResult | None = None
    ) -> None:
        self._holder.tell(
            EndClaim(
                claim_id=claim.record.claim_id,
                phase=phase,
                result=result,
                may_return=claim.may_return,
            )
        )

    def _record_end(
        self, claim: Claim, state: ClaimState, result: ClaimResult | None
    ) -> None:
        change = finish_change(
            claim.store_key, claim.record, state=state, result=result
        )
        self._recorder.add(claim.record.claim_id, change)

    def _decided(
        self, claim: Claim, step: sender.Step
    ) -> Claim | ClaimResult | Refusal:
        decision = step.effect
        if isinstance(decision, sender.MayRun):
            self._count_event("claimed")
            return dataclasses.replace(claim, may_return=step.state.may_exist)
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
        self._end(claim, HeldPhase.NOT_RUN)
        change = release_change(claim.store_key, claim.record)
        self._recorder.add(claim.record.claim_id, change)
