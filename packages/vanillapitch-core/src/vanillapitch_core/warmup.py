"""Cold-start ramp, and recognition of a backend server that turned cold.

A cold backend server starts at one slot or a tenth of its slots and gets one more per
round of good answers. A warmed-up backend server counts as cold again when its answers
jump in latency and it sheds or fails. A latency jump alone (a straggler or a slow
dependency) halves the cap instead: starting every endpoint from one slot because of a
shared slow dependency would turn a slowdown into an outage.
"""

import collections
import dataclasses
import enum
import statistics

from vanillapitch_core.exceptions import check_invariant

__all__ = ["WarmupAnswer", "WarmupState", "begin_ramp", "cap", "record_answer"]

START_SHARE = 0.1
# 12 slots take at least 2.2 s; a round shorter than this sees too little of a backend
# server whose caches are filling.
ROUND_MS = 200.0
# A backend server that stays slow must still get out of the ramp.
SLOW_ROUND_MS = 1_000.0
GOOD_LATENCY_FACTOR = 2.0
HOLD_AFTER_SHED_MS = 500.0
# Server errors slow the ramp down like sheds, because a cold backend server may fail
# what it cannot bear; errors that have lasted this long have another cause.
MAX_RAMP_WITH_FAILURES_MS = 15_000.0

RECENT_ANSWERS = 12
BASELINE_SAMPLES = 20
BASELINE_WEIGHT = 0.02
# A jump must not raise the baseline before it is recognised.
BASELINE_SAMPLE_FACTOR = 2.0
SIGNS_WITH_LATENCY_JUMP = 2
LATENCY_FACTOR_WITH_SIGNS = 2.0
SHEDS_ALONE = 6
# 7 of 12 exponentially distributed latencies exceed 4 times their mean in fewer than
# one of 10**8 windows.
LATENCY_FACTOR_ALONE = 4.0
LATENCY_START_SHARE = 0.5


class WarmupAnswer(enum.Enum):
    """What an answer says about the load."""

    GOOD = "good"
    SHED = "shed"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Answer:
    kind: WarmupAnswer
    latency_ms: float


@dataclasses.dataclass(slots=True, kw_only=True)
class WarmupState:
    """How much work a backend server gets while it warms up.

    Attributes
    ----------
    ceiling : int
        Concurrent requests of a warm backend server.
    ramping : bool
        Whether a ramp is in progress.
    cold : bool
        Whether the ramp is that of a cold start; false when it follows a latency jump
        alone.
    slots : float
        Concurrent requests during the ramp.
    baseline_ms : float
        Moving average of the latency when warm; 0 before the first answer.
    """

    ceiling: int
    ramping: bool = False
    cold: bool = False
    slots: float = 1.0
    baseline_ms: float = 0.0
    baseline_samples: int = 0
    round_answers: int = 0
    round_total_ms: float = 0.0
    round_started_at_ms: float = 0.0
    ramp_started_at_ms: float = 0.0
    hold_until_ms: float = 0.0
    recent: collections.deque[_Answer] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=RECENT_ANSWERS)
    )


def begin_ramp(state: WarmupState, *, now_ms: float) -> None:
    """Start from a low level: at start, after a restart or when a zone is back.

    Parameters
    ----------
    state : WarmupState
        The ramp.
    now_ms : float
        Current time in milliseconds.
    """
    slots = max(1.0, state.ceiling * START_SHARE)
    _begin(state, slots=slots, cold=True, now_ms=now_ms)


def cap(state: WarmupState) -> int:
    """Return how many requests may run at once.

    Parameters
    ----------
    state : WarmupState
        The ramp.

    Returns
    -------
    int
        From 1 to the ceiling.
    """
    slots = int(state.slots) if state.ramping else state.ceiling
    check_invariant(1 <= slots <= state.ceiling, "the cap is from 1 to the ceiling")
    return slots


def record_answer(
    state: WarmupState, *, kind: WarmupAnswer, latency_ms: float, now_ms: float
) -> bool:
    """Take an answer of the backend server as evidence.

    Parameters
    ----------
    state : WarmupState
        The ramp.
    kind : WarmupAnswer
        Whether the backend server refused for load or failed.
    latency_ms : float
        Time until the answer, in milliseconds.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    bool
        Whether this answer showed that a warm backend server turned cold.
    """
    if state.ramping:
        _record_in_ramp(state, kind=kind, latency_ms=latency_ms, now_ms=now_ms)
        return False
    state.recent.append(_Answer(kind=kind, latency_ms=latency_ms))
    if _shows_cold_start(state):
        begin_ramp(state, now_ms=now_ms)
        return True
    if _shows_latency_jump(state):
        slots = max(1.0, state.ceiling * LATENCY_START_SHARE)
        _begin(state, slots=slots, cold=False, now_ms=now_ms)
        return True
    if kind is WarmupAnswer.GOOD:
        _update_baseline(state, latency_ms=latency_ms)
    return False


def _begin(state: WarmupState, *, slots: float, cold: bool, now_ms: float) -> None:
    state.ramping = True
    state.cold = cold
    state.slots = min(float(state.ceiling), slots)
    state.hold_until_ms = 0.0
    state.ramp_started_at_ms = now_ms
    state.recent.clear()
    _begin_round(state, now_ms=now_ms)


def _begin_round(state: WarmupState, *, now_ms: float) -> None:
    state.round_answers = 0
    state.round_total_ms = 0.0
    state.round_started_at_ms = now_ms


def _record_in_ramp(
    state: WarmupState, *, kind: WarmupAnswer, latency_ms: float, now_ms: float
) -> None:
    if kind is WarmupAnswer.FAILED and (
        now_ms - state.ramp_started_at_ms > MAX_RAMP_WITH_FAILURES_MS
    ):
        kind = WarmupAnswer.GOOD
    if kind is not WarmupAnswer.GOOD:
        if now_ms >= state.hold_until_ms:
            state.slots = max(1.0, state.slots / 2)
        state.hold_until_ms = now_ms + HOLD_AFTER_SHED_MS
        _begin_round(state, now_ms=now_ms)
        return
    state.round_answers += 1
    state.round_total_ms += latency_ms
    if now_ms < state.hold_until_ms or state.round_answers < int(state.slots):
        return
    mean_ms = state.round_total_ms / state.round_answers
    good_ms = state.baseline_ms * GOOD_LATENCY_FACTOR
    good = state.baseline_samples < BASELINE_SAMPLES or mean_ms <= good_ms
    if now_ms - state.round_started_at_ms < (ROUND_MS if good else SLOW_ROUND_MS):
        return
    state.slots += 1.0
    _begin_round(state, now_ms=now_ms)
    if state.slots >= state.ceiling:
        _end_ramp(state, latency_ms=mean_ms)


def _end_ramp(state: WarmupState, *, latency_ms: float) -> None:
    state.ramping = False
    state.cold = False
    state.slots = float(state.ceiling)
    # What the backend server does at the end of the ramp is the new normal; else a
    # lasting slowdown would start one ramp after the other.
    state.baseline_ms = latency_ms
    state.baseline_samples = BASELINE_SAMPLES


def _shows_cold_start(state: WarmupState) -> bool:
    sheds = sum(answer.kind is WarmupAnswer.SHED for answer in state.recent)
    if sheds >= SHEDS_ALONE:
        return True
    signs = sum(answer.kind is not WarmupAnswer.GOOD for answer in state.recent)
    return (
        signs >= SIGNS_WITH_LATENCY_JUMP
        and _latency_jump(state) > LATENCY_FACTOR_WITH_SIGNS
    )


def _shows_latency_jump(state: WarmupState) -> bool:
    is_full = len(state.recent) == RECENT_ANSWERS
    return is_full and _latency_jump(state) > LATENCY_FACTOR_ALONE


def _latency_jump(state: WarmupState) -> float:
    """Return the recent median latency as a factor of the baseline; 0 if unknown."""
    if state.baseline_samples < BASELINE_SAMPLES:
        return 0.0
    latencies_ms = [
        answer.latency_ms for answer in state.recent if answer.kind is WarmupAnswer.GOOD
    ]
    if len(latencies_ms) < RECENT_ANSWERS // 2:
        return 0.0
    return statistics.median(latencies_ms) / max(state.baseline_ms, 1e-9)


def _update_baseline(state: WarmupState, *, latency_ms: float) -> None:
    state.baseline_samples += 1
    if state.baseline_samples <= BASELINE_SAMPLES:
        weight = 1.0 / state.baseline_samples
    else:
        weight = BASELINE_WEIGHT
        latency_ms = min(latency_ms, state.baseline_ms * BASELINE_SAMPLE_FACTOR)
    state.baseline_ms += weight * (latency_ms - state.baseline_ms)
