"""Errors of the relay; each layer turns the errors of the layer below into its own."""

from vanillapitch_core.exceptions import VanillapitchError

__all__ = [
    "AnnouncementInvalid",
    "AnswerInvalid",
    "AnswerTimedOut",
    "ConfigurationInvalid",
    "ConnectFailed",
    "ConnectionBroken",
    "RelayError",
    "RequestInvalid",
    "SettingsInvalid",
]


class RelayError(VanillapitchError):
    """Base of the relay's errors."""

    code = "relay_error"


class SettingsInvalid(RelayError):  # noqa: N818
    """The settings cannot be used."""

    code = "settings_invalid"


class ConfigurationInvalid(RelayError):  # noqa: N818
    """A configuration document cannot be used; the one in force stays."""

    code = "configuration_invalid"


class AnnouncementInvalid(RelayError):  # noqa: N818
    """An announcement of an endpoint cannot be used and changes nothing."""

    code = "announcement_invalid"


class RequestInvalid(RelayError):  # noqa: N818
    """A caller's bytes are not a request that can be forwarded.

    Parameters
    ----------
    message : str
        What is wrong.
    status : int
        HTTP status of the refusal.
    """

    code = "request_invalid"

    def __init__(self, message: str, *, status: int):
        super().__init__(message)
        self.status = status


class ConnectFailed(RelayError):  # noqa: N818
    """No connection was made, so no byte of the request was sent."""

    code = "connect_failed"


class ConnectionBroken(RelayError):  # noqa: N818
    """The connection ended before the answer was complete."""

    code = "connection_broken"


class AnswerInvalid(RelayError):  # noqa: N818
    """The bytes received are not a complete answer to the request sent."""

    code = "answer_invalid"


class AnswerTimedOut(RelayError):  # noqa: N818
    """No complete answer arrived in time."""

    code = "answer_timed_out"
