"""Metrics of the daemon in an aioprometheus registry.

The collectors of aioprometheus are not thread-safe, so every change and the rendering
hold one lock. No event loop is involved.
"""

import threading
from collections.abc import Callable, Mapping

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render
from vanillapitch_core.outcome import RefusalCode
from vanillapitch_core.retries import RetryReason

__all__ = ["LATENCY_BUCKETS_MS", "Metrics"]

# The bounds increase by a factor of about two and cover the targets: 1 ms of added
# latency and calls of 1 ms to 10 s.
LATENCY_BUCKETS_MS = (
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    20.0,
    50.0,
    100.0,
    200.0,
    500.0,
    1_000.0,
    2_000.0,
    5_000.0,
    10_000.0,
    float("inf"),
)

_NO_LABELS: dict[str, str] = {}


class Metrics:
    """Counters, gauges and histograms of one daemon; safe to use from any thread."""

    def __init__(self):
        self._lock = threading.Lock()
        self._samplers: list[Callable[[], None]] = []
        self._registry = Registry()
        self._calls = self._counter("calls_total", "Calls from callers by pool")
        self._refusals = self._counter("refusals_total", "Refusals by code")
        self._retries = self._counter(
            "retries_total", "Decisions after a failed attempt by reason"
        )
        self._in_flight = self._gauge("in_flight", "Requests in flight by role")
        self._limit = self._gauge("limit", "Current admission limit of the endpoint")
        self._members = self._gauge("members", "Members by state")
        self._revision = self._gauge("tables_revision", "Tables revision in force")
        self._store_calls = self._counter(
            "store_calls_total", "Calls to the platform's store by kind and result"
        )
        self._claims = self._counter(
            "claims_total", "Claims of keyed requests by event"
        )
        self._gossip_bytes = self._counter(
            "gossip_bytes_total", "Bytes of membership messages by direction"
        )
        self._gossip_drops = self._counter(
            "gossip_dropped_total", "Membership messages that were dropped by reason"
        )
        self._probe_ms = self._counter(
            "probe_ms_total", "Milliseconds of backend server time spent on probes"
        )
        self._latency_ms = Histogram(
            "vanillapitch_latency_ms",
            "Milliseconds from a complete request to its answer by pool",
            registry=self._registry,
            buckets=LATENCY_BUCKETS_MS,
        )
        # A rate over a counter includes the first refusal or retry only if the series
        # has a sample before it.
        for code in RefusalCode:
            self._refusals.set({"code": code.value}, 0)
        for reason in RetryReason:
            self._retries.set({"reason": reason.value}, 0)

    def add_sampler(self, sampler: Callable[[], None]) -> None:
        """Register a function that sets gauges before each rendering.

        Parameters
        ----------
        sampler : callable
            Called without arguments from the thread that renders.
        """
        self._samplers.append(sampler)

    def set_in_flight(self, role: str, count: int) -> None:
        """Set the number of requests in flight.

        Parameters
        ----------
        role : str
            ``ingress`` or ``owner``.
        count : int
            Requests in flight.
        """
        self._set(self._in_flight, {"role": role}, count)

    def count_call(self, pool: str) -> None:
        """Count a call that matched a route.

        Parameters
        ----------
        pool : str
            Name of the route's pool.
        """
        self._add(self._calls, {"pool": pool}, 1)

    def count_refusal(self, code: RefusalCode) -> None:
        """Count a refusal sent to a caller.

        Parameters
        ----------
        code : RefusalCode
            Reason of the refusal.
        """
        self._add(self._refusals, {"code": code.value}, 1)

    def count_retry(self, reason: str) -> None:
        """Count a decision after a failed attempt.

        Parameters
        ----------
        reason : str
            Fixed text of the reason; not taken from a request.
        """
        self._add(self._retries, {"reason": str(reason)}, 1)

    def add_in_flight(self, role: str, delta: int) -> None:
        """Change the number of requests in flight.

        Parameters
        ----------
        role : str
            ``ingress`` or ``owner``.
        delta : int
            1 when a request starts, -1 when it ends.
        """
        self._add(self._in_flight, {"role": role}, delta)

    def set_limit(self, limit: int) -> None:
        """Set the current admission limit.

        Parameters
        ----------
        limit : int
            Requests that the owner admits at the same time.
        """
        self._set(self._limit, _NO_LABELS, limit)

    def set_members(self, counts_by_state: Mapping[str, int]) -> None:
        """Set the member counts; states that are not given become 0.

        Parameters
        ----------
        counts_by_state : Mapping of str to int
            Number of members in each state.
        """
        with self._lock:
            for labels, _ in self._members.get_all():
                self._members.set(labels, 0)
            for state, count in counts_by_state.items():
                self._members.set({"state": str(state)}, count)

    def set_revision(self, revision: int) -> None:
        """Set the tables revision in force.

        Parameters
        ----------
        revision : int
            The adopted revision.
        """
        self._set(self._revision, _NO_LABELS, revision)

    def count_store_call(self, kind: str, result: str) -> None:
        """Count a call to the platform's store.

        Parameters
        ----------
        kind : str
            Kind of call, for example ``transact``.
        result : str
            ``ok`` or the code of the error.
        """
        self._add(self._store_calls, {"kind": str(kind), "result": str(result)}, 1)

    def count_claim(self, event: str) -> None:
        """Count an event of a claim.

        Parameters
        ----------
        event : str
            Fixed text of the event, for example ``claimed`` or ``replayed``.
        """
        self._add(self._claims, {"event": str(event)}, 1)

    def add_gossip_bytes(self, direction: str, size_bytes: int) -> None:
        """Count bytes of membership messages.

        Parameters
        ----------
        direction : str
            ``sent`` or ``received``.
        size_bytes : int
            Size of the message.
        """
        self._add(self._gossip_bytes, {"direction": direction}, size_bytes)

    def count_gossip_drop(self, reason: str) -> None:
        """Count a membership message that was dropped.

        Parameters
        ----------
        reason : str
            Fixed text of the reason, for example ``hmac`` or ``age``.
        """
        self._add(self._gossip_drops, {"reason": reason}, 1)

    def add_probe_ms(self, duration_ms: float) -> None:
        """Count the time that the backend server spent on a probe.

        Parameters
        ----------
        duration_ms : float
            Duration of the probe.
        """
        self._add(self._probe_ms, _NO_LABELS, duration_ms)

    def observe_latency_ms(self, pool: str, duration_ms: float) -> None:
        """Record the latency of a call.

        Parameters
        ----------
        pool : str
            Name of the route's pool.
        duration_ms : float
            Time from the complete request to its response.
        """
        with self._lock:
            self._latency_ms.observe({"pool": pool}, float(duration_ms))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format.

        Returns
        -------
        bytes
            The body of ``GET /metrics``.
        """
        for sampler in self._samplers:
            sampler()
        with self._lock:
            body, _ = render(self._registry, [])
        return body

    def _counter(self, name: str, description: str) -> Counter:
        return Counter(f"vanillapitch_{name}", description, registry=self._registry)

    def _gauge(self, name: str, description: str) -> Gauge:
        return Gauge(f"vanillapitch_{name}", description, registry=self._registry)

    def _add(
        self, collector: Counter | Gauge, labels: dict[str, str], value: float
    ) -> None:
        with self._lock:
            collector.add(labels, value)

    def _set(self, collector: Gauge, labels: dict[str, str], value: float) -> None:
        with self._lock:
            collector.set(labels, value)
