"""Processor time, memory and wake-ups of a process, read from ``/proc``."""

import dataclasses
import os
import pathlib
import re
import time

__all__ = ["ResourceUsage", "Sample", "sample"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Indices of utime and stime among the fields of /proc/PID/stat that follow the command
# name, see proc(5).
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResourceUsage:
    """Resources that a process used between two samples.

    Attributes
    ----------
    cpu_percent : float
        Processor time in percent of one core.
    wakeups_per_s : float
        Voluntary context switches per second of all its threads.
    """

    cpu_percent: float
    wakeups_per_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """Resource counters of a process at one time.

    Attributes
    ----------
    at_s : float
        Monotonic time of the reading.
    cpu_s : float
        User and system processor time since the start of the process.
    resident_mb, anonymous_mb : float
        Resident memory, and the part of it that is anonymous (not backed by files).
    threads : int
        Number of threads.
    wakeups : int
        Voluntary context switches of the threads that have not exited.
    """

    at_s: float
    cpu_s: float
    resident_mb: float
    anonymous_mb: float
    threads: int
    wakeups: int

    def usage_since(self, earlier: "Sample") -> ResourceUsage:
        """Return the resources used since an earlier sample."""
        elapsed_s = self.at_s - earlier.at_s
        return ResourceUsage(
            cpu_percent=100 * (self.cpu_s - earlier.cpu_s) / elapsed_s,
            wakeups_per_s=(self.wakeups - earlier.wakeups) / elapsed_s,
        )


def sample(pid: int) -> Sample:
    """Read the resource counters of a process that this program started.

    Parameters
    ----------
    pid : int
        Process id.

    Returns
    -------
    Sample
        The current counters.
    """
    directory = pathlib.Path(f"/proc/{pid}")
    stat = (directory / "stat").read_text().rpartition(")")[2].split()
    status = (directory / "status").read_text()
    ticks = int(stat[_USER_TICKS_FIELD]) + int(stat[_SYSTEM_TICKS_FIELD])
    return Sample(
        at_s=time.monotonic(),
        cpu_s=ticks / _TICKS_PER_S,
        resident_mb=_read_field(status, "VmRSS") / 1024,
        anonymous_mb=_read_field(status, "RssAnon") / 1024,
        threads=_read_field(status, "Threads"),
        wakeups=sum(
            _read_task_wakeups(task) for task in (directory / "task").iterdir()
        ),
    )


def _read_task_wakeups(task: pathlib.Path) -> int:
    try:
        return _read_field((task / "status").read_text(), "voluntary_ctxt_switches")
    except OSError:
        return 0  # the thread exited after the directory was listed


def _read_field(status: str, name: str) -> int:
    found = re.search(rf"^{name}:\s+(\d+)", status, re.MULTILINE)
    return int(found.group(1)) if found else 0
