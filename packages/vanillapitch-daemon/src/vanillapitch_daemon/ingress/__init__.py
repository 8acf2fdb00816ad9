"""Ingress: receives requests of callers and dispatches them to endpoints."""

from vanillapitch_daemon.body_memory import BodyMemory
from vanillapitch_daemon.ingress._application import make_application
from vanillapitch_daemon.ingress._attempts import make_attempter
from vanillapitch_daemon.ingress._keyed import make_claim_check
from vanillapitch_daemon.ingress._problem import make_refusal_handler
from vanillapitch_daemon.ingress._quarantine import make_quarantine_check
from vanillapitch_daemon.ingress._retry import make_retrier
from vanillapitch_daemon.ingress._server import CallerServer

__all__ = [
    "BodyMemory",
    "CallerServer",
    "make_application",
    "make_attempter",
    "make_claim_check",
    "make_quarantine_check",
    "make_refusal_handler",
    "make_retrier",
]
