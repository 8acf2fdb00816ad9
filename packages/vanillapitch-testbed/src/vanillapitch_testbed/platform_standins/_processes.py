"""Daemons in processes of their own; endpoints and store run in this process."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import tempfile

from vanillapitch_testbed.platform_standins._caller import send_request
from vanillapitch_testbed.platform_standins._fleet import (
    ServiceSpec,
    SimulatedFleet,
    Vm,
)

__all__ = ["READY_TIMEOUT_S", "STOP_TIMEOUT_S", "ProcessFleet"]

READY_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0
# Blocks the reload signal until it is handled, as the launcher of the deployment does.
_RUN_DAEMON = """
import signal, sys
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
from vanillapitch_adapter.main import main
sys.exit(main())
"""


class ProcessFleet(SimulatedFleet):
    """A `SimulatedFleet` whose daemons are processes of their own.

    Parameters
    ----------
    services : list of ServiceSpec
        Services with their endpoints.
    """

    def __init__(self, *, services: list[ServiceSpec]):
        super().__init__(services=services)
        self._folder = tempfile.TemporaryDirectory()
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._pidfds: dict[str, int] = {}

    async def start_daemon(self, vm: Vm, *, script: str = _RUN_DAEMON) -> None:
        """Start the program that the deployment runs, with the log in a file.

        Parameters
        ----------
        vm : Vm
            The VM.
        script : str
            Python source that runs the daemon.
        """
        folder = pathlib.Path(self._folder.name)
        path = folder / f"{vm.settings.node}.json"
        path.write_bytes(vm.document)
        log = (folder / f"{vm.settings.node}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            script,
            stdout=log,
            stderr=log,
            env={**os.environ, "VANILLAPITCH_BOOT": str(path)},
        )
        log.close()
        self._close_pidfd(vm)
        self._processes[vm.settings.node] = process
        self._pidfds[vm.settings.node] = os.pidfd_open(process.pid)

    async def wait_until_connected(self, *, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until every daemon serves a request to each service."""
        async with asyncio.timeout(timeout_s):
            for vm in self.vms:
                for service in self.services:
                    await self._wait_until_served(vm, f"/{service.name}/ready")

    def signal(self, vm: Vm, number: signal.Signals) -> None:
        """Send a signal to the daemon of a VM; raises `ProcessLookupError`.

        It uses a pidfd because `subprocess` polls the process before it sends the
        signal. If the process has just ended, the poll reaps it, and the event loop
        reports exit code 255 instead of the real one.
        """
        signal.pidfd_send_signal(self._pidfds[vm.settings.node], number)

    async def wait_for_exit(self, vm: Vm) -> int:
        """Wait until the daemon of a VM exits; return its exit code."""
        process = self._processes[vm.settings.node]
        return await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)

    def peak_memory_mb(self, vm: Vm) -> float:
        """Return the peak resident memory of the running daemon of a VM, in MB."""
        pid = self._processes[vm.settings.node].pid
        status = pathlib.Path("/proc", str(pid), "status").read_text(encoding="ascii")
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) / 1_024

    def log_of(self, vm: Vm) -> str:
        """Return the log that the daemons of a VM have written."""
        path = pathlib.Path(self._folder.name, f"{vm.settings.node}.log")
        return path.read_text(encoding="utf-8", errors="replace")

    async def kill_daemon(self, vm: Vm) -> None:
        """Kill the daemon of a VM with SIGKILL."""
        process = self._processes.get(vm.settings.node)
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.signal(vm, signal.SIGKILL)
            await process.wait()

    async def stop(self) -> None:
        """Stop all daemons, endpoints and the store."""
        await super().stop()
        for vm in self.vms:
            self._close_pidfd(vm)
        self._folder.cleanup()

    def _close_pidfd(self, vm: Vm) -> None:
        pidfd = self._pidfds.pop(vm.settings.node, None)
        if pidfd is not None:
            os.close(pidfd)

    async def _wait_until_served(self, vm: Vm, target: str) -> None:
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                response = await send_request(
                    vm.settings.caller_address, target, timeout_s=2.0
                )
                if response.status == 200:
                    return
            await asyncio.sleep(0.05)
