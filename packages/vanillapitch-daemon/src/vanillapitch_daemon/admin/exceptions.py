"""Errors of the administration API."""

from vanillapitch_core.exceptions import VanillapitchError

__all__ = ["AdminUnavailableError"]


class AdminUnavailableError(VanillapitchError):
    """A part that the request needs cannot answer now, for example the store.

    Ports raise it from reading methods; changes report it in `ChangeResult`.
    """

    code = "store_unavailable"
