"""Parser of callers' requests that enforces the limits of the daemon."""

from vanillapitch_core import Outcome, Refusal, RefusalCode
from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import (
    Error,
    RequestEntityTooLarge,
    RequestHeaderFieldsTooLarge,
)

from vanillapitch_daemon.body_memory import BodyMemory

__all__ = ["RequestParser", "make_adjustments", "make_parser_refusal"]


class _MemoryFull(Error):
    code = 503
    reason = "Service Unavailable"


_CODES_BY_ERROR = {
    RequestEntityTooLarge: RefusalCode.BODY_TOO_LARGE,
    RequestHeaderFieldsTooLarge: RefusalCode.HEADERS_TOO_LARGE,
    _MemoryFull: RefusalCode.MEMORY_FULL,
}


def make_adjustments(*, max_header_bytes: int, max_body_bytes: int) -> Adjustments:
    """Build the settings of waitress's parser.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Limits of one request.

    Returns
    -------
    Adjustments
        The settings.
    """
    return Adjustments(
        ident="vanillapitch",
        max_request_header_size=max_header_bytes,
        # waitress refuses a body of this size, not only a larger one.
        max_request_body_size=max_body_bytes + 1,
        # waitress buffers larger bodies in a file, and VMs have no disks.
        inbuf_overflow=max_body_bytes + 1,
        clear_untrusted_proxy_headers=False,
    )


def make_parser_refusal(error: Error) -> Refusal:
    """Convert an error of the parser to a refusal.

    Parameters
    ----------
    error : waitress.utilities.Error
        The error that the parser recorded.

    Returns
    -------
    Refusal
        A refusal with the outcome ``not_run``.
    """
    return Refusal(
        code=_CODES_BY_ERROR.get(type(error), RefusalCode.BAD_REQUEST),
        outcome=Outcome.NOT_RUN,
        detail=f"{error.body}.",
    )


class RequestParser(HTTPRequestParser):
    """Parser that counts body bytes and refuses ambiguous framing.

    Parameters
    ----------
    adjustments : Adjustments
        See `make_adjustments`.
    memory : BodyMemory
        Limit on the body bytes of all requests.
    """

    def __init__(self, adjustments: Adjustments, memory: BodyMemory):
        super().__init__(adjustments)
        self._memory = memory
        self._reserved_bytes = 0

    def parse_header(self, header_plus):
        """Parse the header and refuse conflicting body lengths."""
        super().parse_header(header_plus)
        if self.chunked and "CONTENT_LENGTH" in self.headers:
            raise ParsingError("Content-Length and Transfer-Encoding conflict")
        if self.version != "1.1" and "TRANSFER_ENCODING" in self.headers:
            raise ParsingError("Transfer-Encoding needs HTTP/1.1")

    def received(self, data):
        """Consume input and reserve memory for the body."""
        consumed = super().received(data)
        if self.error is None:
            self._reserve(max(self.content_length, self.body_bytes_received))
        return consumed

    def _reserve(self, size_bytes: int) -> None:
        missing_bytes = size_bytes - self._reserved_bytes
        if missing_bytes <= 0:
            return
        if self._memory.reserve(missing_bytes):
            self._reserved_bytes = size_bytes
            return
        self.error = _MemoryFull("Too many body bytes are in memory")
        self.completed = True

    def close(self):
        """Release the buffer and the reserved memory."""
        super().close()
        self._memory.release(self._reserved_bytes)
        self._reserved_bytes = 0
