"""Options shared by all commands."""

import dataclasses
import getpass
import ipaddress
import os
import pathlib

import typer

from vanillapitch_cli._client import AdminClient
from vanillapitch_cli.exceptions import BadInputError

__all__ = ["ADMIN_VARIABLE", "TOKEN_VARIABLE", "Session", "get_session"]

ADMIN_VARIABLE = "VANILLAPITCH_ADMIN"
TOKEN_VARIABLE = "VANILLAPITCH_TOKEN"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """Options of one invocation.

    Attributes
    ----------
    addresses : tuple of str
        Administration addresses from the options.
    token_file : pathlib.Path or None
        File with the token; None to use the environment variable.
    author : str or None
        Name for the history; None for the operator's login name.
    settle_timeout_ms : int
        Time limit for finding the outcome of a change whose response was lost.
    """

    addresses: tuple[str, ...]
    token_file: pathlib.Path | None
    author: str | None
    settle_timeout_ms: int

    def client(self) -> AdminClient:
        """Return a client of the daemons.

        Raises
        ------
        BadInputError
            If no address or no token is given.
        """
        addresses = self.addresses or _addresses_from_environment()
        if not addresses:
            raise BadInputError(
                f"no address: give --admin IP:port or set {ADMIN_VARIABLE}"
            )
        for address in addresses:
            _check_address(address)
        return AdminClient(addresses=addresses, token=self._token())

    def author_name(self) -> str:
        """Return the author of changes."""
        if self.author:
            return self.author
        try:
            return getpass.getuser()
        except (KeyError, OSError):
            return "operator"

    def _token(self) -> str:
        if self.token_file is None:
            token = os.environ.get(TOKEN_VARIABLE, "")
        else:
            try:
                token = self.token_file.read_text()
            except (OSError, UnicodeDecodeError) as error:
                raise BadInputError(f"cannot read the token file: {error}") from error
        token = token.strip()
        if not token:
            raise BadInputError(f"no token: set {TOKEN_VARIABLE} or give --token-file")
        if not (token.isascii() and token.isprintable() and " " not in token):
            raise BadInputError("the token contains characters that are not allowed")
        return token


def get_session(context: typer.Context) -> Session:
    """Return the options of the invocation.

    Parameters
    ----------
    context : typer.Context
        Context of the command.

    Returns
    -------
    Session
        The options.
    """
    return context.find_root().obj


def _addresses_from_environment() -> tuple[str, ...]:
    return tuple(os.environ.get(ADMIN_VARIABLE, "").replace(",", " ").split())


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        is_port = 1 <= int(port) <= 65_535
    except ValueError:
        is_port = False
    if not is_port:
        raise BadInputError(f"--admin {address!r}: expected IP:port")
