"""Errors of the decision layer and the base of every other layer's errors."""

__all__ = ["TableError", "VanillapitchError"]


class VanillapitchError(Exception):
    """Base of all errors.

    Attributes
    ----------
    code : str
        Stable identifier for logs, metrics and API answers.
    """

    code = "internal_error"


class TableError(VanillapitchError):
    """A table is invalid.

    Parameters
    ----------
    path : str
        Path of the offending field, for example ``$.routes[2].pool``.
    reason : str
        What is wrong with the field.
    """

    code = "table_invalid"

    def __init__(self, *, path: str, reason: str):
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason
