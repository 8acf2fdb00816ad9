"""Daemon whose listeners for peers and gossip use other ports, behind the proxy.

The daemon's settings contain the addresses to which its peers connect. The proxy
listens on these addresses, so the daemon must listen on others, for which it has no
setting.
"""

import socket
import sys

from vanillapitch_daemon.main import main
from vanillapitch_daemon.settings import load_settings

from vanillapitch_testbed.fleet._vm import PROXY_PORT_OFFSET


def shift_listeners(ports: set[int]) -> None:
    """Add `PROXY_PORT_OFFSET` to the port when a socket binds one of `ports`."""
    original_bind = socket.socket.bind

    def bind(self, address):
        if isinstance(address, tuple) and address[1] in ports:
            address = (address[0], address[1] + PROXY_PORT_OFFSET, *address[2:])
        return original_bind(self, address)

    socket.socket.bind = bind


if __name__ == "__main__":
    listen = load_settings(sys.argv[sys.argv.index("--settings") + 1]).listen
    shift_listeners({listen.peers.port, listen.gossip.port})
    sys.exit(main())
