"""One VM of a fleet, with a backend server and its daemon."""

import dataclasses
import pathlib

from vanillapitch_testbed.fleet._deployments import Service
from vanillapitch_testbed.fleet._process import ManagedProcess

__all__ = ["PROXY_PORT_OFFSET", "Vm"]

_CALLERS_PORT = 8_000
_PEERS_PORT = 8_001
_GOSSIP_PORT = 8_002
_ADMIN_PORT = 8_003
_BACKEND_PORT = 9_000
_CONTROL_PORT = 9_001
# Difference between the port of a daemon's address and its counterpart: the proxy for
# callers, and the port that a proxied daemon listens on for peers and gossip.
PROXY_PORT_OFFSET = 10_000


@dataclasses.dataclass(slots=True, kw_only=True)
class Vm:
    """Addresses and processes of a VM.

    Attributes
    ----------
    proxied : bool
        Whether the proxy listens on the daemon's addresses for peers and gossip.
    """

    name: str
    ip: str
    zone: str
    service: Service
    directory: pathlib.Path
    proxied: bool = False
    daemon: ManagedProcess | None = None
    backend: ManagedProcess | None = None

    @property
    def callers(self) -> str:
        """Address of the daemon for callers."""
        return f"{self.ip}:{_CALLERS_PORT}"

    @property
    def peers(self) -> str:
        """Address of the daemon for other daemons."""
        return f"{self.ip}:{_PEERS_PORT}"

    @property
    def gossip(self) -> str:
        """UDP address of the daemon for gossip messages."""
        return f"{self.ip}:{_GOSSIP_PORT}"

    @property
    def admin(self) -> str:
        """Address of the daemon's administration API."""
        return f"{self.ip}:{_ADMIN_PORT}"

    @property
    def backend_address(self) -> str:
        """Address of the backend server for requests."""
        return f"{self.ip}:{_BACKEND_PORT}"

    @property
    def callers_proxy(self) -> str:
        """Address of the proxy in front of the daemon's address for callers."""
        return f"{self.ip}:{_CALLERS_PORT + PROXY_PORT_OFFSET}"

    @property
    def shifted_peers(self) -> str:
        """Address on which a proxied daemon listens instead of `peers`."""
        return f"{self.ip}:{_PEERS_PORT + PROXY_PORT_OFFSET}"

    @property
    def shifted_gossip(self) -> str:
        """Address on which a proxied daemon listens instead of `gossip`."""
        return f"{self.ip}:{_GOSSIP_PORT + PROXY_PORT_OFFSET}"

    @property
    def control(self) -> str:
        """Control address of the backend server."""
        return f"{self.ip}:{_CONTROL_PORT}"

    @property
    def settings_path(self) -> pathlib.Path:
        """Settings file of the daemon."""
        return self.directory / f"{self.name}.json"

    @property
    def journal_path(self) -> pathlib.Path:
        """Journal file of the backend server."""
        return self.directory / f"{self.name}.journal"
