"""Claims of keyed requests: ingress, holder and group committer."""

from vanillapitch_daemon.claims._assembly import ClaimsComponents, build_claims
from vanillapitch_daemon.claims._committer import ShardsChanged
from vanillapitch_daemon.claims._gate import (
    Claim,
    ClaimGate,
    Executed,
    ExecutionUnknown,
    NotExecuted,
)
from vanillapitch_daemon.claims._routes import CommitRoutes, make_claims_subscriber
from vanillapitch_daemon.claims.exceptions import (
    ClaimsError,
    PeerNotReached,
    PeerReplyLost,
)

__all__ = [
    "Claim",
    "ClaimGate",
    "ClaimsComponents",
    "ClaimsError",
    "CommitRoutes",
    "Executed",
    "ExecutionUnknown",
    "NotExecuted",
    "PeerReplyLost",
    "PeerNotReached",
    "ShardsChanged",
    "build_claims",
    "make_claims_subscriber",
]
