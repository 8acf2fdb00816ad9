"""The daemon's side towards callers."""

from vanillapitch_daemon.ingress._application import make_application
from vanillapitch_daemon.ingress._attempts import make_attempter
from vanillapitch_daemon.ingress._keyed import make_claimer
from vanillapitch_daemon.ingress._memory import BodyMemory
from vanillapitch_daemon.ingress._problem import make_refuser
from vanillapitch_daemon.ingress._quarantine import make_quarantine_check
from vanillapitch_daemon.ingress._retry import make_retrier
from vanillapitch_daemon.ingress._server import CallerServer

__all__ = [
    "BodyMemory",
    "CallerServer",
    "make_application",
    "make_attempter",
    "make_claimer",
    "make_quarantine_check",
    "make_refuser",
    "make_retrier",
]
