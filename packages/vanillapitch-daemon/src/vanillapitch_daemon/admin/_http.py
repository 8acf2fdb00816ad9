"""Requests, replies and problem bodies of the administration API."""

import dataclasses
import http
import urllib.parse
from typing import Any, TypeVar

import msgspec

__all__ = ["Problem", "Reply", "Request", "json_reply"]

Body = TypeVar("Body")


class Problem(Exception):  # noqa: N818 - the term of RFC 9457
    """An error answer.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Stable identifier of the error.
    detail : str
        A sentence for the operator.
    headers : tuple of (str, str)
        Additional response headers.
    **extension
        Additional members of the problem body.
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

    def reply(self) -> "Reply":
        """Return the problem as a reply."""
        body = {
            "code": self.code,
            "title": self.code.replace("_", " ").capitalize(),
            "detail": self.detail,
            "status": self.status,
            **self.extension,
        }
        return Reply(
            status=self.status,
            body=msgspec.json.encode(body),
            content_type="application/problem+json",
            headers=self.headers,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """An HTTP answer."""

    status: int
    body: bytes
    content_type: str
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def status_line(self) -> str:
        """Status with its reason phrase."""
        return f"{self.status} {http.HTTPStatus(self.status).phrase}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """An HTTP request after the token check."""

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

    def integer(self, name: str, *, default: int, highest: int) -> int:
        """Return an integer of the query string.

        Parameters
        ----------
        name : str
            Name of the parameter.
        default : int
            Value when the parameter is absent.
        highest : int
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
        if text.isascii() and text.isdigit() and 1 <= int(text[:9]) <= highest:
            return int(text)
        raise Problem(
            status=400,
            code="bad_request",
            detail=f"The parameter {name} must be an integer from 1 to {highest}.",
        )


def json_reply(content: Any, *, status: int = 200) -> Reply:
    """Return content as a JSON reply.

    Parameters
    ----------
    content : Any
        Anything that msgspec encodes.
    status : int
        HTTP status.

    Returns
    -------
    Reply
        The reply.
    """
    body = msgspec.json.encode(content)
    return Reply(status=status, body=body, content_type="application/json")


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
