"""Journal of the requests that a backend server began and ended."""

import os
import pathlib

import msgspec

__all__ = ["Journal", "JournalEntry", "read_journal_file"]


class JournalEntry(msgspec.Struct, kw_only=True):
    """One request that began.

    Attributes
    ----------
    serial : int
        Number of the request at this backend server's process, from 1.
    began_ms : int
        Wall time at which the work began.
    ended_ms : int
        Wall time at which the work ended; 0 while it runs.
    status : int
        Status of the answer; 0 while the work runs.
    disconnected : bool
        Whether the connection was closed before the answer.
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

    The file keeps the entries of a process that crashed or was killed, so that the
    checks see all the work of a run.

    Parameters
    ----------
    path : str or None
        File to append to; each line is an entry as JSON, written at begin and end.
    """

    def __init__(self, *, path: str | None):
        self.entries: list[JournalEntry] = []
        self._encoder = msgspec.json.Encoder()
        self._file = None
        if path:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._file = os.open(path, flags, 0o600)

    def add(self, entry: JournalEntry) -> None:
        """Record that a request began."""
        self.entries.append(entry)
        self.write(entry)

    def write(self, entry: JournalEntry) -> None:
        """Write an entry's present state to the file."""
        if self._file is not None:
            os.write(self._file, self._encoder.encode(entry) + b"\n")


def read_journal_file(path: pathlib.Path) -> list[JournalEntry]:
    """Read a journal file and keep the last state of each entry.

    Parameters
    ----------
    path : pathlib.Path
        File that a backend server wrote, over one or more processes.

    Returns
    -------
    list of JournalEntry
        In order of their begin; empty when the file does not exist.
    """
    if not path.exists():
        return []
    decoder = msgspec.json.Decoder(JournalEntry)
    entries_by_id: dict[tuple[int, int], JournalEntry] = {}
    for line in path.read_bytes().splitlines():
        try:
            entry = decoder.decode(line)
        except msgspec.DecodeError:
            continue  # the process was killed while it wrote its last line
        entries_by_id[entry.process_id, entry.serial] = entry
    return sorted(entries_by_id.values(), key=lambda entry: entry.began_ms)
