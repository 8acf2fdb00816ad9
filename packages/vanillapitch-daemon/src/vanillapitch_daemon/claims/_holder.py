"""Actor that holds the claims of this daemon."""

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

PRUNE_INTERVAL_MS = 10_000.0

_log = logging.getLogger("vanillapitch.claims")

_message_class = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_message_class
class OpenClaim:
    """Add a claim; sent before the claim is sent to a committer."""

    store_key: str
    record: ClaimRecord


@_message_class
class DropClaim:
    """Remove a claim that is not in the store and will never be."""

    claim_id: str


@_message_class
class EndClaim:
    """Record the end of a claim, see `HolderState.end`."""

    claim_id: str
    phase: HeldPhase
    result: ClaimResult | None = None
    late_write_possible: bool = False


@_message_class
class EndStored:
    """Record that the end of a claim is in the store."""

    claim_id: str


@_message_class
class AwaitEnd:
    """Complete `future` with the holder's statement when the claim has ended."""

    claim_id: str
    future: concurrent.futures.Future


@_message_class
class CountHeld:
    """Return the number of claims that are held."""


class Holder(pykka.ThreadingActor):
    """Holds this daemon's claims and reports their ends to other senders of the key.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    use_daemon_thread = True

    def __init__(self, *, clock: Clock):
        super().__init__()
        self._clock = clock
        self._state = HolderState()
        self._waiting_by_id: dict[str, list[concurrent.futures.Future]] = {}
        self._prune_at_ms = clock.now_ms() + PRUNE_INTERVAL_MS

    def on_receive(self, message) -> int | None:
        """Handle one message."""
        match message:
            case OpenClaim():
                self._state.open(message.store_key, message.record)
            case DropClaim():
                self._state.drop(message.claim_id)
                self._complete_waiting(message.claim_id)
            case EndClaim():
                self._end(message)
            case EndStored():
                self._state.record_stored(message.claim_id, self._clock.now_ms())
            case AwaitEnd():
                self._await_end(message)
            case CountHeld():
                return len(self._state)
        self._prune()
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
            # An exception would stop the actor, which holds the claims of all keys.
            _log.error("claims: %s", error)
            return
        self._complete_waiting(message.claim_id)

    def _await_end(self, message: AwaitEnd) -> None:
        statement = self._state.statement(message.claim_id)
        if not isinstance(statement, HolderRunning):
            message.future.set_result(statement)
            return
        waiting = self._waiting_by_id.setdefault(message.claim_id, [])
        waiting.append(message.future)

    def _complete_waiting(self, claim_id: str) -> None:
        statement = self._state.statement(claim_id)
        for future in self._waiting_by_id.pop(claim_id, ()):
            future.set_result(statement)

    def _prune(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= self._prune_at_ms:
            self._prune_at_ms = now_ms + PRUNE_INTERVAL_MS
            self._state.prune(now_ms)
