"""The stored form of a claim and its key in the store."""

import enum
import hashlib

import msgspec

from vanillapitch_core.claims.exceptions import ClaimRecordError

__all__ = [
    "MAX_RESULT_BYTES",
    "SHARD_COUNT",
    "ClaimRecord",
    "ClaimResult",
    "ClaimState",
    "claim_store_key",
    "encode_claim",
    "finished_record",
    "parse_claim",
    "shard_of",
]

SHARD_COUNT = 16
MAX_RESULT_BYTES = 16 * 1024

_PREFIX = "/vanillapitch/claims"


class ClaimState(enum.StrEnum):
    """Progress of a keyed request as recorded in the store."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class ClaimResult(msgspec.Struct, kw_only=True, frozen=True):
    """A response that is replayed to later sends of the same key.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Names and values.
    body : bytes
        Body of the response.
    instance : str
        The endpoint that executed the request.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    instance: str = ""

    def size_bytes(self) -> int:
        """Return the size that counts towards `MAX_RESULT_BYTES`."""
        header_bytes = sum(len(name) + len(value) for name, value in self.headers)
        return header_bytes + len(self.body)


class ClaimRecord(msgspec.Struct, kw_only=True, frozen=True, omit_defaults=True):
    """The value of a claim in the store.

    Attributes
    ----------
    claim_id : str
        Unique id that the ingress generated for one send.
    fingerprint : str
        Hash of the body.
    holder : str
        Instance of the ingress that made the claim.
    state : ClaimState
        Progress of the request.
    result : ClaimResult or None
        The response; None unless the state is ``done``, and None when the response is
        larger than `MAX_RESULT_BYTES`.
    """

    claim_id: str
    fingerprint: str
    holder: str
    state: ClaimState = ClaimState.RUNNING
    result: ClaimResult | None = None


def finished_record(
    running: ClaimRecord, *, state: ClaimState, result: ClaimResult | None
) -> ClaimRecord:
    """Return the record of a request that ended.

    Parameters
    ----------
    running : ClaimRecord
        The record that created the claim.
    state : ClaimState
        ``done`` or ``unknown``.
    result : ClaimResult or None
        The response; left out of the record when larger than `MAX_RESULT_BYTES`.

    Returns
    -------
    ClaimRecord
        The record to write.
    """
    if result is not None and result.size_bytes() > MAX_RESULT_BYTES:
        result = None
    return msgspec.structs.replace(running, state=state, result=result)


def claim_store_key(*, route_pool: str, key: str) -> str:
    """Return the store's key of a claim.

    Parameters
    ----------
    route_pool : str
        Pool of the matched route; the same key in another pool is a different claim.
    key : str
        The caller's idempotency key.

    Returns
    -------
    str
        ``/vanillapitch/claims/<shard>/<sha256>``.
    """
    digest = hashlib.sha256(f"{route_pool}\0{key}".encode()).hexdigest()
    shard = int(digest[:2], 16) % SHARD_COUNT
    return f"{_PREFIX}/{shard}/{digest}"


def shard_of(store_key: str) -> int:
    """Return the shard of a claim.

    Raises
    ------
    ClaimRecordError
        If `store_key` is not the key of a claim.
    """
    prefix, _, rest = store_key.rpartition("/")
    head, _, shard = prefix.rpartition("/")
    if head != _PREFIX or not rest or not shard.isdecimal():
        raise ClaimRecordError(f"{store_key!r} is not the key of a claim")
    if int(shard) >= SHARD_COUNT:
        raise ClaimRecordError(f"{store_key!r} has an unknown shard")
    return int(shard)


def encode_claim(record: ClaimRecord) -> bytes:
    """Encode a record; equal records have equal encodings, so they can be compared."""
    return msgspec.json.encode(record)


def parse_claim(value: bytes) -> ClaimRecord:
    """Decode a record.

    Raises
    ------
    ClaimRecordError
        If the value is not a claim.
    """
    try:
        return msgspec.json.decode(value, type=ClaimRecord)
    except msgspec.DecodeError as error:
        raise ClaimRecordError(f"a stored claim is malformed: {error}") from error
