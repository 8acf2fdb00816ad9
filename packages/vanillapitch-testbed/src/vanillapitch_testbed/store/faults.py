"""Faults of the store that tests set and clear."""

import enum
import random
import threading
import time
from typing import Annotated

import msgspec

__all__ = ["DownMode", "FaultInjector", "Faults"]


class DownMode(enum.StrEnum):
    """Availability of the store for its clients."""

    UP = "up"
    REFUSE = "refuse"
    HANG = "hang"


class Faults(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Active faults; the defaults are none.

    Attributes
    ----------
    down : DownMode
        ``refuse`` closes the listener and all connections; ``hang`` accepts calls that
        have no effect and get no response.
    slow_ms : float
        Delay of each call before it takes effect. It takes effect even if the client
        has disconnected.
    lose_answers : int
        Number of writing calls whose connection is closed without a response after
        they took effect.
    lose_probability : float
        Probability with which each further writing call loses its response.
    seed : int
        Seed of `lose_probability`.
    max_writes_per_second : float
        Rate beyond which writing calls are delayed; 0 for no limit.
    """

    down: DownMode = DownMode.UP
    slow_ms: Annotated[float, msgspec.Meta(ge=0, le=600_000)] = 0
    lose_answers: Annotated[int, msgspec.Meta(ge=0)] = 0
    lose_probability: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0
    seed: int = 0
    max_writes_per_second: Annotated[float, msgspec.Meta(ge=0)] = 0


class FaultInjector:
    """Applies the active faults to each call."""

    def __init__(self):
        self._changed = threading.Condition()
        self._faults = Faults()
        self._responses_to_lose = 0
        self._random = random.Random(0)
        self._next_write_at_s = 0.0

    @property
    def faults(self) -> Faults:
        """Active faults, as they were set."""
        return self._faults

    def replace(self, faults: Faults) -> None:
        """Replace all active faults."""
        with self._changed:
            self._faults = faults
            self._responses_to_lose = faults.lose_answers
            self._random = random.Random(faults.seed)
            self._next_write_at_s = 0.0
            self._changed.notify_all()

    def delay(self, *, writing: bool) -> bool:
        """Delay a call before it takes effect.

        Returns
        -------
        bool
            False when the call must have no effect and no response.
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

    def loses_response(self) -> bool:
        """Decide whether the response to a writing call is lost."""
        with self._changed:
            if self._responses_to_lose > 0:
                self._responses_to_lose -= 1
                return True
            return self._random.random() < self._faults.lose_probability

    def _pacing_seconds(self) -> float:
        if not self._faults.max_writes_per_second:
            return 0.0
        now_s = time.monotonic()
        starts_at_s = max(now_s, self._next_write_at_s)
        self._next_write_at_s = starts_at_s + 1 / self._faults.max_writes_per_second
        return starts_at_s - now_s
