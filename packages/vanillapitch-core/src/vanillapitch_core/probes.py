"""Budget for probes, as a share of the backend server's slot time.

A probe reserves its timeout before it starts and returns the unused part when it ends,
so that a slow probe cannot exceed the budget. The budget starts empty: when a probe
starts, the slot time used or reserved since the start is within the share.
"""

import dataclasses

from vanillapitch_core.exceptions import check_invariant

__all__ = ["ProbeBudget", "finish_probe", "start_probe"]

DEFAULT_BUDGET_PERCENT = 1.0
DEFAULT_TIMEOUT_MS = 100.0
# Results of requests take precedence, so a probe is sent only in their absence.
DEFAULT_INTERVAL_MS = 1_000.0


@dataclasses.dataclass(slots=True, kw_only=True)
class ProbeBudget:
    """Budget of slot time for probes.

    Attributes
    ----------
    slots : int
        Slots of the backend server.
    budget_percent : float
        Share of the slot time, in percent.
    timeout_ms : float
        Time after which a probe is cancelled; a probe reserves this much slot time.
    interval_ms : float
        Shortest time between probes, and between a request's result and a probe.
    started_at_ms : float
        Time from which the budget accrues.
    available_slot_ms : float
        Slot time that is neither used nor reserved; negative after an overrun.
    used_slot_ms : float
        Slot time used or reserved since the start.
    accrued_until_ms : float or None
        Time up to which the budget has accrued; None before the first event.
    last_probe_at_ms : float or None
        Start of the last probe.
    running : bool
        Whether a probe is running; at most one runs at a time.
    """

    slots: int
    budget_percent: float = DEFAULT_BUDGET_PERCENT
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    interval_ms: float = DEFAULT_INTERVAL_MS
    started_at_ms: float = 0.0
    available_slot_ms: float = 0.0
    used_slot_ms: float = 0.0
    accrued_until_ms: float | None = None
    last_probe_at_ms: float | None = None
    running: bool = False

    @property
    def slot_ms_per_ms(self) -> float:
        """Slot time that accrues per millisecond."""
        return self.slots * self.budget_percent / 100.0


def start_probe(
    budget: ProbeBudget, *, last_result_at_ms: float | None, now_ms: float
) -> bool:
    """Reserve slot time for a probe, if one is due and within the budget.

    Parameters
    ----------
    budget : ProbeBudget
        The budget.
    last_result_at_ms : float or None
        Time of the last result of a request; a recent one makes a probe unnecessary.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    bool
        Whether the probe may start; if so, call `finish_probe` when it ends.
    """
    _accrue(budget, now_ms=now_ms)
    if budget.running or not _is_due(budget, last_result_at_ms, now_ms):
        return False
    if budget.available_slot_ms < budget.timeout_ms:
        return False
    budget.available_slot_ms -= budget.timeout_ms
    budget.used_slot_ms += budget.timeout_ms
    budget.last_probe_at_ms = now_ms
    budget.running = True
    accrued_slot_ms = (now_ms - budget.started_at_ms) * budget.slot_ms_per_ms
    check_invariant(
        budget.used_slot_ms <= accrued_slot_ms + 1e-6,
        f"probes use at most {budget.budget_percent}% of the slot time",
    )
    return True


def finish_probe(budget: ProbeBudget, *, duration_ms: float, now_ms: float) -> None:
    """Return the unused slot time of a probe to the budget.

    Parameters
    ----------
    budget : ProbeBudget
        The budget.
    duration_ms : float
        How long the probe took. If it exceeds the timeout, for example because the
        daemon was paused, the excess is charged to the budget and delays the next
        probe.
    now_ms : float
        Current time in milliseconds.
    """
    check_invariant(budget.running, "a probe that finishes was started")
    _accrue(budget, now_ms=now_ms)
    unused_ms = budget.timeout_ms - max(0.0, duration_ms)
    budget.available_slot_ms += unused_ms
    budget.used_slot_ms -= unused_ms
    budget.running = False


def _accrue(budget: ProbeBudget, *, now_ms: float) -> None:
    since_ms = budget.accrued_until_ms
    if since_ms is None:
        since_ms = budget.started_at_ms
    elapsed_ms = max(0.0, now_ms - since_ms)
    # Unused budget is capped at one probe or the accrual of one second, whichever is
    # more, so that probes do not come in a burst after a pause.
    ceiling = max(budget.timeout_ms, 1_000.0 * budget.slot_ms_per_ms)
    accrued_slot_ms = budget.available_slot_ms + elapsed_ms * budget.slot_ms_per_ms
    budget.available_slot_ms = min(ceiling, accrued_slot_ms)
    budget.accrued_until_ms = now_ms


def _is_due(
    budget: ProbeBudget, last_result_at_ms: float | None, now_ms: float
) -> bool:
    for evidence_at_ms in (budget.last_probe_at_ms, last_result_at_ms):
        if evidence_at_ms is None:
            continue
        if now_ms - evidence_at_ms < budget.interval_ms:
            return False
    return True
