"""Thread that reads the tables in the store at its start and watches them."""

import random
import threading
from collections.abc import Callable

from vanillapitch_core import TableError
from vanillapitch_core.tables import Tables
from vanillapitch_store import EventKind, KeyValueStore, StoreCompacted, StoreError

from vanillapitch_daemon.configuration._store import TABLES_KEY, decode_entry
from vanillapitch_daemon.logs import get_log

__all__ = ["StoreWatcher"]

WATCH_TIMEOUT_MS = 20_000
MIN_RETRY_DELAY_MS = 250.0
MAX_RETRY_DELAY_MS = 10_000.0

_log = get_log("configuration")


class StoreWatcher:
    """Delivers tables from the store.

    Every daemon reads the document once at its start. After that only the watchers of
    each zone watch it; other daemons receive revisions from peers.

    Parameters
    ----------
    store : KeyValueStore
        The platform's store.
    deliver : callable
        Called with each document.
    random_source : random.Random
        Source of randomness for retry delays.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        deliver: Callable[[Tables], None],
        random_source: random.Random,
    ):
        self._store = store
        self._deliver = deliver
        self._random = random_source
        self._is_watcher = False
        self._closed = False
        self._has_read = False
        self._next_revision = 0
        self._retry_delay_ms = MIN_RETRY_DELAY_MS
        self._changed = threading.Condition()
        self._thread = threading.Thread(
            target=self._run, name="store-watcher", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def set_watching(self, is_watcher: bool) -> None:
        """Start or stop watching; a watch call in progress is not aborted.

        Parameters
        ----------
        is_watcher : bool
            Whether this daemon watches for its zone.
        """
        with self._changed:
            if is_watcher == self._is_watcher:
                return
            self._is_watcher = is_watcher
            self._changed.notify_all()
        _log.info(
            "Changed whether this daemon watches the store", is_watcher=is_watcher
        )

    def close(self) -> None:
        """Stop the thread after the call in progress."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def _run(self) -> None:
        while self._wait_for_work():
            try:
                self._step()
                self._retry_delay_ms = MIN_RETRY_DELAY_MS
            except StoreCompacted:
                self._has_read = False
            except StoreError as error:
                _log.warning("Could not read the store", code=error.code, error=error)
                self._back_off()
            except TableError as error:
                _log.error("The tables document in the store is invalid", error=error)
                # Reads the current document next, not the same event again.
                self._has_read = False
                self._back_off()
            except Exception:
                _log.exception("Watching the store failed")
                self._back_off()

    def _wait_for_work(self) -> bool:
        with self._changed:
            while not self._closed and self._has_read and not self._is_watcher:
                # Reads the changes that were made while this daemon did not watch.
                self._changed.wait()
                self._has_read = False
            return not self._closed

    def _step(self) -> None:
        if not self._has_read:
            self._read()
            return
        result = self._store.watch(TABLES_KEY, self._next_revision, WATCH_TIMEOUT_MS)
        for event in result.events:
            if event.kind is EventKind.PUT:
                self._deliver(decode_entry(event.entry))
            else:
                _log.error("The tables document was deleted from the store")
        self._next_revision = result.next_revision

    def _read(self) -> None:
        result = self._store.get(TABLES_KEY)
        self._next_revision = result.revision + 1
        self._has_read = True
        if result.entry is not None:
            self._deliver(decode_entry(result.entry))

    def _back_off(self) -> None:
        # Jitter, so that not all daemons call the store at once when an outage ends.
        wait_ms = self._retry_delay_ms * self._random.uniform(0.5, 1.5)
        self._retry_delay_ms = min(MAX_RETRY_DELAY_MS, 2 * self._retry_delay_ms)
        with self._changed:
            if not self._closed:
                self._changed.wait(wait_ms / 1000)
