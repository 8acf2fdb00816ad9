"""The claim protocol of keyed requests, as pure functions and state machines.

A send is one arrival of a keyed request at an ingress; `sender` is its state machine.
`holder` keeps the claims that one daemon made, `changes` builds the writes to the store
and interprets their outcomes, `batching` groups the writes of a committer, and
`committers` selects the committer of each shard.
"""

from vanillapitch_core.claims.batching import CommitQueue, QueuedChange, WriteBudget
from vanillapitch_core.claims.changes import (
    ChangeKind,
    ChangeOutcome,
    ChangeStatus,
    ClaimChange,
    claim_change,
    finish_change,
    outcome_after_read,
    outcome_of_compare,
    release_change,
)
from vanillapitch_core.claims.committers import CommitterTable, rank_committers
from vanillapitch_core.claims.exceptions import ClaimRecordError
from vanillapitch_core.claims.holder import HeldClaim, HeldPhase, HolderState
from vanillapitch_core.claims.record import (
    MAX_RESULT_BYTES,
    SHARD_COUNT,
    ClaimRecord,
    ClaimResult,
    ClaimState,
    claim_store_key,
    encode_claim,
    parse_claim,
    shard_of,
)

__all__ = [
    "MAX_RESULT_BYTES",
    "SHARD_COUNT",
    "ChangeKind",
    "ChangeOutcome",
    "ChangeStatus",
    "ClaimChange",
    "ClaimRecord",
    "ClaimRecordError",
    "ClaimResult",
    "ClaimState",
    "CommitQueue",
    "CommitterTable",
    "HeldClaim",
    "HeldPhase",
    "HolderState",
    "QueuedChange",
    "WriteBudget",
    "claim_change",
    "claim_store_key",
    "encode_claim",
    "finish_change",
    "outcome_after_read",
    "outcome_of_compare",
    "parse_claim",
    "rank_committers",
    "release_change",
    "shard_of",
]
