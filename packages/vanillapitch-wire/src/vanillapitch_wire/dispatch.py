"""Messages and Thrift service for calls from an ingress to an owner."""

from vanillapitch_wire._gen.dispatch.Owner import Client as OwnerClient
from vanillapitch_wire._gen.dispatch.Owner import Processor as OwnerProcessor
from vanillapitch_wire._gen.dispatch.ttypes import (
    DispatchReply,
    DispatchRequest,
    Header,
    LoadReport,
)

__all__ = [
    "OWNER_SERVICE",
    "DispatchReply",
    "DispatchRequest",
    "Header",
    "LoadReport",
    "OwnerClient",
    "OwnerProcessor",
]

OWNER_SERVICE = "owner"
