"""Journal of the requests that a backend server executed."""

import os
import pathlib

import msgspec

__all__ = ["Journal", "JournalEntry", "read_journal_file"]


class JournalEntry(msgspec.Struct, kw_only=True):
    """Execution of one request.

    Attributes
    ----------
    serial : int
        Number of the execution in this process, from 1.
    began_ms : int
        Wall time at which the execution started.
    ended_ms : int
        Wall time at which the execution ended; 0 while it is running.
    status : int
        HTTP status of the response; 0 while the request is running.
    disconnected : bool
        Whether the connection was closed before the response.
    """

    server: str
    process_id: int
    serial: int
    began_ms: int
    ended_ms: int = 0
    method: str = ""
    target: str = ""
    key: str = ""
    nonce: str = ""
    body_digest: str = ""
    request_id: str = ""
    attempt: str = ""
    remaining_ms: int = 0
    status: int = 0
    disconnected: bool = False


class Journal:
    """Entries in memory, with an optional copy in a file.

    The file keeps the entries of processes that crashed or were killed, so that the
    checks see every execution.

    Parameters
    ----------
    path : str or None
        File to append to; each line is an entry as JSON. Each entry is written at
        its start and at its end.
    """

    def __init__(self, *, path: str | None):
        self.entries: list[JournalEntry] = []
        self._encoder = msgspec.json.Encoder()
        self._file = None
        if path:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._file = os.open(path, flags, 0o600)

    def add(self, entry: JournalEntry) -> None:
        """Record the start of an execution."""
        self.entries.append(entry)
        self.write(entry)

    def write(self, entry: JournalEntry) -> None:
        """Append the current state of an entry to the file."""
        if self._file is not None:
            os.write(self._file, self._encoder.encode(entry) + b"\n")


def read_journal_file(path: pathlib.Path) -> list[JournalEntry]:
    """Read the last state of each entry from a journal file.

    Parameters
    ----------
    path : pathlib.Path
        File that one or more processes of a backend server wrote.

    Returns
    -------
    list of JournalEntry
        Sorted by start time; empty when the file does not exist.
    """
    if not path.exists():
        return []
    decoder = msgspec.json.Decoder(JournalEntry)
    entries_by_id: dict[tuple[int, int], JournalEntry] = {}
    for line in path.read_bytes().splitlines():
        try:
            entry = decoder.decode(line)
        except msgspec.DecodeError:
            continue  # the process was killed while writing its last line
        entries_by_id[entry.process_id, entry.serial] = entry
    return sorted(entries_by_id.values(), key=lambda entry: entry.began_ms)
