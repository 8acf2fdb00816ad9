"""Decision logic of vanillapitch, without I/O.

Every decision depends only on the current time, the state and the event passed to it,
so the daemon and the tests run the same code.
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
