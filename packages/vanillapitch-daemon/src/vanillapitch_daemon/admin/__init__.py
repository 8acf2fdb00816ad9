"""Administration API of the daemon."""

from vanillapitch_daemon.admin._app import create_app
from vanillapitch_daemon.admin._ports import (
    BackendState,
    ChangeResult,
    ChangeStatus,
    ConfigurationPort,
    Member,
    NodePort,
    Status,
    TablesChange,
    ZoneChange,
)
from vanillapitch_daemon.admin._server import AdminServer
from vanillapitch_daemon.admin.exceptions import AdminUnavailableError

__all__ = [
    "AdminServer",
    "AdminUnavailableError",
    "BackendState",
    "ChangeResult",
    "ChangeStatus",
    "ConfigurationPort",
    "Member",
    "NodePort",
    "Status",
    "TablesChange",
    "ZoneChange",
    "create_app",
]
