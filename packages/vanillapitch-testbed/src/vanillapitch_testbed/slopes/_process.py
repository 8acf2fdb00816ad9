"""Processor time, memory and wake-ups of a process, read from ``/proc``."""

import dataclasses
import os
import pathlib
import re
import time

__all__ = ["Sample", "Spent", "sample"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Fields of /proc/PID/stat after the command, see proc(5): utime and stime.
_USER_TICKS = 11
_SYSTEM_TICKS = 12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Spent:
    """What a process spent between two samples.

    Attributes
    ----------
    cpu_percent : float
        Percent of one core.
    wakeups_per_s : float
        Voluntary context switches of all its threads.
    """

    cpu_percent: float
    wakeups_per_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """State of a process at one time.

    Attributes
    ----------
    at_s : float
        Monotonic time.
    cpu_s : float
        Processor time since its start, user and system.
    resident_mb, anonymous_mb : float
        Resident memory, and the part of it that is not backed by files.
    threads : int
        Number of threads.
    wakeups : int
        Voluntary context switches of the threads that are alive.
    """

    at_s: float
    cpu_s: float
    resident_mb: float
    anonymous_mb: float
    threads: int
    wakeups: int

    def spent_since(self, earlier: "Sample") -> Spent:
        """Return what was spent since an earlier sample."""
        elapsed_s = self.at_s - earlier.at_s
        return Spent(
            cpu_percent=100 * (self.cpu_s - earlier.cpu_s) / elapsed_s,
            wakeups_per_s=(self.wakeups - earlier.wakeups) / elapsed_s,
        )


def sample(pid: int) -> Sample:
    """Read the state of a process that this program started.

    Parameters
    ----------
    pid : int
        Process id.

    Returns
    -------
    Sample
        Its state now.
    """
    directory = pathlib.Path(f"/proc/{pid}")
    stat = (directory / "stat").read_text().rpartition(")")[2].split()
    status = (directory / "status").read_text()
    ticks = int(stat[_USER_TICKS]) + int(stat[_SYSTEM_TICKS])
    return Sample(
        at_s=time.monotonic(),
        cpu_s=ticks / _TICKS_PER_S,
        resident_mb=_field(status, "VmRSS") / 1024,
        anonymous_mb=_field(status, "RssAnon") / 1024,
        threads=_field(status, "Threads"),
        wakeups=sum(_task_wakeups(task) for task in (directory / "task").iterdir()),
    )


def _task_wakeups(task: pathlib.Path) -> int:
    try:
        return _field((task / "status").read_text(), "voluntary_ctxt_switches")
    except OSError:
        return 0  # the thread ended in the meantime


def _field(status: str, name: str) -> int:
    found = re.search(rf"^{name}:\s+(\d+)", status, re.MULTILINE)
    return int(found.group(1)) if found else 0
