"""Shared fixtures: daemons in one process with small backend servers."""

import http.server
import threading
import time

import msgspec
import pytest
import urllib3
from vanillapitch_core import SystemClock
from vanillapitch_core.tables import Pool, Route, Tables
from vanillapitch_daemon.admin import BackendState
from vanillapitch_daemon.assembly import build_daemon
from vanillapitch_daemon.claims import build_claims
from vanillapitch_daemon.main import start_daemon, stop_daemon
from vanillapitch_daemon.picker import EndpointChanged
from vanillapitch_daemon.settings import Address, parse_settings
from vanillapitch_daemon.transport import Transport
from vanillapitch_store import EtcdGatewayStore
from vanillapitch_testbed.loopback import make_loopback_address
from vanillapitch_wire import Server
from vanillapitch_wire.claims import CLAIMS_SERVICE, ClaimsProcessor

DRAIN_TIMEOUT_MS = 20_000


class RecordingHandler(http.server.BaseHTTPRequestHandler):
    """Echoes the request's body, or returns its port; records each request."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        self.server.requests.append((self.command, self.path, dict(self.headers)))
        self.server.behave(self)
        response = body or str(self.server.server_port).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(response)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(response)

    do_POST = do_PUT = do_HEAD = do_GET  # noqa: N815

    def log_message(self, *arguments):
        """Write no access logs to the output of tests."""


class QuietServer(http.server.ThreadingHTTPServer):
    """Prints no error when the connection of a cancelled request is closed."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        """Write no expected errors to the output of tests."""


@pytest.fixture
def make_backend():
    """Start backend servers; ``behave`` is called before each response."""
    servers = []

    def make(behave=lambda handler: None, port=0):
        server = QuietServer(("127.0.0.1", port), RecordingHandler)
        server.requests = []
        server.behave = behave
        threading.Thread(target=server.serve_forever, daemon=True).start()
        servers.append(server)
        return server

    yield make
    for server in servers:
        server.shutdown()
        server.server_close()


@pytest.fixture
def tables():
    return Tables(
        revision=1,
        routes=(Route(name="all", pool="catalog"),),
        pools=(Pool(name="catalog", service="catalog"),),
    )


@pytest.fixture
def store_address():
    """Return an address without a store; modules with keyed requests override it."""
    return make_loopback_address()


@pytest.fixture
def make_settings(store_address):
    def make(backend_port, **limits):
        document = {
            "instance": {"zone": "zone-a", "region": "north"},
            "listen": {
                name: make_loopback_address()
                for name in ("callers", "peers", "gossip", "admin")
            },
            "backend": {
                "address": f"127.0.0.1:{backend_port}",
                "service": "catalog",
                "announce_by_health": True,
                "slots": 4,
            },
            "platform": {"addresses": [store_address], "timeout_ms": 500},
            "secrets": {"cluster_key": "k" * 32, "admin_token": "t" * 16},
            "limits": {"worker_threads": 8} | limits,
        }
        return parse_settings(msgspec.json.encode(document))

    return make


@pytest.fixture
def make_daemons(make_settings, tables):
    """Start a daemon for each backend port; each daemon knows all endpoints."""
    started = []

    def make(*backend_ports, **limits):
        daemons = [
            build_daemon(make_settings(port, **limits), clock=SystemClock())
            for port in backend_ports
        ]
        for daemon in daemons:
            daemon.snapshot.replace(tables)
            start_daemon(daemon)
            daemon.node.announce(BackendState.READY)
            for other in daemons:
                daemon.picker.tell(EndpointChanged(endpoint=other.endpoint))
                daemon.claims.routes.record_member(
                    other.endpoint.instance, is_live=True
                )
        started.extend(daemons)
        return daemons

    yield make
    for daemon in started:
        if not daemon.admission.is_alive():
            continue
        stop_daemon(daemon, drain_timeout_ms=DRAIN_TIMEOUT_MS)


class ClaimsNode:
    """The claims components of one daemon, with a server at its inner address."""

    def __init__(self, store_address):
        clock = SystemClock()
        address = Address(make_loopback_address())
        options = {"cluster_key": b"k" * 32, "max_frame_bytes": 1_000_000}
        self.instance = f"{address}/1"
        self.transport = Transport(clock=clock, **options)
        self.events = []
        self.claims = build_claims(
            instance=self.instance,
            writing_store=EtcdGatewayStore(addresses=[store_address], timeout_ms=500),
            reading_store=EtcdGatewayStore(addresses=[store_address], timeout_ms=500),
            read_timeout_ms=500,
            transport=self.transport,
            clock=clock,
            count_event=self.events.append,
        )
        processor = ClaimsProcessor(self.claims.handler)
        self.server = Server(
            address=(address.host, address.port),
            processors_by_service={CLAIMS_SERVICE: processor},
            worker_threads=16,
            **options,
        )
        self.server.start()

    def claim_key(self, key, *, body="f", timeout_ms=5_000):
        return self.claims.gate.claim_key(
            key=key,
            route_pool="catalog",
            fingerprint=body,
            deadline_ms=SystemClock().now_ms() + timeout_ms,
        )

    def kill(self):
        """Stop without recording anything, as a killed process does."""
        self.server.close()
        self.claims.stop(0)
        self.transport.close()


@pytest.fixture
def make_nodes(store_process):
    """Start the claims components of daemons that know each other."""
    started = []

    def make(count):
        nodes = [ClaimsNode(store_process.address) for _ in range(count)]
        for node in nodes:
            for other in nodes:
                node.claims.routes.record_member(other.instance, is_live=True)
        started.extend(nodes)
        return nodes

    yield make
    for node in started:
        node.kill()


@pytest.fixture
def warm_up():
    """Send requests until an endpoint has left its cold start."""

    def warm(daemon):
        deadline_s = time.monotonic() + 10
        url = f"http://{daemon.callers.address}/"
        while daemon.load.current.state != "ready":
            assert time.monotonic() < deadline_s
            assert urllib3.request("GET", url, retries=False, timeout=5).status == 200

    return warm
