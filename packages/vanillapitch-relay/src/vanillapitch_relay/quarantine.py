"""Strikes against requests that crash endpoints, shared between daemons."""

import secrets
from collections.abc import Callable

from vanillapitch_core import quarantine as strikes
from vanillapitch_core.clock import Clock
from vanillapitch_wire.relay import Strike

from vanillapitch_relay.line_log import EventLog

__all__ = ["Quarantine"]

_log = EventLog(part="quarantine")


class Quarantine:
    """Strikes known to this daemon.

    Parameters
    ----------
    clock : Clock
        Source of time.
    share : callable
        Sends a strike to the other daemons.
    """

    def __init__(self, *, clock: Clock, share: Callable[[Strike], None]):
        self._clock = clock
        self._share = share
        self._state = strikes.QuarantineState()

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request crashed too many endpoints."""
        return strikes.is_quarantined(
            self._state, fingerprint=fingerprint, now_ms=self._clock.now_ms()
        )

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether an endpoint crashed while it executed this request."""
        return fingerprint in self._state.struck_at_ms_by_fingerprint

    def strike(self, fingerprint: str) -> None:
        """Record that the endpoint crashed while it executed a request."""
        self.receive(
            Strike(id=secrets.token_hex(8), fingerprint=fingerprint, age_ms=0),
            source="own endpoint",
        )

    def receive(self, strike: Strike, *, source: str) -> None:
        """Record a strike and forward it if it is new."""
        received = strikes.Strike(
            strike_id=strike.id,
            fingerprint=strike.fingerprint,
            age_ms=float(strike.age_ms),
        )
        now_ms = self._clock.now_ms()
        if strikes.merge_strikes(self._state, strikes=[received], now_ms=now_ms):
            _log.info(
                "strike", fingerprint=strike.fingerprint, strike=strike.id, by=source
            )
            self._share(strike)

    def clear(self, fingerprint: str) -> None:
        """Clear the strikes of a request that was answered completely."""
        if fingerprint in self._state.struck_at_ms_by_fingerprint:
            strikes.record_answer(
                self._state, fingerprint=fingerprint, now_ms=self._clock.now_ms()
            )

    def active_strikes(self) -> list[Strike]:
        """List the strikes in force for a daemon that connects."""
        return [
            Strike(
                id=strike.strike_id,
                fingerprint=strike.fingerprint,
                age_ms=int(strike.age_ms),
            )
            for strike in strikes.list_active_strikes(
                self._state, now_ms=self._clock.now_ms()
            )
        ]
