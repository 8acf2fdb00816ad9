"""Quarantine of requests that crash backend servers, for ingress and owner."""

import hashlib
import ipaddress
import threading
import urllib.parse
from collections.abc import Callable

from vanillapitch_core import Clock, Outcome, Refusal, RefusalCode, membership
from vanillapitch_core.quarantine import (
    QuarantineState,
    Strike,
    compute_fingerprint,
    is_quarantined,
    merge_strikes,
    record_answer,
)
from vanillapitch_wire.dispatch import DispatchRequest

from vanillapitch_daemon.calls import CallerRequest

__all__ = ["QUARANTINE_REFUSAL", "Quarantine"]

QUARANTINE_REFUSAL = Refusal(
    code=RefusalCode.QUARANTINED,
    outcome=Outcome.NOT_RUN,
    detail="The request crashed two backend servers and is refused for ten minutes.",
)


AnyRequest = CallerRequest | DispatchRequest


class Quarantine:
    """Strikes that this daemon recorded or received; safe to use from any thread.

    Parameters
    ----------
    clock : Clock
        Source of time.
    share : callable
        Sends a strike recorded by this daemon to the other daemons.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        share: Callable[[membership.Strike], None] = lambda strike: None,
    ):
        self._clock = clock
        self._share = share
        self._lock = threading.Lock()
        self._state = QuarantineState()

    @property
    def is_empty(self) -> bool:
        """Whether there are no strikes, so that no fingerprint has to be computed."""
        return not self._state.struck_at_ms_by_fingerprint

    def set_share(self, share: Callable[[membership.Strike], None]) -> None:
        """Replace the function that sends strikes to the other daemons."""
        self._share = share

    def receive(self, strike: membership.Strike) -> None:
        """Merge a strike received from another daemon.

        Parameters
        ----------
        strike : membership.Strike
            The strike; one that was merged before has no effect.
        """
        age_ms = max(0.0, float(self._clock.wall_ms() - strike.at_ms))
        self._merge(
            Strike(
                strike_id=strike.strike_id,
                fingerprint=strike.fingerprint,
                age_ms=age_ms,
            )
        )

    def record_crash(self, request: AnyRequest, instance: str) -> None:
        """Record a strike: a backend server crashed while it executed the request.

        Parameters
        ----------
        request : CallerRequest or DispatchRequest
            The request.
        instance : str
            Endpoint whose backend server crashed.
        """
        fingerprint = _fingerprint(request)
        strike_id = _make_strike_id(instance, request.request_id)
        self._merge(Strike(strike_id=strike_id, fingerprint=fingerprint))
        self._share(
            membership.Strike(
                fingerprint=fingerprint,
                strike_id=strike_id,
                at_ms=self._clock.wall_ms(),
            )
        )

    def record_response(self, request: AnyRequest) -> None:
        """Clear the strikes of a request that received a response."""
        if self.is_empty:
            return
        fingerprint = _fingerprint(request)
        with self._lock:
            record_answer(
                self._state, fingerprint=fingerprint, now_ms=self._clock.now_ms()
            )

    def contains(self, request: AnyRequest) -> bool:
        """Return whether a request is quarantined and must be refused."""
        if self.is_empty:
            return False
        fingerprint = _fingerprint(request)
        with self._lock:
            return is_quarantined(
                self._state, fingerprint=fingerprint, now_ms=self._clock.now_ms()
            )

    def _merge(self, strike: Strike) -> None:
        with self._lock:
            merge_strikes(self._state, strikes=[strike], now_ms=self._clock.now_ms())


def _make_strike_id(instance: str, request_id: str) -> str:
    # Membership drops a strike whose fingerprint and id are together longer than 256
    # characters, and the length of an instance name depends on its address. A digest
    # has a fixed length.
    return hashlib.sha256(f"{instance}/{request_id}".encode()).hexdigest()


def _fingerprint(request: AnyRequest) -> str:
    return compute_fingerprint(
        method=request.method,
        host=_normalize_host(_get_host(request)),
        target=request.target,
        body=request.body,
    )


def _get_host(request: AnyRequest) -> str:
    if isinstance(request, CallerRequest):
        return request.host
    values = (item.value for item in request.headers if item.name.lower() == "host")
    return next(values, "")


def _normalize_host(host: str) -> str:
    """Return a host without its port, or an empty string for an IP address.

    Callers without a name service address daemons by IP address, and the same request
    must have the same fingerprint at each daemon.
    """
    name = urllib.parse.urlsplit(f"//{host}").hostname or ""
    try:
        ipaddress.ip_address(name)
    except ValueError:
        return name
    return ""
