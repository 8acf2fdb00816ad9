"""The daemon, with its listeners for peers and gossip moved behind the proxy.

The settings name the addresses at which peers reach the daemon. With the proxy at
these addresses, the daemon itself must listen elsewhere, for which it has no setting.
"""

import socket
import sys

from vanillapitch_daemon.main import main
from vanillapitch_daemon.settings import load_settings

from vanillapitch_testbed.fleet._vm import SHIFT


def shift_listeners(ports: set[int]) -> None:
    """Let sockets that bind one of `ports` bind a port higher by `SHIFT`."""
    original_bind = socket.socket.bind

    def bind(self, address):
        if isinstance(address, tuple) and address[1] in ports:
            address = (address[0], address[1] + SHIFT, *address[2:])
        return original_bind(self, address)

    socket.socket.bind = bind


if __name__ == "__main__":
    listen = load_settings(sys.argv[sys.argv.index("--settings") + 1]).listen
    shift_listeners({listen.peers.port, listen.gossip.port})
    sys.exit(main())
