"""Addresses of the form ``IP:port``."""

import ipaddress
import re

__all__ = ["Address"]

_ADDRESS_PATTERN = re.compile(r"(?:\[(?P<v6>[^\]]+)\]|(?P<v4>[^:\[\]]+)):(?P<port>\d+)")
_PORT_MAX = 65_535


class Address(str):
    """An ``IP:port`` pair as a string; an IPv6 address is written ``[IP]:port``.

    Parameters
    ----------
    text : str
        The address.

    Attributes
    ----------
    host : str
        The IP, without brackets.
    port : int
        The port, from 1 to 65535.

    Raises
    ------
    ValueError
        If the text is not an IP and a port.
    """

    __slots__ = ("host", "port")

    def __new__(cls, text: str) -> "Address":
        """Parse `text`."""
        matched = _ADDRESS_PATTERN.fullmatch(text)
        if matched is None:
            raise ValueError("expected IP:port, for example 10.0.0.5:8080")
        version = 6 if matched["v6"] else 4
        host = matched["v6"] or matched["v4"]
        _check_ip(host, version=version)
        port = int(matched["port"])
        if not 1 <= port <= _PORT_MAX:
            raise ValueError("the port must be from 1 to 65535")
        address = super().__new__(cls, text)
        address.host = host
        address.port = port
        return address

    @property
    def is_unspecified(self) -> bool:
        """Whether the IP is a wildcard address, ``0.0.0.0`` or ``::``."""
        return ipaddress.ip_address(self.host).is_unspecified

    def overlaps(self, other: "Address") -> bool:
        """Return whether listeners on both addresses would conflict.

        Parameters
        ----------
        other : Address
            The other listener's address.

        Returns
        -------
        bool
            True for the same port if the IPs are equal or one is a wildcard address.
        """
        if self.port != other.port:
            return False
        return self.host == other.host or self.is_unspecified or other.is_unspecified


def _check_ip(host: str, *, version: int) -> None:
    try:
        parsed = ipaddress.ip_address(host)
    except ValueError:
        raise ValueError("expected an IP, not a host name, before the port") from None
    if parsed.version != version:
        raise ValueError("an IPv6 address needs brackets, for example [::1]:8080")
