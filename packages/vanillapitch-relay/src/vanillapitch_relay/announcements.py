"""Receives announcements from the endpoint on this VM."""

from collections.abc import Callable

from vanillapitch_relay.departure_keeper import DepartureKeeper
from vanillapitch_relay.endpoint_state import (
    AnnouncementVerdict,
    apply_announcement,
    apply_departure,
)
from vanillapitch_relay.exceptions import AnnouncementInvalid
from vanillapitch_relay.http_client import HttpRequest, HttpResponse
from vanillapitch_relay.http_responses import make_response
from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.model import Announcement, Departure, Dialect
from vanillapitch_relay.owner import Owner

__all__ = ["AnnouncementReceiver"]

_log = EventLog(part="announcements")


class AnnouncementReceiver:
    """Applies and acknowledges the announcements of the endpoint.

    Parameters
    ----------
    owner : Owner
        Owner whose endpoint announces itself.
    dialect : Dialect
        Decoder of announcements.
    departures : DepartureKeeper
        Persists acknowledged departures.
    endpoint_address : str
        Address of the endpoint on this VM.
    request_health_check : callable
        Requests a health check of a new endpoint.
    """

    def __init__(
        self,
        *,
        owner: Owner,
        dialect: Dialect,
        departures: DepartureKeeper,
        endpoint_address: str,
        request_health_check: Callable[[], None],
    ):
        self._owner = owner
        self._dialect = dialect
        self._departures = departures
        self._endpoint_address = endpoint_address
        self._request_health_check = request_health_check

    async def handle(
        self, request: HttpRequest, arrived_ms: float, peer_host: str
    ) -> HttpResponse:
        """Apply an announcement and return its acknowledgement or a refusal."""
        try:
            message = self._dialect.decode_announcement(request.target, request.body)
        except AnnouncementInvalid as error:
            _log.warning("announcement_refused", reason=str(error), caller=peer_host)
            return make_response(400, b'{"code":"announcement_invalid"}')
        if isinstance(message, Departure):
            await self._apply_departure(message)
        elif not await self._apply_announcement(message, now_ms=arrived_ms):
            return make_response(409, b'{"code":"announcement_foreign"}')
        return make_response(200, self._dialect.encode_acknowledgement())

    async def _apply_announcement(
        self, announcement: Announcement, *, now_ms: float
    ) -> bool:
        """Apply an announcement; return whether it may be acknowledged."""
        observed = self._owner.parts.observed
        if announcement.address != self._endpoint_address:
            _log.warning(
                "announcement_of_other_address",
                instance=announcement.instance,
                address=announcement.address,
            )
            return False
        previous_instance = observed.instance
        verdict = apply_announcement(observed, announcement, now_ms=now_ms)
        if verdict is not AnnouncementVerdict.ACCEPTED:
            _log.info(
                "announcement_not_believed",
                verdict=verdict.value,
                instance=announcement.instance,
                sequence=announcement.sequence,
                born_ms=announcement.born_ms,
                known_instance=observed.instance,
                known_sequence=observed.sequence,
                known_born_ms=observed.born_ms,
            )
        elif previous_instance != observed.instance or not observed.verified:
            self._owner.parts.pool.close_all()
            self._request_health_check()
        self._owner.refresh()
        if observed.leaving:
            await self._keep_departure()
        return verdict is not AnnouncementVerdict.OTHER_INCARNATION

    async def _apply_departure(self, departure: Departure) -> None:
        observed = self._owner.parts.observed
        if not apply_departure(observed, departure.instance):
            _log.info(
                "departure_of_other_instance",
                instance=departure.instance,
                known_instance=observed.instance,
            )
            return
        self._owner.refresh()
        await self._keep_departure()

    async def _keep_departure(self) -> None:
        self._departures.keep()
        await self._departures.wait_for_attempt()
