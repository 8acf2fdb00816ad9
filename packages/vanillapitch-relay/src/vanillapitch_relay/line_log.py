"""Rate-limited, non-blocking structured logging to standard output.

A line is a JSON object with the time, the part, the event and its fields. Lines above
the rate limit, and lines for which the queue is full, are dropped and counted; the
count is written with the next line.
"""

import collections
import contextlib
import logging
import os
import sys

import msgspec
from vanillapitch_core.clock import Clock

__all__ = ["EventLog", "LineWriter"]

# A VM under load logs about 150 decisions per second; the rest allows for bursts. A
# line takes about 20 microseconds.
LINES_PER_S = 400.0
BURST_LINES = 1_200.0
# Capacity of the queue of lines, for the time that standard output is blocked.
MAX_QUEUED_BYTES = 256 * 1024


class LineWriter(logging.Handler):
    """Handler for the `logging` module that writes without blocking.

    Parameters
    ----------
    clock : Clock
        Source of time.
    descriptor : int or None
        File descriptor to write to; standard output if None.
    """

    def __init__(self, *, clock: Clock, descriptor: int | None = None):
        super().__init__()
        self._clock = clock
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        with contextlib.suppress(OSError):
            os.set_blocking(self._descriptor, False)
        self._tokens = BURST_LINES
        self._refilled_at_ms = clock.now_ms()
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self.dropped = 0
        self.written = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record as one line, or drop it."""
        if not self._take_token() and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        line = self._format(record)
        if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
            self.dropped += 1
            return
        self._queue.append(line)
        self._queued_bytes += len(line)
        self.written += 1

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._queue:
            line = self._queue[0]
            try:
                count = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader closed its end, so the error cannot be logged; discard the
                # line.
                count = len(line)
            self._queued_bytes -= count
            if count < len(line):
                self._queue[0] = line[count:]
                return
            self._queue.popleft()

    def _take_token(self) -> bool:
        now_ms = self._clock.now_ms()
        refilled = (now_ms - self._refilled_at_ms) * LINES_PER_S / 1_000.0
        self._tokens = min(BURST_LINES, self._tokens + refilled)
        self._refilled_at_ms = now_ms
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
        try:
            return msgspec.json.encode(fields, enc_hook=str) + b"\n"
        except (ValueError, OverflowError, msgspec.MsgspecError) as error:
            # A value that cannot be encoded must not end the task that logs it.
            fields = {name: ascii(value) for name, value in fields.items()}
            fields["unencodable"] = repr(error)
            return msgspec.json.encode(fields) + b"\n"


class EventLog:
    """Logger of one part of the daemon.

    Parameters
    ----------
    part : str
        Name of the part, written with each line.
    """

    def __init__(self, *, part: str):
        self._logger = logging.getLogger(part)

    def info(self, event: str, **fields: object) -> None:
        """Log a decision or a change of state."""
        self._logger.info(event, extra={"fields": fields})

    def warning(self, event: str, **fields: object) -> None:
        """Log a failure that the daemon handles; exempt from the rate limit."""
        self._logger.warning(event, extra={"fields": fields})

    def error(self, event: str, **fields: object) -> None:
        """Log an unexpected error with the exception being handled."""
        self._logger.error(event, extra={"fields": fields}, exc_info=True)
