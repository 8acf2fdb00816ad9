"""Exceptions of the decision logic, and the base class of all vanillapitch errors."""

__all__ = ["InvariantError", "TableError", "VanillapitchError", "check_invariant"]


class VanillapitchError(Exception):
    """Base of all errors.

    Attributes
    ----------
    code : str
        Stable identifier for logs, metrics and API responses.
    """

    code = "internal_error"


class InvariantError(VanillapitchError):
    """An invariant was violated; this is a programming error."""

    code = "invariant_violated"


def check_invariant(holds: bool, message: str) -> None:
    """Raise if an invariant does not hold, also under ``python -O``.

    Parameters
    ----------
    holds : bool
        Whether the invariant holds.
    message : str
        The invariant that must hold.

    Raises
    ------
    InvariantError
        If `holds` is false.
    """
    if not holds:
        raise InvariantError(message)


class TableError(VanillapitchError):
    """A table is invalid.

    Parameters
    ----------
    path : str
        Path of the offending field, for example ``$.routes[2].pool``.
    reason : str
        Why the field is invalid.
    """

    code = "table_invalid"

    def __init__(self, *, path: str, reason: str):
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason
