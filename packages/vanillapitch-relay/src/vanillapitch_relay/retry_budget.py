"""Share of one daemon in the retry budget that all daemons have together."""

import collections
import dataclasses

from vanillapitch_relay.model import Bounds

__all__ = ["ServiceBudget", "SharedRetryBudget"]

# A repeated run makes its calls again, and these count as repeats of the service that
# is called, two a run at the users' services. A third of each budget leaves room for
# the repeats of one service and of one that calls it.
USED_SHARE = 1 / 3


@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceBudget:
    """Requests and repeats of one service in the window, by their times in ms."""

    requests_at_ms: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    repeats_at_ms: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class SharedRetryBudget:
    """Repeats that this daemon may send.

    Attributes
    ----------
    bounds : Bounds
        Bounds over all daemons.
    daemons : int
        Daemons that share the slack; set from the members known.
    budget_by_service : dict of str to ServiceBudget
        Counts per service.
    """

    bounds: Bounds
    daemons: int = 1
    budget_by_service: dict[str, ServiceBudget] = dataclasses.field(
        default_factory=dict
    )

    def record_request(self, service: str, *, now_ms: float) -> None:
        """Count a caller's request; once per request."""
        self._get(service, now_ms=now_ms).requests_at_ms.append(now_ms)

    def take(self, service: str, *, now_ms: float) -> bool:
        """Take one repeat from the budget.

        Parameters
        ----------
        service : str
            Service that the repeat is sent to.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        bool
            Whether the repeat may be sent.
        """
        budget = self._get(service, now_ms=now_ms)
        share = self.bounds.retry_ratio * len(budget.requests_at_ms)
        slack = self.bounds.retry_slack / max(1, self.daemons)
        if len(budget.repeats_at_ms) + 1 > USED_SHARE * (share + slack):
            return False
        budget.repeats_at_ms.append(now_ms)
        return True

    def _get(self, service: str, *, now_ms: float) -> ServiceBudget:
        budget = self.budget_by_service.setdefault(service, ServiceBudget())
        oldest_ms = now_ms - self.bounds.retry_window_ms
        for times_ms in (budget.requests_at_ms, budget.repeats_at_ms):
            while times_ms and times_ms[0] <= oldest_ms:
                times_ms.popleft()
        return budget
