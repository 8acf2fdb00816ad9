"""Fixtures that the tests of several packages share."""

import json
import re
import socket
import threading

import msgspec
import pytest
import urllib3
from hypothesis import HealthCheck, given, settings
from vanillapitch_core.exceptions import TableError
from vanillapitch_core.tables import Pool, Route, Tables, check_tables
from vanillapitch_daemon.admin import (
    AdminServer,
    AdminUnavailableError,
    ChangeResult,
    ChangeStatus,
    Member,
    Status,
    create_app,
)
from vanillapitch_daemon.metrics import Metrics
from vanillapitch_daemon.settings import Address
from vanillapitch_testbed.loopback import make_loopback_address

ADMIN_TOKEN = "operator-token-of-tests"


class FakeNode:
    """Node port with fixed members that records announcements."""

    def __init__(self):
        self.reasons = ()
        self.announced = []
        self.zones = ["gb-a", "gb-a", "gb-b", "gb-c"]

    def status(self):
        """Return a fixed status."""
        return Status(
            instance="127.0.0.1:8001/1",
            zone="gb-a",
            region="gyeongbuk",
            service="catalog",
            state="alive",
            endpoint_state="ready",
            revision=1,
            in_flight=2,
            limit=12,
            slots=12,
            members_by_state={"alive": 4},
            store="up",
            started_at_ms=1,
            version="0.1.0",
        )

    def unready_reasons(self):
        """Return the reasons that the test has set."""
        return self.reasons

    def members(self):
        """Return one member for each entry of `zones`."""
        return tuple(
            Member(
                instance=f"127.0.0.{index}:8001/1",
                zone=zone,
                region="gyeongbuk",
                service="catalog",
                state="alive",
                version=1,
                slots=12,
            )
            for index, zone in enumerate(self.zones, start=1)
        )

    def announce(self, state):
        """Record the announcement."""
        self.announced.append(state)
        return state


class FakeConfiguration:
    """In-memory configuration port with compare-and-swap and injected faults."""

    def __init__(self):
        self.documents = [
            Tables(
                revision=1,
                change_id="first-change",
                author="hanul",
                changed_at_ms=1_700_000_000_000,
                pools=(Pool(name="catalog", service="catalog"),),
                routes=(Route(name="shop", pool="catalog"),),
            )
        ]
        self.fault = None
        self.before_change = None

    def tables(self):
        """Return the newest document."""
        return self.documents[-1]

    def history(self, *, limit):
        """Return documents, newest first."""
        if self.fault == "unavailable":
            raise AdminUnavailableError("The store does not answer.")
        return tuple(reversed(self.documents))[:limit]

    def apply(self, change):
        """Apply a change if its base revision is the newest one."""
        if self.before_change:
            action, self.before_change = self.before_change, None
            action(self)
        if change.base_revision != self.tables().revision:
            return ChangeResult(
                status=ChangeStatus.CONFLICT,
                tables=self.tables(),
                reason="The tables have a newer revision.",
            )
        fields = {"routes": change.routes, "pools": change.pools}
        return self._commit(change, {k: v for k, v in fields.items() if v is not None})

    def set_zone(self, change):
        """Apply a zone change to the newest document."""
        zones = set(self.tables().zones_out)
        zones = zones - {change.zone} if change.in_service else zones | {change.zone}
        return self._commit(change, {"zones_out": tuple(sorted(zones))})

    def write(self, author, **fields):
        """Commit another operator's change."""
        tables = self.tables()
        self.documents.append(
            msgspec.structs.replace(
                tables,
                revision=tables.revision + 1,
                author=author,
                change_id=f"change-{tables.revision + 1}",
                **fields,
            )
        )

    def _commit(self, change, fields):
        if self.fault == "unavailable":
            reason = "The store does not answer; nothing was changed."
            return ChangeResult(status=ChangeStatus.UNAVAILABLE, reason=reason)
        try:
            check_tables(msgspec.structs.replace(self.tables(), **fields))
        except TableError as error:
            return ChangeResult(
                status=ChangeStatus.REJECTED, reason=error.reason, path=error.path
            )
        if self.fault != "unknown_not_applied":
            self.write(change.author, **fields)
            self.documents[-1] = msgspec.structs.replace(
                self.documents[-1], change_id=change.change_id
            )
        if self.fault in ("unknown_applied", "unknown_not_applied"):
            return ChangeResult(status=ChangeStatus.UNKNOWN)
        return ChangeResult(status=ChangeStatus.ACCEPTED, tables=self.tables())


class RunningAdmin:
    """Administration server on loopback with a fake node and configuration."""

    def __init__(self):
        self.token = ADMIN_TOKEN
        self.address = make_loopback_address()
        self.node = FakeNode()
        self.configuration = FakeConfiguration()
        self.metrics = Metrics()
        application = create_app(
            node=self.node,
            configuration=self.configuration,
            metrics=self.metrics,
            admin_token=self.token,
        )
        self.server = AdminServer(
            application=application, address=Address(self.address)
        )

    def request(self, method, path, body=None, *, token=ADMIN_TOKEN):
        """Send a request; return the status and the body as text or JSON."""
        headers = {"Authorization": f"Bearer {token}"} if token is not None else {}
        payload = body if isinstance(body, bytes) else json.dumps(body).encode()
        response = urllib3.request(
            method, f"http://{self.address}{path}", headers=headers, body=payload
        )
        text = response.data.decode()
        is_json = "json" in response.headers["Content-Type"]
        return response.status, json.loads(text) if is_json else text


def read_request(connection):
    """Read one request with its body; a partial one if the connection ends first."""
    request = b""
    while not is_complete(request):
        chunk = connection.recv(65_536)
        if not chunk:
            break
        request += chunk
    return request


def is_complete(request):
    """Return whether a request has a complete head and body."""
    head, separator, body = request.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: (\d+)", head)
    return bool(separator) and len(body) >= (int(length[1]) if length else 0)


@pytest.fixture
def running_admin():
    """Start an administration server with a fake node and configuration."""
    admin = RunningAdmin()
    admin.server.start()
    yield admin
    admin.server.stop()


@pytest.fixture
def draw_examples():
    """Return a function that draws seeded examples, so that one fleet gets them all."""

    def collect(strategy, count):
        drawn = []

        @settings(
            max_examples=count,
            deadline=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
        )
        @given(example=strategy)
        def draw(example):
            drawn.append(example)

        draw()
        return drawn

    return collect


@pytest.fixture
def serve_connections():
    """Return a function that serves each connection with a function, on a thread.

    It returns the IP address and the port.
    """
    listeners = []

    def start(serve):
        listener = socket.create_server(("127.0.0.1", 0))
        listeners.append(listener)

        def serve_one(connection):
            with connection:
                serve(connection)

        def accept():
            while True:
                try:
                    connection, _ = listener.accept()
                except OSError:
                    return
                threading.Thread(
                    target=serve_one, args=(connection,), daemon=True
                ).start()

        threading.Thread(target=accept, daemon=True).start()
        return listener.getsockname()

    yield start
    for listener in listeners:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()


@pytest.fixture
def lossy_admin(running_admin, serve_connections):
    """Return the address of a proxy that drops the responses to PUT requests."""
    host, _, port = running_admin.address.partition(":")

    def forward(connection):
        request = read_request(connection)
        request = request.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)
        with socket.create_connection((host, int(port))) as server:
            server.sendall(request)
            response = b""
            while chunk := server.recv(1_000_000):
                response += chunk
        if not request.startswith(b"PUT"):
            connection.sendall(response)

    return "{}:{}".format(*serve_connections(forward))
