"""Structured logging: one line for each event, with secrets redacted.

A line has the time, the level, the part of the daemon, a message and fields::

    2026-12-04T08:00:00.123Z INFO main: Draining timeout_ms=20000
"""

import json
import logging
import re
import sys
import time
import traceback
from collections.abc import Iterable
from typing import Any, TextIO

__all__ = ["PartLogger", "configure_logs", "get_log"]

_ROOT = "vanillapitch"
_REDACTED = "[redacted]"
_UNQUOTED_VALUE = re.compile(r"[!#-<>-~]+")
# Log collectors truncate longer lines; only the last frames of a trace are kept.
_MAX_TRACEBACK_CHARACTERS = 4_000


class PartLogger:
    """Logger of one part of the daemon.

    Parameters
    ----------
    part : str
        Fixed prefix of the part, for example ``ingress``.
    """

    def __init__(self, *, part: str):
        self._logger = logging.getLogger(f"{_ROOT}.{part}")

    def debug(self, message: str, **fields: Any) -> None:
        """Log a detail for development."""
        self._write(logging.DEBUG, message, fields)

    def info(self, message: str, **fields: Any) -> None:
        """Log a normal event."""
        self._write(logging.INFO, message, fields)

    def warning(self, message: str, **fields: Any) -> None:
        """Log an event that the daemon handles but that may matter to operators."""
        self._write(logging.WARNING, message, fields)

    def error(self, message: str, **fields: Any) -> None:
        """Log an event that an operator has to act on."""
        self._write(logging.ERROR, message, fields)

    def exception(self, message: str, **fields: Any) -> None:
        """Log an unexpected error with its stack trace."""
        self._write(logging.ERROR, message, fields, with_traceback=True)

    def _write(
        self,
        level: int,
        message: str,
        fields: dict[str, Any],
        *,
        with_traceback: bool = False,
    ) -> None:
        if not self._logger.isEnabledFor(level):
            return
        extra = {"fields": fields}
        # Passed as an argument, so that a percent sign in the message is not a format.
        self._logger.log(level, "%s", message, extra=extra, exc_info=with_traceback)


def get_log(part: str) -> PartLogger:
    """Return the logger of a part of the daemon.

    Parameters
    ----------
    part : str
        Fixed prefix of the part.

    Returns
    -------
    PartLogger
        The logger; usable before `configure_logs`.
    """
    return PartLogger(part=part)


def configure_logs(
    *,
    secrets: Iterable[str] = (),
    level: int = logging.INFO,
    stream: TextIO | None = None,
) -> None:
    """Write all log records of the process to one stream.

    Parameters
    ----------
    secrets : iterable of str
        Texts that are replaced wherever they occur in a line.
    level : int
        Lowest level that is written.
    stream : TextIO or None
        Stream that lines are written to; None for standard error.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_LineFormatter(secrets=secrets))
    root = logging.getLogger()
    for old_handler in list(root.handlers):
        root.removeHandler(old_handler)
    root.addHandler(handler)
    root.setLevel(level)
    # At lower levels, libraries log each connection or retry.
    for library in ("urllib3", "waitress", "pykka", "thrift"):
        logging.getLogger(library).setLevel(max(level, logging.WARNING))
    logging.captureWarnings(True)


class _LineFormatter(logging.Formatter):
    def __init__(self, *, secrets: Iterable[str]):
        super().__init__()
        # Longest first, so that a secret that contains another is replaced completely.
        self._secrets = sorted(filter(None, secrets), key=len, reverse=True)

    def format(self, record: logging.LogRecord) -> str:
        prefix = record.name.removeprefix(f"{_ROOT}.") + ":"
        # Packages that cannot use `PartLogger` may start a message with their part.
        message = record.getMessage().removeprefix(f"{prefix} ")
        parts = [
            _format_time(record.created),
            record.levelname,
            prefix,
            _single_line(self._redact(message)),
        ]
        for key, value in getattr(record, "fields", {}).items():
            parts.append(f"{key}={self._format_value(value)}")
        if record.exc_info and record.exc_info[1] is not None:
            text = "".join(traceback.format_exception(record.exc_info[1]))
            tail = text[-_MAX_TRACEBACK_CHARACTERS:]
            parts.append(f"traceback={self._format_value(tail)}")
        return " ".join(parts)

    def _format_value(self, value: Any) -> str:
        text = self._redact(str(value))
        if _UNQUOTED_VALUE.fullmatch(text):
            return text
        return json.dumps(text)

    def _redact(self, text: str) -> str:
        for secret in self._secrets:
            text = text.replace(secret, _REDACTED)
        return text


def _single_line(text: str) -> str:
    if text.isprintable():
        return text
    return json.dumps(text, ensure_ascii=False)[1:-1]


def _format_time(seconds: float) -> str:
    timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"{timestamp}.{int(seconds * 1000) % 1000:03d}Z"
