"""Simulated endpoint that announces itself, executes requests and fails."""

import asyncio
import contextlib
import dataclasses
import itertools
import socket
import struct
import time
from collections.abc import Awaitable, Callable

import msgspec

from vanillapitch_testbed.platform_standins._caller import send_request
from vanillapitch_testbed.platform_standins._http import (
    RawRequest,
    encode_response,
    serve,
)

__all__ = ["EndpointFaults", "Execution", "SimulatedEndpoint"]

HEARTBEAT_INTERVAL_S = 0.2
_PREFIX = "X-Vanillapitch-"
# What follows the head, and what is then repeated until the connection is closed.
_ENDLESS_PARTS = {
    "endless_head": (b"", b"X-More: " + b"y" * 1_000 + b"\r\n"),
    "endless_body": (b"Connection: close\r\n\r\n", b"z" * 60_000),
    "endless_chunks": (b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nz\r\n" * 2_000),
    "endless_informational": (b"", b"HTTP/1.1 103 Early\r\n\r\n" * 500),
}


def _now_s() -> float:
    return asyncio.get_running_loop().time()


@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointFaults:
    """Active faults; the defaults are none.

    Attributes
    ----------
    response : str
        Type of the next responses: ``whole`` (valid), ``truncated``, ``reset``,
        ``silent``, ``extra`` (a second response follows), ``late`` (a response to
        another request arrives first), ``unframed`` (ends with the connection),
        ``unframed_reset`` (the same, but reset halfway), ``garbage``, ``shed`` (refused
        without an execution), ``refusal_again`` (the last refusal on the connection
        arrives first), ``copy_later`` (a copy follows after 30 ms), ``error`` (500),
        ``encoded`` (with ``Content-Encoding``), ``high_phrase`` (a byte above 127 in
        the reason phrase), or one of `_ENDLESS_PARTS`.
    count : int
        Number of responses with the fault; later ones are ``whole``.
    unhealthy : bool
        Whether health checks are answered with 503.
    crash_on : str
        Substring of the targets that crash the endpoint; empty for none.
    refusals_have_ids : bool
        Whether a refusal echoes the id of its request.
    endless_health : str
        One of `_ENDLESS_PARTS` for the responses to health checks; empty for none.
    health_headers : dict of str to str
        Headers that replace those of responses to health checks.
    rate_limit : str
        Requests per second that all responses name; empty for none.
    says_leaving : bool
        Whether all responses state that the endpoint is leaving.
    """

    response: str = "whole"
    count: int = 1_000_000
    unhealthy: bool = False
    crash_on: str = ""
    refusals_have_ids: bool = True
    endless_health: str = ""
    health_headers: dict[str, str] = dataclasses.field(default_factory=dict)
    rate_limit: str = ""
    says_leaving: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Execution:
    """A request whose execution the endpoint started.

    Attributes
    ----------
    request_id, method, target : str
        The request.
    body : bytes
        Its body.
    headers : dict of str to str
        Its headers.
    started_s : float
        Monotonic time of the start.
    outcome : str
        Empty during the execution, then ``answered``, ``cut`` (the caller
        disconnected), ``crash`` or the fault of the response.
    """

    request_id: str
    method: str
    target: str
    body: bytes
    headers: dict[str, str]
    started_s: float
    outcome: str = ""


async def _write_without_end(
    writer: asyncio.StreamWriter, head: bytes, fault: str
) -> None:
    start, repeated = _ENDLESS_PARTS[fault]
    writer.write(b"" if fault == "endless_informational" else head + start)
    with contextlib.suppress(ConnectionError):
        while not writer.transport.is_closing():
            writer.write(repeated)
            await writer.drain()
            await asyncio.sleep(0)


class SimulatedEndpoint:
    """One endpoint.

    Parameters
    ----------
    address : str
        Address that it announces.
    control_address : str
        Address of the daemon that receives its announcements.
    service, zone : str
        Service and availability zone that it announces.
    slots : int
        Slots that it announces; it does not enforce them.
    work_s : float
        Execution time of a request whose target has no ``work_ms``.
    bind_address : str
        Address to listen at when a proxy listens at the announced one; empty for the
        announced one.
    """

    _numbers = itertools.count(1)

    def __init__(
        self,
        *,
        address: str,
        control_address: str,
        service: str,
        zone: str,
        slots: int = 8,
        work_s: float = 0.01,
        bind_address: str = "",
    ):
        self.address = address
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.instance = f"i-{next(self._numbers)}"
        self.faults = EndpointFaults()
        self.executions: list[Execution] = []
        self.connections = 0
        self.health_checks = 0
        self.cold_until_s = 0.0
        self.cold_periods: list[tuple[float, float]] = []
        self.state = "ready"
        self.born_ms = time.time_ns() // 1_000_000
        self.max_running = 0
        self.speed_percent = 100
        self._bind_address = bind_address or address
        self._control_address = control_address
        self._sequence = 0
        self._last_refusal = b""
        self._running = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._task: asyncio.Task | None = None

    async def start(self, *, announce: bool = True) -> None:
        """Start to serve and, if `announce` is true, to send heartbeats."""
        self._server = await serve(
            self._bind_address, self._handle, on_open=self._record_connection
        )
        if announce:
            self._task = asyncio.get_running_loop().create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Stop as in a crash: reset the connections without a last announcement."""
        if self._task is not None:
            self._task.cancel()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def restart(self, *, cold_s: float = 0.0, new_instance: bool = True) -> None:
        """Start another incarnation after `stop`."""
        if new_instance:
            self.instance = f"i-{next(self._numbers)}"
        self.born_ms = max(self.born_ms + 1, time.time_ns() // 1_000_000)
        self._sequence = 0
        self.state = "ready"
        now_s = _now_s()
        self.cold_until_s = now_s + cold_s
        if cold_s:
            self.cold_periods.append((now_s, self.cold_until_s))
        await self.start()

    async def announce(self, **changes: object) -> int:
        """Send one heartbeat; return the status of the response.

        Parameters
        ----------
        **changes : object
            Fields that replace those of the heartbeat.
        """
        return await self.prepare_announcement(**changes)()

    def prepare_announcement(self, **changes: object) -> Callable[[], Awaitable[int]]:
        """Return a function that sends a heartbeat with the current state, also late.

        Parameters
        ----------
        **changes : object
            Fields that replace those of the heartbeat.
        """
        self._sequence += 1
        body = {
            "address": self.address,
            "born": self.born_ms,
            "node_info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "cold_remaining_s": max(0.0, self.cold_until_s - _now_s()),
            },
            **changes,
        }
        raw, instance = msgspec.json.encode(body), self.instance
        return lambda: self._call_daemon("instances.heartbeat", raw, instance=instance)

    async def deregister(self) -> int:
        """Deregister without draining first; return the status of the response."""
        self.state = "gone"
        if self._task is not None:
            self._task.cancel()
        return await self._call_daemon(
            "instances.deregister", b"", instance=self.instance
        )

    async def drain(self) -> int:
        """Announce that it is draining; return the status of the response."""
        self.state = "draining"
        return await self.announce()

    async def leave_unannounced(self) -> None:
        """Leave and say so only in responses; no announcement is sent any more."""
        self._task.cancel()
        self.faults.says_leaving = True

    async def _call_daemon(self, call: str, body: bytes, *, instance: str) -> int:
        response = await send_request(
            self._control_address,
            f"/api/rpc?call={call}&of={instance}",
            method="POST",
            body=body,
            timeout_s=1.0,
        )
        return response.status

    async def _send_heartbeats(self) -> None:
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await self.announce()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _record_connection(self, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)

    async def _handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        if request.target == "/health":
            self.health_checks += 1
            health, endless = self._health(), self.faults.endless_health
            if endless:
                head, _, _ = health.partition(b"Content-Length")
                await _write_without_end(writer, head, endless)
                return False
            writer.write(health)
            return True
        headers = request.headers
        expected = headers.get("x-vanillapitch-expected-instance", self.instance)
        request_id = headers.get("x-vanillapitch-attempt-id", "")
        if expected != self.instance:
            name = f"{_PREFIX}Instance-Id"
            writer.write(
                encode_response(421, b"", {name: self.instance, **self._notices()})
            )
            return True
        fault = self._take_fault()
        if fault == "shed" or not request_id:
            self._last_refusal = self._refuse(request_id)
            writer.write(self._last_refusal)
            return True
        if fault == "refusal_again":
            writer.write(self._last_refusal)
        execution = Execution(
            request_id=request_id,
            method=request.method,
            target=request.target,
            body=request.body,
            headers=headers,
            started_s=_now_s(),
        )
        self.executions.append(execution)
        if self.faults.crash_on and self.faults.crash_on in request.target:
            execution.outcome = "crash"
            await self.stop()
            return False
        return await self._work(execution, request, writer, fault)

    def _refuse(self, request_id: str) -> bytes:
        headers = {f"{_PREFIX}Not-Executed": "1"}
        if request_id and self.faults.refusals_have_ids:
            headers[f"{_PREFIX}Attempt-Id"] = request_id
        return encode_response(503 if request_id else 400, b"", headers)

    async def _work(
        self,
        execution: Execution,
        request: RawRequest,
        writer: asyncio.StreamWriter,
        fault: str,
    ) -> bool:
        self._running += 1
        self.max_running = max(self.max_running, self._running)
        try:
            await self._sleep(execution, request)
        finally:
            self._running -= 1
        if execution.outcome:
            return False
        execution.outcome = fault
        if fault in ("whole", "refusal_again", "copy_later"):
            execution.outcome = "answered"
        return await self._write_response(execution, writer, fault)

    async def _sleep(self, execution: Execution, request: RawRequest) -> None:
        """Sleep for the execution time, or until the connection closes."""
        work_s = self.work_s
        if "work_ms=" in request.target:
            text = request.target.partition("work_ms=")[2].partition("&")[0]
            work_s = int(text) / 1_000.0
        until_s = _now_s() + work_s
        while _now_s() < until_s:
            await asyncio.sleep(min(0.01, max(0.0, until_s - _now_s())))
            if request.is_disconnected():
                execution.outcome = "cut"
                return

    async def _write_response(
        self, execution: Execution, writer: asyncio.StreamWriter, fault: str
    ) -> bool:
        body = f"answer to {execution.request_id}".encode() * 10
        complete = self._encode(execution.request_id, 200, body)
        if fault in ("whole", "refusal_again"):
            writer.write(complete)
            return True
        if fault == "high_phrase":
            writer.write(complete.replace(b" 200 S", b" 200 \xd3", 1))
            return True
        if fault == "copy_later":
            writer.write(complete)
            asyncio.get_running_loop().call_later(0.03, writer.write, complete)
            return True
        if fault == "extra":
            writer.write(
                complete + self._encode(execution.request_id, 200, b"a second answer")
            )
            return True
        if fault == "late":
            writer.write(self._encode("0123456789abcdef", 200, b"another") + complete)
            return True
        if fault == "error":
            writer.write(self._encode(execution.request_id, 500, b"error"))
            return True
        if fault == "encoded":
            head = self._encode(execution.request_id, 200, body)
            writer.write(
                head.replace(
                    b"Content-Length", b"Content-Encoding: br\r\nContent-Length"
                )
            )
            return True
        return await self._write_broken_response(
            execution, writer, fault, complete=complete, body=body
        )

    async def _write_broken_response(
        self,
        execution: Execution,
        writer: asyncio.StreamWriter,
        fault: str,
        *,
        complete: bytes,
        body: bytes,
    ) -> bool:
        if fault == "silent":
            await asyncio.sleep(3600)
        if fault == "garbage":
            writer.write(b"\x00\x01 this is no answer\r\n\r\n")
        if fault == "truncated":
            writer.write(complete[:-20])
            await writer.drain()
        head, _, _ = complete.partition(b"Content-Length")
        if fault in ("unframed", "unframed_reset"):
            writer.write(head + b"Connection: close\r\n\r\n" + body)
            await writer.drain()
        if fault in _ENDLESS_PARTS:
            await _write_without_end(writer, head, fault)
        if fault == "unframed_reset":
            await asyncio.sleep(0.05)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        if fault in ("reset", "unframed_reset"):
            writer.transport.abort()
        return False

    def _encode(self, request_id: str, status: int, body: bytes) -> bytes:
        return encode_response(
            status,
            body,
            {
                f"{_PREFIX}Attempt-Id": request_id,
                f"{_PREFIX}Server-Seal": f"seal.{self.instance}",
                f"{_PREFIX}Server-Load": self._load(),
                **self._notices(),
            },
        )

    def _health(self) -> bytes:
        cold_ms = int(1_000 * max(0.0, self.cold_until_s - _now_s()))
        healthy = self.state == "ready" and not self.faults.unhealthy
        return encode_response(
            200 if healthy else 503,
            b"",
            {
                f"{_PREFIX}Instance-Id": self.instance,
                f"{_PREFIX}Server-Load": self._load(),
                f"{_PREFIX}Cold-Remaining-Ms": str(cold_ms),
                **self._notices(),
                **self.faults.health_headers,
            },
        )

    def _notices(self) -> dict[str, str]:
        notices = {}
        if self.faults.rate_limit:
            notices["Server-Limit"] = self.faults.rate_limit
        if self.faults.says_leaving:
            notices["Server-Leaving"] = "1"
        return notices

    def _load(self) -> str:
        return f"{self._running},0,{self.slots},{self.speed_percent}"

    def _take_fault(self) -> str:
        if self.faults.count <= 0:
            return "whole"
        if self.faults.response != "whole":
            self.faults.count -= 1
        return self.faults.response
