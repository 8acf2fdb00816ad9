"""Configuration of this daemon: tables in force, their sources and changes."""

from vanillapitch_daemon.configuration._actor import (
    Configuration,
    GetTables,
    ReceiveRevision,
    RecordFetchFailed,
    SetDependencies,
    SubscribeTables,
    TablesAdopted,
    TablesArrived,
)
from vanillapitch_daemon.configuration._changes import ApplyChange, ChangeExecutor
from vanillapitch_daemon.configuration._fetch import Fetcher, make_tables_reply
from vanillapitch_daemon.configuration._port import AdminConfiguration
from vanillapitch_daemon.configuration._store import TABLES_KEY, TablesStore
from vanillapitch_daemon.configuration._watcher import StoreWatcher
from vanillapitch_daemon.configuration._watching import make_watcher_selector

__all__ = [
    "TABLES_KEY",
    "AdminConfiguration",
    "ApplyChange",
    "ChangeExecutor",
    "Configuration",
    "Fetcher",
    "GetTables",
    "ReceiveRevision",
    "RecordFetchFailed",
    "SetDependencies",
    "StoreWatcher",
    "SubscribeTables",
    "TablesAdopted",
    "TablesArrived",
    "TablesStore",
    "make_tables_reply",
    "make_watcher_selector",
]
