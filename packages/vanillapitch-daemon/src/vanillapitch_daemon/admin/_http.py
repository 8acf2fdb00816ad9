"""Requests, responses and problem details of the administration API."""

import dataclasses
import http
import urllib.parse
from typing import Any, TypeVar

import msgspec

__all__ = ["Problem", "Request", "Response", "json_response"]

Body = TypeVar("Body")


class Problem(Exception):  # noqa: N818 - the term of RFC 9457
    """An error that is sent as a problem details response (RFC 9457).

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Stable identifier of the error.
    detail : str
        Explanation for the operator.
    headers : tuple of (str, str)
        Additional response headers.
    **extension
        Additional members of the problem details.
    """

    def __init__(
        self,
        *,
        status: int,
        code: str,
        detail: str,
        headers: tuple[tuple[str, str], ...] = (),
        **extension: Any,
    ):
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail
        self.headers = headers
        self.extension = extension

    def response(self) -> "Response":
        """Return the problem as a response."""
        body = {
            "code": self.code,
            "title": self.code.replace("_", " ").capitalize(),
            "detail": self.detail,
            "status": self.status,
            **self.extension,
        }
        return Response(
            status=self.status,
            body=msgspec.json.encode(body),
            content_type="application/problem+json",
            headers=self.headers,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """An HTTP response."""

    status: int
    body: bytes
    content_type: str
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def status_line(self) -> str:
        """Status code and reason phrase."""
        return f"{self.status} {http.HTTPStatus(self.status).phrase}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """An HTTP request to the administration API."""

    method: str
    path: str
    query: str
    body: bytes

    def decode(self, model: type[Body]) -> Body:
        """Decode the JSON body.

        Parameters
        ----------
        model : type
            A msgspec model.

        Returns
        -------
        object
            An instance of the model.

        Raises
        ------
        Problem
            400 if the body is not JSON, 422 if a field is invalid.
        """
        try:
            return msgspec.json.decode(self.body, type=model)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise _body_problem(error) from error

    def integer_parameter(self, name: str, *, default: int, maximum: int) -> int:
        """Return an integer parameter of the query string.

        Parameters
        ----------
        name : str
            Name of the parameter.
        default : int
            Value when the parameter is absent.
        maximum : int
            Upper bound; the lower bound is 1.

        Returns
        -------
        int
            The value.

        Raises
        ------
        Problem
            400 if the value is not an integer within the bounds.
        """
        values = urllib.parse.parse_qs(self.query).get(name)
        if values is None:
            return default
        text = values[-1]
        if text.isascii() and text.isdigit() and 1 <= int(text[:9]) <= maximum:
            return int(text)
        raise Problem(
            status=400,
            code="bad_request",
            detail=f"The parameter {name} must be an integer from 1 to {maximum}.",
        )


def json_response(content: Any, *, status: int = 200) -> Response:
    """Return content as a JSON response.

    Parameters
    ----------
    content : Any
        Anything that msgspec encodes.
    status : int
        HTTP status.

    Returns
    -------
    Response
        The response.
    """
    body = msgspec.json.encode(content)
    return Response(status=status, body=body, content_type="application/json")


def _body_problem(error: Exception) -> Problem:
    reason, _, path = str(error).partition(" - at `")
    if not isinstance(error, msgspec.ValidationError):
        detail = f"The body is not JSON: {reason}."
        return Problem(status=400, code="bad_request", detail=detail)
    return Problem(
        status=422,
        code="table_invalid",
        detail=reason,
        path=path.rstrip("`") or "$",
    )
