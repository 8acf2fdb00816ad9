"""Simulated store of the platform, with faults."""

import asyncio
import base64
import dataclasses
import enum
import itertools
import random
from urllib.parse import parse_qs, urlsplit

import msgspec

from vanillapitch_testbed.platform_standins._http import (
    RawRequest,
    encode_response,
    serve,
)

__all__ = ["Refusal", "SimulatedStore", "StoreCopy", "StoreFaults"]

PAGE_ITEMS = 500
MAX_ENTRIES = 32
LEASE_CHECK_INTERVAL_S = 0.02


class Refusal(enum.StrEnum):
    """How the store rejects calls."""

    BUSY = "busy"
    MANY = "many"
    RESET = "reset"
    SILENT = "silent"


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Active faults; the defaults are none.

    Attributes
    ----------
    refusal : Refusal or None
        How calls are rejected; None accepts them.
    refused_hosts : set of str or None
        Local hosts at which calls are rejected; None means all.
    delay_s : float
        Delay of each response.
    lost_responses : float
        Share of writes that are applied without a response.
    late_s : float
        Delay after which a write whose response is lost is applied.
    pause_leases : bool
        Whether leases do not expire while calls are rejected.
    stale_s : float
        Age below which reads that accept stale data do not see a key; 0 for none.
    """

    refusal: Refusal | None = None
    refused_hosts: set[str] | None = None
    delay_s: float = 0.0
    lost_responses: float = 0.0
    late_s: float = 0.0
    pause_leases: bool = False
    stale_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Item:
    value: bytes
    revision: int
    created: int
    created_s: float
    lease_id: int


@dataclasses.dataclass(slots=True, kw_only=True)
class _Event:
    key: str
    revision: int
    item: _Item | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreCopy:
    """State of the store at a moment, from which it can be restored."""

    revision: int
    items_by_key: dict[str, _Item]
    leases: dict[int, tuple[float, float]]

    def without(self, prefix: str) -> "StoreCopy":
        """Return a copy that lacks the keys with a prefix."""
        items_by_key = {
            key: item
            for key, item in self.items_by_key.items()
            if not key.startswith(prefix)
        }
        return dataclasses.replace(self, items_by_key=items_by_key)


class SimulatedStore:
    """Key-value store in this process.

    Parameters
    ----------
    address : str
        ``host:port`` to serve at.
    more_hosts : tuple of str
        Additional hosts to listen on, so that faults can be limited to some of them.
    seed : int
        Seed of the choice of lost responses.
    """

    def __init__(
        self, *, address: str, more_hosts: tuple[str, ...] = (), seed: int = 1
    ):
        self.address = address
        self._more_hosts = more_hosts
        self.faults = StoreFaults()
        self.calls_by_path: dict[str, int] = {}
        self.revision = 1
        self.timeline = 0
        self._items_by_key: dict[str, _Item] = {}
        self._events: list[_Event] = []
        self._compacted_revision = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(100)
        self._changed = asyncio.Event()
        self._rng = random.Random(seed)
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task | None = None
        self._late_writes: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent_writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to serve."""
        self._server = await serve(
            self.address,
            self._handle,
            more_hosts=self._more_hosts,
            on_open=self._writers.add,
        )
        self._task = asyncio.get_running_loop().create_task(self._expire_leases())

    async def stop(self) -> None:
        """Stop serving and reset all connections."""
        self._task.cancel()
        self._server.close()
        self.cut_connections()

    def cut_connections(self) -> None:
        """Reset every open connection."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def silence_connections(self) -> None:
        """Answer nothing more on the open connections, without closing them."""
        self._silent_writers |= self._writers

    def put(self, key: str, value: bytes, *, lease_id: int = 0) -> int:
        """Write a key as an operator does; return the revision."""
        self.revision += 1
        before = self._items_by_key.get(key)
        created = self.revision if before is None else before.created
        now_s = asyncio.get_running_loop().time()
        item = _Item(
            value=value,
            revision=self.revision,
            created=created,
            created_s=now_s if before is None else before.created_s,
            lease_id=lease_id,
        )
        self._items_by_key[key] = item
        self._record_event(_Event(key=key, revision=self.revision, item=item))
        return self.revision

    def delete(self, key: str) -> int:
        """Remove a key; return the revision."""
        if self._items_by_key.pop(key, None) is not None:
            self.revision += 1
            self._record_event(_Event(key=key, revision=self.revision, item=None))
        return self.revision

    def get(self, key: str) -> bytes | None:
        """Return the value of a key, or None."""
        item = self._items_by_key.get(key)
        return None if item is None else item.value

    def keys(self, prefix: str) -> list[str]:
        """List the keys with a prefix."""
        return sorted(key for key in self._items_by_key if key.startswith(prefix))

    def compact_history(self) -> None:
        """Compact all events; watches from an earlier revision get 410."""
        self._compacted_revision = self.revision
        self._events.clear()
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Return a copy of the state."""
        return StoreCopy(
            revision=self.revision,
            items_by_key=dict(self._items_by_key),
            leases=dict(self._leases),
        )

    def restore(self, copy: StoreCopy, *, rewrite: bool = True) -> None:
        """Return to a copy: later writes are lost and their revisions given out again.

        Parameters
        ----------
        copy : StoreCopy
            The earlier state.
        rewrite : bool
            Whether the operators' keys of the lost state are written again at once.
        """
        lost = self._items_by_key
        now_s = asyncio.get_running_loop().time()
        self.timeline += 1
        self.revision = copy.revision
        self._items_by_key = dict(copy.items_by_key)
        self._leases = {
            lease_id: (now_s + ttl_s, ttl_s)
            for lease_id, (_, ttl_s) in copy.leases.items()
        }
        self._events.clear()
        self._compacted_revision = copy.revision
        if rewrite:
            self._rewrite_operator_keys(lost)
        self.cut_connections()
        self._notify_watches()

    def _rewrite_operator_keys(self, lost: dict[str, _Item]) -> None:
        for key in self.keys("op/"):
            if key not in lost:
                self.delete(key)
        for key, item in lost.items():
            known = self._items_by_key.get(key)
            if key.startswith("op/") and (known is None or known.value != item.value):
                self.put(key, item.value)

    def revoke_leases(self) -> None:
        """End every lease immediately and delete its keys."""
        for lease_id in list(self._leases):
            self._end_lease(lease_id)

    def _record_event(self, event: _Event) -> None:
        self._events.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            paused = self.faults.pause_leases and self.faults.refusal is not None
            for lease_id, (ends_s, ttl_s) in list(self._leases.items()):
                if paused:
                    self._leases[lease_id] = (ends_s + LEASE_CHECK_INTERVAL_S, ttl_s)
                elif ends_s <= loop.time():
                    self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        for key, item in list(self._items_by_key.items()):
            if item.lease_id == lease_id:
                self.delete(key)

    async def _handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        parts = urlsplit(request.target)
        kind = parts.path.removeprefix("/api/").partition("/")[0]
        if "stale_ok=1" in parts.query:
            kind += "-stale"
        self.calls_by_path[kind] = self.calls_by_path.get(kind, 0) + 1
        faults = self.faults
        if self._rejects(request.local_host):
            return await self._reject(faults.refusal, writer)
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        is_write = kind == "kv-txn"
        if is_write and self._rng.random() < faults.lost_responses:
            task = asyncio.get_running_loop().create_task(
                self._apply_late(request, faults.late_s)
            )
            self._late_writes.add(task)
            task.add_done_callback(self._late_writes.discard)
            await asyncio.sleep(3600)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        await self._stop_if_silent(writer)
        status, body = await self._dispatch(parts.path, query, request.body)
        if kind == "kv-watch" and self._rejects(request.local_host):
            # The watch started before the fault; it gets no response either.
            await asyncio.sleep(3600)
        await self._stop_if_silent(writer)
        writer.write(
            encode_response(
                status,
                msgspec.json.encode(body),
                {
                    "Content-Type": "application/json",
                    "Store-Era": str(self.timeline),
                },
            )
        )
        return True

    async def _stop_if_silent(self, writer: asyncio.StreamWriter) -> None:
        if writer in self._silent_writers:
            await asyncio.sleep(3600)

    def _rejects(self, host: str) -> bool:
        hosts = self.faults.refused_hosts
        return self.faults.refusal is not None and (hosts is None or host in hosts)

    async def _reject(self, refusal: Refusal, writer: asyncio.StreamWriter) -> bool:
        if refusal is Refusal.SILENT:
            await asyncio.sleep(3600)
        if refusal is Refusal.RESET:
            writer.transport.abort()
            return False
        status = 503 if refusal is Refusal.BUSY else 429
        writer.write(encode_response(status, b"{}", {"Store-Era": str(self.timeline)}))
        return True

    async def _apply_late(self, request: RawRequest, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._transact(msgspec.json.decode(request.body))

    async def _dispatch(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict]:
        if path == "/api/kv-key":
            return self._read_key(query["key"])
        if path == "/api/kv-range":
            keys = self._visible_keys(query["prefix"], "stale_ok" in query)
            return self._read_range(keys, query.get("after", ""))
        if path == "/api/kv-watch":
            return await self._watch(
                query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1_000
            )
        if path == "/api/kv-txn":
            return self._transact(msgspec.json.decode(body))
        if path == "/api/kv-lease":
            return self._grant(msgspec.json.decode(body)["ttl_s_time"])
        lease_id = int(path.rpartition("/")[2])
        if path.startswith("/api/kv-keep/"):
            return self._renew(lease_id)
        if path.startswith("/api/kv-lease-end/"):
            self._end_lease(lease_id)
            return 200, {}
        return 400, {}

    def _read_key(self, key: str) -> tuple[int, dict]:
        item = self._items_by_key.get(key)
        if item is None:
            return 404, {}
        return 200, {**_encode(key, item), "store_revision": self.revision}

    def _visible_keys(self, prefix: str, may_be_stale: bool) -> list[str]:
        keys = self.keys(prefix)
        if not may_be_stale or not self.faults.stale_s:
            return keys
        now_s = asyncio.get_running_loop().time()
        return [
            key
            for key in keys
            if now_s - self._items_by_key[key].created_s >= self.faults.stale_s
        ]

    def _read_range(self, visible: list[str], after: str) -> tuple[int, dict]:
        keys = [key for key in visible if key > after]
        page = keys[:PAGE_ITEMS]
        return 200, {
            "items": [_encode(key, self._items_by_key[key]) for key in page],
            "has_more": len(keys) > len(page),
            "store_revision": self.revision,
        }

    async def _watch(self, prefix: str, after: int, wait_s: float) -> tuple[int, dict]:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        while True:
            if after < self._compacted_revision or after > self.revision:
                return 410, {}
            events = [
                _encode_event(event)
                for event in self._events
                if event.revision > after and event.key.startswith(prefix)
            ]
            remaining_s = until_s - loop.time()
            if events or remaining_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict) -> tuple[int, dict]:
        expected = body["expected_rev"]
        writes = body["writes"]
        if len(expected) + len(writes) + len(body["deletes"]) > MAX_ENTRIES:
            return 400, {}
        for row in expected:
            item = self._items_by_key.get(row["key"])
            if row["revision"] != (0 if item is None else item.revision):
                current = [
                    _encode(entry["key"], self._items_by_key[entry["key"]])
                    for entry in expected
                    if entry["key"] in self._items_by_key
                ]
                return 412, {"items": current}
        for write in writes:
            if write["lease_id"] and write["lease_id"] not in self._leases:
                return 404, {}
            if write["key"].startswith(("op/", "servers/")):
                return 403, {}
        for write in writes:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, lease_id=write["lease_id"])
        for key in body["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}

    def _grant(self, ttl_s: float) -> tuple[int, dict]:
        lease_id = next(self._lease_ids)
        now_s = asyncio.get_running_loop().time()
        self._leases[lease_id] = (now_s + ttl_s, ttl_s)
        return 200, {"lease_id": lease_id, "ttl_s_time": ttl_s}

    def _renew(self, lease_id: int) -> tuple[int, dict]:
        if lease_id not in self._leases:
            return 404, {}
        ttl_s = self._leases[lease_id][1]
        now_s = asyncio.get_running_loop().time()
        self._leases[lease_id] = (now_s + ttl_s, ttl_s)
        return 200, {"ttl_s_time": ttl_s}


def _encode(key: str, item: _Item) -> dict:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created_rev": item.created,
        "lease_id": item.lease_id,
    }


def _encode_event(event: _Event) -> dict:
    if event.item is None:
        return {"key": event.key, "revision": event.revision, "tombstone": True}
    return _encode(event.key, event.item)
