"""Removal of hop-by-hop headers."""

from collections.abc import Iterable

from vanillapitch_wire.dispatch import Header

__all__ = ["keep_end_to_end"]

# RFC 9110, section 7.6.1, and the headers that each hop sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def keep_end_to_end(headers: Iterable[Header]) -> list[Header]:
    """Remove the hop-by-hop headers.

    Parameters
    ----------
    headers : iterable of Header
        All headers of a message.

    Returns
    -------
    list of Header
        The headers to forward. Headers that ``Connection`` names are removed too.
    """
    headers = list(headers)
    named = {
        name.strip().lower()
        for header in headers
        if header.name.lower() == "connection"
        for name in header.value.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | named
    return [header for header in headers if header.name.lower() not in dropped]
