"""Structured log lines on standard output, bounded in rate and never blocking.

A line is one JSON object with the time, the part, what happened and its inputs. Lines
beyond the rate, and lines that standard output does not take, are dropped and counted;
the count is written with the next line.
"""

import collections
import contextlib
import logging
import os
import sys

import msgspec
from vanillapitch_core.clock import Clock

__all__ = ["EventLog", "LineWriter"]

# One line for each decision at the load of a VM, about 150 a second, with room for
# bursts; a line takes about 20 microseconds.
LINES_PER_S = 400.0
BURST_LINES = 1_200.0
# Lines wait here while standard output is full.
MAX_WAITING_BYTES = 256 * 1024


class LineWriter(logging.Handler):
    """Handler of the standard library's logging that writes without blocking.

    Parameters
    ----------
    clock : Clock
        Source of time.
    descriptor : int
        Where lines go.
    """

    def __init__(self, *, clock: Clock, descriptor: int | None = None):
        super().__init__()
        self._clock = clock
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        with contextlib.suppress(OSError):
            os.set_blocking(self._descriptor, False)
        self._tokens = BURST_LINES
        self._filled_at_ms = clock.now_ms()
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self.dropped = 0
        self.written = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line, or drop it."""
        if not self._take_token() and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        line = self._format(record)
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        self.written += 1

    def flush(self) -> None:
        """Write what standard output takes."""
        while self._waiting:
            line = self._waiting[0]
            try:
                count = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, so there is no place left to say so.
                count = len(line)
            self._waiting_bytes -= count
            if count < len(line):
                self._waiting[0] = line[count:]
                return
            self._waiting.popleft()

    def _take_token(self) -> bool:
        now_ms = self._clock.now_ms()
        filled = (now_ms - self._filled_at_ms) * LINES_PER_S / 1_000.0
        self._tokens = min(BURST_LINES, self._tokens + filled)
        self._filled_at_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _format(self, record: logging.LogRecord) -> bytes:
        fields = {
            "at_ms": self._clock.wall_ms(),
            "part": record.name,
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.levelno != logging.INFO:
            fields["level"] = record.levelname.lower()
        if record.exc_info and record.exc_info[1] is not None:
            fields["error"] = repr(record.exc_info[1])
        if self.dropped:
            fields["dropped_lines"] = self.dropped
        return msgspec.json.encode(fields, enc_hook=str) + b"\n"


class EventLog:
    """Log of one part of the daemon.

    Parameters
    ----------
    part : str
        Name of the part.
    """

    def __init__(self, *, part: str):
        self._logger = logging.getLogger(part)

    def info(self, event: str, **fields: object) -> None:
        """Record a decision or a change of state."""
        self._logger.info(event, extra={"fields": fields})

    def warning(self, event: str, **fields: object) -> None:
        """Record a failure that the daemon handles; never dropped for its rate."""
        self._logger.warning(event, extra={"fields": fields})

    def error(self, event: str, **fields: object) -> None:
        """Record an unexpected error with the exception being handled."""
        self._logger.error(event, extra={"fields": fields}, exc_info=True)
