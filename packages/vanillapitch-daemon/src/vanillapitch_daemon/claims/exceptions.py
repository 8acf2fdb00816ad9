"""Errors of claims calls."""

from vanillapitch_core import VanillapitchError

__all__ = ["ClaimsError", "PeerReplyLost", "PeerNotReached"]


class ClaimsError(VanillapitchError):
    """Base class of the errors of claims calls."""

    code = "claims_error"


class PeerNotReached(ClaimsError):  # noqa: N818
    """The call had no effect: the peer was not reached or rejected it as busy."""

    code = "claims_peer_not_reached"


class PeerReplyLost(ClaimsError):  # noqa: N818
    """The reply of the peer was lost, so the call may have had an effect."""

    code = "claims_peer_answer_lost"
