"""Key-value store with revisions, leases, transactions and events.

Follows the published semantics of the etcd v3 API as far as vanillapitch uses it:
compares of nested transactions are evaluated before any operation, a transaction writes
a key at most once, and a transaction that changes any key increments the revision by
one.
"""

import bisect
import collections
import dataclasses
import threading

from vanillapitch_core.clock import Clock

from vanillapitch_testbed.store.exceptions import (
    CompactedError,
    InvalidRequestError,
    LeaseNotFoundError,
)

__all__ = [
    "CompareCommand",
    "DeleteCommand",
    "Engine",
    "Event",
    "GetCommand",
    "PutCommand",
    "Record",
    "TransactionCommand",
    "TransactionOutcome",
]

MAX_VALUE_BYTES = 1024 * 1024
# Default limits of etcd.
MAX_REQUEST_BYTES = 3 * 512 * 1024
MAX_OPERATIONS = 128
MAX_EVENTS = 20_000

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Record:
    """A key with its value and revisions."""

    key: bytes
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease_id: int = 0


@_frozen
class Event:
    """A change of a key."""

    deleted: bool
    record: Record


@_frozen
class CompareCommand:
    """Condition on an attribute of `Record`."""

    key: bytes
    attribute: str
    expected: int | bytes
    relation: str = "EQUAL"


@_frozen
class GetCommand:
    """Read of the keys from `key` up to `range_end`, or of `key` alone."""

    key: bytes
    range_end: bytes = b""


@_frozen
class PutCommand:
    """Write of a key."""

    key: bytes
    value: bytes
    lease_id: int = 0


@_frozen
class DeleteCommand:
    """Removal of the keys from `key` up to `range_end`, or of `key` alone."""

    key: bytes
    range_end: bytes = b""


@_frozen
class TransactionCommand:
    """Compares, the commands to execute if all hold, and those if any does not."""

    compares: tuple[CompareCommand, ...] = ()
    success: tuple = ()
    failure: tuple = ()

    def writes(self) -> bool:
        """Return whether any command of either branch can change a key."""
        return any(
            each.writes()
            if isinstance(each, TransactionCommand)
            else not isinstance(each, GetCommand)
            for each in (*self.success, *self.failure)
        )


@_frozen
class TransactionOutcome:
    """Results in the order of the commands of the executed branch.

    A result is a tuple of records for a get, the number of removed keys for a delete,
    None for a put, and an outcome for a nested transaction.
    """

    succeeded: bool
    results: tuple


@dataclasses.dataclass(slots=True, kw_only=True)
class _Lease:
    lease_id: int
    ttl_ms: int
    expires_at_ms: float
    keys: set = dataclasses.field(default_factory=set)


class Engine:
    """State of the store; all methods may be called from any thread.

    Parameters
    ----------
    clock : Clock
        Source of time for leases.
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._changed = threading.Condition()
        self._records_by_key: dict[bytes, Record] = {}
        self._sorted_keys: list[bytes] = []
        self._events: collections.deque[Event] = collections.deque(maxlen=MAX_EVENTS)
        self._leases_by_id: dict[int, _Lease] = {}
        self._revision = 1
        self._compacted_revision = 0
        self._next_lease_id = 7_587_000_000_000_000_001

    @property
    def revision(self) -> int:
        """Current revision; 1 before the first change."""
        return self._revision

    @property
    def key_count(self) -> int:
        """Number of keys."""
        return len(self._records_by_key)

    @property
    def lease_count(self) -> int:
        """Number of leases, including expired ones that are not yet removed."""
        return len(self._leases_by_id)

    def transact(self, command: TransactionCommand) -> tuple[TransactionOutcome, int]:
        """Execute a transaction; return its outcome and the revision after it.

        Raises
        ------
        InvalidRequestError
            If a limit is exceeded or a key is written twice.
        LeaseNotFoundError
            If a put refers to a lease that does not exist.
        """
        with self._changed:
            _check_bounds(command)
            _collect_writes((command,))
            branch = self._evaluate(command)
            self._check_leases(branch)
            revision = self._revision + 1
            outcome = self._execute(branch, revision)
            if self._events and self._events[-1].record.mod_revision == revision:
                self._revision = revision
                self._changed.notify_all()
            return outcome, self._revision

    def grant_lease(self, ttl_ms: int) -> int:
        """Create a lease and return its id."""
        with self._changed:
            lease_id = self._next_lease_id
            self._next_lease_id += 1
            expires_at_ms = self._clock.now_ms() + ttl_ms
            self._leases_by_id[lease_id] = _Lease(
                lease_id=lease_id, ttl_ms=ttl_ms, expires_at_ms=expires_at_ms
            )
            return lease_id

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease; return its time to live, or 0 if it does not exist."""
        with self._changed:
            lease = self._leases_by_id.get(lease_id)
            if lease is None:
                return 0
            lease.expires_at_ms = self._clock.now_ms() + lease.ttl_ms
            return lease.ttl_ms

    def expire_leases(self) -> None:
        """Remove expired leases with their keys."""
        with self._changed:
            now_ms = self._clock.now_ms()
            expired = [
                lease
                for lease in self._leases_by_id.values()
                if lease.expires_at_ms <= now_ms
            ]
            for lease in expired:
                del self._leases_by_id[lease.lease_id]
                if lease.keys:
                    self._revision += 1
                for key in sorted(lease.keys):
                    self._delete(key, self._revision)
            if expired:
                self._changed.notify_all()

    def wait_events(
        self, command: GetCommand, from_revision: int, timeout_ms: float
    ) -> tuple[list[Event], int]:
        """Wait for changes of keys; return them and the revision to wait from next.

        The list is empty after `timeout_ms`, or after a change of other keys only.

        Raises
        ------
        CompactedError
            If events since `from_revision` have been discarded.
        """
        with self._changed:
            if self._revision < from_revision:
                self._changed.wait(timeout_ms / 1000)
            if from_revision <= self._compacted_revision:
                raise CompactedError(self._compacted_revision + 1)
            events = []
            for event in reversed(self._events):
                if event.record.mod_revision < from_revision:
                    break
                if _matches(command, event.record.key):
                    events.append(event)
            events.reverse()
            return events, max(from_revision, self._revision + 1)

    def _evaluate(self, command: TransactionCommand) -> tuple[TransactionCommand, bool]:
        succeeded = all(self._compare_holds(compare) for compare in command.compares)
        commands = tuple(
            self._evaluate(each) if isinstance(each, TransactionCommand) else each
            for each in (command.success if succeeded else command.failure)
        )
        return commands, succeeded

    def _compare_holds(self, compare: CompareCommand) -> bool:
        record = self._records_by_key.get(compare.key)
        if record is None and compare.attribute == "value":
            return False
        actual = getattr(record or Record(key=compare.key), compare.attribute)
        match compare.relation:
            case "EQUAL":
                return actual == compare.expected
            case "NOT_EQUAL":
                return actual != compare.expected
            case "GREATER":
                return actual > compare.expected
            case "LESS":
                return actual < compare.expected
        raise InvalidRequestError(f"unknown compare result {compare.relation!r}")

    def _check_leases(self, branch) -> None:
        for each in branch[0]:
            if isinstance(each, tuple):
                self._check_leases(each)
                continue
            lease_id = each.lease_id if isinstance(each, PutCommand) else 0
            if lease_id and lease_id not in self._leases_by_id:
                raise LeaseNotFoundError

    def _execute(self, branch, revision: int) -> TransactionOutcome:
        commands, succeeded = branch
        results = tuple(self._execute_command(each, revision) for each in commands)
        return TransactionOutcome(succeeded=succeeded, results=results)

    def _execute_command(self, command, revision: int):
        if isinstance(command, tuple):
            return self._execute(command, revision)
        if isinstance(command, GetCommand):
            return tuple(
                self._records_by_key[key] for key in self._select_keys(command)
            )
        if isinstance(command, DeleteCommand):
            keys = self._select_keys(command)
            for key in keys:
                self._delete(key, revision)
            return len(keys)
        self._put(command, revision)
        return None

    def _select_keys(self, command: GetCommand | DeleteCommand) -> list[bytes]:
        if not command.range_end:
            return [command.key] if command.key in self._records_by_key else []
        start = bisect.bisect_left(self._sorted_keys, command.key)
        if command.range_end == b"\0":
            return self._sorted_keys[start:]
        end = bisect.bisect_left(self._sorted_keys, command.range_end)
        return self._sorted_keys[start:end]

    def _put(self, command: PutCommand, revision: int) -> None:
        previous = self._records_by_key.get(command.key)
        if previous is None:
            bisect.insort(self._sorted_keys, command.key)
        elif previous.lease_id in self._leases_by_id:
            self._leases_by_id[previous.lease_id].keys.discard(command.key)
        if command.lease_id:
            self._leases_by_id[command.lease_id].keys.add(command.key)
        record = Record(
            key=command.key,
            value=command.value,
            create_revision=previous.create_revision if previous else revision,
            mod_revision=revision,
            version=previous.version + 1 if previous else 1,
            lease_id=command.lease_id,
        )
        self._records_by_key[command.key] = record
        self._append_event(Event(deleted=False, record=record))

    def _delete(self, key: bytes, revision: int) -> None:
        record = self._records_by_key.pop(key)
        del self._sorted_keys[bisect.bisect_left(self._sorted_keys, key)]
        if record.lease_id in self._leases_by_id:
            self._leases_by_id[record.lease_id].keys.discard(key)
        tombstone = Record(key=key, mod_revision=revision)
        self._append_event(Event(deleted=True, record=tombstone))

    def _append_event(self, event: Event) -> None:
        if len(self._events) == MAX_EVENTS:
            self._compacted_revision = self._events[0].record.mod_revision
        self._events.append(event)


def _matches(command: GetCommand, key: bytes) -> bool:
    if not command.range_end:
        return key == command.key
    return command.key <= key and (
        command.range_end == b"\0" or key < command.range_end
    )


def _check_bounds(command: TransactionCommand) -> None:
    if _byte_count(command) > MAX_REQUEST_BYTES:
        raise InvalidRequestError("etcdserver: request is too large")


def _byte_count(command) -> int:
    if isinstance(command, PutCommand):
        if len(command.value) > MAX_VALUE_BYTES:
            raise InvalidRequestError("etcdserver: request is too large")
        return len(command.key) + len(command.value)
    if not isinstance(command, TransactionCommand):
        return len(command.key)
    if max(map(len, (command.compares, command.success, command.failure))) > (
        MAX_OPERATIONS
    ):
        raise InvalidRequestError("etcdserver: too many operations in txn request")
    return sum(map(_byte_count, (*command.success, *command.failure)))


def _collect_writes(commands: tuple) -> tuple[set[bytes], list[DeleteCommand]]:
    puts: set[bytes] = set()
    deletes: list[DeleteCommand] = []
    for command in commands:
        new_puts, new_deletes = _collect_command_writes(command)
        if (
            puts & new_puts
            or _overlap(new_puts, deletes)
            or _overlap(puts, new_deletes)
        ):
            raise InvalidRequestError("etcdserver: duplicate key given in txn request")
        puts |= new_puts
        deletes += new_deletes
    return puts, deletes


def _collect_command_writes(command) -> tuple[set[bytes], list[DeleteCommand]]:
    if isinstance(command, PutCommand):
        return {command.key}, []
    if isinstance(command, DeleteCommand):
        return set(), [command]
    if isinstance(command, GetCommand):
        return set(), []
    success_puts, success_deletes = _collect_writes(command.success)
    failure_puts, failure_deletes = _collect_writes(command.failure)
    return success_puts | failure_puts, success_deletes + failure_deletes


def _overlap(puts: set[bytes], deletes: list[DeleteCommand]) -> bool:
    return any(
        delete.key in puts
        if not delete.range_end
        else any(_matches(delete, key) for key in puts)
        for delete in deletes
    )
