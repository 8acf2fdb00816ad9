"""Data path of vanillapitch on one event loop, without local storage.

The adapter of a platform fills `Settings` and `Dialect`, implements
`AsyncKeyValueStore` and calls `run_daemon`.
"""

from vanillapitch_relay.app import Daemon, run_daemon
from vanillapitch_relay.model import Dialect, Settings
from vanillapitch_relay.store_port import AsyncKeyValueStore

__all__ = ["AsyncKeyValueStore", "Daemon", "Dialect", "Settings", "run_daemon"]
