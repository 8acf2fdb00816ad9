"""The two-year size and the quantities that are calculated for it."""

import dataclasses

__all__ = ["EXTRAPOLATIONS", "Extrapolation"]

ENDPOINTS = 710
SERVICES = 18
CALLS_PER_S = 55_000
# Calls are spread over all daemons, each as ingress and as owner.
CALLS_PER_S_PER_DAEMON = CALLS_PER_S / ENDPOINTS
SECONDS_PER_DAY = 86_400
CHANGES_PER_S = 380 / SECONDS_PER_DAY
RESTARTS_PER_S = (190 + 2) / SECONDS_PER_DAY
# A rolling restart of all 190 VMs within ten minutes.
ROLLING_RESTARTS_PER_S = 190 / 600
CPU_BUDGET_PERCENT = 4.2
MEMORY_BUDGET_MB = 32.0
CONTROL_BUDGET_BYTES_PER_S = 15_000
ADDED_BUDGET_MS = 1.0
FORCE_BUDGET_MS = 9_000.0
# "Several hundred" is taken as 300.
STORE_WRITES_PER_S = 300
# The largest measured load; the sizes name no share of keyed requests.
KEYED_PER_S = 400


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Extrapolation:
    """A quantity at the two-year size.

    Attributes
    ----------
    role, quantity, mechanism : str
        What is calculated and what carries it.
    slope : str
        Name of the slope.
    load : float
        Load at the two-year size, in the unit of the slope.
    unit : str
        Unit of the quantity.
    budget : float or None
        Its bound.
    without_base : bool
        Whether only the share of the load counts, not the value without load.
    is_bounded : bool
        Whether the mechanism bounds the quantity, so that no line describes it and
        the value at the largest load measured is shown.
    """

    role: str
    quantity: str
    mechanism: str
    slope: str
    load: float
    unit: str
    budget: float | None = None
    without_base: bool = False
    is_bounded: bool = False


EXTRAPOLATIONS = (
    Extrapolation(
        role="every daemon",
        quantity="membership bytes, steady",
        mechanism="one ping a second, bounded piggyback, UDP only",
        slope="stand_in_members.gossip_bytes_per_s",
        load=ENDPOINTS,
        unit="B/s",
        budget=CONTROL_BUDGET_BYTES_PER_S,
    ),
    Extrapolation(
        role="every daemon",
        quantity="membership messages, steady",
        mechanism="one ping a second, sent and received",
        slope="stand_in_members.messages_per_s",
        load=ENDPOINTS,
        unit="messages/s",
    ),
    Extrapolation(
        role="every daemon",
        quantity="control processor time, steady",
        mechanism="100 ms tick of the failure detector",
        slope="stand_in_members.cpu_percent",
        load=ENDPOINTS,
        unit="% of a core",
        budget=CPU_BUDGET_PERCENT,
    ),
    Extrapolation(
        role="every daemon",
        quantity="resident memory of the process",
        mechanism="all member records and tables in memory",
        slope="stand_in_members.resident_mb",
        load=ENDPOINTS,
        unit="MB",
        budget=MEMORY_BUDGET_MB,
    ),
    Extrapolation(
        role="every daemon",
        quantity="memory of the member records alone",
        mechanism="one record per member",
        slope="stand_in_members.resident_mb",
        load=ENDPOINTS,
        unit="MB",
        without_base=True,
    ),
    Extrapolation(
        role="every daemon",
        quantity="membership bytes, ordinary day of restarts",
        mechanism="urgent updates to 3 members",
        slope="restarts.gossip_bytes_per_s",
        load=RESTARTS_PER_S,
        unit="B/s",
        budget=CONTROL_BUDGET_BYTES_PER_S,
    ),
    Extrapolation(
        role="every daemon",
        quantity="membership bytes, 190 restarts in 10 minutes",
        mechanism="urgent updates to 3 members",
        slope="restarts.gossip_bytes_per_s",
        load=ROLLING_RESTARTS_PER_S,
        unit="B/s",
        budget=CONTROL_BUDGET_BYTES_PER_S,
    ),
    Extrapolation(
        role="every daemon",
        quantity="processor time, 190 restarts in 10 minutes",
        mechanism="urgent updates to 3 members",
        slope="restarts.cpu_percent",
        load=ROLLING_RESTARTS_PER_S,
        unit="% of a core",
        budget=CPU_BUDGET_PERCENT,
    ),
    Extrapolation(
        role="ingress",
        quantity="processor time of calls",
        mechanism="waitress server, routing, picking, Thrift call",
        slope="calls.ingress_cpu_percent",
        load=CALLS_PER_S_PER_DAEMON,
        unit="% of a core",
        without_base=True,
    ),
    Extrapolation(
        role="owner",
        quantity="processor time of calls",
        mechanism="Thrift server, admission, urllib3 call",
        slope="calls.owner_cpu_percent",
        load=CALLS_PER_S_PER_DAEMON,
        unit="% of a core",
        without_base=True,
    ),
    Extrapolation(
        role="ingress and owner",
        quantity="added latency at p99",
        mechanism="one Thrift call between the daemons",
        slope="calls.added_p99_ms",
        load=CALLS_PER_S_PER_DAEMON,
        unit="ms",
        budget=ADDED_BUDGET_MS,
    ),
    Extrapolation(
        role="ingress and owner",
        quantity="added latency at p50",
        mechanism="one Thrift call between the daemons",
        slope="calls.added_p50_ms",
        load=CALLS_PER_S_PER_DAEMON,
        unit="ms",
    ),
    Extrapolation(
        role="configuration watcher",
        quantity="document size",
        mechanism="one key with both tables",
        slope="tables.document_bytes",
        load=SERVICES,
        unit="bytes",
        budget=1_000_000,
    ),
    Extrapolation(
        role="configuration watcher",
        quantity="memory of the tables",
        mechanism="immutable snapshot and routing index",
        slope="tables.resident_mb",
        load=SERVICES,
        unit="MB",
        without_base=True,
    ),
    Extrapolation(
        role="configuration watcher",
        quantity="processor time of changes",
        mechanism="watch, adoption of one document",
        slope="changes.others_mean_cpu_percent",
        load=CHANGES_PER_S,
        unit="% of a core",
        budget=CPU_BUDGET_PERCENT,
    ),
    Extrapolation(
        role="configuration watcher",
        quantity="time until in force (6 daemons, 2 zones)",
        mechanism="two watchers per zone, then membership messages",
        slope="changes.in_force_max_ms",
        load=CHANGES_PER_S,
        unit="ms",
        budget=FORCE_BUDGET_MS,
    ),
    Extrapolation(
        role="claim committer",
        quantity="store writes at 400 keyed requests/s, all shards",
        mechanism="group commit, write budget 15/s per shard",
        slope="keyed.store_writes_per_s",
        load=KEYED_PER_S,
        unit="writes/s",
        budget=STORE_WRITES_PER_S,
        is_bounded=True,
    ),
)
