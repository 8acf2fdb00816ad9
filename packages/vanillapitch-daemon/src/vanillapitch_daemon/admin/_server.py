"""HTTP server of the administration API."""

import threading
import time

import waitress
from waitress import wasyncore

from vanillapitch_daemon.admin._app import Application
from vanillapitch_daemon.settings import Address

__all__ = ["AdminServer"]

_THREADS = 2
# The store limits the tables document to 1 MB.
_BODY_BYTES_MAX = 2 * 1_048_576
_HEADER_BYTES_MAX = 16_384
_CONNECTIONS_MAX = 64
_IDLE_TIMEOUT_S = 30
_LOOP_TIMEOUT_S = 1.0
_DRAIN_POLL_INTERVAL_S = 0.02
# Workers that are idle end within this time.
_WORKER_EXIT_MIN_S = 0.1


class AdminServer:
    """HTTP server of the administration API, which runs in its own thread.

    Parameters
    ----------
    application : callable
        The WSGI application.
    address : Address
        Address to listen on; bound by the constructor.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def __init__(self, *, application: Application, address: Address):
        self._sockets_by_fd: dict = {}
        self._stopping = threading.Event()
        self._drain_timeout_ms = 0
        try:
            self._server = waitress.create_server(
                application,
                map=self._sockets_by_fd,
                listen=str(address),
                threads=_THREADS,
                ident=None,
                connection_limit=_CONNECTIONS_MAX,
                channel_timeout=_IDLE_TIMEOUT_S,
                max_request_header_size=_HEADER_BYTES_MAX,
                max_request_body_size=_BODY_BYTES_MAX,
                # The VMs have no disks, and larger bodies are buffered in files.
                inbuf_overflow=2 * _BODY_BYTES_MAX,
                outbuf_overflow=1_073_741_824,
                clear_untrusted_proxy_headers=True,
            )
        except OSError as error:
            text = f"{error.strerror} (TCP address {address})"
            raise OSError(error.errno, text) from error
        self._thread = threading.Thread(target=self._run, name="admin", daemon=True)

    def start(self) -> None:
        """Start the thread of the server."""
        self._thread.start()

    def stop(self, *, timeout_ms: int = 2_000) -> None:
        """Close the listener, complete the received requests and stop the thread.

        Parameters
        ----------
        timeout_ms : int
            Time limit for completing the received requests.
        """
        if not self._stopping.is_set():
            self._drain_timeout_ms = timeout_ms
            self._stopping.set()
            self._server.pull_trigger()
        if self._thread.ident is None:
            self._run()
        else:
            self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._poll(timeout_s=_LOOP_TIMEOUT_S)
        self._server.del_channel()
        self._server.socket.close()
        deadline_s = time.monotonic() + self._drain_timeout_ms / 1000
        while self._is_busy() and time.monotonic() < deadline_s:
            self._poll(timeout_s=_DRAIN_POLL_INTERVAL_S)
        workers = self._server.task_dispatcher
        remaining_s = max(_WORKER_EXIT_MIN_S, deadline_s - time.monotonic())
        workers.shutdown(cancel_pending=True, timeout=remaining_s)
        if workers.threads:
            # A worker wakes this loop through the trigger after each request. Closing
            # the trigger would free the descriptor that the worker still writes to.
            self._server.trigger.del_channel(self._sockets_by_fd)
        wasyncore.close_all(self._sockets_by_fd, ignore_all=True)

    def _poll(self, *, timeout_s: float) -> None:
        wasyncore.loop(
            timeout=timeout_s, use_poll=True, map=self._sockets_by_fd, count=1
        )

    def _is_busy(self) -> bool:
        channels = list(self._server.active_channels.values())
        return any(
            channel.requests or channel.total_outbufs_len for channel in channels
        )
