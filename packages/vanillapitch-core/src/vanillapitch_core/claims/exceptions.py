"""Errors of the claim protocol."""

from vanillapitch_core.exceptions import VanillapitchError

__all__ = ["ClaimRecordError"]


class ClaimRecordError(VanillapitchError):
    """A stored claim or its key is malformed."""

    code = "claim_record_invalid"
