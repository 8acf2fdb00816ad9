"""The protocol of one send, carried out with calls to committers, holders and store."""

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
from vanillapitch_daemon.claims.exceptions import PeerAnswerLost, PeerNotReached

__all__ = ["Attempter", "make_attempter"]

# A claim that takes longer is refused, so that callers can send again in good time.
CLAIM_TIMEOUT_MS = 2_000.0
# A committer that is paused or lost leaves time for the next one.
COMMIT_TIMEOUT_MS = 800.0
# How long a second sender waits for the first at most.
HOLDER_WAIT_MS = 5_000.0
# Time to answer the caller before its deadline.
ANSWER_MARGIN_MS = 20.0

_log = logging.getLogger("vanillapitch.claims")

Attempter = Callable[[str, ClaimRecord, float], sender.Step]


def make_attempter(
    *,
    routes: CommitRoutes,
    peers: ClaimsPeers,
    store: KeyValueStore,
    read_timeout_ms: float,
    clock: Clock,
    count_event: Callable[[str], None],
) -> Attempter:
    """Build the function that runs the protocol of one send.

    Parameters
    ----------
    routes : CommitRoutes
        Committers.
    peers : ClaimsPeers
        Calls to holders.
    store : KeyValueStore
        For reading back; bounds its calls by `read_timeout_ms`.
    read_timeout_ms : float
        Bound of one reading, in milliseconds.
    clock : Clock
        Source of time.
    count_event : callable
        Takes the name of each event.

    Returns
    -------
    callable
        Takes the key in the store, the record to claim and the caller's deadline, and
        returns the step with the decision.
    """
    calls = _Calls(
        routes=routes,
        peers=peers,
        store=store,
        read_timeout_ms=read_timeout_ms,
        clock=clock,
        count_event=count_event,
    )

    def attempt(store_key: str, record: ClaimRecord, deadline_ms: float):
        answer_by_ms = deadline_ms - ANSWER_MARGIN_MS
        until_ms = min(answer_by_ms, clock.now_ms() + CLAIM_TIMEOUT_MS)
        step = sender.start(record)
        while True:
            match step.effect:
                case sender.SendClaim():
                    rank = step.effect.committer_rank
                    event = calls.send(store_key, record, rank, until_ms)
                case sender.ReadClaim():
                    event = calls.read(store_key, until_ms)
                case sender.RemoveClaim():
                    event = calls.remove(store_key, step.effect.record, until_ms)
                case sender.AskHolder():
                    asked_at_ms = clock.now_ms()
                    event = calls.ask_holder(step.effect.record, answer_by_ms)
                    waited_ms = clock.now_ms() - asked_at_ms
                    until_ms = min(answer_by_ms, until_ms + waited_ms)
                case _:
                    return step
            step = sender.advance(step.state, event)

    return attempt


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Calls:
    """Carries out the effects of the protocol and tells what happened."""

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
                committer, [change], self._commit_by(until_ms)
            )
        except PeerNotReached as error:
            _log.warning("claims: a committer was not reached: %s", error)
            return sender.ChangeNotSent()
        except PeerAnswerLost as error:
            _log.warning("claims: the answer of a committer was lost: %s", error)
            return sender.ClaimLost()
        return _event_of(outcomes[0])

    def read(self, store_key: str, until_ms: float) -> sender.Event:
        if until_ms - self.clock.now_ms() < self.read_timeout_ms:
            return sender.TimedOut()
        self.count_event("read_back")
        try:
            entry = self.store.get(store_key).entry
            record = None if entry is None else parse_claim(entry.value)
        except (StoreError, ClaimRecordError) as error:
            _log.warning("claims: reading back failed: %s", error)
            return sender.ReadFailed()
        return sender.RecordRead(record=record)

    def ask_holder(self, record: ClaimRecord, answer_by_ms: float) -> sender.Event:
        self.count_event("holder_asked")
        until_ms = min(answer_by_ms, self.clock.now_ms() + HOLDER_WAIT_MS)
        return self.peers.await_end(record.holder, record.claim_id, until_ms)

    def remove(
        self, store_key: str, record: ClaimRecord, until_ms: float
    ) -> sender.Event:
        self.count_event("removed")
        committer = self.routes.committer(store_key, 0)
        change = release_change(store_key, record)
        try:
            self.routes.commit(committer, [change], self._commit_by(until_ms))
        except (PeerNotReached, PeerAnswerLost) as error:
            _log.warning("claims: removing a claim failed: %s", error)
        return sender.Removed()

    def _commit_by(self, until_ms: float) -> float:
        return min(until_ms, self.clock.now_ms() + COMMIT_TIMEOUT_MS)


def _event_of(outcome: ChangeOutcome) -> sender.Event:
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
