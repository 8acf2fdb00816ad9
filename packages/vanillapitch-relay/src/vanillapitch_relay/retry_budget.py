"""Share of one daemon in the retry budget of all daemons."""

import collections
import dataclasses

from vanillapitch_relay.model import Bounds

__all__ = ["ServiceBudget", "SharedRetryBudget"]

# A retried execution sends its nested calls again, and these count as retries to the
# called service: two per execution in the users' services. Using a third of each budget
# leaves capacity for the retries of a service and of another one that calls it.
USED_SHARE = 1 / 3


@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceBudget:
    """Times of the requests to one service and of their retries in the window."""

    requests_at_ms: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    retries_at_ms: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class SharedRetryBudget:
    """Retries that this daemon may send.

    Attributes
    ----------
    bounds : Bounds
        Bounds over all daemons.
    daemons : int
        Number of daemons that share the slack; set to the number of known members.
    budget_by_service : dict of str to ServiceBudget
        Counts per service.
    """

    bounds: Bounds
    daemons: int = 1
    budget_by_service: dict[str, ServiceBudget] = dataclasses.field(
        default_factory=dict
    )

    def record_request(self, service: str, *, now_ms: float) -> None:
        """Record a caller's request; `take` records its retries."""
        self._get(service, now_ms=now_ms).requests_at_ms.append(now_ms)

    def take(self, service: str, *, now_ms: float) -> bool:
        """Take one retry from the budget.

        Parameters
        ----------
        service : str
            Service that the retry is sent to.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        bool
            Whether the retry may be sent.
        """
        budget = self._get(service, now_ms=now_ms)
        share = self.bounds.retry_ratio * len(budget.requests_at_ms)
        slack = self.bounds.retry_slack / max(1, self.daemons)
        if len(budget.retries_at_ms) + 1 > USED_SHARE * (share + slack):
            return False
        budget.retries_at_ms.append(now_ms)
        return True

    def _get(self, service: str, *, now_ms: float) -> ServiceBudget:
        budget = self.budget_by_service.setdefault(service, ServiceBudget())
        oldest_ms = now_ms - self.bounds.retry_window_ms
        for times_ms in (budget.requests_at_ms, budget.retries_at_ms):
            while times_ms and times_ms[0] <= oldest_ms:
                times_ms.popleft()
        return budget
