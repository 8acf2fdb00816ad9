"""Health checks of the endpoint on this VM."""

import asyncio
from collections.abc import Callable

from vanillapitch_relay.cold_rate import compute_cold_limit
from vanillapitch_relay.endpoint_state import (
    EndpointBelief,
    HealthAnswer,
    apply_health,
    apply_unreachable,
)
from vanillapitch_relay.exceptions import (
    ConnectFailed,
    ConnectionBroken,
    RelayError,
)
from vanillapitch_relay.http_client import (
    HttpConnection,
    HttpRequest,
    HttpResponse,
    find_header,
    open_connection,
)
from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.model import Bounds, Configuration, ServiceLimits
from vanillapitch_relay.owner import Owner

__all__ = ["EndpointMonitor"]

_log = EventLog(part="monitor")

# Each check costs the endpoint a few milliseconds; cold starts and restarts are seen
# within this time even without requests.
PROBE_INTERVAL_MS = 500.0
# While the endpoint cannot be used.
DOWN_INTERVAL_MS = 150.0
PROBE_TIMEOUT_MS = 400.0
# Checks that must time out in a row before an endpoint that accepts connections counts
# as unreachable; a full endpoint may not answer.
SILENT_PROBES = 2
# A crash is blamed on the requests that broke within this time before it was seen.
BLAME_MS = 700.0


class EndpointMonitor:
    """Task that checks the endpoint and updates the owner's belief.

    Parameters
    ----------
    owner : Owner
        The owner.
    configuration : callable
        Returns the configuration in force, or None.
    bounds : callable
        Returns the deployment's bounds.
    """

    def __init__(
        self,
        *,
        owner: Owner,
        configuration: Callable[[], Configuration | None],
        bounds: Callable[[], Bounds],
    ):
        self._owner = owner
        self._configuration = configuration
        self._bounds = bounds
        self._wake = asyncio.Event()
        self._connection: HttpConnection | None = None
        self._silent = 0
        self._is_checking = False
        self._measured: asyncio.Future[None] | None = None

    def examine(self) -> None:
        """Check at once, because a request failed."""
        self._wake.set()

    async def measure(self) -> None:
        """Return after the next check that ends; all that wait share it."""
        if self._measured is None:
            self._measured = asyncio.get_running_loop().create_future()
            if not self._is_checking:
                self.examine()
        await asyncio.shield(self._measured)

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            interval_ms = self._interval_ms()
            try:
                async with asyncio.timeout(interval_ms / 1_000.0):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            self._is_checking = True
            await self._check()
            self._is_checking = False
            if self._measured is not None:
                self._measured.set_result(None)
                self._measured = None

    def _interval_ms(self) -> float:
        belief = self._owner.parts.belief
        if belief.verified and belief.reachable:
            return PROBE_INTERVAL_MS
        return DOWN_INTERVAL_MS

    async def _check(self) -> None:
        configuration = self._configuration()
        belief = self._owner.parts.belief
        if configuration is None:
            return
        limits = configuration.services_by_name.get(belief.service)
        if limits is None:
            return
        self._owner.admission.max_connections = limits.max_connections
        self._apply_cold_limits(limits)
        was_sound = belief.reachable and belief.verified
        try:
            answer = await self._probe(limits.health_path)
        except ConnectFailed as error:
            self._note_unreachable(str(error))
        except TimeoutError:
            self._close()
            self._silent += 1
            if self._silent >= SILENT_PROBES:
                self._note_unreachable("health checks time out")
        except RelayError as error:
            self._close()
            _log.info("probe_failed", reason=str(error), instance=belief.instance)
            self._owner.parts.metrics.count_probe("failed")
        else:
            self._silent = 0
            self._note_answer(belief, answer)
        if was_sound and not (belief.reachable and belief.verified):
            self._blame()
        self._owner.refresh()

    def _apply_cold_limits(self, limits: ServiceLimits) -> None:
        bounds = self._bounds()
        cold = self._owner.admission.cold
        cold.start_ms = limits.cold_start_ms
        cold.limit = compute_cold_limit(
            cold_per_s=limits.cold_per_s,
            overshoot=bounds.cold_overshoot,
            slack=bounds.cold_slack,
        )

    async def _probe(self, path: str) -> HttpResponse:
        address = self._owner.parts.pool.address
        headers = [(b"host", address.encode())]
        request = HttpRequest(method="GET", target=path, headers=headers)
        async with asyncio.timeout(PROBE_TIMEOUT_MS / 1_000.0):
            if self._connection is not None and self._connection.is_usable:
                try:
                    return await self._connection.exchange(request)
                except ConnectionBroken:
                    # Closed while idle, or the endpoint ended; a new one tells which.
                    self._close()
            self._connection = await open_connection(
                address, timeout_ms=PROBE_TIMEOUT_MS
            )
            return await self._connection.exchange(request)

    def _note_answer(self, belief: EndpointBelief, answer: HttpResponse) -> None:
        parts = self._owner.parts
        names = parts.dialect.headers
        instance = find_header(answer.headers, names.instance) or b""
        cold = find_header(answer.headers, names.cold_remaining) or b"0"
        load = find_header(answer.headers, names.load)
        figures = None if load is None else parts.dialect.decode_load(load)
        now_ms = parts.clock.now_ms()
        self._owner.learn_load(answer.headers)
        known = belief.instance
        apply_health(
            belief,
            HealthAnswer(
                healthy=answer.status == 200,
                instance=instance.decode("latin-1"),
                cold_remaining_ms=_parse_ms(cold),
                slots=0 if figures is None else figures.slots,
            ),
            now_ms=now_ms,
        )
        parts.metrics.count_probe("answered")
        if belief.instance != known:
            _log.info("endpoint_adopted", instance=belief.instance)

    def _note_unreachable(self, reason: str) -> None:
        belief = self._owner.parts.belief
        self._close()
        if belief.reachable:
            _log.warning(
                "endpoint_unreachable", reason=reason, instance=belief.instance
            )
        apply_unreachable(belief)
        self._owner.parts.metrics.count_probe("unreachable")

    def _blame(self) -> None:
        """Give the requests that broke when the endpoint ended a strike."""
        parts = self._owner.parts
        now_ms = parts.clock.now_ms()
        broken = self._owner.broken_fingerprints
        for fingerprint, broke_ms in broken.items():
            if now_ms - broke_ms <= BLAME_MS:
                parts.quarantine.strike(fingerprint)
        broken.clear()

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _parse_ms(value: bytes) -> float:
    try:
        return max(0.0, float(value))
    except ValueError:
        _log.warning("cold_time_unreadable", value=value.decode("latin-1"))
        return 0.0
