"""Formatting of responses to callers."""

import http

from waitress.parser import HTTPRequestParser
from waitress.task import Task

from vanillapitch_daemon.calls import Response
from vanillapitch_daemon.ingress._headers import keep_end_to_end

__all__ = ["FormattedResponse", "format_response"]

_STATUS_LINES = {
    status.value: f"{status.value} {status.phrase}" for status in http.HTTPStatus
} | {499: "499 Client Closed Request"}


class FormattedResponse:
    """A response formatted for sending.

    Parameters
    ----------
    message : bytes
        Header and body.
    closes : bool
        Whether the connection closes after it.
    """

    __slots__ = ("closes", "message")

    def __init__(self, *, message: bytes, closes: bool):
        self.message = message
        self.closes = closes


def format_response(
    response: Response, *, parsed: HTTPRequestParser, channel: object, close: bool
) -> FormattedResponse:
    """Format header and body of a response.

    Parameters
    ----------
    response : Response
        The response.
    parsed : HTTPRequestParser
        The request that the response belongs to.
    channel : object
        Connection, from which ``waitress.task.Task`` reads the server's settings.
    close : bool
        Whether to close the connection even if the request allows keeping it.

    Returns
    -------
    FormattedResponse
        Header and body in one message, so that the caller can read both from one
        segment.
    """
    task = Task(channel, parsed)
    task.start()
    task.status = _STATUS_LINES.get(response.status, f"{response.status} Unknown")
    task.response_headers = _make_headers(response)
    if close:
        task.set_close_on_finish()
    is_head = parsed.command == "HEAD"
    if not (is_head and _has_length(task)):
        _set_length(task, len(response.body))
    message = task.build_response_header()
    if task.has_body and not is_head:
        message += response.body
    return FormattedResponse(message=message, closes=task.close_on_finish)


def _make_headers(response: Response) -> list[tuple[str, str]]:
    headers = [
        (header.name, header.value) for header in keep_end_to_end(response.headers)
    ]
    if response.instance:
        headers.append(("Vanillapitch-Instance", response.instance))
    if response.replayed:
        headers.append(("Idempotent-Replayed", "true"))
    return headers


def _has_length(task: Task) -> bool:
    return any(name.lower() == "content-length" for name, _ in task.response_headers)


def _set_length(task: Task, length_bytes: int) -> None:
    task.response_headers = [
        item for item in task.response_headers if item[0].lower() != "content-length"
    ]
    task.content_length = length_bytes
