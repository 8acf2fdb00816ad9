"""One VM of a fleet: a backend server and its daemon."""

import dataclasses
import pathlib

from vanillapitch_testbed.fleet._deployments import Service
from vanillapitch_testbed.fleet._process import ManagedProcess

__all__ = ["SHIFT", "Vm"]

_CALLERS_PORT = 8_000
_PEERS_PORT = 8_001
_GOSSIP_PORT = 8_002
_ADMIN_PORT = 8_003
_BACKEND_PORT = 9_000
_CONTROL_PORT = 9_001
# Distance between the port of a proxy and the port behind it.
SHIFT = 10_000


@dataclasses.dataclass(slots=True, kw_only=True)
class Vm:
    """Addresses and processes of a VM.

    Attributes
    ----------
    proxied : bool
        Whether the daemon's addresses for peers and gossip are those of the proxy.
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
        """UDP address of the daemon for membership messages."""
        return f"{self.ip}:{_GOSSIP_PORT}"

    @property
    def admin(self) -> str:
        """Address of the daemon's administration API."""
        return f"{self.ip}:{_ADMIN_PORT}"

    @property
    def backend_address(self) -> str:
        """Address of the backend server itself."""
        return f"{self.ip}:{_BACKEND_PORT}"

    @property
    def callers_proxy(self) -> str:
        """Address of the proxy in front of the daemon's address for callers."""
        return f"{self.ip}:{_CALLERS_PORT + SHIFT}"

    @property
    def shifted_peers(self) -> str:
        """Address that a daemon behind the proxy listens on instead of `peers`."""
        return f"{self.ip}:{_PEERS_PORT + SHIFT}"

    @property
    def shifted_gossip(self) -> str:
        """Address that a daemon behind the proxy listens on instead of `gossip`."""
        return f"{self.ip}:{_GOSSIP_PORT + SHIFT}"

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
