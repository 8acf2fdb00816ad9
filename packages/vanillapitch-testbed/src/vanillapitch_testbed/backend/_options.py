"""Options and run-time scenario of the simulated backend server."""

import dataclasses

import msgspec

__all__ = ["BackendOptions", "Scenario"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendOptions:
    """Properties of a backend server that are fixed when it starts.

    Attributes
    ----------
    service_ms : float
        Mean time for which a request occupies a slot when the server is warm.
    service_shape : str
        ``fixed``, ``exponential`` or ``lognormal``.
    warm_requests : int
        Finished requests, probes included, after which a cold server is warm; with 0,
        the server starts warm.
    warm_ms : int
        Time after which a cold server is warm even without requests. The reached
        fractions of `warm_requests` and `warm_ms` are added.
    cold_limit : int
        Concurrent requests that a cold server handles; it fails further requests. The
        limit rises to `slots` while the server warms up.
    cold_factor : float
        Multiplier of the service time while the server is cold.
    connection_cost_ms : float
        Additional service time of the first request on a connection.
    probe_cost_ms : float
        Time for which a health or load probe occupies a slot.
    """

    name: str = "backend"
    slots: int = 12
    connections: int = 200
    service_ms: float = 5.0
    service_shape: str = "exponential"
    warm_requests: int = 60
    warm_ms: int = 4_000
    cold_limit: int = 3
    cold_factor: float = 4.0
    connection_cost_ms: float = 1.0
    probe_cost_ms: float = 6.0
    seed: int = 1


class Scenario(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults that are set through the control address at run time.

    Attributes
    ----------
    straggler_factor : float
        Multiplier of the service time.
    fail_status : int
        HTTP status with which each request fails at once; 0 for none.
    stall : bool
        Whether requests keep running until this is false again.
    shed, drain : bool
        Whether requests are rejected with 503 and ``Load-Shed: 1``; `drain` also
        closes their connections.
    crash_on : str
        The process exits when a request's target or body contains this text; empty
        for none.
    late_ms : float
        Delay of each response after the request has ended and released its slot.
    cut_answers : bool
        Whether the connection is closed in the middle of each response.
    load_shift_period_ms, load_shift_factor : float
        The service time is multiplied by the factor in every second period.
    health : str
        Result of probes: ``true`` for the current state, ``lag`` for the state
        `health_lag_ms` ago, ``good`` or ``bad`` for a constant result.
    """

    straggler_factor: float = 1.0
    fail_status: int = 0
    stall: bool = False
    shed: bool = False
    drain: bool = False
    crash_on: str = ""
    late_ms: float = 0.0
    cut_answers: bool = False
    load_shift_period_ms: float = 0.0
    load_shift_factor: float = 1.0
    health: str = "true"
    health_lag_ms: float = 1_000.0
