"""Messages and Thrift service for claims of keyed requests."""

from vanillapitch_wire._gen.claims.Claims import Client as ClaimsClient
from vanillapitch_wire._gen.claims.Claims import Processor as ClaimsProcessor
from vanillapitch_wire._gen.claims.ttypes import (
    AwaitReply,
    AwaitRequest,
    ChangeOutcomeMessage,
    ClaimChangeMessage,
    CommitReply,
    CommitRequest,
)

__all__ = [
    "CLAIMS_SERVICE",
    "AwaitReply",
    "AwaitRequest",
    "ChangeOutcomeMessage",
    "ClaimChangeMessage",
    "ClaimsClient",
    "ClaimsProcessor",
    "CommitReply",
    "CommitRequest",
]

CLAIMS_SERVICE = "claims"
