"""Errors of the command line with their exit codes."""

from vanillapitch_core.exceptions import VanillapitchError

__all__ = [
    "BadInputError",
    "CliError",
    "ConflictError",
    "FailedError",
    "UnavailableError",
    "UnknownOutcomeError",
]


class CliError(VanillapitchError):
    """Base of the errors that end a command.

    Attributes
    ----------
    exit_code : int
        Exit code of the process.
    """

    code = "failed"
    exit_code = 1


class FailedError(CliError):
    """The command failed for a reason that has no code of its own."""


class BadInputError(CliError):
    """A file, an option or a table is invalid."""

    code = "bad_input"
    exit_code = 2


class ConflictError(CliError):
    """Another operator changed the tables first.

    Parameters
    ----------
    message : str
        What happened.
    problem : dict
        Problem body of the daemon.
    """

    code = "conflict"
    exit_code = 3

    def __init__(self, message: str, *, problem: dict):
        super().__init__(message)
        self.problem = problem


class UnknownOutcomeError(CliError):
    """The answer was lost and it cannot be settled whether the change is in force."""

    code = "outcome_unknown"
    exit_code = 4


class UnavailableError(CliError):
    """No daemon or no store answers; nothing was changed."""

    code = "unavailable"
    exit_code = 5
