"""Errors of calls about claims."""

from vanillapitch_core import VanillapitchError

__all__ = ["ClaimsError", "PeerAnswerLost", "PeerNotReached"]


class ClaimsError(VanillapitchError):
    """Base of errors about claims."""

    code = "claims_error"


class PeerNotReached(ClaimsError):  # noqa: N818
    """The call did not reach the peer, so it had no effect."""

    code = "claims_peer_not_reached"


class PeerAnswerLost(ClaimsError):  # noqa: N818
    """The call may have had an effect at the peer."""

    code = "claims_peer_answer_lost"
