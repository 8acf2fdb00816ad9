"""Actor that knows the claims of this daemon."""

import concurrent.futures
import dataclasses
import logging

import pykka
from vanillapitch_core import Clock
from vanillapitch_core.claims import ClaimRecord, ClaimResult, HeldPhase, HolderState
from vanillapitch_core.claims.sender import HolderRunning

__all__ = [
    "AwaitEnd",
    "CountHeld",
    "DropClaim",
    "EndClaim",
    "EndStored",
    "Holder",
    "OpenClaim",
]

FORGET_INTERVAL_MS = 10_000.0

_log = logging.getLogger("vanillapitch.claims")

_message = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_message
class OpenClaim:
    """A claim is about to be sent to the store."""

    store_key: str
    record: ClaimRecord


@_message
class DropClaim:
    """A claim certainly never gets into the store."""

    claim_id: str


@_message
class EndClaim:
    """A claim has ended; see `HolderState.end`."""

    claim_id: str
    phase: HeldPhase
    result: ClaimResult | None = None
    late_write_possible: bool = False


@_message
class EndStored:
    """The end of a claim is in the store."""

    claim_id: str


@_message
class AwaitEnd:
    """Complete `future` with the holder's statement once the claim has ended."""

    claim_id: str
    future: concurrent.futures.Future


@_message
class CountHeld:
    """Ask for the number of claims that are remembered."""


class Holder(pykka.ThreadingActor):
    """Owns the state of this daemon's claims and answers second senders.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, *, clock: Clock):
        super().__init__()
        self._clock = clock
        self._state = HolderState()
        self._waiting_by_id: dict[str, list[concurrent.futures.Future]] = {}
        self._forget_at_ms = clock.now_ms() + FORGET_INTERVAL_MS

    def on_receive(self, message) -> int | None:
        """Handle one message."""
        match message:
            case OpenClaim():
                self._state.open(message.store_key, message.record)
            case DropClaim():
                self._state.drop(message.claim_id)
                self._answer_waiting(message.claim_id)
            case EndClaim():
                self._end(message)
            case EndStored():
                self._state.record_stored(message.claim_id, self._clock.now_ms())
            case AwaitEnd():
                self._await_end(message)
            case CountHeld():
                return len(self._state)
        self._forget()
        return None

    def _end(self, message: EndClaim) -> None:
        try:
            self._state.end(
                message.claim_id,
                message.phase,
                message.result,
                late_write_possible=message.late_write_possible,
            )
        except ValueError as error:
            # An exception would stop the actor and with it all claims.
            _log.error("claims: %s", error)
            return
        self._answer_waiting(message.claim_id)

    def _await_end(self, message: AwaitEnd) -> None:
        statement = self._state.statement(message.claim_id)
        if not isinstance(statement, HolderRunning):
            message.future.set_result(statement)
            return
        waiting = self._waiting_by_id.setdefault(message.claim_id, [])
        waiting.append(message.future)

    def _answer_waiting(self, claim_id: str) -> None:
        statement = self._state.statement(claim_id)
        for future in self._waiting_by_id.pop(claim_id, ()):
            future.set_result(statement)

    def _forget(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= self._forget_at_ms:
            self._forget_at_ms = now_ms + FORGET_INTERVAL_MS
            self._state.prune(now_ms)
