"""Fleet size expected in two years, and the quantities extrapolated to it."""

import dataclasses

__all__ = ["EXTRAPOLATIONS", "Extrapolation"]

ENDPOINTS = 710
SERVICES = 18
CALLS_PER_S = 55_000
# Calls are distributed over all daemons; each daemon is both ingress and owner.
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
PROPAGATION_BUDGET_MS = 9_000.0
# The budget is stated as "several hundred"; 300 is the value assumed here.
STORE_WRITES_PER_S = 300
# Largest measured load: the two-year size does not state a rate of keyed requests.
KEYED_PER_S = 400


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Extrapolation:
    """A quantity extrapolated to the two-year size.

    Attributes
    ----------
    role, quantity, mechanism : str
        Role of the daemon, the quantity, and the mechanism that causes it.
    slope : str
        Name of the slope to use.
    load : float
        Load at the two-year size, in the unit of the slope.
    unit : str
        Unit of the quantity.
    budget : float or None
        Upper bound of the quantity; None if it has none of its own.
    excludes_intercept : bool
        Whether the value without load is left out.
    is_bounded : bool
        Whether the mechanism limits the quantity. No line fits it then, so the value
        at the largest measured load is used.
    """

    role: str
    quantity: str
    mechanism: str
    slope: str
    load: float
    unit: str
    budget: float | None = None
    excludes_intercept: bool = False
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
        excludes_intercept=True,
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
        excludes_intercept=True,
    ),
    Extrapolation(
        role="owner",
        quantity="processor time of calls",
        mechanism="Thrift server, admission, urllib3 call",
        slope="calls.owner_cpu_percent",
        load=CALLS_PER_S_PER_DAEMON,
        unit="% of a core",
        excludes_intercept=True,
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
        excludes_intercept=True,
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
        budget=PROPAGATION_BUDGET_MS,
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
