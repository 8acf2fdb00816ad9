"""Health checks of the endpoint on this VM."""

import asyncio
import math
from collections.abc import Callable

from vanillapitch_relay.cold_rate import compute_cold_limit
from vanillapitch_relay.endpoint_messages import is_leaving
from vanillapitch_relay.endpoint_state import (
    HealthCheckResult,
    ObservedEndpoint,
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

# Interval between checks of a usable endpoint. Each check costs the endpoint a few
# milliseconds; cold starts and restarts are detected within this time even without
# requests.
PROBE_INTERVAL_MS = 500.0
# Interval between checks of an unusable endpoint.
DOWN_INTERVAL_MS = 150.0
PROBE_TIMEOUT_MS = 400.0
# Consecutive checks that must time out before an endpoint that accepts connections
# counts as unreachable, because an endpoint without free slots may not answer.
PROBE_TIMEOUTS_TO_UNREACHABLE = 2
# A crash is attributed to the requests whose connections broke within this time before
# the crash was detected.
CRASH_ATTRIBUTION_MS = 700.0
# Longer cold times cannot be distinguished from corrupted ones.
MAX_COLD_MS = 86_400_000.0


class EndpointMonitor:
    """Task that checks the endpoint and updates its last known state.

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
        self._timed_out_probes = 0
        self._is_checking = False
        self._next_check: asyncio.Future[None] | None = None

    def request_health_check(self) -> None:
        """Check at once, for example after a failed request."""
        self._wake.set()

    async def await_health_check(self) -> None:
        """Wait until a check ends; concurrent waiters share the same check."""
        if self._next_check is None:
            self._next_check = asyncio.get_running_loop().create_future()
            if not self._is_checking:
                self.request_health_check()
        await asyncio.shield(self._next_check)

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
            if self._next_check is not None:
                self._next_check.set_result(None)
                self._next_check = None

    def _interval_ms(self) -> float:
        observed = self._owner.parts.observed
        if observed.verified and observed.reachable:
            return PROBE_INTERVAL_MS
        return DOWN_INTERVAL_MS

    async def _check(self) -> None:
        configuration = self._configuration()
        observed = self._owner.parts.observed
        if configuration is None:
            return
        limits = configuration.services_by_name.get(observed.service)
        if limits is None:
            return
        self._owner.admission.max_connections = limits.max_connections
        self._apply_cold_limits(limits)
        was_usable = observed.reachable and observed.verified
        incarnation = observed.incarnation
        sent_ms = self._owner.parts.clock.now_ms()
        try:
            response = await self._probe(limits.health_path)
        except ConnectFailed as error:
            self._record_unreachable(str(error))
        except TimeoutError:
            self._close()
            self._timed_out_probes += 1
            if self._timed_out_probes >= PROBE_TIMEOUTS_TO_UNREACHABLE:
                self._record_unreachable("health checks time out")
        except RelayError as error:
            self._close()
            _log.info("probe_failed", reason=str(error), instance=observed.instance)
            self._owner.parts.metrics.count_probe("failed")
        else:
            self._timed_out_probes = 0
            self._record_response(observed, response)
            if observed.verified:
                self._owner.record_notices(
                    response.headers, incarnation=incarnation, check_sent_ms=sent_ms
                )
        if was_usable and not (observed.reachable and observed.verified):
            self._strike_broken_requests()
        self._owner.refresh()

    def _apply_cold_limits(self, limits: ServiceLimits) -> None:
        bounds = self._bounds()
        cold = self._owner.admission.cold
        cold.duration_ms = limits.cold_start_ms
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
                    # The connection was closed while idle, or the endpoint stopped; a
                    # new connection shows which.
                    self._close()
            self._connection = await open_connection(
                address, timeout_ms=PROBE_TIMEOUT_MS
            )
            return await self._connection.exchange(request)

    def _record_response(
        self, observed: ObservedEndpoint, response: HttpResponse
    ) -> None:
        parts = self._owner.parts
        names = parts.dialect.headers
        instance = find_header(response.headers, names.instance) or b""
        cold = find_header(response.headers, names.cold_remaining) or b"0"
        load = find_header(response.headers, names.load)
        endpoint_load = None if load is None else parts.dialect.decode_load(load)
        now_ms = parts.clock.now_ms()
        self._owner.record_load(response.headers)
        previous_instance = observed.instance
        apply_health(
            observed,
            HealthCheckResult(
                healthy=response.status == 200
                and not is_leaving(response.headers, names=names),
                instance=instance.decode("latin-1"),
                cold_remaining_ms=_parse_ms(cold),
                slots=0 if endpoint_load is None else endpoint_load.slots,
            ),
            now_ms=now_ms,
        )
        parts.metrics.count_probe("answered")
        if observed.instance != previous_instance:
            _log.info("endpoint_adopted", instance=observed.instance)

    def _record_unreachable(self, reason: str) -> None:
        observed = self._owner.parts.observed
        self._close()
        if observed.reachable:
            _log.warning(
                "endpoint_unreachable", reason=reason, instance=observed.instance
            )
        apply_unreachable(observed)
        self._owner.parts.metrics.count_probe("unreachable")

    def _strike_broken_requests(self) -> None:
        """Record a strike for each request that broke when the endpoint crashed."""
        parts = self._owner.parts
        now_ms = parts.clock.now_ms()
        broken = self._owner.broken_fingerprints
        for fingerprint, broke_ms in broken.items():
            if now_ms - broke_ms <= CRASH_ATTRIBUTION_MS:
                parts.quarantine.strike(fingerprint)
        broken.clear()

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _parse_ms(value: bytes) -> float:
    try:
        cold_ms = float(value)
    except ValueError:
        cold_ms = math.nan
    if cold_ms <= MAX_COLD_MS:
        return max(0.0, cold_ms)
    _log.warning("cold_time_unreadable", value=value.decode("latin-1"))
    return 0.0
