"""Faults of the store that tests switch on and off."""

import enum
import random
import threading
import time
from typing import Annotated

import msgspec

__all__ = ["DownMode", "FaultInjector", "Faults"]


class DownMode(enum.StrEnum):
    """How the store behaves towards its callers."""

    UP = "up"
    REFUSE = "refuse"
    HANG = "hang"


class Faults(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Faults that are in force.

    Attributes
    ----------
    down : DownMode
        ``refuse`` closes the listener and all connections; ``hang`` accepts calls, has
        no effect and does not answer.
    slow_ms : float
        Delay of each call before it takes effect. It takes effect even if the caller
        has given up.
    lose_answers : int
        Number of writing calls whose connection is closed after the effect.
    lose_probability : float
        Probability of the same for each further writing call.
    seed : int
        Seed of `lose_probability`.
    max_writes_per_second : float
        Writing calls beyond this rate wait; 0 for no limit.
    """

    down: DownMode = DownMode.UP
    slow_ms: Annotated[float, msgspec.Meta(ge=0, le=600_000)] = 0
    lose_answers: Annotated[int, msgspec.Meta(ge=0)] = 0
    lose_probability: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0
    seed: int = 0
    max_writes_per_second: Annotated[float, msgspec.Meta(ge=0)] = 0


class FaultInjector:
    """Applies the faults in force to each call."""

    def __init__(self):
        self._changed = threading.Condition()
        self._faults = Faults()
        self._answers_to_lose = 0
        self._random = random.Random(0)
        self._next_write_at = 0.0

    @property
    def faults(self) -> Faults:
        """Faults in force, as they were set."""
        return self._faults

    def replace(self, faults: Faults) -> None:
        """Put faults in force instead of all earlier ones."""
        with self._changed:
            self._faults = faults
            self._answers_to_lose = faults.lose_answers
            self._random = random.Random(faults.seed)
            self._next_write_at = 0.0
            self._changed.notify_all()

    def delay(self, *, writing: bool) -> bool:
        """Wait before the effect of a call.

        Returns
        -------
        bool
            False when the call must have no effect and no answer.
        """
        with self._changed:
            if self._faults.down is not DownMode.UP:
                self._changed.wait_for(lambda: self._faults.down is not DownMode.HANG)
                return False
            delay_seconds = self._faults.slow_ms / 1000
            if writing:
                delay_seconds += self._pacing_seconds()
        if delay_seconds > 0:
            time.sleep(delay_seconds)
        return True

    def loses_answer(self) -> bool:
        """Tell whether the answer of a writing call is lost."""
        with self._changed:
            if self._answers_to_lose > 0:
                self._answers_to_lose -= 1
                return True
            return self._random.random() < self._faults.lose_probability

    def _pacing_seconds(self) -> float:
        if not self._faults.max_writes_per_second:
            return 0.0
        now = time.monotonic()
        starts_at = max(now, self._next_write_at)
        self._next_write_at = starts_at + 1 / self._faults.max_writes_per_second
        return starts_at - now
