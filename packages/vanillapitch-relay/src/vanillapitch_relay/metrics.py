"""Counters and latency histograms of the relay in an aioprometheus registry.

The registry is rendered from the same event loop that changes it, so no lock is needed.
"""

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["LATENCY_BUCKETS_MS", "Metrics"]

# Steps of about two around the added latency and the deadlines of calls.
LATENCY_BUCKETS_MS = (
    1.0,
    2.0,
    5.0,
    10.0,
    20.0,
    50.0,
    100.0,
    200.0,
    300.0,
    500.0,
    1_000.0,
    2_000.0,
    5_000.0,
    float("inf"),
)


class Metrics:
    """Metrics of one daemon."""

    def __init__(self):
        self._registry = Registry()
        self._answers = self._counter("answers_total", "Answers to callers by origin")
        self._refusals = self._counter("refusals_total", "Own refusals by reason")
        self._owner_refusals = self._counter(
            "owner_refusals_total", "Calls that the owner sent nowhere by reason"
        )
        self._retries = self._counter(
            "retries_total", "Decisions after a failed attempt by reason"
        )
        self._store_calls = self._counter(
            "store_calls_total", "Calls to the platform's store by kind and result"
        )
        self._probes = self._counter("probes_total", "Health checks by result")
        self._gauges = Gauge(
            "vanillapitch_state", "Current values by name", registry=self._registry
        )
        self._latency_ms = Histogram(
            "vanillapitch_latency_ms",
            "Milliseconds from a complete request to its answer by route kind",
            registry=self._registry,
            buckets=LATENCY_BUCKETS_MS,
        )

    def count_answer(self, origin: str) -> None:
        """Count an answer; the origin is ``endpoint`` or ``daemon``."""
        self._answers.add({"origin": origin}, 1)

    def count_refusal(self, reason: str) -> None:
        """Count an answer of the daemon itself by its reason."""
        self._refusals.add({"reason": str(reason)}, 1)

    def count_owner_refusal(self, reason: str) -> None:
        """Count a call that was not sent to the endpoint."""
        self._owner_refusals.add({"reason": str(reason)}, 1)

    def count_retry(self, reason: str) -> None:
        """Count what was decided after a failed attempt."""
        self._retries.add({"reason": str(reason)}, 1)

    def count_store_call(self, kind: str, result: str) -> None:
        """Count a call to the store."""
        self._store_calls.add({"kind": kind, "result": result}, 1)

    def count_probe(self, result: str) -> None:
        """Count a health check."""
        self._probes.add({"result": result}, 1)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a current value."""
        self._gauges.set({"name": name}, value)

    def observe_latency_ms(self, kind: str, duration_ms: float) -> None:
        """Record how long a request took."""
        self._latency_ms.observe({"kind": kind}, float(duration_ms))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        body, _ = render(self._registry, [])
        return body

    def _counter(self, name: str, description: str) -> Counter:
        return Counter(f"vanillapitch_{name}", description, registry=self._registry)
