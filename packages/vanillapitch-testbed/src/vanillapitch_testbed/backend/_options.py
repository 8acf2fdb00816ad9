"""Options and run-time scenario of the fake backend server."""

import dataclasses

import msgspec

__all__ = ["BackendOptions", "Scenario"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendOptions:
    """Properties of a backend server that do not change while it runs.

    Attributes
    ----------
    service_ms : float
        Mean time that a request occupies its slot when the server is warm.
    service_shape : str
        ``fixed``, ``exponential`` or ``lognormal``.
    warm_requests : int
        Requests after which a cold server is warm; 0 starts warm.
    warm_ms : int
        Time after which a cold server is warm even without work.
    cold_limit : int
        Concurrent requests that a cold server bears; it fails those beyond.
    cold_factor : float
        Factor on the service time while the server is cold.
    connection_cost_ms, probe_cost_ms : float
        Slot time of a connection's first request and of a probe.
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
    """Faults that the control address switches at run time.

    Attributes
    ----------
    straggler_factor : float
        Factor on the service time.
    fail_status : int
        Answers each request at once with this status; 0 for none.
    stall : bool
        Work that begins does not end until this is false again.
    shed, drain : bool
        Answers 503 with ``Load-Shed: 1``; drain also closes connections.
    crash_on : str
        The process exits when a request's target or body contains this text.
    late_ms : float
        Delay of each answer after its work ended and its slot is free.
    cut_answers : bool
        Closes the connection in the middle of each answer.
    load_shift_period_ms, load_shift_factor : float
        The service time is multiplied by the factor in every second period.
    health : str
        ``true`` follows the server, ``lag`` shows the state of `health_lag_ms`
        ago, ``good`` and ``bad`` are constant.
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
