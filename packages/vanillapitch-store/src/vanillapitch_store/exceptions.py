"""Errors of the store client."""

from vanillapitch_core.exceptions import VanillapitchError

__all__ = [
    "StoreCompacted",
    "StoreError",
    "StoreLeaseNotFound",
    "StoreOutcomeUnknown",
    "StoreRejected",
    "StoreUnavailable",
]


class StoreError(VanillapitchError):
    """Base class of the store client's errors."""

    code = "store_error"


class StoreUnavailable(StoreError):  # noqa: N818
    """The call failed and certainly had no effect."""

    code = "store_unavailable"


class StoreOutcomeUnknown(StoreError):  # noqa: N818
    """The call may have had an effect; calls that only read never raise this."""

    code = "store_outcome_unknown"


class StoreRejected(StoreError):  # noqa: N818
    """The store rejected the call as invalid; it had no effect."""

    code = "store_rejected"


class StoreLeaseNotFound(StoreRejected):
    """The call names a lease that expired or never existed."""

    code = "store_lease_not_found"


class StoreCompacted(StoreRejected):
    """A watch starts at a revision whose events the store no longer has."""

    code = "store_compacted"


class StoreRestored(StoreCompacted):
    """A watch starts at a revision that the store, restored from a copy, lacks."""

    code = "store_restored"
