"""Answers of the daemon itself, and headers that concern only one connection."""

from vanillapitch_relay.http_client import Headers, HttpAnswer

__all__ = ["make_answer", "strip_hop_headers"]

_PHRASES = {
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


def make_answer(
    status: int, body: bytes, *, headers: Headers | None = None
) -> HttpAnswer:
    """Build an answer of the daemon itself.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        JSON text.
    headers : Headers or None
        Further headers.

    Returns
    -------
    HttpAnswer
        The answer.
    """
    return HttpAnswer(
        status=status,
        phrase=_PHRASES.get(status, "OK"),
        headers=[(b"content-type", b"application/json"), *(headers or [])],
        body=body,
    )


def strip_hop_headers(headers: Headers) -> Headers:
    """Return the headers that do not concern only one connection."""
    named = set()
    for name, value in headers:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return [
        (name, value)
        for name, value in headers
        if name not in _HOP_HEADERS and name not in named
    ]
