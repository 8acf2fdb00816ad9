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

# One waits while the other serves, so that a single call starts no thread.
FIRST_THREADS = 2

_READ_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT
_WRITE_EVENTS = select.EPOLLOUT | select.EPOLLONESHOT

_log = logging.getLogger("vanillapitch.wire")


class ReadinessPool:
    """Serves ready sockets on a bounded number of threads.

    A socket is disarmed when it becomes ready, so one thread at a time serves it,
    until the callback arms it again. Threads are started when all are busy and kept:
    each takes 16 KB, and most daemons serve few sockets at the same time.

    Parameters
    ----------
    name : str
        Prefix of the thread names.
    threads : int
        Most sockets served at the same time.
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
        """Start to serve."""
        with self._lock:
            count = min(FIRST_THREADS, self._max_threads) - self._thread_count
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
                self._begin_serving()
                try:
                    self._serve(fd)
                finally:
                    with self._lock:
                        self._idle_count += 1

    def _start_thread(self) -> None:
        with self._lock:
            if self._thread_count >= self._max_threads:
                return
            # Counted before it runs, so that two busy threads start two others.
            self._thread_count += 1
            self._idle_count += 1
            name = f"{self._name}-{self._thread_count - 1}"
        try:
            threading.Thread(target=self._run, name=name, daemon=True).start()
        except RuntimeError:
            # The system has no thread left; those that run serve all sockets.
            _log.exception("Could not start a thread")
            with self._lock:
                self._thread_count -= 1
                self._idle_count -= 1

    def _begin_serving(self) -> None:
        with self._lock:
            self._idle_count -= 1
            must_grow = self._idle_count <= 0
        if must_grow:
            self._start_thread()

    def _serve(self, fd: int) -> None:
        callback = self._callbacks_by_fd.get(fd)
        if callback is None:
            return
        try:
            callback()
        except Exception:
            _log.exception("The handler of a socket failed")
