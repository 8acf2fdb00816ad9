"""Starts, controls and stops a store process."""

import re
import subprocess
import sys

import msgspec
import urllib3

from vanillapitch_testbed.store.counters import StoreCounters
from vanillapitch_testbed.store.exceptions import StoreProcessError
from vanillapitch_testbed.store.faults import Faults

__all__ = ["StoreProcess"]

CONTROL_TIMEOUT_SECONDS = 10
STOP_TIMEOUT_SECONDS = 10

_READY = re.compile(r"listening on (\S+), control on (\S+)")


class StoreProcess:
    """A store process on the loopback address; a context manager.

    Parameters
    ----------
    listen : str
        ``IP:port`` for clients; port 0 for any.
    control : str
        ``IP:port`` for faults and counters; port 0 for any.

    Attributes
    ----------
    address : str
        ``IP:port`` for clients.
    control_address : str
        ``IP:port`` for faults and counters.
    process : subprocess.Popen
        The process, to which signals can be sent.

    Raises
    ------
    StoreProcessError
        If the process exits instead of listening.
    """

    def __init__(self, *, listen: str = "127.0.0.1:0", control: str = "127.0.0.1:0"):
        self.process = subprocess.Popen(
            [
                *(sys.executable, "-m", "vanillapitch_testbed.store"),
                *("--listen", listen, "--control", control),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        ready = _READY.match(self.process.stdout.readline())
        if ready is None:
            self.process.wait()
            raise StoreProcessError(f"the store process did not listen on {listen}")
        self.address, self.control_address = ready.groups()
        self._http = urllib3.PoolManager(retries=False)

    def __enter__(self) -> "StoreProcess":
        return self

    def __exit__(self, *_):
        self.stop()

    def set_faults(self, **faults) -> None:
        """Replace all active faults; without arguments, clear them.

        Parameters
        ----------
        **faults
            Fields of `vanillapitch_testbed.store.faults.Faults`.
        """
        self._control("PUT", "/faults", msgspec.json.encode(Faults(**faults)))

    def counters(self) -> StoreCounters:
        """Return the counters."""
        document = self._control("GET", "/counters")
        return msgspec.json.decode(document, type=StoreCounters)

    def reset_counters(self) -> StoreCounters:
        """Return the counters and set the counts of calls to zero."""
        document = self._control("POST", "/counters/reset", b"{}")
        return msgspec.json.decode(document, type=StoreCounters)

    def stop(self) -> None:
        """Stop the process, with SIGKILL if it does not exit within 10 s."""
        self.process.terminate()
        try:
            self.process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()
        self._http.clear()

    def _control(self, method: str, path: str, body: bytes | None = None) -> bytes:
        response = self._http.request(
            method,
            f"http://{self.control_address}{path}",
            body=body,
            timeout=CONTROL_TIMEOUT_SECONDS,
        )
        if response.status != 200:
            raise StoreProcessError(f"{method} {path}: {response.data.decode()}")
        return response.data
