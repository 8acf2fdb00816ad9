"""Configuration: the protocol of a table change and the adoption of revisions."""

from vanillapitch_core.configuration._adoption import (
    Adopt,
    AdoptionEffect,
    AdoptionState,
    Diverged,
    FetchTables,
    adopt_if_newer,
    receive_revision,
    record_fetch_failed,
)
from vanillapitch_core.configuration._change import (
    ChangeEffect,
    ChangeEvent,
    ChangeFinished,
    ChangeOutcome,
    ChangeState,
    FailureKind,
    ReadTables,
    RejectionReason,
    StoreFailed,
    TablesRead,
    TablesWritten,
    WriteTables,
    advance_change,
    start_change,
)
from vanillapitch_core.configuration._proposal import (
    Change,
    TablesChange,
    ZoneChange,
    propose,
)
from vanillapitch_core.configuration._watchers import (
    WATCHERS_PER_ZONE,
    choose_by_rendezvous,
)

__all__ = [
    "WATCHERS_PER_ZONE",
    "Adopt",
    "AdoptionEffect",
    "AdoptionState",
    "Change",
    "ChangeEffect",
    "ChangeEvent",
    "ChangeFinished",
    "ChangeOutcome",
    "ChangeState",
    "Diverged",
    "FailureKind",
    "FetchTables",
    "ReadTables",
    "RejectionReason",
    "StoreFailed",
    "TablesChange",
    "TablesRead",
    "TablesWritten",
    "WriteTables",
    "ZoneChange",
    "adopt_if_newer",
    "advance_change",
    "choose_by_rendezvous",
    "propose",
    "receive_revision",
    "record_fetch_failed",
    "start_change",
]
