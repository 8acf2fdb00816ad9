"""Base class for state whose messages are handled on the sender's thread."""

import threading
from typing import Any, Self

__all__ = ["Monitor"]


class Monitor:
    """State with the message interface of a pykka actor, but without a thread.

    A message is handled on the sender's thread, under a lock. Handlers on the request
    path take microseconds, while waking an actor's thread and being woken by its reply
    costs fractions of a millisecond, and many times that on a busy machine.

    Handlers must not block and must not send messages to their own monitor.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._stopped = False

    @classmethod
    def start(cls, **arguments: Any) -> Self:
        """Create the monitor.

        Parameters
        ----------
        **arguments
            Passed to the constructor.

        Returns
        -------
        Monitor
            The new monitor.
        """
        return cls(**arguments)

    def ask(self, message: object) -> Any:
        """Handle a message and return the result of the handler.

        Parameters
        ----------
        message : object
            The message.

        Returns
        -------
        object
            Result of the handler.
        """
        with self._lock:
            return self.on_receive(message)

    def tell(self, message: object) -> None:
        """Handle a message and discard the result of the handler.

        Parameters
        ----------
        message : object
            The message.
        """
        self.ask(message)

    def stop(self) -> None:
        """Mark the monitor as stopped; messages are still handled."""
        self._stopped = True

    def is_alive(self) -> bool:
        """Return whether `stop` has not been called."""
        return not self._stopped

    def on_receive(self, message: object) -> Any:
        """Handle one message; subclasses override it."""
        raise NotImplementedError
