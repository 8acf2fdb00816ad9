"""Starts, controls and stops all processes of a fleet."""

import contextlib
import json
import os
import pathlib
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
from collections.abc import Sequence

import urllib3
from vanillapitch_core.tables import encode_tables

from vanillapitch_testbed.backend import JournalEntry, read_journal_file
from vanillapitch_testbed.fleet._clients import admin_request, control_request
from vanillapitch_testbed.fleet._deployments import Deployment, build_tables
from vanillapitch_testbed.fleet._process import ManagedProcess, wait_until
from vanillapitch_testbed.fleet._vm import Vm
from vanillapitch_testbed.fleet.exceptions import FleetError
from vanillapitch_testbed.loopback import reserve_loopback_subnet

__all__ = ["ADMIN_TOKEN", "Fleet"]

ADMIN_TOKEN = "operator-token-of-the-testbed"
CLUSTER_KEY = "cluster-key-of-the-testbed-0123456789"
_STORE_PORT = 2_379
_STORE_CONTROL_PORT = 2_380
_STORE_PROXY_PORT = 12_379
_PROXY_CONTROL_PORT = 7_000
_FIRST_VM_HOST = 10
_READY_TIMEOUT_S = 30.0
_ADOPTION_TIMEOUT_S = 10.0
_STOP_TIMEOUT_S = 10.0
_CLI_TIMEOUT_S = 30.0


class Fleet:
    """All processes of a deployment; a context manager that starts and stops them.

    Parameters
    ----------
    deployment : Deployment
        Deployment to start.
    proxied : bool
        Whether to place the fault proxy before the store, before the callers' address
        of each daemon and before the peers' and gossip addresses of every second
        daemon. The peers of the other daemons connect directly, so that both refused
        connections and connections that are closed after being accepted occur.
    seed : int
        Seed of the backend servers and the proxy.
    limits : dict
        Fields of ``limits`` in the daemons' settings.
    backend_options : dict
        Command line options of the backend servers, by name.
    daemon_command : sequence of str, optional
        Program and arguments that replace `vanillapitchd`; ``--settings`` is appended.
        It cannot be combined with `proxied`.
    directory : pathlib.Path, optional
        Directory for settings, logs and journals; a temporary one by default.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        proxied: bool = False,
        seed: int = 1,
        limits: dict | None = None,
        backend_options: dict | None = None,
        daemon_command: Sequence[str] | None = None,
        directory: pathlib.Path | None = None,
    ):
        self.deployment = deployment
        self.proxied = proxied
        self.seed = seed
        self._limits = limits or {}
        self._backend_options = backend_options or {}
        if proxied and daemon_command:
            raise ValueError("daemon_command cannot be combined with proxied")
        self._daemon_command = list(daemon_command or [_program("vanillapitchd")])
        self._temporary = directory is None
        self.directory = directory or pathlib.Path(tempfile.mkdtemp(prefix="fleet-"))
        self.directory.mkdir(parents=True, exist_ok=True)
        self._reservation, self._subnet = reserve_loopback_subnet()
        self.vms = self._make_vms()
        self.store = self._make_process("store", self._store_command())
        self.proxy: ManagedProcess | None = None
        if proxied:
            self.proxy = self._make_process("proxy", self._proxy_command())
        for vm in self.vms:
            self._write_settings(vm)

    def __enter__(self) -> "Fleet":
        """Start the fleet, and stop it again when a process fails to start."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, exc_type, exc_value, traceback) -> None:
        """Stop the fleet; print the ends of all logs after an exception."""
        if exc_type is not None:
            print(self.log_tails(), file=sys.stderr)
        self.stop()

    @property
    def store_address(self) -> str:
        """Address of the store, without the proxy."""
        return f"{self._subnet}.1:{_STORE_PORT}"

    @property
    def store_control(self) -> str:
        """Control address of the store."""
        return f"{self._subnet}.1:{_STORE_CONTROL_PORT}"

    @property
    def proxy_control(self) -> str:
        """Control address of the proxy."""
        return f"{self._subnet}.1:{_PROXY_CONTROL_PORT}"

    @property
    def processes(self) -> list[ManagedProcess]:
        """All processes: daemons, backend servers, proxy and store."""
        processes = [vm.daemon for vm in self.vms] + [vm.backend for vm in self.vms]
        return processes + [process for process in (self.proxy, self.store) if process]

    def start(self) -> None:
        """Start all processes, wait until they are ready and apply the tables."""
        self.store.start()
        self._wait_listening(self.store, self.store_address)
        if self.proxy is not None:
            self.proxy.start()
            self._wait_listening(self.proxy, self.proxy_control)
        for vm in self.vms:
            vm.backend.start()
        for vm in self.vms:
            vm.daemon.start()
        for vm in self.vms:
            self.wait_ready(vm)
        self.load_tables()

    def stop(self) -> None:
        """Stop all processes of the fleet, and remove a temporary directory."""
        stopping = [
            threading.Thread(target=process.terminate, args=(_STOP_TIMEOUT_S,))
            for process in self.processes
        ]
        for thread in stopping:
            thread.start()
        for thread in stopping:
            thread.join()
        self._reservation.close()
        if self._temporary:
            shutil.rmtree(self.directory, ignore_errors=True)

    def wait_ready(self, vm: Vm) -> None:
        """Wait until the daemon of a VM reports that it is ready.

        Raises
        ------
        FleetError
            If the daemon exits, or is not ready within 30 s.
        """
        ready = wait_until(
            lambda: not vm.daemon.is_running() or self._is_ready(vm),
            timeout_s=_READY_TIMEOUT_S,
        )
        if not ready or not vm.daemon.is_running():
            raise FleetError(f"{vm.name} is not ready:\n{vm.daemon.log_tail()}")

    def metrics(self, vm: Vm) -> str:
        """Return a daemon's metrics in the Prometheus text format.

        Raises
        ------
        FleetError
            If the HTTP status is not 200.
        """
        response = admin_request(vm.admin, "GET", "/metrics", token=ADMIN_TOKEN)
        if response.status != 200:
            raise FleetError(f"GET /metrics: {response.status}")
        return response.data.decode()

    def reset_max_in_flight(self, vm: Vm) -> None:
        """Reset a backend server's maximum of requests in flight."""
        control_request(vm.control, "POST", "/max-in-flight/reset")

    def load_tables(self) -> None:
        """Apply the tables with the command line tool, and wait for their adoption.

        Raises
        ------
        FleetError
            If the command fails or a daemon does not adopt the tables within 10 s.
        """
        tables = json.loads(encode_tables(build_tables(self.deployment)))
        for name in ("pools", "routes"):
            path = self.directory / f"{name}.json"
            path.write_text(json.dumps(tables[name]))
            result = self.run_cli(name, "apply", str(path))
            if result.returncode:
                raise FleetError(f"{name} apply: {result.stdout}{result.stderr}")
        revision = self.status(self.vms[0])["revision"]
        self.wait_revision(revision)

    def wait_revision(self, revision: int, timeout_s: float = _ADOPTION_TIMEOUT_S):
        """Wait until all running daemons have adopted a revision or a later one."""
        adopted = wait_until(
            lambda: all(
                (self.status(vm) or {}).get("revision", 0) >= revision
                for vm in self.vms
                if vm.daemon.is_running() and not vm.daemon.stopped
            ),
            timeout_s=timeout_s,
        )
        if not adopted:
            raise FleetError(f"not all daemons have adopted revision {revision}")

    def run_cli(
        self, *arguments: str, vm: Vm | None = None
    ) -> subprocess.CompletedProcess:
        """Run the command line tool `vanillapitch` against a daemon."""
        environment = dict(
            os.environ,
            VANILLAPITCH_ADMIN=(vm or self.vms[0]).admin,
            VANILLAPITCH_TOKEN=ADMIN_TOKEN,
        )
        return subprocess.run(
            [_program("vanillapitch"), *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=_CLI_TIMEOUT_S,
            stdin=subprocess.DEVNULL,
        )

    def status(self, vm: Vm) -> dict | None:
        """Return a daemon's status, or None without a successful response in 2 s."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            response = admin_request(
                vm.admin, "GET", "/v1/status", token=ADMIN_TOKEN, timeout_s=2.0
            )
            if response.status == 200:
                return response.json()
        return None

    def restart_daemon(self, vm: Vm) -> None:
        """Start the daemon of a VM again, and announce the backend server to it."""
        vm.daemon.start()
        self.announce_until_accepted(vm)
        self.wait_ready(vm)

    def announce_until_accepted(self, vm: Vm) -> None:
        """Announce a backend server as ready, until its starting daemon accepts it.

        Raises
        ------
        FleetError
            If the daemon exits or does not accept the announcement within 30 s.
        """

        def is_accepted() -> bool:
            if not vm.daemon.is_running():
                raise FleetError(
                    f"the daemon of {vm.name} exited:\n{vm.daemon.log_tail()}"
                )
            if not vm.backend.is_running():
                return True  # the backend server announces itself at its start
            with contextlib.suppress(FleetError):
                self.announce(vm, "ready")
                return True
            return False

        if not wait_until(is_accepted, timeout_s=_READY_TIMEOUT_S, interval_s=0.2):
            raise FleetError(f"the daemon of {vm.name} does not accept announcements")

    def set_zone(self, zone: str, *, in_service: bool, vm: Vm | None = None):
        """Take a zone out of service or back, and return the response."""
        return admin_request(
            (vm or self.vms[0]).admin,
            "PUT",
            f"/v1/zones/{zone}",
            token=ADMIN_TOKEN,
            document={"in_service": in_service},
        )

    def tables(self, vm: Vm) -> dict:
        """Return the tables that a daemon uses.

        Raises
        ------
        FleetError
            If the HTTP status is not 200.
        """
        response = admin_request(vm.admin, "GET", "/v1/tables", token=ADMIN_TOKEN)
        if response.status != 200:
            raise FleetError(f"GET /v1/tables: {response.status}")
        return response.json()

    def history(self, vm: Vm) -> list[dict]:
        """Return the latest 200 revisions, newest first.

        Raises
        ------
        FleetError
            If the HTTP status is not 200.
        """
        path = "/v1/tables/history?limit=200"
        response = admin_request(vm.admin, "GET", path, token=ADMIN_TOKEN)
        if response.status != 200:
            raise FleetError(f"GET {path}: {response.status}")
        return response.json()["history"]

    def put_tables(self, vm: Vm, *, base: dict, **fields):
        """Replace fields of the tables in `base`, and return the response."""
        document = {"base_revision": base["revision"]}
        document.update(pools=base["pools"], routes=base["routes"])
        document.update(fields)
        return admin_request(
            vm.admin, "PUT", "/v1/tables", token=ADMIN_TOKEN, document=document
        )

    def set_scenario(self, vm: Vm, **fields) -> None:
        """Set the faults of a backend server; faults not given are cleared."""
        control_request(vm.control, "PUT", "/scenario", fields)

    def turn_cold(self, vm: Vm) -> None:
        """Restart the warm-up of a backend server from cold."""
        control_request(vm.control, "POST", "/cold")

    def announce(self, vm: Vm, state: str) -> None:
        """Make a backend server announce a state to its daemon."""
        document = {"admin": vm.admin, "token": ADMIN_TOKEN, "state": state}
        response = control_request(vm.control, "PUT", "/announce", document)
        if response["status"] >= 300:
            raise FleetError(f"{vm.name} cannot announce the state {state}: {response}")

    def set_faults(self, link: str, **fields) -> None:
        """Set the faults of a proxy link; faults not given are cleared."""
        control_request(self.proxy_control, "PUT", f"/links/{link}", fields)

    def set_store_faults(self, **fields) -> None:
        """Set the faults of the store process; faults not given are cleared."""
        control_request(self.store_control, "PUT", "/faults", fields)

    def cut_link(self, link: str) -> None:
        """Reset the open connections of a proxy link."""
        control_request(self.proxy_control, "POST", f"/links/{link}/cut")

    def counters(self, vm: Vm) -> dict:
        """Return the counters of a backend server since its process started."""
        return control_request(vm.control, "GET", "/stats")

    def journal(self) -> list[JournalEntry]:
        """Return the journal entries of all processes of all backend servers."""
        entries = []
        for vm in self.vms:
            entries += read_journal_file(vm.journal_path)
        return sorted(entries, key=lambda entry: entry.began_ms)

    def log_tails(self) -> str:
        """Return the last lines of the logs of all processes."""
        return "\n".join(
            f"--- {process.name}\n{process.log_tail()}" for process in self.processes
        )

    def _is_ready(self, vm: Vm) -> bool:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            response = admin_request(
                vm.admin, "GET", "/readyz", token=ADMIN_TOKEN, timeout_s=1.0
            )
            return response.status == 200
        return False

    def _wait_listening(self, process: ManagedProcess, address: str) -> None:
        def is_listening() -> bool:
            host, _, port = address.rpartition(":")
            with contextlib.suppress(OSError):
                socket.create_connection((host, int(port)), 0.5).close()
                return True
            return not process.is_running()

        wait_until(is_listening, timeout_s=_READY_TIMEOUT_S)
        if not process.is_running():
            raise FleetError(f"{process.name} exited:\n{process.log_tail()}")

    def _make_vms(self) -> list[Vm]:
        vms = []
        zones = self.deployment.zones
        for service in self.deployment.services:
            for index in range(service.endpoints):
                vm = Vm(
                    name=f"{service.name}-{index + 1}",
                    ip=f"{self._subnet}.{_FIRST_VM_HOST + len(vms)}",
                    zone=zones[index % len(zones)],
                    service=service,
                    directory=self.directory,
                    proxied=self.proxied and len(vms) % 2 == 1,
                )
                vm.backend = self._make_process(
                    f"{vm.name}-backend", self._backend_command(vm)
                )
                vm.daemon = self._make_process(
                    f"{vm.name}-daemon", self._make_daemon_command(vm)
                )
                vms.append(vm)
        return vms

    def _make_process(self, name: str, command: list[str]) -> ManagedProcess:
        log_path = self.directory / f"{name}.log"
        return ManagedProcess(name=name, command=command, log_path=log_path)

    def _store_command(self) -> list[str]:
        module = "vanillapitch_testbed.store"
        command = [sys.executable, "-m", module, "--listen", self.store_address]
        return [*command, "--control", self.store_control]

    def _proxy_command(self) -> list[str]:
        command = [sys.executable, "-m", "vanillapitch_testbed.proxy"]
        command += ["--control", self.proxy_control, "--seed", str(self.seed)]
        listen = f"{self._subnet}.1:{_STORE_PROXY_PORT}"
        command += ["--link", f"store,tcp,{listen},{self.store_address}"]
        for vm in self.vms:
            link = f"{vm.name}-callers,tcp,{vm.callers_proxy},{vm.callers}"
            command += ["--link", link]
            if vm.proxied:
                link = f"{vm.name}-peers,tcp,{vm.peers},{vm.shifted_peers}"
                command += ["--link", link]
                link = f"{vm.name}-gossip,udp,{vm.gossip},{vm.shifted_gossip}"
                command += ["--link", link]
        return command

    def _backend_command(self, vm: Vm) -> list[str]:
        options = {
            "listen": vm.backend_address,
            "control": vm.control,
            "journal_file": str(vm.journal_path),
            "announce_to": vm.admin,
            "token": ADMIN_TOKEN,
            "name": vm.name,
            "slots": self.deployment.slots,
            "connections": self.deployment.connections,
            "service_ms": vm.service.service_ms,
            "seed": self.seed,
        }
        options.update(self._backend_options)
        command = [sys.executable, "-m", "vanillapitch_testbed.backend"]
        for name, value in options.items():
            command += ["--" + name.replace("_", "-"), str(value)]
        return command

    def _make_daemon_command(self, vm: Vm) -> list[str]:
        command = self._daemon_command
        if vm.proxied:
            module = "vanillapitch_testbed.fleet._shifted_daemon"
            command = [sys.executable, "-m", module]
        return [*command, "--settings", str(vm.settings_path)]

    def _write_settings(self, vm: Vm) -> None:
        store = self.store_address
        if self.proxied:
            store = f"{self._subnet}.1:{_STORE_PROXY_PORT}"
        others = [other.gossip for other in self.vms if other is not vm]
        settings = {
            "instance": {"zone": vm.zone, "region": self.deployment.region},
            "listen": {
                "callers": vm.callers,
                "peers": vm.peers,
                "gossip": vm.gossip,
                "admin": vm.admin,
            },
            "backend": {
                "address": vm.backend_address,
                "service": vm.service.name,
                "slots": self.deployment.slots,
                "connections": self.deployment.connections,
            },
            "platform": {"addresses": [store]},
            "seeds": others[:3],
            "secrets": {"cluster_key": CLUSTER_KEY, "admin_token": ADMIN_TOKEN},
            "limits": self._limits,
        }
        vm.settings_path.write_text(json.dumps(settings, indent=2))


def _program(name: str) -> str:
    return str(pathlib.Path(sys.executable).parent / name)
