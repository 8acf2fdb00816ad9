"""HTTP client of the administration API over several daemons' addresses."""

import dataclasses
from typing import Any

import msgspec
import urllib3
from vanillapitch_core.exceptions import TableError
from vanillapitch_core.tables import Tables, parse_tables

from vanillapitch_cli.exceptions import CliError, FailedError, UnavailableError

__all__ = ["AdminClient", "Answer", "AnswerLostError", "NotSentError"]

_CONNECT_TIMEOUT_S = 2.0
# Above the 15 s after which a daemon reports an unknown outcome.
_READ_TIMEOUT_S = 20.0
_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class NotSentError(CliError):
    """The daemon certainly did not get the request."""


class AnswerLostError(CliError):
    """The daemon may have carried the request out, but no answer came."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Answer of a daemon.

    Attributes
    ----------
    status : int
        HTTP status.
    body : dict
        Decoded JSON body; empty when it is not a JSON object.
    """

    status: int
    body: dict[str, Any]

    @property
    def detail(self) -> str:
        """Sentence of a problem body."""
        return str(self.body.get("detail", f"The daemon answered {self.status}."))


class AdminClient:
    """Client of the daemons' administration API.

    Parameters
    ----------
    addresses : tuple of str
        Administration addresses, in the order in which they are tried.
    token : str
        The administration token.
    """

    def __init__(self, *, addresses: tuple[str, ...], token: str):
        self.addresses = addresses
        self._headers = {"Authorization": f"Bearer {token}"}
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=_READ_TIMEOUT_S),
        )

    def get(self, path: str) -> dict[str, Any]:
        """Read from the first daemon that answers.

        Parameters
        ----------
        path : str
            Path with query.

        Returns
        -------
        dict
            The decoded body.

        Raises
        ------
        UnavailableError
            If no daemon answers.
        FailedError
            If a daemon refuses the request.
        """
        failures = []
        for address in self.addresses:
            try:
                return self.get_from(address, path)
            except UnavailableError as error:
                failures.append(str(error))
        raise UnavailableError("; ".join(failures))

    def get_from(self, address: str, path: str) -> dict[str, Any]:
        """Read from one daemon.

        Parameters
        ----------
        address : str
            Its administration address.
        path : str
            Path with query.

        Returns
        -------
        dict
            The decoded body.

        Raises
        ------
        UnavailableError
            If the daemon does not answer or its store is down.
        FailedError
            If the daemon refuses the request.
        """
        try:
            answer = self._send("GET", address, path, body=None)
        except (NotSentError, AnswerLostError) as error:
            raise UnavailableError(str(error)) from error
        if answer.status == 200:
            return answer.body
        error_type = UnavailableError if answer.status >= 500 else FailedError
        raise error_type(f"{address}: {answer.detail}")

    def put(self, address: str, path: str, body: dict[str, Any]) -> Answer:
        """Send a change to one daemon, once.

        Parameters
        ----------
        address : str
            Its administration address.
        path : str
            Path.
        body : dict
            Body to encode.

        Returns
        -------
        Answer
            The answer, whatever its status.

        Raises
        ------
        NotSentError
            If the daemon certainly did not get the request.
        AnswerLostError
            If the daemon may have got the request.
        """
        return self._send("PUT", address, path, body=msgspec.json.encode(body))

    def tables(self) -> Tables:
        """Read the current tables.

        Returns
        -------
        Tables
            The validated tables.

        Raises
        ------
        UnavailableError
            If no daemon answers.
        FailedError
            If the answer is not a tables document.
        """
        document = msgspec.json.encode(self.get("/v1/tables"))
        try:
            return parse_tables(document)
        except TableError as error:
            raise FailedError(f"the daemon's tables are invalid: {error}") from error

    def _send(
        self, method: str, address: str, path: str, *, body: bytes | None
    ) -> Answer:
        url = f"http://{address}{path}"
        try:
            answer = self._pool.request(method, url, headers=self._headers, body=body)
        except _CONNECT_ERRORS as error:
            raise NotSentError(f"{address}: cannot connect") from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise AnswerLostError(f"{address}: no complete answer") from error
        return Answer(status=answer.status, body=_decode(answer.data))


def _decode(data: bytes) -> dict[str, Any]:
    try:
        content = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return {}
    return content if isinstance(content, dict) else {}
