"""Owner: admits requests and executes them at this daemon's backend server."""

from vanillapitch_daemon.owner._admission import Admission, SetBackendDown, SetState
from vanillapitch_daemon.owner._backend import BackendClient, Cancellation
from vanillapitch_daemon.owner._prober import Prober
from vanillapitch_daemon.owner._service import Owner, OwnerHandler

__all__ = [
    "Admission",
    "BackendClient",
    "Cancellation",
    "Owner",
    "OwnerHandler",
    "Prober",
    "SetBackendDown",
    "SetState",
]
