"""Calls about claims to this daemon or to its peers."""

import concurrent.futures
import threading
import time
from collections.abc import Callable, Sequence

import msgspec
import pykka
from vanillapitch_core import Clock
from vanillapitch_core.claims import (
    ChangeKind,
    ChangeOutcome,
    ChangeStatus,
    ClaimChange,
    ClaimResult,
    ClaimState,
    shard_of,
)
from vanillapitch_core.claims.sender import (
    HolderGone,
    HolderNotRun,
    HolderResult,
    HolderRunning,
)
from vanillapitch_wire import ConnectFailed, SendFailed, WireError
from vanillapitch_wire.claims import (
    CLAIMS_SERVICE,
    AwaitReply,
    AwaitRequest,
    ChangeOutcomeMessage,
    ClaimChangeMessage,
    ClaimsClient,
    CommitReply,
    CommitRequest,
)

from vanillapitch_daemon.claims._committer import PendingCommit
from vanillapitch_daemon.claims._holder import AwaitEnd
from vanillapitch_daemon.claims.exceptions import PeerAnswerLost, PeerNotReached
from vanillapitch_daemon.transport import Transport

__all__ = ["ClaimsHandler", "ClaimsPeers", "HolderStatement", "LocalClaims"]

# The reply of a peer that waits until the bound still needs this time.
REPLY_GRACE_MS = 50.0
# Bounds the threads that second senders occupy at a holder, whatever they ask for.
MAX_WAIT_MS = 10_000
MAX_COMMIT_MS = 10_000
# Calls that wait occupy threads that also serve other calls of peers. A committer that
# is busy is passed over, and a second sender that finds no place asks again.
MAX_COMMIT_CALLS = 8
MAX_AWAIT_CALLS = 4
# The holder's actor answers at once what it knows; this covers its queue.
STATEMENT_MS = 100
ASK_AGAIN_MS = 50.0

HolderStatement = HolderRunning | HolderResult | HolderNotRun | HolderGone


class LocalClaims:
    """The committer and the holder of this daemon.

    Parameters
    ----------
    instance : str
        Name of this daemon.
    committer, holder : pykka.ActorRef
        The actors.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        instance: str,
        committer: pykka.ActorRef,
        holder: pykka.ActorRef,
        clock: Clock,
    ):
        self.instance = instance
        self._committer = committer
        self._holder = holder
        self._clock = clock

    def commit(
        self, changes: Sequence[ClaimChange], deadline_ms: float
    ) -> Sequence[ChangeOutcome]:
        """Commit changes; see `ClaimsPeers.commit`."""
        if not changes:
            return ()
        commit = PendingCommit(changes=changes, expires_at_ms=deadline_ms)
        try:
            self._committer.tell(commit)
        except pykka.ActorDeadError as error:
            raise PeerNotReached("the committer has stopped") from error
        try:
            return commit.future.result(self._remaining_s(deadline_ms))
        except TimeoutError as error:
            raise PeerAnswerLost("the committer did not answer in time") from error

    def await_end(self, claim_id: str, deadline_ms: float) -> HolderStatement:
        """Wait for the end of a claim; see `ClaimsPeers.await_end`."""
        future: concurrent.futures.Future = concurrent.futures.Future()
        try:
            self._holder.tell(AwaitEnd(claim_id=claim_id, future=future))
            return future.result(self._remaining_s(deadline_ms))
        except pykka.ActorDeadError:
            return HolderGone()
        except TimeoutError:
            return HolderRunning()

    def _remaining_s(self, deadline_ms: float) -> float:
        return max(0.0, deadline_ms - self._clock.now_ms()) / 1000


class ClaimsPeers:
    """Calls about claims by instance name, in-process for this daemon itself.

    Parameters
    ----------
    local : LocalClaims
        This daemon's own part.
    transport : Transport
        Connections to other daemons.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, local: LocalClaims, transport: Transport, clock: Clock):
        self._local = local
        self._transport = transport
        self._clock = clock

    def commit(
        self, instance: str, changes: Sequence[ClaimChange], deadline_ms: float
    ) -> Sequence[ChangeOutcome]:
        """Have a committer commit changes.

        Parameters
        ----------
        instance : str
            The committer.
        changes : sequence of ClaimChange
            The changes.
        deadline_ms : float
            Monotonic time in milliseconds after which the call is given up.

        Returns
        -------
        sequence of ChangeOutcome
            Outcomes in the order of the changes.

        Raises
        ------
        PeerNotReached
            If the call certainly had no effect.
        PeerAnswerLost
            If it may have had an effect.
        """
        if instance == self._local.instance:
            return self._local.commit(changes, deadline_ms)
        remaining_ms = max(1, int(deadline_ms - self._clock.now_ms()))
        request = CommitRequest(
            changes=[_change_message(change) for change in changes],
            remaining_ms=remaining_ms,
        )
        reply = self._call(instance, "commit_claims", request, deadline_ms)
        if reply.is_busy:
            raise PeerNotReached(f"{instance}: the committer is busy")
        try:
            outcomes = [_outcome_of(message) for message in reply.outcomes]
        except ValueError as error:
            raise PeerAnswerLost(f"unknown outcome of a claim: {error}") from error
        if len(outcomes) != len(changes):
            raise PeerAnswerLost("the committer left out outcomes")
        return outcomes

    def await_end(
        self, instance: str, claim_id: str, deadline_ms: float
    ) -> HolderStatement:
        """Ask a holder how a claim ended, and wait for the end.

        Parameters
        ----------
        instance : str
            The holder.
        claim_id : str
            The claim.
        deadline_ms : float
            Monotonic time in milliseconds until which to wait.

        Returns
        -------
        HolderStatement
            `HolderRunning` when the time passed, `HolderGone` when the holder cannot be
            asked.
        """
        if instance == self._local.instance:
            return self._local.await_end(claim_id, deadline_ms)
        while True:
            statement = self._ask(instance, claim_id, deadline_ms)
            remaining_ms = deadline_ms - self._clock.now_ms()
            if not isinstance(statement, HolderRunning) or remaining_ms <= 0:
                return statement
            # The holder had no place to wait.
            time.sleep(min(ASK_AGAIN_MS, remaining_ms) / 1000)

    def _ask(self, instance: str, claim_id: str, deadline_ms: float) -> HolderStatement:
        wait_ms = int(deadline_ms - self._clock.now_ms() - REPLY_GRACE_MS)
        request = AwaitRequest(
            holder=instance, claim_id=claim_id, wait_ms=max(0, wait_ms)
        )
        try:
            reply = self._call(instance, "await_result", request, deadline_ms)
            return _statement_of(reply)
        except (PeerNotReached, ValueError, msgspec.DecodeError):
            return HolderGone()
        except PeerAnswerLost:
            if self._clock.now_ms() >= deadline_ms:
                return HolderRunning()
            return HolderGone()

    def _call(self, instance: str, method: str, request, deadline_ms: float):
        host, _, port = instance.partition("/")[0].rpartition(":")
        try:
            return self._transport.call(
                address=(host.strip("[]"), int(port)),
                service=CLAIMS_SERVICE,
                client_type=ClaimsClient,
                method=method,
                request=request,
                deadline_ms=deadline_ms,
            )
        except (ConnectFailed, SendFailed, ValueError) as error:
            raise PeerNotReached(f"{instance}: {error}") from error
        except WireError as error:
            raise PeerAnswerLost(f"{instance}: {error}") from error


class ClaimsHandler:
    """Thrift handler of the service ``claims``.

    Parameters
    ----------
    local : LocalClaims
        This daemon's own part.
    refresh : callable
        Brings this daemon's share of the shards up to date.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, *, local: LocalClaims, refresh: Callable[[], object], clock: Clock
    ):
        self._local = local
        self._refresh = refresh
        self._clock = clock
        self._commit_slots = threading.BoundedSemaphore(MAX_COMMIT_CALLS)
        self._await_slots = threading.BoundedSemaphore(MAX_AWAIT_CALLS)

    def commit_claims(self, request: CommitRequest) -> CommitReply:
        """Commit changes for a peer."""
        if not self._commit_slots.acquire(blocking=False):
            return CommitReply(is_busy=True, outcomes=[])
        try:
            return self._commit(request)
        finally:
            self._commit_slots.release()

    def _commit(self, request: CommitRequest) -> CommitReply:
        self._refresh()
        changes = [_change_of(message) for message in request.changes]
        remaining_ms = min(request.remaining_ms, MAX_COMMIT_MS)
        deadline_ms = self._clock.now_ms() + remaining_ms
        try:
            outcomes = self._local.commit(changes, deadline_ms)
        except PeerNotReached:
            no_effect = ChangeOutcome(status=ChangeStatus.NO_EFFECT)
            outcomes = [no_effect] * len(changes)
        except PeerAnswerLost:
            outcomes = [ChangeOutcome(status=ChangeStatus.LOST)] * len(changes)
        return CommitReply(
            is_busy=False,
            outcomes=[
                ChangeOutcomeMessage(
                    status=outcome.status.value, current=outcome.current
                )
                for outcome in outcomes
            ],
        )

    def await_result(self, request: AwaitRequest) -> AwaitReply:
        """Wait for the end of a claim of this daemon."""
        if request.holder != self._local.instance:
            return AwaitReply(statement="gone", state="")
        if not self._await_slots.acquire(blocking=False):
            return self._statement(request, wait_ms=0)
        try:
            return self._statement(request, wait_ms=request.wait_ms)
        finally:
            self._await_slots.release()

    def _statement(self, request: AwaitRequest, *, wait_ms: int) -> AwaitReply:
        wait_ms = min(wait_ms, MAX_WAIT_MS)
        deadline_ms = self._clock.now_ms() + max(STATEMENT_MS, wait_ms)
        statement = self._local.await_end(request.claim_id, deadline_ms)
        match statement:
            case HolderResult():
                result = None
                if statement.result is not None:
                    result = msgspec.json.encode(statement.result)
                return AwaitReply(
                    statement="ended", state=statement.state.value, result=result
                )
            case HolderRunning():
                return AwaitReply(statement="running", state="")
            case HolderNotRun():
                return AwaitReply(statement="not_run", state="")
        return AwaitReply(statement="gone", state="")


def _change_message(change: ClaimChange) -> ClaimChangeMessage:
    return ClaimChangeMessage(
        kind=change.kind.value,
        store_key=change.store_key,
        expected=change.expected,
        value=change.value,
    )


def _change_of(message: ClaimChangeMessage) -> ClaimChange:
    # A committer writes nothing but claims, whatever a peer asks for.
    shard_of(message.store_key)
    return ClaimChange(
        kind=ChangeKind(message.kind),
        store_key=message.store_key,
        expected=message.expected,
        value=message.value,
    )


def _outcome_of(message: ChangeOutcomeMessage) -> ChangeOutcome:
    return ChangeOutcome(status=ChangeStatus(message.status), current=message.current)


def _statement_of(reply: AwaitReply) -> HolderStatement:
    match reply.statement:
        case "ended":
            result = None
            if reply.result is not None:
                result = msgspec.json.decode(reply.result, type=ClaimResult)
            return HolderResult(state=ClaimState(reply.state), result=result)
        case "running":
            return HolderRunning()
        case "not_run":
            return HolderNotRun()
    return HolderGone()
