"""Fault-injecting proxy for TCP and UDP links.

It runs in a process of its own with ``python -m vanillapitch_testbed.proxy``.
"""

from vanillapitch_testbed.proxy._faults import Faults, LinkCounters
from vanillapitch_testbed.proxy._tcp import TcpLink
from vanillapitch_testbed.proxy._udp import UdpLink

__all__ = ["Faults", "LinkCounters", "TcpLink", "UdpLink"]
