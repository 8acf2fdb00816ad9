"""Process with a log file that can be started repeatedly."""

import contextlib
import pathlib
import signal
import subprocess
import time

__all__ = ["ManagedProcess"]

_TERMINATE_TIMEOUT_S = 5.0
_TAIL_LINES = 40


class ManagedProcess:
    """A process that can be started repeatedly, with its log file.

    Parameters
    ----------
    name : str
        Name in log headings and error messages.
    command : list of str
        Program and arguments.
    log_path : pathlib.Path
        File to which standard output and error are appended at each start.
    """

    def __init__(self, *, name: str, command: list[str], log_path: pathlib.Path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.stopped = False
        self._process: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Process id of the last start; 0 before the first."""
        return self._process.pid if self._process else 0

    def start(self) -> None:
        """Start the process; it must not be running."""
        if self.is_running():
            raise RuntimeError(f"{self.name} is already running")
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.stopped = False

    def is_running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if not self.is_running():
            return
        self._process.send_signal(number)
        if number == signal.SIGSTOP:
            self.stopped = True
        elif number == signal.SIGCONT:
            self.stopped = False

    def wait(self, timeout_s: float) -> int:
        """Wait until the process exits, and return its exit code."""
        return self._process.wait(timeout_s)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        if self.is_running():
            self._process.kill()
            self._process.wait()

    def terminate(self, timeout_s: float = _TERMINATE_TIMEOUT_S) -> int:
        """Stop the process with SIGTERM, or with SIGKILL after the timeout."""
        if not self.is_running():
            return self._process.returncode if self._process else 0
        self.send_signal(signal.SIGTERM)
        self.send_signal(signal.SIGCONT)
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.returncode

    def log_tail(self) -> str:
        """Return the last lines of the log."""
        with contextlib.suppress(OSError):
            lines = self.log_path.read_text(errors="replace").splitlines()
            return "\n".join(lines[-_TAIL_LINES:])
        return ""


def wait_until(condition, *, timeout_s: float, interval_s: float = 0.05) -> bool:
    """Poll `condition` until it is true; return whether it was within the timeout."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(interval_s)
    return condition()
