"""Slow start of cold backend servers, and detection of those that became cold.

A cold backend server starts with a tenth of its slots, at least one, and gets one more
per round of good answers. A warm backend server is classified as cold again if its
latency jumps while it sheds or fails requests, or if it sheds many. A latency jump
alone, caused by a straggler or a slow dependency, halves the cap instead: restarting
every endpoint from one slot because of a shared slow dependency would turn a slowdown
into an outage.
"""

import collections
import dataclasses
import enum
import statistics

from vanillapitch_core.exceptions import check_invariant

__all__ = ["WarmupAnswer", "WarmupState", "cap", "record_answer", "start_ramp"]

START_SHARE = 0.1
# A ramp to 12 slots takes at least 2.2 s. A shorter round samples too little of a
# backend server that is filling its caches.
MIN_ROUND_MS = 200.0
# Rounds with high latency are longer but still add a slot, so that the ramp also ends
# for a backend server that stays slow.
MIN_SLOW_ROUND_MS = 1_000.0
MAX_GOOD_LATENCY_FACTOR = 2.0
HOLD_AFTER_SHED_MS = 500.0
# Server errors slow the ramp down like shed requests, because an overloaded cold
# backend server may fail requests. Errors after this time have another cause.
MAX_RAMP_WITH_FAILURES_MS = 15_000.0

RECENT_ANSWER_COUNT = 12
MIN_BASELINE_SAMPLES = 20
BASELINE_WEIGHT = 0.02
# A latency jump must not raise the baseline before it is detected.
BASELINE_SAMPLE_FACTOR = 2.0
MIN_ERRORS_WITH_LATENCY_JUMP = 2
LATENCY_FACTOR_WITH_ERRORS = 2.0
MIN_SHEDS_ALONE = 6
# Random variation rarely reaches this factor: 7 of 12 exponentially distributed
# latencies exceed 4 times their mean in fewer than one of 10**8 windows.
LATENCY_FACTOR_ALONE = 4.0
LATENCY_START_SHARE = 0.5


class WarmupAnswer(enum.Enum):
    """Kind of an answer, as evidence of overload."""

    GOOD = "good"
    SHED = "shed"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Answer:
    kind: WarmupAnswer
    latency_ms: float


@dataclasses.dataclass(slots=True, kw_only=True)
class WarmupState:
    """Concurrency cap of a backend server while it warms up, and its latency baseline.

    Attributes
    ----------
    ceiling : int
        Concurrent requests of a warm backend server.
    ramping : bool
        Whether a ramp is in progress.
    cold : bool
        Whether the ramp follows a cold start; false if it follows a latency jump
        alone.
    slots : float
        Concurrent requests during the ramp.
    baseline_ms : float
        Moving average of the latency when warm; 0 before the first answer.
    baseline_samples : int
        Number of latencies in the baseline.
    round_answers : int
        Good answers in the current round.
    round_total_ms : float
        Sum of their latencies.
    round_started_at_ms, ramp_started_at_ms : float
        Start of the current round and of the ramp.
    hold_until_ms : float
        Time until which the cap does not grow, after a shed or failed request.
    recent : deque of _Answer
        Most recent answers outside a ramp.
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
        default_factory=lambda: collections.deque(maxlen=RECENT_ANSWER_COUNT)
    )


def start_ramp(state: WarmupState, *, now_ms: float) -> None:
    """Start a cold-start ramp, such as after a restart or a zone's return to service.

    Parameters
    ----------
    state : WarmupState
        The ramp.
    now_ms : float
        Current time in milliseconds.
    """
    slots = max(1.0, state.ceiling * START_SHARE)
    _start(state, slots=slots, cold=True, now_ms=now_ms)


def cap(state: WarmupState) -> int:
    """Return how many requests may be in flight at once.

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
    """Record an answer of the backend server.

    Parameters
    ----------
    state : WarmupState
        The ramp.
    kind : WarmupAnswer
        Whether the backend server answered, shed or failed the request.
    latency_ms : float
        Time until the answer, in milliseconds.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    bool
        Whether this answer started a ramp.
    """
    if state.ramping:
        _record_in_ramp(state, kind=kind, latency_ms=latency_ms, now_ms=now_ms)
        return False
    state.recent.append(_Answer(kind=kind, latency_ms=latency_ms))
    if _is_cold_start(state):
        start_ramp(state, now_ms=now_ms)
        return True
    if _has_latency_jump(state):
        slots = max(1.0, state.ceiling * LATENCY_START_SHARE)
        _start(state, slots=slots, cold=False, now_ms=now_ms)
        return True
    if kind is WarmupAnswer.GOOD:
        _update_baseline(state, latency_ms=latency_ms)
    return False


def _start(state: WarmupState, *, slots: float, cold: bool, now_ms: float) -> None:
    state.ramping = True
    state.cold = cold
    state.slots = min(float(state.ceiling), slots)
    state.hold_until_ms = 0.0
    state.ramp_started_at_ms = now_ms
    state.recent.clear()
    _start_round(state, now_ms=now_ms)


def _start_round(state: WarmupState, *, now_ms: float) -> None:
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
        _start_round(state, now_ms=now_ms)
        return
    state.round_answers += 1
    state.round_total_ms += latency_ms
    if now_ms < state.hold_until_ms or state.round_answers < int(state.slots):
        return
    mean_ms = state.round_total_ms / state.round_answers
    good_ms = state.baseline_ms * MAX_GOOD_LATENCY_FACTOR
    good = state.baseline_samples < MIN_BASELINE_SAMPLES or mean_ms <= good_ms
    if now_ms - state.round_started_at_ms < (
        MIN_ROUND_MS if good else MIN_SLOW_ROUND_MS
    ):
        return
    state.slots += 1.0
    _start_round(state, now_ms=now_ms)
    if state.slots >= state.ceiling:
        _end_ramp(state, latency_ms=mean_ms)


def _end_ramp(state: WarmupState, *, latency_ms: float) -> None:
    state.ramping = False
    state.cold = False
    state.slots = float(state.ceiling)
    # The latency at the end of the ramp becomes the baseline; otherwise a lasting
    # slowdown would start one ramp after another.
    state.baseline_ms = latency_ms
    state.baseline_samples = MIN_BASELINE_SAMPLES


def _is_cold_start(state: WarmupState) -> bool:
    sheds = sum(answer.kind is WarmupAnswer.SHED for answer in state.recent)
    if sheds >= MIN_SHEDS_ALONE:
        return True
    errors = sum(answer.kind is not WarmupAnswer.GOOD for answer in state.recent)
    return (
        errors >= MIN_ERRORS_WITH_LATENCY_JUMP
        and _latency_ratio(state) > LATENCY_FACTOR_WITH_ERRORS
    )


def _has_latency_jump(state: WarmupState) -> bool:
    is_full = len(state.recent) == RECENT_ANSWER_COUNT
    return is_full and _latency_ratio(state) > LATENCY_FACTOR_ALONE


def _latency_ratio(state: WarmupState) -> float:
    """Return the ratio of the recent median latency to the baseline; 0 if unknown."""
    if state.baseline_samples < MIN_BASELINE_SAMPLES:
        return 0.0
    latencies_ms = [
        answer.latency_ms for answer in state.recent if answer.kind is WarmupAnswer.GOOD
    ]
    if len(latencies_ms) < RECENT_ANSWER_COUNT // 2:
        return 0.0
    return statistics.median(latencies_ms) / max(state.baseline_ms, 1e-9)


def _update_baseline(state: WarmupState, *, latency_ms: float) -> None:
    state.baseline_samples += 1
    if state.baseline_samples <= MIN_BASELINE_SAMPLES:
        weight = 1.0 / state.baseline_samples
    else:
        weight = BASELINE_WEIGHT
        latency_ms = min(latency_ms, state.baseline_ms * BASELINE_SAMPLE_FACTOR)
    state.baseline_ms += weight * (latency_ms - state.baseline_ms)
