"""Periodic work that no request waits for."""

import logging
import threading
from collections.abc import Callable, Iterable

from vanillapitch_core.membership import MemberChanged, MemberState

__all__ = ["LiveMembers", "Upkeep"]

INTERVAL_S = 1.0

_LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})

_log = logging.getLogger("vanillapitch.upkeep")


class LiveMembers:
    """Collects the live members and hands them on at most once an interval.

    Choosing committers hashes every member for every shard, which would cost
    seconds if it were done for each of hundreds of members that join at once.

    Parameters
    ----------
    publish : callable
        Takes the names of the live members.
    """

    def __init__(self, *, publish: Callable[[Iterable[str]], None]):
        self._publish = publish
        self._lock = threading.Lock()
        self._instances: set[str] = set()
        self._changed = False

    def hear(self, effect: MemberChanged) -> None:
        """Take a change of a member.

        Parameters
        ----------
        effect : MemberChanged
            The change.
        """
        record = effect.record
        with self._lock:
            if record.state in _LIVE_STATES:
                self._instances.add(record.instance)
            else:
                self._instances.discard(record.instance)
            self._changed = True

    def publish_changes(self) -> None:
        """Hand the live members on if they changed since the last call."""
        with self._lock:
            if not self._changed:
                return
            self._changed = False
            instances = frozenset(self._instances)
        self._publish(instances)


class Upkeep:
    """Runs tasks once an interval on one thread.

    Parameters
    ----------
    tasks : iterable of callable
        What to run; an error of one does not stop the others.
    """

    def __init__(self, *, tasks: Iterable[Callable[[], None]]):
        self._tasks = tuple(tasks)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="upkeep", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread after its current task."""
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
