"""Refusal codes with their HTTP status, and outcomes of executions."""

import dataclasses
import enum

__all__ = ["Outcome", "Refusal", "RefusalCode"]


class Outcome(enum.StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RefusalCode(enum.StrEnum):
    """Stable refusal codes sent to callers."""

    BAD_REQUEST = "bad_request"
    NO_ROUTE = "no_route"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    MEMORY_FULL = "memory_full"
    NO_ENDPOINT = "no_endpoint"
    OVERLOADED = "overloaded"
    ZONE_OUT = "zone_out"
    LEAVING = "leaving"
    QUARANTINED = "quarantined"
    DEADLINE_NOT_RUN = "deadline_not_run"
    DEADLINE_UNKNOWN = "deadline_unknown"
    KEY_INVALID = "key_invalid"
    KEY_REUSED = "key_reused"
    KEY_IN_PROGRESS = "key_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    RESULT_NOT_KEPT = "result_not_kept"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    BACKEND_FAILED = "backend_failed"
    BACKEND_CRASHED = "backend_crashed"
    RESPONSE_TOO_LARGE = "response_too_large"
    CANCELLED = "cancelled"

    @property
    def status(self) -> int:
        """HTTP status of the refusal."""
        return _STATUS_BY_CODE[self]

    @property
    def title(self) -> str:
        """Short human-readable name of the refusal."""
        return self.value.replace("_", " ").capitalize()


_STATUS_BY_CODE = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.NO_ROUTE: 404,
    RefusalCode.BODY_TOO_LARGE: 413,
    RefusalCode.HEADERS_TOO_LARGE: 431,
    RefusalCode.MEMORY_FULL: 503,
    RefusalCode.NO_ENDPOINT: 503,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.ZONE_OUT: 503,
    RefusalCode.LEAVING: 503,
    RefusalCode.QUARANTINED: 503,
    RefusalCode.DEADLINE_NOT_RUN: 504,
    RefusalCode.DEADLINE_UNKNOWN: 504,
    RefusalCode.KEY_INVALID: 400,
    RefusalCode.KEY_REUSED: 422,
    RefusalCode.KEY_IN_PROGRESS: 409,
    RefusalCode.OUTCOME_UNKNOWN: 409,
    RefusalCode.RESULT_NOT_KEPT: 409,
    RefusalCode.CLAIMS_UNAVAILABLE: 503,
    RefusalCode.BACKEND_FAILED: 502,
    RefusalCode.BACKEND_CRASHED: 502,
    RefusalCode.RESPONSE_TOO_LARGE: 502,
    RefusalCode.CANCELLED: 499,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Answer to a request in place of a response of a backend server.

    Attributes
    ----------
    code : RefusalCode
        Reason for the refusal.
    outcome : Outcome
        Whether the request was executed.
    detail : str
        Sentence sent to the caller.
    """

    code: RefusalCode
    outcome: Outcome
    detail: str
