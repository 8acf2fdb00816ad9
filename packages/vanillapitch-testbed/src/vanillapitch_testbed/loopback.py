"""Loopback addresses for the listeners of tests."""

import random
import socket

__all__ = ["make_loopback_address", "make_loopback_ip", "reserve_loopback_subnet"]

_PORT = 7_000
_RESERVATION_PORT = 7_999
_SUBNET_ATTEMPTS = 50
_random = random.SystemRandom()


def make_loopback_ip() -> str:
    """Return a random loopback IP address.

    Outgoing connections use 127.0.0.1 and any free port of it, so a port of 127.0.0.1
    that is free when it is chosen may be in use when a process binds it.

    Returns
    -------
    str
        Address below 127.64.0.0, outside the reserved subnets.
    """
    octets = (_random.randrange(1, 64), _random.randrange(256), _random.randrange(256))
    return "127." + ".".join(map(str, octets))


def make_loopback_address() -> str:
    """Return ``IP:port`` at a loopback IP address of its own, for TCP and for UDP."""
    return f"{make_loopback_ip()}:{_PORT}"


def reserve_loopback_subnet() -> tuple[socket.socket, str]:
    """Reserve a loopback subnet for the fleet of one process.

    Returns
    -------
    socket.socket
        Holds the reservation until it is closed.
    str
        First three octets of the subnet, for example ``127.64.0``.

    Raises
    ------
    OSError
        If other fleets use all subnets that were tried.
    """
    for _ in range(_SUBNET_ATTEMPTS):
        subnet = f"127.{_random.randrange(64, 128)}.{_random.randrange(256)}"
        reservation = socket.socket()
        try:
            reservation.bind((f"{subnet}.1", _RESERVATION_PORT))
            reservation.listen(1)
        except OSError:
            reservation.close()
        else:
            return reservation, subnet
    raise OSError("no free loopback subnet")
