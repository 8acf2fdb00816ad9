"""Errors of calls to the backend server."""

from vanillapitch_core import VanillapitchError

__all__ = [
    "BackendCancelled",
    "BackendCrashed",
    "BackendError",
    "BackendFailed",
    "BackendRefused",
    "BackendTimedOut",
    "BackendUnreached",
    "ResponseTooLarge",
]


class BackendError(VanillapitchError):
    """Base of errors of the backend server."""

    code = "backend_failed"


class BackendRefused(BackendError):
    """The backend server accepted no connection, so the request did not run."""

    code = "backend_refused"


class BackendUnreached(BackendError):
    """No connection was made in time, so the request did not run."""

    code = "backend_unreached"


class BackendFailed(BackendError):
    """The connection ended before a complete response."""

    code = "backend_failed"


class BackendCrashed(BackendError):
    """The connection ended and new connections are refused."""

    code = "backend_crashed"


class BackendTimedOut(BackendError):
    """The deadline passed while the request was running."""

    code = "deadline_unknown"


class BackendCancelled(BackendError):
    """The caller gave the request up while it was running."""

    code = "cancelled"


class ResponseTooLarge(BackendError):
    """The response is larger than the limit."""

    code = "response_too_large"
