"""The tables document and its history in the platform's store."""

import dataclasses

from vanillapitch_core.tables import Tables, encode_tables, parse_tables
from vanillapitch_store import (
    Delete,
    Entry,
    Get,
    KeyValueStore,
    Put,
    mod_revision_is,
)

__all__ = ["TABLES_KEY", "StoredTables", "TablesStore", "decode_entry"]

TABLES_KEY = "/vanillapitch/tables"
HISTORY_PREFIX = "/vanillapitch/history/"
# Covers more than a day at 380 changes a day; documents of 20 KB then take 10 MB.
MAX_HISTORY_REVISIONS = 500
# etcd rejects transactions with more than 128 operations.
MAX_READS_PER_TRANSACTION = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredTables:
    """The tables document as read from the store.

    Attributes
    ----------
    tables : Tables
        The document; empty tables of revision 0 when there is none.
    mod_revision : int
        Store revision of its last change; 0 when there is none.
    history : Tables or None
        The requested history entry; None if not requested or not stored.
    """

    tables: Tables
    mod_revision: int
    history: Tables | None


class TablesStore:
    """Reads and swaps the tables document.

    Parameters
    ----------
    store : KeyValueStore
        The platform's store.
    """

    def __init__(self, *, store: KeyValueStore):
        self._store = store

    def read(self, history_revision: int | None = None) -> StoredTables:
        """Read the document and one history entry in one transaction.

        Parameters
        ----------
        history_revision : int, optional
            Revision whose history entry to read.

        Returns
        -------
        StoredTables
            The document and the history entry.

        Raises
        ------
        vanillapitch_store.StoreError
            If the store does not answer.
        TableError
            If the document is invalid.
        """
        reads = [Get(key=TABLES_KEY)]
        if history_revision is not None:
            reads.append(Get(key=_history_key(history_revision)))
        results = self._store.transact((), reads).results
        entries = [result.entry for result in results]
        has_history = len(entries) > 1 and entries[1] is not None
        return StoredTables(
            tables=decode_entry(entries[0]),
            mod_revision=entries[0].mod_revision if entries[0] else 0,
            history=decode_entry(entries[1]) if has_history else None,
        )

    def swap(self, tables: Tables, expected_mod_revision: int) -> bool:
        """Replace the document and add its history entry in one transaction.

        Parameters
        ----------
        tables : Tables
            The new document.
        expected_mod_revision : int
            Store revision that the document must still have.

        Returns
        -------
        bool
            False when the document has changed.

        Raises
        ------
        vanillapitch_store.StoreError
            If the store does not confirm the swap.
        """
        document = encode_tables(tables)
        writes = [
            Put(key=TABLES_KEY, value=document),
            Put(key=_history_key(tables.revision), value=document),
        ]
        if tables.revision > MAX_HISTORY_REVISIONS:
            oldest = _history_key(tables.revision - MAX_HISTORY_REVISIONS)
            writes.append(Delete(key=oldest))
        compares = [mod_revision_is(TABLES_KEY, expected_mod_revision)]
        return self._store.transact(compares, writes).succeeded

    def read_history(self, limit: int) -> tuple[Tables, ...]:
        """Read the last revisions.

        Parameters
        ----------
        limit : int
            Maximum number of revisions.

        Returns
        -------
        tuple of Tables
            Revisions, newest first.

        Raises
        ------
        vanillapitch_store.StoreError
            If the store does not answer.
        """
        newest = self.read().tables.revision
        revisions = list(range(newest, max(0, newest - limit), -1))
        entries: list[Entry | None] = []
        for start in range(0, len(revisions), MAX_READS_PER_TRANSACTION):
            chunk = revisions[start : start + MAX_READS_PER_TRANSACTION]
            reads = [Get(key=_history_key(revision)) for revision in chunk]
            results = self._store.transact((), reads).results
            entries += [result.entry for result in results]
        return tuple(parse_tables(entry.value) for entry in entries if entry)


def decode_entry(entry: Entry | None) -> Tables:
    """Decode the document of an entry.

    Parameters
    ----------
    entry : Entry or None
        Entry of the store.

    Returns
    -------
    Tables
        The tables; empty ones without an entry.

    Raises
    ------
    TableError
        If the document is invalid.
    """
    return Tables() if entry is None else parse_tables(entry.value)


def _history_key(revision: int) -> str:
    # Fixed width, so that the order of keys is the order of revisions.
    return f"{HISTORY_PREFIX}{revision:012d}"
