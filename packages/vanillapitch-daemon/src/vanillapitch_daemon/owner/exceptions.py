"""Errors of calls to the backend server."""

from vanillapitch_core import VanillapitchError

__all__ = [
    "BackendCancelled",
    "BackendCrashed",
    "BackendError",
    "BackendFailed",
    "BackendRefused",
    "BackendTimedOut",
    "BackendConnectTimedOut",
    "ResponseTooLarge",
]


class BackendError(VanillapitchError):
    """Base of errors of the backend server."""

    code = "backend_failed"


class BackendRefused(BackendError):
    """The backend server accepted no connection, so the request was not executed."""

    code = "backend_refused"


class BackendConnectTimedOut(BackendError):
    """No connection was made in time, so the request was not executed."""

    code = "backend_unreached"


class BackendFailed(BackendError):
    """The connection ended before a complete response."""

    code = "backend_failed"


class BackendCrashed(BackendError):
    """The connection ended and new connections are refused."""

    code = "backend_crashed"


class BackendTimedOut(BackendError):
    """The deadline passed while the backend server executed the request."""

    code = "deadline_unknown"


class BackendCancelled(BackendError):
    """The caller or the ingress cancelled the request during its execution."""

    code = "cancelled"


class ResponseTooLarge(BackendError):
    """The response is larger than the limit."""

    code = "response_too_large"
