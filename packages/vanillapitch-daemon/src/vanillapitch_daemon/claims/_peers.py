"""Claims calls to this daemon and its peers."""

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
from vanillapitch_daemon.claims.exceptions import PeerNotReached, PeerReplyLost
from vanillapitch_daemon.transport import Transport

__all__ = ["ClaimsHandler", "ClaimsPeers", "HolderStatement", "LocalClaims"]

# Time reserved for the reply of a holder that waits for the full `wait_ms`.
REPLY_MARGIN_MS = 50.0
# Bounds how long a call of a peer occupies a thread, whatever time it requests.
MAX_WAIT_MS = 10_000
MAX_COMMIT_MS = 10_000
# Waiting calls occupy threads that also serve other calls of peers. Beyond these limits
# a commit call is rejected as busy, and the sender uses the next committer; a second
# sender does not wait at the holder for the end of the claim, but polls.
MAX_COMMIT_CALLS = 8
MAX_AWAIT_CALLS = 4
# Minimum time to wait for the holder's statement. The holder replies at once if the
# claim has ended, but the query waits in the queue of its actor.
HOLDER_QUERY_TIMEOUT_MS = 100
RETRY_INTERVAL_MS = 50.0

HolderStatement = HolderRunning | HolderResult | HolderNotRun | HolderGone


class LocalClaims:
    """Claims calls to the committer and the holder of this daemon.

    Parameters
    ----------
    instance : str
        Name of this daemon.
    committer, holder : pykka.ActorRef
        Actors of this daemon.
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
            raise PeerReplyLost("the committer did not reply in time") from error

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
    """Claims calls by instance name; calls to this daemon are made in-process.

    Parameters
    ----------
    local : LocalClaims
        Claims calls to this daemon.
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
        """Send changes to a committer and return their outcomes.

        Parameters
        ----------
        instance : str
            Instance name of the committer.
        changes : sequence of ClaimChange
            The changes.
        deadline_ms : float
            Monotonic time in milliseconds at which the call times out.

        Returns
        -------
        sequence of ChangeOutcome
            Outcomes in the order of the changes.

        Raises
        ------
        PeerNotReached
            If the changes had no effect.
        PeerReplyLost
            If the changes may have had an effect.
        """
        if instance == self._local.instance:
            return self._local.commit(changes, deadline_ms)
        remaining_ms = max(1, int(deadline_ms - self._clock.now_ms()))
        request = CommitRequest(
            changes=[_encode_change(change) for change in changes],
            remaining_ms=remaining_ms,
        )
        reply = self._call(instance, "commit_claims", request, deadline_ms)
        if reply.is_busy:
            raise PeerNotReached(f"{instance}: the committer is busy")
        try:
            outcomes = [_decode_outcome(message) for message in reply.outcomes]
        except ValueError as error:
            raise PeerReplyLost(f"unknown outcome of a change: {error}") from error
        if len(outcomes) != len(changes):
            raise PeerReplyLost(
                "the reply of the committer has the wrong number of outcomes"
            )
        return outcomes

    def await_end(
        self, instance: str, claim_id: str, deadline_ms: float
    ) -> HolderStatement:
        """Wait for the end of a claim and return the statement of its holder.

        Parameters
        ----------
        instance : str
            Instance name of the holder.
        claim_id : str
            Id of the claim.
        deadline_ms : float
            Monotonic time in milliseconds until which to wait.

        Returns
        -------
        HolderStatement
            `HolderRunning` if the deadline passed, `HolderGone` if the holder cannot be
            reached.
        """
        if instance == self._local.instance:
            return self._local.await_end(claim_id, deadline_ms)
        while True:
            statement = self._query_holder(instance, claim_id, deadline_ms)
            remaining_ms = deadline_ms - self._clock.now_ms()
            if not isinstance(statement, HolderRunning) or remaining_ms <= 0:
                return statement
            # The holder had no free slot for a waiting call.
            time.sleep(min(RETRY_INTERVAL_MS, remaining_ms) / 1000)

    def _query_holder(
        self, instance: str, claim_id: str, deadline_ms: float
    ) -> HolderStatement:
        wait_ms = int(deadline_ms - self._clock.now_ms() - REPLY_MARGIN_MS)
        request = AwaitRequest(
            holder=instance, claim_id=claim_id, wait_ms=max(0, wait_ms)
        )
        try:
            reply = self._call(instance, "await_result", request, deadline_ms)
            return _decode_statement(reply)
        except (PeerNotReached, ValueError, msgspec.DecodeError):
            return HolderGone()
        except PeerReplyLost:
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
            raise PeerReplyLost(f"{instance}: {error}") from error


class ClaimsHandler:
    """Thrift handler of the ``claims`` service.

    Parameters
    ----------
    local : LocalClaims
        Claims calls to this daemon.
    refresh : callable
        Updates the committers after changes of the members.
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
        changes = [_decode_change(message) for message in request.changes]
        remaining_ms = min(request.remaining_ms, MAX_COMMIT_MS)
        deadline_ms = self._clock.now_ms() + remaining_ms
        try:
            outcomes = self._local.commit(changes, deadline_ms)
        except PeerNotReached:
            no_effect = ChangeOutcome(status=ChangeStatus.NO_EFFECT)
            outcomes = [no_effect] * len(changes)
        except PeerReplyLost:
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
        deadline_ms = self._clock.now_ms() + max(HOLDER_QUERY_TIMEOUT_MS, wait_ms)
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


def _encode_change(change: ClaimChange) -> ClaimChangeMessage:
    return ClaimChangeMessage(
        kind=change.kind.value,
        store_key=change.store_key,
        expected=change.expected,
        value=change.value,
    )


def _decode_change(message: ClaimChangeMessage) -> ClaimChange:
    # Raises ClaimRecordError for other keys, so that peers can write only claims.
    shard_of(message.store_key)
    return ClaimChange(
        kind=ChangeKind(message.kind),
        store_key=message.store_key,
        expected=message.expected,
        value=message.value,
    )


def _decode_outcome(message: ChangeOutcomeMessage) -> ChangeOutcome:
    return ChangeOutcome(status=ChangeStatus(message.status), current=message.current)


def _decode_statement(reply: AwaitReply) -> HolderStatement:
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
