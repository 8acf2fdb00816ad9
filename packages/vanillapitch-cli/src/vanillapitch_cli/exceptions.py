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
    """Base class of the errors that end a command.

    Attributes
    ----------
    exit_code : int
        Exit code of the process.
    """

    code = "failed"
    exit_code = 1


class FailedError(CliError):
    """The command failed for a reason without a specific exit code."""


class BadInputError(CliError):
    """A file, an option or a table is invalid."""

    code = "bad_input"
    exit_code = 2


class ConflictError(CliError):
    """Another change was applied to the tables first.

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
    """The response was lost and it is unknown whether the change is in force."""

    code = "outcome_unknown"
    exit_code = 4


class UnavailableError(CliError):
    """No daemon or no store responds; nothing was changed."""

    code = "unavailable"
    exit_code = 5
