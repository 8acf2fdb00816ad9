"""Fetching of tables from peers."""

import pykka
from vanillapitch_core import Clock, TableError
from vanillapitch_core.configuration import FetchTables
from vanillapitch_core.tables import encode_tables, parse_tables
from vanillapitch_wire import WireError
from vanillapitch_wire.peers import PEERS_SERVICE, PeersClient, TablesReply

from vanillapitch_daemon.configuration._actor import RecordFetchFailed, TablesArrived
from vanillapitch_daemon.logs import get_log
from vanillapitch_daemon.settings import Address
from vanillapitch_daemon.snapshot import TablesSnapshot
from vanillapitch_daemon.transport import Transport

__all__ = ["Fetcher", "make_tables_reply"]

# Short, so that a peer that is paused after its message uses little of the 3 s within
# which every daemon has to adopt a revision.
FETCH_TIMEOUT_MS = 500

_log = get_log("configuration")


class Fetcher(pykka.ThreadingActor):
    """Fetches tables, so that the configuration actor does not block.

    Parameters
    ----------
    configuration : pykka.ActorRef
        The configuration actor.
    transport : Transport
        Connections to peers.
    clock : Clock
        Source of time.
    """

    use_daemon_thread = True

    def __init__(
        self, *, configuration: pykka.ActorRef, transport: Transport, clock: Clock
    ):
        super().__init__()
        self._configuration = configuration
        self._transport = transport
        self._clock = clock

    def on_receive(self, message: FetchTables) -> None:
        """Fetch one document."""
        result = RecordFetchFailed(revision=message.min_revision)
        try:
            reply = self._call(message)
            if reply.document:
                tables = parse_tables(reply.document)
                result = TablesArrived(tables=tables, source=message.peer_address)
        except (WireError, TableError, ValueError) as error:
            _log.warning(
                "Could not fetch tables", peer=message.peer_address, error=error
            )
        except Exception:
            _log.exception("Could not fetch tables", peer=message.peer_address)
        self._configuration.tell(result)

    def _call(self, message: FetchTables) -> TablesReply:
        address = Address(message.peer_address)
        return self._transport.call(
            address=(address.host, address.port),
            service=PEERS_SERVICE,
            client_type=PeersClient,
            method="fetch_tables",
            request=message.min_revision,
            deadline_ms=self._clock.now_ms() + FETCH_TIMEOUT_MS,
        )


def make_tables_reply(snapshot: TablesSnapshot, min_revision: int) -> TablesReply:
    """Create the reply to a peer that fetches tables.

    Parameters
    ----------
    snapshot : TablesSnapshot
        Tables in force.
    min_revision : int
        Lowest revision that the peer accepts.

    Returns
    -------
    TablesReply
        The document, empty when the revision in force is lower.
    """
    tables = snapshot.current.tables
    document = encode_tables(tables) if tables.revision >= min_revision else b""
    return TablesReply(revision=tables.revision, document=document)
