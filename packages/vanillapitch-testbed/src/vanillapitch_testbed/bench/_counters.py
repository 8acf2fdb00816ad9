"""Reader of the counters of a fleet's daemons and backend servers."""

import dataclasses
import re
import time

from vanillapitch_core.retries import RetryReason

from vanillapitch_testbed.fleet import Fleet, FleetError

__all__ = ["Counters", "read_counters"]

_SAMPLE_LINE = re.compile(r"^vanillapitch_(\w+?)(?:\{(.*)\})? ([^ ]+)$", re.MULTILINE)
_RETRY_LABELS = tuple(
    f'reason="{reason.value}"' for reason in RetryReason if reason.is_retry
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Counters:
    """Counters of a fleet at one time.

    Attributes
    ----------
    at_s : float
        Monotonic time of the reading.
    calls, retries : float
        Calls and retries of all daemons since their start.
    probe_ms : list of float
        Slot time used for probes since the start, by daemon.
    max_in_flight : int
        Largest number of requests in flight at one backend server since the last
        reset.
    cold_failures : dict of str to int
        Requests that a cold backend server failed because they exceeded its reduced
        capacity, by name of the backend server.
    """

    at_s: float
    calls: float = 0.0
    retries: float = 0.0
    probe_ms: list[float] = dataclasses.field(default_factory=list)
    max_in_flight: int = 0
    cold_failures: dict[str, int] = dataclasses.field(default_factory=dict)


def read_counters(fleet: Fleet) -> Counters:
    """Read the counters of all daemons and of the backend servers that respond."""
    counters = Counters(at_s=time.monotonic())
    for vm in fleet.vms:
        probe_ms = 0.0
        for name, labels, value in _SAMPLE_LINE.findall(fleet.metrics(vm)):
            if name == "calls_total":
                counters.calls += float(value)
            elif name == "retries_total" and labels in _RETRY_LABELS:
                counters.retries += float(value)
            elif name == "probe_ms_total":
                probe_ms += float(value)
        counters.probe_ms.append(probe_ms)
        try:
            backend = fleet.counters(vm)
        except FleetError:
            continue  # the backend server crashed, and its counters are lost
        counters.max_in_flight = max(counters.max_in_flight, backend["max_in_flight"])
        counters.cold_failures[vm.name] = backend["cold_failures"]
    return counters
