"""Decisions of vanillapitch without I/O.

Everything here is a function of time, state and event, so that the daemon and the
tests drive the same code.
"""

from vanillapitch_core.clock import Clock, ManualClock, SystemClock
from vanillapitch_core.exceptions import (
    InvariantError,
    TableError,
    VanillapitchError,
    check_invariant,
)
from vanillapitch_core.outcome import Outcome, Refusal, RefusalCode

__all__ = [
    "Clock",
    "InvariantError",
    "ManualClock",
    "Outcome",
    "Refusal",
    "RefusalCode",
    "SystemClock",
    "TableError",
    "VanillapitchError",
    "check_invariant",
]
