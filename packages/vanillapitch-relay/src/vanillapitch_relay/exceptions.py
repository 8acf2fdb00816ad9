"""Errors of the relay; each layer translates the errors of the layer below."""

from vanillapitch_core.exceptions import VanillapitchError

__all__ = [
    "AnnouncementInvalid",
    "ResponseInvalid",
    "ResponseTimedOut",
    "ConfigurationInvalid",
    "ConnectFailed",
    "ConnectionBroken",
    "DocumentInvalid",
    "RelayError",
    "RequestInvalid",
    "SettingsInvalid",
]


class RelayError(VanillapitchError):
    """Base class of the relay's errors."""

    code = "relay_error"


class DocumentInvalid(RelayError):  # noqa: N818
    """A JSON document is malformed, of another type or too deeply nested."""

    code = "document_invalid"


class SettingsInvalid(RelayError):  # noqa: N818
    """The settings are invalid."""

    code = "settings_invalid"


class ConfigurationInvalid(RelayError):  # noqa: N818
    """A configuration document is invalid; the one in force is kept."""

    code = "configuration_invalid"


class AnnouncementInvalid(RelayError):  # noqa: N818
    """An announcement of an endpoint is invalid; it is refused without effect."""

    code = "announcement_invalid"


class RequestInvalid(RelayError):  # noqa: N818
    """A caller sent bytes that are not a request that can be forwarded.

    Parameters
    ----------
    message : str
        Reason of the refusal.
    status : int
        HTTP status of the refusal.
    """

    code = "request_invalid"

    def __init__(self, message: str, *, status: int):
        super().__init__(message)
        self.status = status


class ConnectFailed(RelayError):  # noqa: N818
    """The connection was not established, so no byte of the request was sent."""

    code = "connect_failed"


class ConnectionBroken(RelayError):  # noqa: N818
    """The connection was closed before the response was complete."""

    code = "connection_broken"


class ResponseInvalid(RelayError):  # noqa: N818
    """The bytes received are not a complete response to the request sent."""

    code = "answer_invalid"


class ResponseTimedOut(RelayError):  # noqa: N818
    """No complete response was received before the time-out."""

    code = "answer_timed_out"
