"""Transports of asyncio protocols without sockets."""

import asyncio
from collections.abc import Callable

__all__ = ["RecordingTransport", "run_protocol"]

TASKS_TIMEOUT_S = 5.0


class RecordingTransport(asyncio.Transport):
    """Transport that keeps what is written.

    Attributes
    ----------
    written : bytes
        All bytes written.
    closing : bool
        Whether it was closed or aborted.
    reading : bool
        Whether the protocol accepts bytes.
    """

    def __init__(self):
        super().__init__()
        self.written = b""
        self.closing = False
        self.reading = True

    def write(self, data: bytes) -> None:
        """Keep the bytes."""
        self.written += data

    def write_eof(self) -> None:
        """Accept the end of the stream."""

    def pause_reading(self) -> None:
        """Accept no bytes."""
        self.reading = False

    def resume_reading(self) -> None:
        """Accept bytes again."""
        self.reading = True

    def is_closing(self) -> bool:
        """Return whether the transport was closed."""
        return self.closing

    def close(self) -> None:
        """Close the transport."""
        self.closing = True

    abort = close

    def get_write_buffer_size(self) -> int:
        """Return 0, since all bytes count as sent."""
        return 0


def run_protocol(
    make_protocol: Callable[[], asyncio.Protocol], data: bytes
) -> RecordingTransport:
    """Deliver bytes to a protocol, let its tasks run and end its connection.

    Parameters
    ----------
    make_protocol : callable
        Creates the protocol; called in the event loop.
    data : bytes
        Bytes to deliver.

    Returns
    -------
    RecordingTransport
        What the protocol wrote.
    """

    async def body() -> RecordingTransport:
        transport = RecordingTransport()
        protocol = make_protocol()
        protocol.connection_made(transport)
        protocol.data_received(data)
        async with asyncio.timeout(TASKS_TIMEOUT_S):
            while len(asyncio.all_tasks()) > 1:
                await asyncio.sleep(0)
        protocol.connection_lost(None)
        return transport

    return asyncio.run(body())
