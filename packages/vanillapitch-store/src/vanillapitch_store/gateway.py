"""Store client for the JSON gateway of the etcd v3 API."""

import http
from collections.abc import Callable, Iterator, Sequence
from typing import TypeVar

import urllib3
from vanillapitch_core.clock import Clock, SystemClock

from vanillapitch_store import _gateway_model as wire
from vanillapitch_store.exceptions import (
    StoreCompacted,
    StoreError,
    StoreLeaseNotFound,
    StoreOutcomeUnknown,
    StoreRejected,
    StoreRestored,
    StoreUnavailable,
)
from vanillapitch_store.model import (
    Compare,
    GetResult,
    Lease,
    Operation,
    PrefixResult,
    Transaction,
    TransactionResult,
    WatchResult,
)

__all__ = ["EtcdGatewayStore"]

Result = TypeVar("Result")

# Bounds the memory of one response. A value has at most 1 MB, 4/3 of that in base64,
# and reading a prefix returns many values.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
READ_CHUNK_BYTES = 64 * 1024
CONNECTIONS_PER_ADDRESS = 4

# gRPC status codes, as the gateway reports them.
_NOT_FOUND = 5
_RESOURCE_EXHAUSTED = 8
_OUT_OF_RANGE = 11
# Cancelled, unknown, deadline exceeded, aborted, internal, unavailable and data loss:
# the store may have started to execute the call.
_UNKNOWN_OUTCOME_CODES = frozenset({1, 2, 4, 10, 13, 14, 15})


class _ResponseLost(StoreError):  # noqa: N818
    """The call was sent, but no valid response arrived."""


class EtcdGatewayStore:
    """Client of the platform's key-value service.

    Implements `vanillapitch_store.store.KeyValueStore`. A call goes to the address
    that responded last. If the call certainly had no effect there, or only reads, it is
    retried at the other addresses until `timeout_ms` has passed.

    Parameters
    ----------
    addresses : sequence of str
        ``IP:port`` of each address of the store.
    timeout_ms : int
        Time limit of each call, in milliseconds. A watch has its own.
    clock : Clock
        Source of time.

    Raises
    ------
    ValueError
        If there is no address.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[str],
        timeout_ms: int,
        clock: Clock | None = None,
    ):
        if not addresses:
            raise ValueError("addresses must not be empty")
        self._pools = [_make_connection_pool(address) for address in addresses]
        self._timeout_ms = timeout_ms
        self._clock = clock or SystemClock()
        self._preferred_index = 0

    def get(self, key: str) -> GetResult:
        """Read one key; see `KeyValueStore.get`."""
        request = wire.RangeRequest(key=key.encode())
        return self._read("/v3/kv/range", request, wire.RangeResponse, _to_get_result)

    def get_prefix(self, prefix: str) -> PrefixResult:
        """Read all keys with a non-empty prefix; see `KeyValueStore.get_prefix`."""
        start = prefix.encode()
        request = wire.RangeRequest(key=start, range_end=wire.prefix_end(start))
        return self._read(
            "/v3/kv/range", request, wire.RangeResponse, _to_prefix_result
        )

    def transact(
        self,
        compares: Sequence[Compare],
        on_success: Sequence[Operation],
        on_failure: Sequence[Operation] = (),
    ) -> TransactionResult:
        """Execute a transaction; see `KeyValueStore.transact`."""
        transaction = Transaction(
            compares=tuple(compares),
            on_success=tuple(on_success),
            on_failure=tuple(on_failure),
        )
        request = wire.to_txn_request(transaction)
        call = self._write if wire.contains_write((transaction,)) else self._read
        return call("/v3/kv/txn", request, wire.TxnResponse, _to_transaction_result)

    def grant_lease(self, ttl_ms: int) -> Lease:
        """Create a lease of at least `ttl_ms`; see `KeyValueStore.grant_lease`."""
        ttl_seconds = -(-ttl_ms // 1000)
        request = wire.LeaseGrantRequest(ttl_seconds=str(ttl_seconds))
        response = self._write("/v3/lease/grant", request, wire.LeaseGrantResponse)
        return Lease(lease_id=response.lease_id, ttl_ms=response.ttl_seconds * 1000)

    def keep_alive(self, lease: Lease) -> Lease:
        """Renew a lease; see `KeyValueStore.keep_alive`."""
        request = wire.LeaseKeepAliveRequest(lease_id=str(lease.lease_id))
        response = self._write("/v3/lease/keepalive", request, wire.KeepAliveResponse)
        if response.result.ttl_seconds <= 0:
            raise StoreLeaseNotFound(f"lease {lease.lease_id} has expired")
        ttl_ms = response.result.ttl_seconds * 1000
        return Lease(lease_id=lease.lease_id, ttl_ms=ttl_ms)

    def watch(self, key: str, from_revision: int, timeout_ms: int) -> WatchResult:
        """Wait for changes of one key; see `KeyValueStore.watch`."""
        create = wire.WatchCreateRequest(
            key=key.encode(), start_revision=str(from_revision)
        )
        body = wire.encode_request(wire.WatchRequest(create_request=create))
        deadline_ms = self._clock.now_ms() + timeout_ms

        def attempt(pool: urllib3.HTTPConnectionPool, remaining_ms: float):
            return self._watch_once(pool, body, from_revision, remaining_ms)

        return self._try_addresses(attempt, deadline_ms=deadline_ms, read_only=True)

    def close(self) -> None:
        """Close idle connections."""
        for pool in self._pools:
            pool.close()

    def _read(self, path, request, response_type, translate):
        return self._call(path, request, response_type, translate, read_only=True)

    def _write(self, path, request, response_type, translate=None):
        return self._call(path, request, response_type, translate, read_only=False)

    def _call(self, path, request, response_type, translate, *, read_only: bool):
        body = wire.encode_request(request)
        deadline_ms = self._clock.now_ms() + self._timeout_ms

        def attempt(pool: urllib3.HTTPConnectionPool, remaining_ms: float):
            document = self._post(pool, path, body, remaining_ms)
            try:
                response = wire.decode_response(document, response_type)
                return translate(response) if translate else response
            except wire.MalformedResponse as error:
                raise _ResponseLost(str(error)) from error

        return self._try_addresses(
            attempt, deadline_ms=deadline_ms, read_only=read_only
        )

    def _try_addresses(
        self,
        attempt: Callable[[urllib3.HTTPConnectionPool, float], Result],
        *,
        deadline_ms: float,
        read_only: bool,
    ) -> Result:
        first = self._preferred_index
        reason = "no time is left for the call"
        for offset in range(len(self._pools)):
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                break
            index = (first + offset) % len(self._pools)
            try:
                result = attempt(self._pools[index], remaining_ms)
            except StoreUnavailable as error:
                reason = str(error)
            except _ResponseLost as error:
                # The next call starts at another address, because this one may hang.
                self._preferred_index = (index + 1) % len(self._pools)
                if not read_only:
                    raise StoreOutcomeUnknown(str(error)) from error
                reason = str(error)
            else:
                self._preferred_index = index
                return result
        raise StoreUnavailable(f"no address of the store answers: {reason}")

    def _post(
        self,
        pool: urllib3.HTTPConnectionPool,
        path: str,
        body: bytes,
        remaining_ms: float,
    ) -> bytes:
        deadline_ms = self._clock.now_ms() + remaining_ms
        response = self._open(pool, path, body, remaining_ms)
        document = bytearray()
        try:
            while chunk := response.read1(READ_CHUNK_BYTES):
                document += chunk
                if len(document) > MAX_RESPONSE_BYTES:
                    raise _ResponseLost("the store's answer is too large")
                if self._clock.now_ms() > deadline_ms:
                    raise _ResponseLost("the store's answer is not complete in time")
        except urllib3.exceptions.HTTPError as error:
            response.close()
            raise _ResponseLost(f"the store's answer was cut: {error}") from error
        except _ResponseLost:
            response.close()
            raise
        response.release_conn()
        if response.status != http.HTTPStatus.OK:
            raise _to_error(response.status, bytes(document))
        return bytes(document)

    def _open(
        self,
        pool: urllib3.HTTPConnectionPool,
        path: str,
        body: bytes,
        remaining_ms: float,
    ) -> urllib3.BaseHTTPResponse:
        # An address that drops packets must leave time to try the others.
        connect_ms = remaining_ms / len(self._pools)
        timeout = urllib3.Timeout(
            connect=connect_ms / 1000, read=max(remaining_ms, 1.0) / 1000
        )
        try:
            return pool.urlopen(
                "POST",
                path,
                body=body,
                headers={"Content-Type": "application/json"},
                retries=False,
                redirect=False,
                timeout=timeout,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise StoreUnavailable(f"the store cannot be reached: {error}") from error
        except urllib3.exceptions.HTTPError as error:
            raise _ResponseLost(f"the store did not answer: {error}") from error

    def _watch_once(
        self,
        pool: urllib3.HTTPConnectionPool,
        body: bytes,
        from_revision: int,
        remaining_ms: float,
    ) -> WatchResult:
        deadline_ms = self._clock.now_ms() + remaining_ms
        response = self._open(pool, "/v3/watch", body, remaining_ms)
        try:
            if response.status != http.HTTPStatus.OK:
                raise _to_error(response.status, response.read(READ_CHUNK_BYTES))
            return self._wait_for_events(response, from_revision, deadline_ms)
        except urllib3.exceptions.ReadTimeoutError:
            return WatchResult(events=(), next_revision=from_revision)
        except (urllib3.exceptions.HTTPError, wire.MalformedResponse) as error:
            raise _ResponseLost(f"the watch was interrupted: {error}") from error
        finally:
            # The stream does not end, so its connection cannot be reused.
            response.close()

    def _wait_for_events(
        self,
        response: urllib3.BaseHTTPResponse,
        from_revision: int,
        deadline_ms: float,
    ) -> WatchResult:
        for line in _read_lines(response):
            result = wire.decode_response(line, wire.WatchResponse).result
            if result.compact_revision:
                raise StoreCompacted(
                    f"events before revision {result.compact_revision} are lost"
                )
            if result.created and 0 < result.header.revision < from_revision - 1:
                # It would deliver nothing until its revisions reach `from_revision`.
                raise StoreRestored(
                    f"the store is at revision {result.header.revision}, behind the "
                    f"start {from_revision} of the watch"
                )
            if result.canceled:
                raise _ResponseLost("the store cancelled the watch")
            if result.events:
                events = tuple(wire.to_event(each) for each in result.events)
                last_revision = events[-1].entry.mod_revision
                return WatchResult(events=events, next_revision=last_revision + 1)
            if self._clock.now_ms() >= deadline_ms:
                return WatchResult(events=(), next_revision=from_revision)
        raise _ResponseLost("the store ended the watch")


def _make_connection_pool(address: str) -> urllib3.HTTPConnectionPool:
    host, _, port = address.rpartition(":")
    return urllib3.HTTPConnectionPool(
        host, int(port), maxsize=CONNECTIONS_PER_ADDRESS, block=False
    )


def _read_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    pending = b""
    while chunk := response.read1(READ_CHUNK_BYTES):
        pending += chunk
        if len(pending) > MAX_RESPONSE_BYTES:
            raise _ResponseLost("a message of the watch is too large")
        *lines, pending = pending.split(b"\n")
        yield from (line for line in lines if line.strip())


def _to_transaction_result(response: wire.TxnResponse) -> TransactionResult:
    return wire.to_transaction_result(response, response.header.revision)


def _to_get_result(response: wire.RangeResponse) -> GetResult:
    entry = wire.to_entry(response.kvs[0]) if response.kvs else None
    return GetResult(entry=entry, revision=response.header.revision)


def _to_prefix_result(response: wire.RangeResponse) -> PrefixResult:
    entries = tuple(wire.to_entry(each) for each in response.kvs)
    return PrefixResult(entries=entries, revision=response.header.revision)


def _to_error(status: int, document: bytes) -> StoreError:
    try:
        response = wire.decode_response(document, wire.ErrorResponse)
    except wire.MalformedResponse:
        return _ResponseLost(f"the store answered with status {status}")
    reason = f"the store refused the call: {response.message}"
    if response.code in _UNKNOWN_OUTCOME_CODES:
        return _ResponseLost(reason)
    if response.code == _RESOURCE_EXHAUSTED:
        return StoreUnavailable(reason)
    if response.code == _OUT_OF_RANGE:
        return StoreCompacted(reason)
    if response.code == _NOT_FOUND and "lease" in response.message:
        return StoreLeaseNotFound(reason)
    return StoreRejected(reason)
