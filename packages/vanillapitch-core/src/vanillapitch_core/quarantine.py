"""Quarantine of requests that crash backend servers.

A request that was in flight when a backend server crashed gets a strike. Requests that
did not cause the crash are in flight too, so a complete answer to the same request
clears its strikes; a request that crashes every backend server never gets an answer.
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
    "list_active_strikes",
    "merge_strikes",
    "record_answer",
]

STRIKES_TO_QUARANTINE = 2
STRIKE_RETENTION_MS = 600_000.0
MAX_FINGERPRINTS = 1_024
# Strikes beyond the second only extend the quarantine.
MAX_STRIKES_PER_FINGERPRINT = 4
MAX_CLEARED_STRIKES = 4_096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Strike:
    """One crash with a request in flight, as exchanged between daemons.

    Attributes
    ----------
    strike_id : str
        Unique id assigned by the daemon that observed the crash.
    fingerprint : str
        Fingerprint of the request.
    age_ms : float
        Time since the crash; an age, because daemons do not share a clock.
    """

    strike_id: str
    fingerprint: str
    age_ms: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class QuarantineState:
    """Strikes recorded by a daemon.

    Attributes
    ----------
    struck_at_ms_by_fingerprint : dict of str to dict of str to float
        Time of each strike, by fingerprint and strike id.
    cleared_at_ms_by_strike : dict of str to float
        Time at which an answer cleared each strike, by strike id, so that receiving
        the strike again has no effect.
    max_fingerprints : int
        Largest number of fingerprints with strikes.
    """

    struck_at_ms_by_fingerprint: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    cleared_at_ms_by_strike: dict[str, float] = dataclasses.field(default_factory=dict)
    max_fingerprints: int = MAX_FINGERPRINTS


def compute_fingerprint(*, method: str, host: str, target: str, body: bytes) -> str:
    """Compute an identifier of a request that is equal for all attempts and daemons.

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
        # The length prefix keeps parts that are split differently distinct.
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()


def merge_strikes(
    state: QuarantineState, *, strikes: Iterable[Strike], now_ms: float
) -> list[Strike]:
    """Record strikes of this daemon or of others; known ones have no effect.

    Parameters
    ----------
    state : QuarantineState
        Strikes recorded so far.
    strikes : iterable of Strike
        Strikes observed or received.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    list of Strike
        The new strikes, to be forwarded to other daemons.
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
    """Return whether a request must be refused.

    Parameters
    ----------
    state : QuarantineState
        Strikes recorded so far.
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
    return now_ms - max(strikes.values()) < STRIKE_RETENTION_MS


def record_answer(state: QuarantineState, *, fingerprint: str, now_ms: float) -> None:
    """Clear the strikes of a request that a backend server answered completely.

    Parameters
    ----------
    state : QuarantineState
        Strikes recorded so far.
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
    """List the strikes that have not expired, to send to a daemon that joins.

    Parameters
    ----------
    state : QuarantineState
        Strikes recorded so far.
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
        if now_ms - struck_at_ms < STRIKE_RETENTION_MS
    ]


def expire(state: QuarantineState, *, now_ms: float) -> None:
    """Remove fingerprints whose last strike is 10 minutes old, and old cleared strikes.

    Parameters
    ----------
    state : QuarantineState
        Strikes recorded so far.
    now_ms : float
        Current time in milliseconds.
    """
    by_fingerprint = state.struck_at_ms_by_fingerprint
    for fingerprint, strikes in list(by_fingerprint.items()):
        if now_ms - max(strikes.values()) >= STRIKE_RETENTION_MS:
            del by_fingerprint[fingerprint]
    for strike_id, cleared_at_ms in list(state.cleared_at_ms_by_strike.items()):
        if now_ms - cleared_at_ms >= STRIKE_RETENTION_MS:
            del state.cleared_at_ms_by_strike[strike_id]


def _accept(state: QuarantineState, strike: Strike, *, now_ms: float) -> bool:
    if (
        strike.age_ms >= STRIKE_RETENTION_MS
        or strike.strike_id in state.cleared_at_ms_by_strike
    ):
        return False
    strikes = state.struck_at_ms_by_fingerprint.setdefault(strike.fingerprint, {})
    _drop_expired(strikes, now_ms=now_ms)
    if strike.strike_id in strikes:
        return False
    strikes[strike.strike_id] = now_ms - max(0.0, strike.age_ms)
    if len(strikes) > MAX_STRIKES_PER_FINGERPRINT:
        del strikes[min(strikes, key=strikes.__getitem__)]
    return strike.strike_id in strikes


def _drop_expired(strikes: dict[str, float], *, now_ms: float) -> None:
    if strikes and now_ms - max(strikes.values()) >= STRIKE_RETENTION_MS:
        strikes.clear()


def _evict(state: QuarantineState) -> None:
    by_fingerprint = state.struck_at_ms_by_fingerprint

    def rank(fingerprint: str) -> tuple[bool, float]:
        strikes = by_fingerprint[fingerprint]
        return (len(strikes) >= STRIKES_TO_QUARANTINE, max(strikes.values()))

    surplus = len(by_fingerprint) - state.max_fingerprints
    for fingerprint in sorted(by_fingerprint, key=rank)[: max(0, surplus)]:
        del by_fingerprint[fingerprint]
