"""Stand-ins of the platform, its endpoints and its clients, on loopback addresses.

They do what the users' pages say (PROTOCOL.md, DEPLOY.md), and nothing else unless a
case asks for a disruption. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "shop.example"
PREFIX = "X-Vanillapitch-"
HEARTBEAT_S = 1.5


class CannotRun(Exception):  # noqa: N818
    """The case could not be played; its result says nothing about the rule."""


# HTTP ---------------------------------------------------------------------------------


class Request:
    """A request as a server stand-in read it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the first line and the headers by lower-case name; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader):
    """Read one request with its complete body; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    length = int(head[1].get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def encode_answer(status, body, headers=None, *, phrase=None):
    """Encode an answer with a length."""
    phrases = {200: b"OK", 421: b"Misdirected Request", 503: b"Service Unavailable"}
    phrase = phrases.get(status, b"Answer") if phrase is None else phrase
    lines = [b"HTTP/1.1 %d " % status + phrase]
    for name, value in (headers or {}).items():
        lines.append(f"{name}: {value}".encode("latin-1"))
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def serve(host, port, handle, *, writers=None):
    """Serve HTTP; `handle(request, writer)` returns whether to keep the connection."""

    async def on_connection(reader, writer):
        if writers is not None:
            writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await handle(request, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if writers is not None:
                writers.discard(writer)
            writer.close()

    return await asyncio.start_server(on_connection, host, port, backlog=512)


# The platform's store -----------------------------------------------------------------


class Store:
    """The platform's metadata store: keys, leases, watches and transactions."""

    def __init__(self, host, port):
        self.address = f"{host}:{port}"
        self._host, self._port = host, port
        self.silent_hosts = set()  # Peers that get no answer.
        self.busy = False  # Whether all calls are answered 503; nothing is done.
        self.revision = 1
        self._items = {}
        self._events = []
        self._leases = {}
        self._ids = itertools.count(100)
        self._changed = asyncio.Event()
        self.calls = 0

    async def start(self):
        """Start to serve."""
        self._server = await serve(self._host, self._port, self._handle)
        self._task = asyncio.create_task(self._expire())

    def put(self, key, value, lease_id=0):
        """Write a key, as the operator does; the return is the acknowledgement."""
        self.revision += 1
        created = self._items.get(key, {"created": self.revision})["created"]
        self._items[key] = {
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease_id,
        }
        self._record(key, self._encode(key))
        return self.revision

    def delete(self, key):
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "tombstone": True}
            self._record(key, event)

    def keys(self, prefix):
        """List the keys with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _record(self, key, event):
        self._events.append((self.revision, key, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode(self, key):
        item = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(item["value"]).decode(),
            "revision": item["revision"],
            "created_rev": item["created"],
            "lease_id": item["lease"],
        }

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease_id, (ends, _) in list(self._leases.items()):
                if ends <= time.monotonic():
                    self._end_lease(lease_id)

    def _end_lease(self, lease_id):
        self._leases.pop(lease_id, None)
        for key, item in list(self._items.items()):
            if item["lease"] == lease_id:
                self.delete(key)

    async def _handle(self, request, writer):
        self.calls += 1
        peer = writer.get_extra_info("peername")[0]
        if peer in self.silent_hosts or "*" in self.silent_hosts:
            await asyncio.sleep(3600)
        await asyncio.sleep(0.004)
        if self.busy:
            writer.write(encode_answer(503, b"{}"))
            return True
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        status, body = await self._answer(request, parts.path, query)
        if peer in self.silent_hosts or "*" in self.silent_hosts:
            await asyncio.sleep(3600)
        headers = {"Content-Type": "application/json"}
        writer.write(encode_answer(status, json.dumps(body).encode(), headers))
        return True

    async def _answer(self, request, path, query):
        if path == "/api/kv-key":
            if query["key"] not in self._items:
                return 404, {}
            item = self._encode(query["key"])
            return 200, {**item, "store_revision": self.revision}
        if path == "/api/kv-range":
            keys = [
                key
                for key in self.keys(query["prefix"])
                if key > query.get("after", "")
            ]
            return 200, {
                "items": [self._encode(key) for key in keys[:500]],
                "has_more": len(keys) > 500,
                "store_revision": self.revision,
            }
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return self._transact(json.loads(request.body))
        if path == "/api/kv-lease":
            ttl_s = json.loads(request.body)["ttl_s_time"]
            lease_id = next(self._ids)
            self._leases[lease_id] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease_id": lease_id, "ttl_s_time": ttl_s}
        lease_id = int(path.rpartition("/")[2])
        if path.startswith("/api/kv-lease-end/"):
            self._end_lease(lease_id)
            return 200, {}
        if lease_id not in self._leases:
            return 404, {}
        ttl_s = self._leases[lease_id][1]
        self._leases[lease_id] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"ttl_s_time": ttl_s}

    async def _watch(self, query):
        after, until = (
            int(query["after"]),
            time.monotonic() + int(query["wait_ms"]) / 1e3,
        )
        while True:
            events = [
                event
                for revision, key, event in self._events
                if revision > after and key.startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, body):
        for row in body["expected_rev"]:
            item = self._items.get(row["key"])
            if row["revision"] != (0 if item is None else item["revision"]):
                return 412, {"items": []}
        for write in body["writes"]:
            if write["lease_id"] and write["lease_id"] not in self._leases:
                return 404, {}
        for write in body["writes"]:
            self.put(write["key"], base64.b64decode(write["value"]), write["lease_id"])
        for key in body["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}


# Endpoints ----------------------------------------------------------------------------


class Endpoint:
    """One endpoint: runs requests, answers health checks and sends heartbeats."""

    _numbers = itertools.count(1)

    def __init__(self, machine, service, record, *, slots=8):
        self.machine = machine
        self.service = service
        self.slots = slots
        self.record = record
        self.instance = f"i-{next(self._numbers):04x}{random.randrange(16**4):04x}"
        self.born = int(time.time() * 1e3)
        self.sequence = 0
        self.state = "ready"
        self.runs = []  # (id, target, time)
        self.running = 0
        self.mangle = None  # Called with an answer's parts; may spoil them.
        self.on_run = None  # Called with each request that runs.
        self._beats = None
        self._writers = set()

    async def start(self):
        """Start to serve and to send heartbeats."""
        self._server = await serve(
            self.machine.ip, self.machine.app, self._handle, writers=self._writers
        )
        self._beats = asyncio.create_task(self._send_beats())

    def end(self):
        """End as a process does: nothing listens any more, connections are closed."""
        self._beats.cancel()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self.record(f"{self.instance} has ended")

    def _load(self):
        return f"{self.running},0,{self.slots},100"

    async def _handle(self, request, writer):
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            headers = {
                f"{PREFIX}Instance-Id": self.instance,
                f"{PREFIX}Server-Load": self._load(),
            }
            writer.write(encode_answer(status, b"", headers))
            return True
        expected = request.headers.get("x-vanillapitch-expected-instance")
        if expected not in (None, self.instance):
            headers = {f"{PREFIX}Instance-Id": self.instance}
            writer.write(encode_answer(421, b"", headers))
            return True
        request_id = request.headers.get("x-vanillapitch-attempt-id", "")
        self.runs.append((request_id, request.target, time.monotonic()))
        self.record(f"{self.instance} runs {request_id} {request.target}")
        if self.on_run is not None:
            self.on_run(request)
        self.running += 1
        match = re.search(r"work_ms=(\d+)", request.target)
        try:
            await asyncio.sleep(int(match[1]) / 1e3 if match else 0.02)
        finally:
            self.running -= 1
        body = f"body of {request_id} by {self.instance}".encode()
        headers = {
            f"{PREFIX}Attempt-Id": request_id,
            f"{PREFIX}Server-Seal": f"{self.instance}.{request_id}",
            f"{PREFIX}Server-Load": self._load(),
        }
        phrase = b"OK"
        if self.mangle is not None:
            phrase = self.mangle(request_id, phrase)
        writer.write(encode_answer(200, body, headers, phrase=phrase))
        return True

    def beat_body(self, state=None):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "address": f"{self.machine.ip}:{self.machine.app}",
            "born": self.born,
            "node_info": {
                "service": self.service,
                "version": "v1",
                "zone": self.machine.zone,
                "slots": self.slots,
            },
            "status": {
                "state": state or self.state,
                "sequence": self.sequence,
                "cold_remaining_s": 0,
            },
        }

    async def tell(self, call, body):
        """Send a heartbeat or a deregistration; return the status, or 0."""
        status, *_ = await send(
            self.machine.ip,
            self.machine.control,
            f"/api/rpc?call=instances.{call}&of={self.instance}",
            method="POST",
            body=json.dumps(body).encode() if body else b"",
            timeout_s=1.0,
        )
        return status

    async def _send_beats(self):
        while True:
            await self.tell("heartbeat", self.beat_body())
            await asyncio.sleep(HEARTBEAT_S)

    def stop_beats(self):
        """Send no more heartbeats."""
        self._beats.cancel()


# Clients ------------------------------------------------------------------------------


def encode_request(target, *, method="GET", body=b"", request_id="", deadline_ms=1500):
    """Encode a request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    if request_id:
        lines.append(f"{PREFIX}Attempt-Id: {request_id}")
        lines.append(f"{PREFIX}Deadline-Ms: {deadline_ms}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader):
    """Read one answer; return status, headers and body, or None without one."""
    head = await read_head(reader)
    if head is None:
        return None
    status = int(head[0].split(" ")[1])
    try:
        body = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return status, head[1], body


async def send(host, port, target, *, timeout_s=3.0, **options):
    """Send one request on a new connection; return status, headers, body.

    The status is 0 if the connection failed or ended, -1 if no answer came in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(encode_request(target, **options))
                return await read_answer(reader) or (0, {}, b"")
            finally:
                writer.close()
    except TimeoutError:
        return -1, {}, b""
    except OSError:
        return 0, {}, b""


# A small deployment -------------------------------------------------------------------


class Machine:
    """A machine: one daemon process and the endpoint beside it."""

    def __init__(self, name, ip, zone, service, ports):
        self.name, self.ip, self.zone, self.service = name, ip, zone, service
        self.app, self.inbound, self.ready, self.outbound, self.control = ports[:5]
        self.internal = ports[5]
        self.first_start = True
        self.process = None
        self.endpoint = None


def render(template, fields):
    """Fill in a template of settings as DEPLOY.md tells it (values only)."""

    def find(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return None
        return value

    def replace(match):
        path, as_json = match[1], match[2]
        value = find(path)
        if as_json:
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", replace, template)


class Deployment:
    """Daemons of the deploy file as processes, with stand-ins for all else.

    Parameters
    ----------
    layout : list of tuple
        Zone and service of each machine.
    """

    def __init__(self, layout, *, folder, bounds=None):
        self.folder = pathlib.Path(folder)
        self._lines = []
        self.started = time.monotonic()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self._command = role["run"].split()
        self._template = (ROOT / role["template"]).read_text()
        if not (ROOT / "target/deps").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        self._temporary = tempfile.TemporaryDirectory()
        subnet = self._find_subnet(len(layout))
        ports = self._find_ports(f"{subnet}.1", 8)
        self.store = Store(f"{subnet}.1", ports[6])
        self.bounds = {
            "drain_s": 2, "grace_s": 6, "config_apply_s": 2, "contact_s": 3,
            "retry_budget_ratio": 0.2, "retry_budget_slack": 58, "budget_window_s": 10,
            "cold_overshoot": 1.5, "cold_slack": 5, **(bounds or {}),
        }  # fmt: skip
        self.machines = [
            Machine(f"sidecar-{zone}-{n}", f"{subnet}.{10 + n}", zone, service, ports)
            for n, (zone, service) in enumerate(layout, 1)
        ]
        self.services = sorted({service for _, service in layout})
        self._version = 0

    @staticmethod
    def _find_subnet(count):
        """Find loopback addresses on which the fixed metrics port is free."""
        for _ in range(50):
            subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for n in range(1, count + 12):
                    with socket.socket() as probe:
                        probe.bind((f"{subnet}.{n}", 9464))
            except OSError:
                continue
            return subnet
        raise CannotRun("no free loopback addresses")

    @staticmethod
    def _find_ports(ip, count):
        sockets = [socket.socket() for _ in range(count)]
        for item in sockets:
            item.bind((ip, 0))
        ports = [item.getsockname()[1] for item in sockets]
        for item in sockets:
            item.close()
        return ports

    def record(self, text):
        """Add a line to the record of the case."""
        self._lines.append(f"{time.monotonic() - self.started:8.3f} {text}")

    def write_record(self):
        """Write the record of the case."""
        (self.folder / "record.txt").write_text("\n".join(self._lines) + "\n")

    def configure(self, **changes):
        """Write a configuration as the operator does."""
        self._version += 3
        routes = []
        for service in self.services:
            for suffix, kind in (("", "safe"), ("-once", "unsafe")):
                routes.append(
                    {
                        "name": f"r-{service}{suffix}",
                        "host": HOST,
                        "prefix": f"/{service}{suffix}/",
                        "route_kind": kind,
                        "timeout_s": 1.5,
                        "target_latency_s": 0.4,
                        "priority": 1,
                        "service": service,
                        "max_attempts": 2,
                        **changes.get(f"{service}{suffix}", {}),
                    }
                )
        resources = [
            {
                "resource_kind": "routes",
                "metadata": {"name": route.pop("name")},
                "specification": route,
            }
            for route in routes
        ]
        for service in self.services:
            resources.append(
                {
                    "resource_kind": "services",
                    "metadata": {"name": service},
                    "specification": {
                        "health_path": "/health",
                        "max_connections": 220,
                        "cold_start_s": 3.0,
                        "cold_per_s": 30.0,
                    },
                }
            )
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4000000,
            "header_timeout_s": 3.0,
            "idle_timeout_s": 15.0,
        }
        resources.append(
            {"resource_kind": "limits", "metadata": {}, "specification": limits}
        )
        document = {"version": f"{self._version:08x}", "resources": resources}
        self.record(f"operator writes configuration {document['version']}")
        self.store.put("op/config", json.dumps(document).encode())

    def settings_of(self, machine):
        """Render the settings file of a daemon."""
        fields = {
            "node_name": machine.name,
            "zone": machine.zone,
            "ip": machine.ip,
            "is_first_start": machine.first_start,
            "listen_addrs": {
                "inbound": f"{machine.ip}:{machine.inbound}",
                "outbound": f"{machine.ip}:{machine.outbound}",
                "ready": f"{machine.ip}:{machine.ready}",
                "control": f"{machine.ip}:{machine.control}",
            },
            "internal_port_range": [machine.internal, machine.internal + 15],
            "app_addr": f"{machine.ip}:{machine.app}",
            "service": machine.service,
            "platform": {"address": self.store_address(machine), "ttl_min_s": 1},
            "bounds": self.bounds,
        }
        return render(self._template, fields)

    def store_address(self, machine):
        """Address of the store for a machine; a case may put a proxy there."""
        return self.store.address

    async def start_daemon(self, machine):
        """Start the daemon with the command of the deploy file."""
        path = pathlib.Path(self._temporary.name) / f"{machine.name}.json"
        path.write_text(self.settings_of(machine))
        machine.first_start = False
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["VANILLAPITCH_BOOT"] = str(path)
        log = pathlib.Path(self._temporary.name) / f"{machine.name}.log"
        with log.open("ab") as output:
            machine.process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.record(f"{machine.name} starts, process {machine.process.pid}")

    def signal(self, machine, number):
        """Send a signal to a daemon that this case started."""
        self.record(f"{signal.Signals(number).name} to {machine.name}")
        machine.process.send_signal(number)

    async def kill(self, machine):
        """Kill a daemon."""
        self.signal(machine, signal.SIGKILL)
        await machine.process.wait()

    def log_of(self, machine):
        """Return what the daemons of a machine have logged."""
        path = pathlib.Path(self._temporary.name) / f"{machine.name}.log"
        return path.read_text(errors="replace")

    async def start(self, **changes):
        """Start store, daemons and endpoints; wait until every route is served."""
        await self.store.start()
        self.configure(**changes)
        for machine in self.machines:
            machine.endpoint = Endpoint(machine, machine.service, self.record)
            await self.start_daemon(machine)
            await machine.endpoint.start()
        await self.wait_until_served()
        for machine in self.machines:
            machine.endpoint.runs.clear()
        self.record("all machines serve all routes")

    async def wait_until_served(self, machines=None, timeout_s=20.0):
        """Wait until machines serve every service."""
        try:
            async with asyncio.timeout(timeout_s):
                for machine in machines or self.machines:
                    for service in self.services:
                        while (
                            await send(
                                machine.ip,
                                machine.outbound,
                                f"/{service}/start",
                                request_id=new_id(),
                            )
                        )[0] != 200:
                            await asyncio.sleep(0.05)
        except TimeoutError:
            raise CannotRun("the deployment does not serve") from None

    async def stop(self):
        """Kill all daemons."""
        for machine in self.machines:
            if machine.process is not None and machine.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
                await machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            for machine in self.machines:
                (self.folder / f"{machine.name}.log").write_text(self.log_of(machine))
        self._temporary.cleanup()


def new_id():
    """Return a new id of a client attempt."""
    return f"{random.randrange(16**16):016x}"


def main(play, *, folder, layout, trouble):
    """Play a case; `play(deployment, trouble)` returns whether the rule held."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def run():
        deployment = Deployment(layout, folder=folder)
        try:
            async with asyncio.timeout(110):
                return await play(deployment, trouble)
        finally:
            await deployment.stop()
            deployment.write_record()

    try:
        held = asyncio.run(run())
    except Exception as error:
        # Only a rule that was seen to be broken ends with 1.
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    print("the rule held" if held else "the rule was broken", flush=True)
    # Ends without collecting the stand-ins that still wait on their connections.
    os._exit(0 if held else 1)
