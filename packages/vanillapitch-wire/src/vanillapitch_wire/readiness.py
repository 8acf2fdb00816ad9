"""Pool of worker threads that wait for ready sockets and serve them.

Each worker waits in epoll itself and serves the socket that it was woken for, so the
thread that the kernel wakes handles the request. Handing work from an event loop to a
thread pool would cost a second wake-up per request, which dominates the tail latency on
a busy machine.
"""

import logging
import select
import socket
import threading
from collections.abc import Callable

__all__ = ["ReadinessPool"]

# One thread waits while the other serves, so a single call starts no further thread.
INITIAL_THREADS = 2

_READ_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT
_WRITE_EVENTS = select.EPOLLOUT | select.EPOLLONESHOT

_log = logging.getLogger("vanillapitch.wire")


class ReadinessPool:
    """Serves ready sockets on a bounded number of threads.

    A socket is disarmed when it becomes ready, so only one thread serves it until the
    callback arms it again. A thread is started only when all others are busy, and is
    then kept: each takes 16 KB, and most daemons serve few sockets at the same time.

    Parameters
    ----------
    name : str
        Prefix of the thread names.
    threads : int
        Maximum number of threads, and so of sockets served at the same time.
    """

    def __init__(self, *, name: str, threads: int):
        self._epoll = select.epoll()
        self._callbacks_by_fd: dict[int, Callable[[], None]] = {}
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._epoll.register(self._wake_receiver, select.EPOLLIN)
        self._name = name
        self._max_threads = threads
        self._lock = threading.Lock()
        self._thread_count = 0
        self._idle_count = 0

    def start(self) -> None:
        """Start the initial threads."""
        with self._lock:
            count = min(INITIAL_THREADS, self._max_threads) - self._thread_count
        for _ in range(count):
            self._start_thread()

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
            Wait until the socket is writable instead of readable.
        """
        self._epoll.modify(sock, _WRITE_EVENTS if for_output else _READ_EVENTS)

    def remove(self, sock: socket.socket) -> None:
        """Stop watching a socket; must be called before the socket is closed.

        Parameters
        ----------
        sock : socket.socket
            The socket.
        """
        self._callbacks_by_fd.pop(sock.fileno(), None)
        self._epoll.unregister(sock)

    def close(self) -> None:
        """Stop the threads once their current callbacks return."""
        # The byte is never read, so it wakes every thread.
        self._wake_sender.send(b"\0")

    def _run(self) -> None:
        wake_fd = self._wake_receiver.fileno()
        while True:
            for fd, _ in self._epoll.poll(maxevents=1):
                if fd == wake_fd:
                    return
                self._start_serving()
                try:
                    self._serve(fd)
                finally:
                    with self._lock:
                        self._idle_count += 1

    def _start_thread(self) -> None:
        with self._lock:
            if self._thread_count >= self._max_threads:
                return
            # Counted before it starts, so that two busy threads start two others.
            self._thread_count += 1
            self._idle_count += 1
            name = f"{self._name}-{self._thread_count - 1}"
        try:
            threading.Thread(target=self._run, name=name, daemon=True).start()
        except RuntimeError:
            # Without a further thread, the existing ones serve all sockets.
            _log.exception("Could not start a worker thread")
            with self._lock:
                self._thread_count -= 1
                self._idle_count -= 1

    def _start_serving(self) -> None:
        with self._lock:
            self._idle_count -= 1
            needs_thread = self._idle_count <= 0
        if needs_thread:
            self._start_thread()

    def _serve(self, fd: int) -> None:
        callback = self._callbacks_by_fd.get(fd)
        if callback is None:
            return
        try:
            callback()
        except Exception:
            _log.exception("The callback of a socket raised an exception")
