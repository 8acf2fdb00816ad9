"""HTTP client of the administration API of several daemons."""

import dataclasses
from typing import Any

import msgspec
import urllib3
from vanillapitch_core.exceptions import TableError
from vanillapitch_core.tables import Tables, parse_tables

from vanillapitch_cli.exceptions import CliError, FailedError, UnavailableError

__all__ = ["AdminClient", "NotSentError", "Response", "ResponseLostError"]

_CONNECT_TIMEOUT_S = 2.0
# Longer than the 15 s after which a daemon reports an unknown outcome.
_READ_TIMEOUT_S = 20.0
_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class NotSentError(CliError):
    """The daemon certainly did not receive the request."""


class ResponseLostError(CliError):
    """The daemon may have executed the request, but no response arrived."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """Response of a daemon.

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
        """Detail text of a problem body."""
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
        """Read from the first daemon that responds.

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
            If no daemon responds.
        FailedError
            If a daemon rejects the request.
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
            If the daemon does not respond, or responds with a status of 500 or above,
            for example because its store is down.
        FailedError
            If the daemon rejects the request.
        """
        try:
            response = self._send("GET", address, path, body=None)
        except (NotSentError, ResponseLostError) as error:
            raise UnavailableError(str(error)) from error
        if response.status == 200:
            return response.body
        error_type = UnavailableError if response.status >= 500 else FailedError
        raise error_type(f"{address}: {response.detail}")

    def put(self, address: str, path: str, body: dict[str, Any]) -> Response:
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
        Response
            The response, with any status.

        Raises
        ------
        NotSentError
            If the daemon certainly did not receive the request.
        ResponseLostError
            If the daemon may have received the request.
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
            If no daemon responds.
        FailedError
            If the response is not a valid tables document.
        """
        document = msgspec.json.encode(self.get("/v1/tables"))
        try:
            return parse_tables(document)
        except TableError as error:
            raise FailedError(f"the daemon's tables are invalid: {error}") from error

    def _send(
        self, method: str, address: str, path: str, *, body: bytes | None
    ) -> Response:
        url = f"http://{address}{path}"
        try:
            response = self._pool.request(method, url, headers=self._headers, body=body)
        except _CONNECT_ERRORS as error:
            raise NotSentError(f"{address}: cannot connect") from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise ResponseLostError(f"{address}: no complete response") from error
        return Response(status=response.status, body=_decode(response.data))


def _decode(data: bytes) -> dict[str, Any]:
    try:
        content = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return {}
    return content if isinstance(content, dict) else {}
