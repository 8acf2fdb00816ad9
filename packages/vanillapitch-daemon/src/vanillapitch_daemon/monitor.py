"""State on the request path that handles messages on the thread that sends them."""

import threading
from typing import Any, Self

__all__ = ["Monitor"]


class Monitor:
    """Owner of state with the message interface of a pykka actor and no thread.

    A message is handled at once under a lock. Handlers on the request path take
    microseconds, while waking an actor's thread and being woken by its answer costs
    fractions of a millisecond, and many times that on a busy machine.

    Handlers must not block and must not send to their own monitor.
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
            What messages are sent to.
        """
        return cls(**arguments)

    def ask(self, message: object) -> Any:
        """Handle a message and return the answer.

        Parameters
        ----------
        message : object
            The message.

        Returns
        -------
        object
            What the handler returns.
        """
        with self._lock:
            return self.on_receive(message)

    def tell(self, message: object) -> None:
        """Handle a message.

        Parameters
        ----------
        message : object
            The message.
        """
        self.ask(message)

    def stop(self) -> None:
        """Mark the state as no longer in use."""
        self._stopped = True

    def is_alive(self) -> bool:
        """Whether `stop` was not called."""
        return not self._stopped

    def on_receive(self, message: object) -> Any:
        """Handle one message; subclasses override it."""
        raise NotImplementedError
