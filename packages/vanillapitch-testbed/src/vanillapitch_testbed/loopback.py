"""Loopback addresses for the listeners of tests."""

import random

__all__ = ["make_loopback_address", "make_loopback_ip"]

_PORT = 7_000
_random = random.SystemRandom()


def make_loopback_ip() -> str:
    """Return a random loopback IP address.

    Outgoing connections use 127.0.0.1 and any free port of it, so a port of 127.0.0.1
    that is free when it is chosen may be in use when a process binds it.

    Returns
    -------
    str
        Address below 127.64.0.0; the simulated fleets use higher ones.
    """
    octets = (_random.randrange(1, 64), _random.randrange(256), _random.randrange(256))
    return "127." + ".".join(map(str, octets))


def make_loopback_address() -> str:
    """Return ``IP:port`` at a loopback IP address of its own, for TCP and for UDP."""
    return f"{make_loopback_ip()}:{_PORT}"
