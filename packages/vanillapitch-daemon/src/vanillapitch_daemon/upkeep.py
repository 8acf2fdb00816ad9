"""Periodic background tasks that no request waits for."""

import logging
import threading
from collections.abc import Callable, Iterable

__all__ = ["Upkeep"]

INTERVAL_S = 1.0

_log = logging.getLogger("vanillapitch.upkeep")


class Upkeep:
    """Executes tasks periodically on one thread.

    Parameters
    ----------
    tasks : iterable of callable
        Tasks to execute; an error in one does not stop the others.
    """

    def __init__(self, *, tasks: Iterable[Callable[[], None]]):
        self._tasks = tuple(tasks)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="upkeep", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after its current tasks."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(INTERVAL_S):
            for task in self._tasks:
                self._run_task(task)

    def _run_task(self, task: Callable[[], None]) -> None:
        try:
            task()
        except Exception:
            _log.exception("upkeep: task failed")
