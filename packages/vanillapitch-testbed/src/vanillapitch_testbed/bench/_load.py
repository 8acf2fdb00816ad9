"""Caller processes that start their load at the same time."""

import subprocess
import sys

import msgspec

from vanillapitch_testbed.bench_processes.job import Job, Sample

__all__ = ["CallerProcesses"]

# Added to the duration of a job for the start of its load and the output of samples.
_EXIT_MARGIN_S = 20.0
_SAMPLES_DECODER = msgspec.json.Decoder(list[Sample])


class CallerProcesses:
    """Caller processes with one job each.

    Parameters
    ----------
    jobs : list of Job
        Job of each process.
    """

    def __init__(self, *, jobs: list[Job]):
        self._jobs = jobs
        command = [sys.executable, "-m", "vanillapitch_testbed.bench_processes.caller"]
        self._processes = [
            subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
            for _ in jobs
        ]

    def __enter__(self) -> "CallerProcesses":
        """Wait until all processes are ready, then start the load."""
        for process, job in zip(self._processes, self._jobs, strict=True):
            process.stdin.write(msgspec.json.encode(job) + b"\n")
            process.stdin.flush()
        for process in self._processes:
            process.stdout.readline()
        for process in self._processes:
            process.stdin.write(b"start\n")
            process.stdin.flush()
        return self

    def __exit__(self, exc_type, exc_value, traceback) -> None:
        """Kill processes that are still running, and close their pipes."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()
            process.stdin.close()
            process.stdout.close()

    def join(self) -> list[Sample]:
        """Wait for the end of the load, and return all samples by arrival time.

        Raises
        ------
        RuntimeError
            If a caller process exits with an error.
        subprocess.TimeoutExpired
            If a caller process is still running after its job and the margin.
        """
        samples = []
        for process, job in zip(self._processes, self._jobs, strict=True):
            timeout_s = job.duration_s + job.timeout_ms / 1_000 + _EXIT_MARGIN_S
            output, _ = process.communicate(timeout=timeout_s)
            if process.returncode:
                raise RuntimeError(
                    f"caller process exited with status {process.returncode}"
                )
            samples += _SAMPLES_DECODER.decode(output)
        return sorted(samples, key=lambda sample: sample.at_s)
