"""Threads that send a limited number of calls of several kinds."""

import collections
import dataclasses
import random
import threading
import time

import urllib3

from vanillapitch_testbed.callers._call import Call, send
from vanillapitch_testbed.fleet import Deployment, Service

__all__ = ["Load", "LoadOptions"]

_KEYED_BODY = b'{"item": "spruce top", "count": 1}'
# Outcomes after which a caller sends another request with the same key.
_RESENT_OUTCOMES = {"unknown", "not_run"}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadOptions:
    """Limits and composition of a load.

    Attributes
    ----------
    threads : int
        Number of callers, each of which sends one call at a time. A concurrent
        duplicate of a keyed request is additional.
    max_calls : int
        Maximum number of calls of all callers together.
    duration_s : float
        Time after which no call is started, except resends of a key already in use.
    pause_ms : float
        Mean pause of a caller between two calls.
    duplicate_share : float
        Share of the keyed requests that are also sent by a concurrent duplicate.
    max_sends : int
        Maximum number of sequential calls with one key; a caller resends while the
        outcome is ``unknown`` or ``not_run``.
    upload_bytes : tuple of int
        Minimum size of an upload, and the size that uploads stay below.
    kind_weights : tuple
        Weights of the kinds ``read``, ``keyed`` and ``upload``.
    """

    threads: int = 12
    max_calls: int = 20_000
    duration_s: float = 20.0
    pause_ms: float = 10.0
    timeout_ms: int = 10_000
    duplicate_share: float = 0.3
    max_sends: int = 3
    upload_bytes: tuple[int, int] = (1_000_000, 8_000_000)
    kind_weights: tuple[float, float, float] = (0.7, 0.25, 0.05)
    seed: int = 1


class Load:
    """Sends calls of several kinds to the daemons of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Deployment whose services receive the calls.
    addresses : list of str
        Addresses of the daemons for callers.
    options : LoadOptions
        Limits and composition of the load.
    """

    def __init__(
        self, *, deployment: Deployment, addresses: list[str], options: LoadOptions
    ):
        self._options = options
        self._addresses = addresses
        self._services_by_kind = _group_services(deployment)
        self._calls: collections.deque[Call] = collections.deque()
        self._stop = threading.Event()
        self._sent = 0
        self._sent_lock = threading.Lock()
        self._upload = random.Random(options.seed).randbytes(options.upload_bytes[1])
        self._threads = [
            threading.Thread(target=self._run, args=(index,), daemon=True)
            for index in range(options.threads)
        ]

    @property
    def calls(self) -> list[Call]:
        """Calls that have completed so far."""
        return list(self._calls)

    def start(self) -> None:
        """Start the caller threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop starting calls; calls in flight continue."""
        self._stop.set()

    def join(self) -> list[Call]:
        """Wait until all calls have completed, and return them.

        Raises
        ------
        RuntimeError
            If a caller thread does not end within its time limit.
        """
        options = self._options
        bound_s = options.duration_s + 5.0
        bound_s += options.max_sends * (options.timeout_ms / 1_000 + 3.0)
        deadline_s = time.monotonic() + bound_s
        for thread in self._threads:
            thread.join(max(0.1, deadline_s - time.monotonic()))
            if thread.is_alive():
                raise RuntimeError("a caller thread did not end within its time limit")
        return self.calls

    def _run(self, index: int) -> None:
        rng = random.Random(f"{self._options.seed}/{index}")
        pool = urllib3.PoolManager(maxsize=4, num_pools=64)
        deadline_s = time.monotonic() + self._options.duration_s
        send_by_kind = {
            "read": self._send_read,
            "keyed": self._send_keyed,
            "upload": self._send_upload,
        }
        kinds = [kind for kind in send_by_kind if kind in self._services_by_kind]
        weights = dict(zip(send_by_kind, self._options.kind_weights, strict=True))
        while not self._stop.is_set() and time.monotonic() < deadline_s:
            kind = rng.choices(kinds, [weights[kind] for kind in kinds])[0]
            service = rng.choice(self._services_by_kind[kind])
            if not send_by_kind[kind](pool, rng, service):
                return
            pause_ms = rng.expovariate(1 / self._options.pause_ms)
            self._stop.wait(pause_ms / 1_000)

    def _reserve_send(self) -> bool:
        """Count one call; return whether it is within `max_calls`."""
        with self._sent_lock:
            self._sent += 1
            return self._sent <= self._options.max_calls

    def _send(self, pool, call: Call, address: str, body: bytes = b"") -> Call:
        timeout_ms = self._options.timeout_ms
        send(pool, call, address=address, body=body, timeout_ms=timeout_ms)
        self._calls.append(call)
        return call

    def _send_read(self, pool, rng: random.Random, service: Service) -> bool:
        if not self._reserve_send():
            return False
        target = f"/{service.name}/item?bytes={rng.randrange(200, 4_000)}"
        call = Call(service=service.name, method="GET", target=target)
        self._send(pool, call, rng.choice(self._addresses))
        return True

    def _send_upload(self, pool, rng: random.Random, service: Service) -> bool:
        if not self._reserve_send():
            return False
        size = rng.randrange(*self._options.upload_bytes)
        call = Call(service=service.name, method="PUT", target=f"/{service.name}/file")
        self._send(pool, call, rng.choice(self._addresses), self._upload[:size])
        return True

    def _send_keyed(self, pool, rng: random.Random, service: Service) -> bool:
        key = f"k-{rng.getrandbits(96):x}"
        duplicate = None
        if rng.random() < self._options.duplicate_share:
            address = rng.choice(self._addresses)
            duplicate = threading.Thread(
                target=self._send_one_keyed, args=(pool, service, key, address)
            )
            duplicate.start()
        within_limit = True
        for _ in range(self._options.max_sends):
            address = rng.choice(self._addresses)
            call = self._send_one_keyed(pool, service, key, address)
            within_limit = call is not None
            if not within_limit or call.outcome not in _RESENT_OUTCOMES:
                break
            self._stop.wait(rng.uniform(0.05, 0.5))
        if duplicate is not None:
            duplicate.join()
        return within_limit

    def _send_one_keyed(self, pool, service, key: str, address: str) -> Call | None:
        if not self._reserve_send():
            return None
        target = f"/{service.name}/entry"
        call = Call(service=service.name, method="POST", target=target, key=key)
        return self._send(pool, call, address, _KEYED_BODY)


def _group_services(deployment: Deployment) -> dict[str, list[Service]]:
    services_by_kind: dict[str, list[Service]] = {}
    for service in deployment.services:
        services_by_kind.setdefault(service.kind, []).append(service)
    return services_by_kind
