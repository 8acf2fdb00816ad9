"""HTTP server for the JSON gateway interface of the store."""

import contextlib
import http.server
import select
import socket
import threading

import msgspec
from vanillapitch_core.clock import Clock

from vanillapitch_testbed.store import codec
from vanillapitch_testbed.store.counters import WRITING_KINDS, CallKind, Counters
from vanillapitch_testbed.store.engine import (
    Engine,
    GetCommand,
    TransactionCommand,
)
from vanillapitch_testbed.store.exceptions import (
    CompactedError,
    GatewayError,
    InvalidRequestError,
)
from vanillapitch_testbed.store.faults import DownMode, FaultInjector, Faults

__all__ = ["Gateway", "JsonHandler"]

# Fits a request of the engine's maximum size in base64, with the JSON around it.
MAX_BODY_BYTES = 4 * 1024 * 1024
WATCH_WAIT_MS = 100
LEASE_CHECK_SECONDS = 0.05
LISTENER_POLL_SECONDS = 0.02


class Gateway:
    """Gateway at which clients call the store.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on, or 0 for any.
    clock : Clock
        Source of time for leases.
    """

    def __init__(self, *, host: str, port: int, clock: Clock):
        self.engine = Engine(clock=clock)
        self.faults = FaultInjector()
        self.counters = Counters()
        self._address = (host, port)
        self._server: _Server | None = None
        self._lock = threading.Lock()
        self._listen()
        self._stopped = threading.Event()
        threading.Thread(target=self._expire_leases, daemon=True).start()

    @property
    def address(self) -> str:
        """``IP:port`` for clients."""
        return "{}:{}".format(*self._address)

    def set_faults(self, faults: Faults) -> None:
        """Replace the active faults, and close or open the listener accordingly.

        Raises
        ------
        OSError
            If the port is in use when the listener opens again.
        """
        with self._lock:
            self.faults.replace(faults)
            if faults.down is DownMode.REFUSE:
                self._close_listener()
            elif self._server is None:
                self._listen()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._stopped.set()
        with self._lock:
            self._close_listener()

    def _listen(self) -> None:
        server = _Server(self._address, self)
        self._address = server.server_address
        self._server = server
        threading.Thread(
            target=server.serve_forever, args=(LISTENER_POLL_SECONDS,), daemon=True
        ).start()

    def _close_listener(self) -> None:
        if self._server is None:
            return
        self._server.shutdown()
        self._server.server_close()
        self._server.close_connections()
        self._server = None

    def _expire_leases(self) -> None:
        while not self._stopped.wait(LEASE_CHECK_SECONDS):
            if self.faults.faults.down is DownMode.UP:
                self.engine.expire_leases()


class _Server(http.server.ThreadingHTTPServer):
    """Server that can close all its open connections."""

    request_queue_size = 256
    daemon_threads = True
    # Otherwise server_close waits for threads whose calls hang.
    block_on_close = False

    def __init__(self, address, gateway: Gateway):
        super().__init__(address, _GatewayHandler)
        self.gateway = gateway
        self._open_sockets: set[socket.socket] = set()
        self._sockets_lock = threading.Lock()

    def process_request(self, request, client_address):
        with self._sockets_lock:
            self._open_sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self._sockets_lock:
            self._open_sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignore errors of connections that clients or faults closed."""

    def close_connections(self) -> None:
        with self._sockets_lock:
            for each in self._open_sockets:
                with contextlib.suppress(OSError):
                    each.shutdown(socket.SHUT_RDWR)


class JsonHandler(http.server.BaseHTTPRequestHandler):
    """Base of handlers that respond with JSON and write no log."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    # Buffers writes, so that a response is sent in one segment.
    wbufsize = -1

    def log_message(self, format, *args):  # noqa: A002
        """Write no log line per call."""

    def read_json(self):
        """Read and decode the body of a request.

        Raises
        ------
        InvalidRequestError
            If the body is not a JSON object or is too large.
        """
        length = int(self.headers.get("Content-Length", 0))
        if length > MAX_BODY_BYTES:
            self.close_connection = True
            raise InvalidRequestError("etcdserver: request is too large")
        try:
            message = msgspec.json.decode(self.rfile.read(length))
        except msgspec.DecodeError as error:
            raise InvalidRequestError(str(error)) from error
        if not isinstance(message, dict):
            raise InvalidRequestError("the body is not an object")
        return message

    def respond(self, status: int, content) -> None:
        """Send a JSON response."""
        body = msgspec.json.encode(content)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _GatewayHandler(JsonHandler):
    """Handler of one client connection."""

    def do_POST(self):  # noqa: N802
        try:
            self._dispatch(self.read_json())
        except GatewayError as error:
            content = {
                "error": str(error),
                "code": error.grpc_code,
                "message": str(error),
            }
            self.respond(error.status, content)

    def _dispatch(self, message: dict) -> None:
        match self.path:
            case "/v3/kv/range":
                self._range(codec.get_command(message))
            case "/v3/kv/put":
                self._single_operation(CallKind.PUT, codec.put_command(message))
            case "/v3/kv/deleterange":
                self._single_operation(CallKind.DELETE, codec.delete_command(message))
            case "/v3/kv/txn":
                self._transaction(codec.transaction_command(message))
            case "/v3/lease/grant":
                self._grant_lease(message)
            case "/v3/lease/keepalive":
                self._keep_alive(codec.read_integer(message, "ID"))
            case "/v3/watch":
                self._watch(message)
            case _:
                self.respond(404, {"code": 5, "message": "Not Found"})

    @property
    def _gateway(self) -> Gateway:
        return self.server.gateway

    def _call(self, kind: CallKind, effect) -> None:
        writing = kind in WRITING_KINDS
        self._gateway.counters.count_call(kind)
        if not self._gateway.faults.delay(writing=writing):
            self._close_after_call()
            return
        content = effect()
        if writing and self._gateway.faults.loses_response():
            self._gateway.counters.count_lost_response()
            self._close_after_call()
            return
        self.respond(200, content)

    def _close_after_call(self) -> None:
        self.close_connection = True

    def _range(self, command: GetCommand) -> None:
        def effect():
            transaction = TransactionCommand(success=(command,))
            outcome, revision = self._gateway.engine.transact(transaction)
            return codec.range_response(outcome.results[0], revision)

        self._call(CallKind.RANGE, effect)

    def _single_operation(self, kind: CallKind, command) -> None:
        def effect():
            transaction = TransactionCommand(success=(command,))
            outcome, revision = self._gateway.engine.transact(transaction)
            response = codec.transaction_response(transaction, outcome, revision)
            return next(iter(response["responses"][0].values()))

        self._call(kind, effect)

    def _transaction(self, command: TransactionCommand) -> None:
        def effect():
            outcome, revision = self._gateway.engine.transact(command)
            return codec.transaction_response(command, outcome, revision)

        kind = CallKind.TXN_WRITE if command.writes() else CallKind.TXN_READ
        self._call(kind, effect)

    def _grant_lease(self, message: dict) -> None:
        ttl_seconds = codec.read_integer(message, "TTL")

        def effect():
            lease_id = self._gateway.engine.grant_lease(ttl_seconds * 1000)
            return {"ID": str(lease_id), "TTL": str(ttl_seconds)}

        self._call(CallKind.LEASE_GRANT, effect)

    def _keep_alive(self, lease_id: int) -> None:
        def effect():
            ttl_ms = self._gateway.engine.keep_alive(lease_id)
            result = {"ID": str(lease_id)}
            if ttl_ms:
                result["TTL"] = str(ttl_ms // 1000)
            return {"result": result}

        self._call(CallKind.LEASE_KEEP_ALIVE, effect)

    def _watch(self, message: dict) -> None:
        create = message.get("create_request") or message.get("createRequest")
        if not isinstance(create, dict):
            raise InvalidRequestError("create_request is missing")
        command = codec.get_command(create)
        start_revision = codec.read_integer(create, "start_revision", "startRevision")
        self._gateway.counters.count_call(CallKind.WATCH)
        self._close_after_call()
        if not self._gateway.faults.delay(writing=False):
            return
        self._gateway.counters.change_open_watches(1)
        try:
            self._stream(command, start_revision)
        except OSError:
            pass
        finally:
            self._gateway.counters.change_open_watches(-1)

    def _stream(self, command: GetCommand, start_revision: int) -> None:
        engine = self._gateway.engine
        next_revision = start_revision or engine.revision + 1
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self._send_result({"created": True})
        while not self._client_disconnected():
            if self._gateway.faults.faults.down is DownMode.HANG:
                self._gateway.faults.delay(writing=False)
                return
            try:
                events, next_revision = engine.wait_events(
                    command, next_revision, WATCH_WAIT_MS
                )
            except CompactedError as error:
                cancellation = {
                    "canceled": True,
                    "compact_revision": str(error.compact_revision),
                }
                self._send_result(cancellation)
                return
            if events:
                messages = [codec.event_message(event) for event in events]
                self._send_result({"events": messages})

    def _send_result(self, content: dict) -> None:
        header = {"revision": str(self._gateway.engine.revision)}
        line = msgspec.json.encode({"result": {"header": header, **content}}) + b"\n"
        self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
        self.wfile.flush()

    def _client_disconnected(self) -> bool:
        readable, _, _ = select.select([self.connection], [], [], 0)
        return bool(readable)
