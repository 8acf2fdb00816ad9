"""Anti-entropy with a peer over Thrift."""

import dataclasses
from collections.abc import Callable

import pykka
from vanillapitch_core import Clock
from vanillapitch_core import membership as core
from vanillapitch_wire import GossipMalformed, WireError
from vanillapitch_wire.gossip import decode_members, encode_members
from vanillapitch_wire.peers import PEERS_SERVICE, DigestsReply, PeersClient

from vanillapitch_daemon.logs import get_log
from vanillapitch_daemon.membership._actor import (
    GetDifferences,
    GetDigests,
    ReceiveRecords,
    RecordSyncBytes,
    RecordSyncEnd,
)
from vanillapitch_daemon.settings import Address
from vanillapitch_daemon.transport import Transport

__all__ = ["StartExchange", "Synchronizer", "make_digests_reply"]

SYNC_TIMEOUT_MS = 2_000
# Frames, Thrift envelopes and TCP/IP headers of one call.
CALL_OVERHEAD_BYTES = 256

_log = get_log("membership")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartExchange:
    """Exchange digests and differences with a peer."""

    peer_address: str


class Synchronizer(pykka.ThreadingActor):
    """Executes exchanges one at a time, so that the membership actor does not block.

    Parameters
    ----------
    membership : pykka.ActorRef
        The membership actor.
    transport : Transport
        Connections to peers.
    clock : Clock
        Source of time.
    """

    use_daemon_thread = True

    def __init__(
        self, *, membership: pykka.ActorRef, transport: Transport, clock: Clock
    ):
        super().__init__()
        self._membership = membership
        self._transport = transport
        self._clock = clock

    def on_receive(self, message: StartExchange) -> None:
        """Execute one exchange."""
        is_complete = False
        try:
            is_complete = self._exchange(message.peer_address)
        except (WireError, GossipMalformed, ValueError) as error:
            _log.debug("Exchange failed", peer=message.peer_address, error=error)
        except pykka.ActorDeadError:
            return
        except Exception:
            _log.exception("Exchange failed", peer=message.peer_address)
        self._membership.tell(RecordSyncEnd(is_complete=is_complete))
        # Each exchange goes to a random peer; without this, an idle connection to
        # every member would stay open.
        self._transport.close_idle()

    def _exchange(self, peer_address: str) -> bool:
        digests = self._membership.ask(GetDigests())
        reply = self._call(peer_address, "sync_digests", digests)
        self._count(len(digests))
        records, strikes = decode_members(reply.members)
        self._membership.tell(ReceiveRecords(records=records, strikes=strikes))
        answer = core.SyncAnswer(
            buckets=tuple(reply.buckets),
            records=records,
            strikes=strikes,
            is_truncated=reply.is_truncated,
        )
        missing_records = self._membership.ask(GetDifferences(answer=answer))
        if missing_records:
            members = encode_members(records=missing_records)
            self._call(peer_address, "sync_differences", members)
            self._count(len(members))
        return not reply.is_truncated

    def _call(self, peer_address: str, method: str, request: bytes) -> object:
        address = Address(peer_address)
        return self._transport.call(
            address=(address.host, address.port),
            service=PEERS_SERVICE,
            client_type=PeersClient,
            method=method,
            request=request,
            deadline_ms=self._clock.now_ms() + SYNC_TIMEOUT_MS,
        )

    def _count(self, payload_bytes: int) -> None:
        size_bytes = payload_bytes + CALL_OVERHEAD_BYTES
        self._membership.tell(RecordSyncBytes(size_bytes=size_bytes))


def make_digests_reply(
    *, answer: core.SyncAnswer, revision: int, count_bytes: Callable[[int], None]
) -> DigestsReply:
    """Encode the answer to a peer's digests.

    Parameters
    ----------
    answer : SyncAnswer
        The answer.
    revision : int
        Tables revision in force.
    count_bytes : callable
        Called with the size of the answer.

    Returns
    -------
    DigestsReply
        The reply.
    """
    members = encode_members(records=answer.records, strikes=answer.strikes)
    count_bytes(len(members) + CALL_OVERHEAD_BYTES)
    return DigestsReply(
        buckets=list(answer.buckets),
        members=members,
        is_truncated=answer.is_truncated,
        revision=revision,
    )
