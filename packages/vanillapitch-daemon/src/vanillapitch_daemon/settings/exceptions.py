"""Errors in settings files."""

from vanillapitch_core.exceptions import VanillapitchError

__all__ = ["SettingsError"]


class SettingsError(VanillapitchError):
    """The settings are invalid or cannot be read.

    Parameters
    ----------
    path : str
        Path of the invalid field, for example ``$.listen.callers``.
    reason : str
        Explanation in one line, without secrets.
    """

    code = "settings_invalid"

    def __init__(self, *, path: str, reason: str):
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason
