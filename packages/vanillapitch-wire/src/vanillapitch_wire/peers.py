"""Messages and Thrift service for exchanging members and tables between daemons."""

from vanillapitch_wire._gen.peers.Peers import Client as PeersClient
from vanillapitch_wire._gen.peers.Peers import Processor as PeersProcessor
from vanillapitch_wire._gen.peers.ttypes import DigestsReply, TablesReply

__all__ = [
    "PEERS_SERVICE",
    "DigestsReply",
    "PeersClient",
    "PeersProcessor",
    "TablesReply",
]

PEERS_SERVICE = "peers"
