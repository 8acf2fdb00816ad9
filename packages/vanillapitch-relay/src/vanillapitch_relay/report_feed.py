"""Reports of an owner to the ingresses, sent when they have changed enough."""

import dataclasses
from collections.abc import Callable

from vanillapitch_wire.relay import EndpointReport

__all__ = ["ReportFeed"]

# Minimum changes of occupancy, as a share of the limit, and of speed, as a ratio, that
# trigger a report.
OCCUPANCY_STEP = 0.25
SPEED_RATIO = 1.3
# Minimum interval between load reports. A report takes 1 ms to arrive; more frequent
# ones cost more than fresher data gains.
INTERVAL_MS = 20.0


@dataclasses.dataclass(slots=True, kw_only=True)
class ReportFeed:
    """Sends reports and keeps the last one.

    Attributes
    ----------
    send_to_subscribers : callable
        Sends a report to the ingresses that recently sent calls to this owner.
    send_to_all : callable
        Sends a report to all ingresses.
    last : EndpointReport or None
        The last report sent.
    sent_at_ms : float
        When it was sent.
    """

    send_to_subscribers: Callable[[EndpointReport], None]
    send_to_all: Callable[[EndpointReport], None]
    last: EndpointReport | None = None
    sent_at_ms: float = 0.0

    def publish_state(self, report: EndpointReport, *, now_ms: float) -> None:
        """Send a report with a changed state."""
        self._record_sent(report, now_ms=now_ms)
        self.send_to_all(report)

    def publish_load(self, report: EndpointReport, *, now_ms: float) -> None:
        """Send a report if its load or speed changed enough since the last one."""
        if self.last is None or now_ms - self.sent_at_ms < INTERVAL_MS:
            return
        if _differs(self.last, report):
            self._record_sent(report, now_ms=now_ms)
            self.send_to_subscribers(report)

    def _record_sent(self, report: EndpointReport, *, now_ms: float) -> None:
        self.last = report
        self.sent_at_ms = now_ms


def _differs(before: EndpointReport, now: EndpointReport) -> bool:
    load_before = before.in_flight + before.waiting
    change = abs(now.in_flight + now.waiting - load_before)
    if change >= max(1.0, OCCUPANCY_STEP * now.limit):
        return True
    fastest, slowest = sorted((before.speed_percent, now.speed_percent))
    return slowest > SPEED_RATIO * fastest
