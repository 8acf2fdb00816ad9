"""Worker threads that wait on many sockets and serve the one that is ready.

Every worker waits in epoll itself and serves what it is woken for, so a request is
handled by the thread that the kernel woke. A loop that hands work to a pool costs a
second wake-up for each request, and on a busy machine that wake-up dominates the
tail of the latency.
"""

import logging
import select
import socket
import threading
from collections.abc import Callable

__all__ = ["ReadinessPool"]

_READ_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT
_WRITE_EVENTS = select.EPOLLOUT | select.EPOLLONESHOT

_log = logging.getLogger("vanillapitch.wire")


class ReadinessPool:
    """Serves ready sockets on a fixed number of threads.

    A socket is disarmed when it becomes ready, so one thread at a time serves it,
    until the callback arms it again.

    Parameters
    ----------
    name : str
        Prefix of the thread names.
    threads : int
        Sockets served at the same time.
    """

    def __init__(self, *, name: str, threads: int):
        self._epoll = select.epoll()
        self._callbacks_by_fd: dict[int, Callable[[], None]] = {}
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._epoll.register(self._wake_receiver, select.EPOLLIN)
        self._threads = [
            threading.Thread(target=self._run, name=f"{name}-{index}", daemon=True)
            for index in range(threads)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def add(self, sock: socket.socket, callback: Callable[[], None]) -> None:
        """Watch a socket for input.

        Parameters
        ----------
        sock : socket.socket
            The socket.
        callback : callable
            Called on a worker thread each time the socket is ready.
        """
        self._callbacks_by_fd[sock.fileno()] = callback
        self._epoll.register(sock, _READ_EVENTS)

    def arm(self, sock: socket.socket, *, for_output: bool = False) -> None:
        """Watch a disarmed socket again.

        Parameters
        ----------
        sock : socket.socket
            The socket.
        for_output : bool
            Wait until the socket takes output in place of input.
        """
        self._epoll.modify(sock, _WRITE_EVENTS if for_output else _READ_EVENTS)

    def remove(self, sock: socket.socket) -> None:
        """Stop to watch a socket; call it before the socket is closed.

        Parameters
        ----------
        sock : socket.socket
            The socket.
        """
        self._callbacks_by_fd.pop(sock.fileno(), None)
        self._epoll.unregister(sock)

    def close(self) -> None:
        """Stop the threads once their current callbacks return."""
        # The byte is never read, so that it wakes every thread.
        self._wake_sender.send(b"\0")

    def _run(self) -> None:
        wake_fd = self._wake_receiver.fileno()
        while True:
            for fd, _ in self._epoll.poll(maxevents=1):
                if fd == wake_fd:
                    return
                self._serve(fd)

    def _serve(self, fd: int) -> None:
        callback = self._callbacks_by_fd.get(fd)
        if callback is None:
            return
        try:
            callback()
        except Exception:
            _log.exception("The handler of a socket failed")
