"""Departures that daemons hold for each other while the store may not have them."""

from collections.abc import Callable, Iterable

from vanillapitch_core.clock import Clock
from vanillapitch_wire.relay import Departure

from vanillapitch_relay.departure_store import RECORD_RETENTION_MS, DepartureRecord
from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.links import OwnerLink

__all__ = ["DepartureExchange"]

_log = EventLog(part="departures")

# Daemons of each availability zone that hold a departure, so that one survives the loss
# of a zone or a restart of some of them.
HOLDERS_PER_ZONE = 2


class DepartureExchange:
    """Shares the departure of the own endpoint and returns those of others.

    Parameters
    ----------
    node : str
        Name of this VM.
    clock : Clock
        Source of time.
    owed : callable
        Returns the own departure that the store has not confirmed, or None.
    on_returned : callable
        Called with a departure that an earlier process on this VM acknowledged.
    """

    def __init__(
        self,
        *,
        node: str,
        clock: Clock,
        owed: Callable[[], DepartureRecord | None],
        on_returned: Callable[[DepartureRecord], None],
    ):
        self._node = node
        self._clock = clock
        self._owed = owed
        self._on_returned = on_returned
        # Departures of other daemons' endpoints, and when they arrived.
        self._held_by_node: dict[str, tuple[float, Departure]] = {}

    def share(self, record: DepartureRecord, *, links: Iterable[OwnerLink]) -> None:
        """Have some daemons of each availability zone hold a departure.

        Parameters
        ----------
        record : DepartureRecord
            Departure of the own endpoint.
        links : iterable of OwnerLink
            Links to all members.
        """
        message = self._to_message(record)
        holders_by_zone: dict[str, int] = {}
        for link in links:
            zone = link.member.zone
            if link.is_up and holders_by_zone.get(zone, 0) < HOLDERS_PER_ZONE:
                holders_by_zone[zone] = holders_by_zone.get(zone, 0) + 1
                link.send(message)
        if not holders_by_zone:
            _log.warning("departure_not_shared", instance=record.instance)

    def list_for(self, node: str) -> list[Departure]:
        """List the departures to send to a daemon that connects."""
        held = self._held_by_node.get(node)
        owed = self._owed()
        messages = [] if held is None else [held[1]]
        return messages if owed is None else [*messages, self._to_message(owed)]

    def receive(self, departure: Departure) -> None:
        """Hold the departure of another daemon's endpoint, or take back an own one."""
        if departure.node == self._node:
            if departure.instance:
                self._on_returned(
                    DepartureRecord(
                        instance=departure.instance,
                        born_ms=departure.born_ms,
                        stored_ms=departure.stored_ms,
                    )
                )
            return
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - RECORD_RETENTION_MS
        self._held_by_node = {
            node: held
            for node, held in self._held_by_node.items()
            if held[0] >= oldest_ms
        }
        self._held_by_node[departure.node] = (now_ms, departure)

    def _to_message(self, record: DepartureRecord) -> Departure:
        return Departure(
            node=self._node,
            instance=record.instance,
            born_ms=record.born_ms,
            stored_ms=record.stored_ms,
        )
