"""Quarantine of requests that crash backend servers.

A request that was in flight when a backend server died gets a strike. Innocent
requests are in flight too, so a complete answer to the same request clears its
strikes; a request that crashes every backend server never gets one.
"""

import dataclasses
import hashlib
from collections.abc import Iterable

from vanillapitch_core.exceptions import check_invariant

__all__ = [
    "QuarantineState",
    "Strike",
    "compute_fingerprint",
    "expire",
    "is_quarantined",
    "merge_strikes",
    "record_answer",
    "list_active_strikes",
]

STRIKES_TO_QUARANTINE = 2
MEMORY_MS = 600_000.0
MAX_FINGERPRINTS = 1_024
# Strikes beyond the second change nothing but the time of the last one.
MAX_STRIKES_PER_FINGERPRINT = 4
MAX_CLEARED_STRIKES = 4_096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Strike:
    """One crash with a request in flight, as daemons tell each other.

    Attributes
    ----------
    strike_id : str
        Unique id given by the daemon that saw the crash.
    fingerprint : str
        Fingerprint of the request.
    age_ms : float
        Time since the crash; daemons have no common clock.
    """

    strike_id: str
    fingerprint: str
    age_ms: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class QuarantineState:
    """Strikes known to a daemon.

    Attributes
    ----------
    struck_at_ms_by_fingerprint : dict of str to dict of str to float
        Time of each strike, by fingerprint and strike id.
    cleared_at_ms_by_strike : dict of str to float
        Strikes that an answer cleared, so that hearing of them again has no effect.
    max_fingerprints : int
        Bound of the table.
    """

    struck_at_ms_by_fingerprint: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    cleared_at_ms_by_strike: dict[str, float] = dataclasses.field(default_factory=dict)
    max_fingerprints: int = MAX_FINGERPRINTS


def compute_fingerprint(*, method: str, host: str, target: str, body: bytes) -> str:
    """Compute the identity of a request across attempts and daemons.

    Parameters
    ----------
    method : str
        Request method.
    host : str
        Host header.
    target : str
        Path with query.
    body : bytes
        The complete body.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    digest = hashlib.sha256()
    for part in (method.encode(), host.lower().encode(), target.encode()):
        # The length keeps adjacent parts from running into each other.
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()


def merge_strikes(
    state: QuarantineState, *, strikes: Iterable[Strike], now_ms: float
) -> list[Strike]:
    """Take strikes from this daemon or from others; known ones have no effect.

    Parameters
    ----------
    state : QuarantineState
        Strikes known so far.
    strikes : iterable of Strike
        Strikes seen or heard.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    list of Strike
        The strikes that were new, to be forwarded to others.
    """
    accepted = []
    for strike in strikes:
        if _accept(state, strike, now_ms=now_ms):
            accepted.append(strike)
    if len(state.struck_at_ms_by_fingerprint) > state.max_fingerprints:
        expire(state, now_ms=now_ms)
        _evict(state)
    check_invariant(
        len(state.struck_at_ms_by_fingerprint) <= state.max_fingerprints,
        "the number of fingerprints is bounded",
    )
    return accepted


def is_quarantined(state: QuarantineState, *, fingerprint: str, now_ms: float) -> bool:
    """Tell whether a request must be refused.

    Parameters
    ----------
    state : QuarantineState
        Strikes known so far.
    fingerprint : str
        Fingerprint of the request.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    bool
        True from the second strike until 10 minutes after the last one.
    """
    strikes = state.struck_at_ms_by_fingerprint.get(fingerprint)
    if strikes is None or len(strikes) < STRIKES_TO_QUARANTINE:
        return False
    return now_ms - max(strikes.values()) < MEMORY_MS


def record_answer(state: QuarantineState, *, fingerprint: str, now_ms: float) -> None:
    """Clear the strikes of a request that a backend server answered completely.

    Parameters
    ----------
    state : QuarantineState
        Strikes known so far.
    fingerprint : str
        Fingerprint of the answered request.
    now_ms : float
        Current time in milliseconds.
    """
    strikes = state.struck_at_ms_by_fingerprint.pop(fingerprint, None)
    if strikes is None:
        return
    for strike_id in strikes:
        state.cleared_at_ms_by_strike[strike_id] = now_ms
    while len(state.cleared_at_ms_by_strike) > MAX_CLEARED_STRIKES:
        del state.cleared_at_ms_by_strike[next(iter(state.cleared_at_ms_by_strike))]


def list_active_strikes(state: QuarantineState, *, now_ms: float) -> list[Strike]:
    """List the strikes that are still in force, for a daemon that joins.

    Parameters
    ----------
    state : QuarantineState
        Strikes known so far.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    list of Strike
        Strikes with their ages.
    """
    return [
        Strike(
            strike_id=strike_id,
            fingerprint=fingerprint,
            age_ms=now_ms - struck_at_ms,
        )
        for fingerprint, strikes in state.struck_at_ms_by_fingerprint.items()
        for strike_id, struck_at_ms in strikes.items()
        if now_ms - struck_at_ms < MEMORY_MS
    ]


def expire(state: QuarantineState, *, now_ms: float) -> None:
    """Forget what is older than 10 minutes.

    Parameters
    ----------
    state : QuarantineState
        Strikes known so far.
    now_ms : float
        Current time in milliseconds.
    """
    by_fingerprint = state.struck_at_ms_by_fingerprint
    for fingerprint, strikes in list(by_fingerprint.items()):
        if now_ms - max(strikes.values()) >= MEMORY_MS:
            del by_fingerprint[fingerprint]
    for strike_id, cleared_at_ms in list(state.cleared_at_ms_by_strike.items()):
        if now_ms - cleared_at_ms >= MEMORY_MS:
            del state.cleared_at_ms_by_strike[strike_id]


def _accept(state: QuarantineState, strike: Strike, *, now_ms: float) -> bool:
    if strike.age_ms >= MEMORY_MS or strike.strike_id in state.cleared_at_ms_by_strike:
        return False
    strikes = state.struck_at_ms_by_fingerprint.setdefault(strike.fingerprint, {})
    _drop_forgotten(strikes, now_ms=now_ms)
    if strike.strike_id in strikes:
        return False
    strikes[strike.strike_id] = now_ms - max(0.0, strike.age_ms)
    if len(strikes) > MAX_STRIKES_PER_FINGERPRINT:
        del strikes[min(strikes, key=strikes.__getitem__)]
    return strike.strike_id in strikes


def _drop_forgotten(strikes: dict[str, float], *, now_ms: float) -> None:
    if strikes and now_ms - max(strikes.values()) >= MEMORY_MS:
        strikes.clear()


def _evict(state: QuarantineState) -> None:
    by_fingerprint = state.struck_at_ms_by_fingerprint

    def rank(fingerprint: str) -> tuple[bool, float]:
        strikes = by_fingerprint[fingerprint]
        return (len(strikes) >= STRIKES_TO_QUARANTINE, max(strikes.values()))

    surplus = len(by_fingerprint) - state.max_fingerprints
    for fingerprint in sorted(by_fingerprint, key=rank)[: max(0, surplus)]:
        del by_fingerprint[fingerprint]
