"""Claims of keyed requests: the ingress side, the holder and the group committer."""

from vanillapitch_daemon.claims._committer import ShardsChanged
from vanillapitch_daemon.claims._gate import (
    Claim,
    ClaimGate,
    NotRun,
    Ran,
    RunUnknown,
)
from vanillapitch_daemon.claims._part import ClaimsPart, build_claims
from vanillapitch_daemon.claims._routes import CommitRoutes, make_claims_feed
from vanillapitch_daemon.claims.exceptions import (
    ClaimsError,
    PeerAnswerLost,
    PeerNotReached,
)

__all__ = [
    "Claim",
    "ClaimGate",
    "ClaimsError",
    "ClaimsPart",
    "CommitRoutes",
    "NotRun",
    "PeerAnswerLost",
    "PeerNotReached",
    "Ran",
    "RunUnknown",
    "ShardsChanged",
    "build_claims",
    "make_claims_feed",
]
