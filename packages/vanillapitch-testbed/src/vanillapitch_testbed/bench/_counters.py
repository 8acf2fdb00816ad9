"""Counters of the daemons and backend servers of a fleet."""

import dataclasses
import re
import time

from vanillapitch_core.retries import RetryReason

from vanillapitch_testbed.fleet import Fleet, FleetError

__all__ = ["Counters", "read_counters"]

_SAMPLE = re.compile(r"^vanillapitch_(\w+?)(?:\{(.*)\})? ([^ ]+)$", re.MULTILINE)
_SENT_AGAIN = tuple(
    f'reason="{reason.value}"' for reason in RetryReason if reason.is_retry
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Counters:
    """Counters of a fleet at one moment.

    Attributes
    ----------
    calls, retries : float
        Calls and requests sent again, of all daemons.
    probe_ms : list of float
        Time of probes since the start, by daemon.
    max_in_flight : int
        Most requests in flight at any backend server since the last reset.
    cold_failures : dict of str to int
        Requests beyond what a cold backend server bears, by its name.
    """

    at_s: float
    calls: float = 0.0
    retries: float = 0.0
    probe_ms: list[float] = dataclasses.field(default_factory=list)
    max_in_flight: int = 0
    cold_failures: dict[str, int] = dataclasses.field(default_factory=dict)


def read_counters(fleet: Fleet) -> Counters:
    """Read the counters of all daemons and of the backend servers that answer."""
    counters = Counters(at_s=time.monotonic())
    for vm in fleet.vms:
        probe_ms = 0.0
        for name, labels, value in _SAMPLE.findall(fleet.metrics(vm)):
            if name == "calls_total":
                counters.calls += float(value)
            elif name == "retries_total" and labels in _SENT_AGAIN:
                counters.retries += float(value)
            elif name == "probe_ms_total":
                probe_ms += float(value)
        counters.probe_ms.append(probe_ms)
        try:
            backend = fleet.counters(vm)
        except FleetError:
            continue  # it crashed, and its counters with it
        counters.max_in_flight = max(counters.max_in_flight, backend["max_in_flight"])
        counters.cold_failures[vm.name] = backend["cold_failures"]
    return counters
