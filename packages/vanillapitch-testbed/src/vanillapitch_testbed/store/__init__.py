"""Simulated store of the platform: a real process with configurable faults."""

from vanillapitch_testbed.store.counters import StoreCounters
from vanillapitch_testbed.store.exceptions import StoreProcessError
from vanillapitch_testbed.store.faults import DownMode, Faults
from vanillapitch_testbed.store.process import StoreProcess

__all__ = [
    "DownMode",
    "Faults",
    "StoreCounters",
    "StoreProcess",
    "StoreProcessError",
]
