"""Claim protocol of one send, with calls to committers, holders and the store."""

import dataclasses
import logging
from collections.abc import Callable

from vanillapitch_core import Clock
from vanillapitch_core.claims import (
    ChangeOutcome,
    ChangeStatus,
    ClaimRecord,
    ClaimRecordError,
    claim_change,
    parse_claim,
    release_change,
    sender,
)
from vanillapitch_store import KeyValueStore, StoreError

from vanillapitch_daemon.claims._peers import ClaimsPeers
from vanillapitch_daemon.claims._routes import CommitRoutes
from vanillapitch_daemon.claims.exceptions import PeerNotReached, PeerReplyLost

__all__ = ["ClaimAttempt", "make_claim_attempt"]

# A claim that takes longer is refused, so that the caller can send again soon.
CLAIM_TIMEOUT_MS = 2_000.0
# Leaves time for the next committer when one is paused or does not reply.
COMMIT_TIMEOUT_MS = 800.0
# Longest time that a second sender waits for the result of the first.
HOLDER_WAIT_MS = 5_000.0
# Time reserved for sending the response before the deadline of the caller.
RESPONSE_MARGIN_MS = 20.0

_log = logging.getLogger("vanillapitch.claims")

ClaimAttempt = Callable[[str, ClaimRecord, float], sender.Step]


def make_claim_attempt(
    *,
    routes: CommitRoutes,
    peers: ClaimsPeers,
    store: KeyValueStore,
    read_timeout_ms: float,
    clock: Clock,
    count_event: Callable[[str], None],
) -> ClaimAttempt:
    """Build the function that claims a key for one send.

    Parameters
    ----------
    routes : CommitRoutes
        Committers of the shards.
    peers : ClaimsPeers
        Calls to holders.
    store : KeyValueStore
        Store for reading claims; its calls time out after `read_timeout_ms`.
    read_timeout_ms : float
        Timeout of one read, in milliseconds.
    clock : Clock
        Source of time.
    count_event : callable
        Takes the name of each event.

    Returns
    -------
    callable
        Takes the key in the store, the record to claim and the caller's deadline, and
        returns the last step, whose effect is the decision.
    """
    effects = _EffectExecutor(
        routes=routes,
        peers=peers,
        store=store,
        read_timeout_ms=read_timeout_ms,
        clock=clock,
        count_event=count_event,
    )

    def attempt(store_key: str, record: ClaimRecord, deadline_ms: float):
        respond_by_ms = deadline_ms - RESPONSE_MARGIN_MS
        until_ms = min(respond_by_ms, clock.now_ms() + CLAIM_TIMEOUT_MS)
        step = sender.start(record)
        while True:
            match step.effect:
                case sender.SendClaim():
                    rank = step.effect.committer_rank
                    event = effects.send(store_key, record, rank, until_ms)
                case sender.ReadClaim():
                    event = effects.read(store_key, until_ms)
                case sender.RemoveClaim():
                    event = effects.remove(store_key, step.effect.record, until_ms)
                case sender.AskHolder():
                    query_started_at_ms = clock.now_ms()
                    event = effects.ask_holder(step.effect.record, respond_by_ms)
                    waited_ms = clock.now_ms() - query_started_at_ms
                    until_ms = min(respond_by_ms, until_ms + waited_ms)
                case _:
                    return step
            step = sender.advance(step.state, event)

    return attempt


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _EffectExecutor:
    """Carries out the effects of the protocol and returns the resulting events."""

    routes: CommitRoutes
    peers: ClaimsPeers
    store: KeyValueStore
    read_timeout_ms: float
    clock: Clock
    count_event: Callable[[str], None]

    def send(
        self, store_key: str, record: ClaimRecord, rank: int, until_ms: float
    ) -> sender.Event:
        committer = self.routes.committer(store_key, rank)
        if committer is None or self.clock.now_ms() >= until_ms:
            return sender.ClaimNoEffect()
        change = claim_change(store_key, record)
        try:
            outcomes = self.routes.commit(
                committer, [change], self._commit_deadline_ms(until_ms)
            )
        except PeerNotReached as error:
            _log.warning("claims: a committer could not be reached: %s", error)
            return sender.ChangeNotSent()
        except PeerReplyLost as error:
            _log.warning("claims: the reply of a committer was lost: %s", error)
            return sender.ClaimLost()
        return _to_event(outcomes[0])

    def read(self, store_key: str, until_ms: float) -> sender.Event:
        if until_ms - self.clock.now_ms() < self.read_timeout_ms:
            return sender.TimedOut()
        self.count_event("read_back")
        try:
            entry = self.store.get(store_key).entry
            record = None if entry is None else parse_claim(entry.value)
        except (StoreError, ClaimRecordError) as error:
            _log.warning("claims: reading a claim failed: %s", error)
            return sender.ReadFailed()
        return sender.RecordRead(record=record)

    def ask_holder(self, record: ClaimRecord, respond_by_ms: float) -> sender.Event:
        self.count_event("holder_asked")
        until_ms = min(respond_by_ms, self.clock.now_ms() + HOLDER_WAIT_MS)
        return self.peers.await_end(record.holder, record.claim_id, until_ms)

    def remove(
        self, store_key: str, record: ClaimRecord, until_ms: float
    ) -> sender.Event:
        self.count_event("removed")
        committer = self.routes.committer(store_key, 0)
        change = release_change(store_key, record)
        try:
            self.routes.commit(committer, [change], self._commit_deadline_ms(until_ms))
        except (PeerNotReached, PeerReplyLost) as error:
            _log.warning("claims: removing a claim failed: %s", error)
        return sender.Removed()

    def _commit_deadline_ms(self, until_ms: float) -> float:
        return min(until_ms, self.clock.now_ms() + COMMIT_TIMEOUT_MS)


def _to_event(outcome: ChangeOutcome) -> sender.Event:
    match outcome.status:
        case ChangeStatus.APPLIED:
            return sender.ClaimCreated()
        case ChangeStatus.NO_EFFECT:
            return sender.ClaimNoEffect()
        case ChangeStatus.NOT_SEEN:
            return sender.ClaimNotSeen()
        case ChangeStatus.LOST:
            return sender.ClaimLost()
    try:
        return sender.ClaimTaken(record=parse_claim(outcome.current))
    except ClaimRecordError as error:
        _log.error("claims: %s", error)
        return sender.ClaimNoEffect()
