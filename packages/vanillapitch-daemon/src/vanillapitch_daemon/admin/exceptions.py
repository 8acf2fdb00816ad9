"""Errors of the administration API."""

from vanillapitch_core.exceptions import VanillapitchError

__all__ = ["AdminUnavailableError"]


class AdminUnavailableError(VanillapitchError):
    """A component that the request needs is unavailable, for example the store.

    Raised by the methods of ports that read. Methods that change something report it
    in `ChangeResult`.
    """

    code = "store_unavailable"
