"""Assembles a daemon: listeners, tasks, signal handlers and graceful shutdown."""

import asyncio
import logging
import math
import signal
from collections.abc import Awaitable, Callable

from vanillapitch_core.clock import Clock, SystemClock
from vanillapitch_store.exceptions import StoreError
from vanillapitch_store.model import PrefixResult
from vanillapitch_wire.relay import MemberInfo

from vanillapitch_relay.announcements import AnnouncementReceiver
from vanillapitch_relay.body_budget import BodyBudget
from vanillapitch_relay.configuration_follower import ConfigurationFollower
from vanillapitch_relay.configuration_state import ConfigurationState
from vanillapitch_relay.departure_exchange import DepartureExchange
from vanillapitch_relay.departure_keeper import DepartureKeeper
from vanillapitch_relay.departure_store import DepartureRecord, DepartureStore
from vanillapitch_relay.documents import parse_address
from vanillapitch_relay.endpoint_monitor import EndpointMonitor
from vanillapitch_relay.endpoint_pool import EndpointPool
from vanillapitch_relay.endpoint_state import ObservedEndpoint, apply_departures_read
from vanillapitch_relay.exceptions import SettingsInvalid
from vanillapitch_relay.http_client import HttpRequest, HttpResponse
from vanillapitch_relay.http_responses import make_response
from vanillapitch_relay.http_server import (
    CallerConnection,
    Handler,
    ServerState,
)
from vanillapitch_relay.hub import Hub
from vanillapitch_relay.ingress import Ingress
from vanillapitch_relay.line_log import EventLog, LineWriter
from vanillapitch_relay.metrics import Metrics
from vanillapitch_relay.model import Dialect, EndpointState, Settings
from vanillapitch_relay.owner import Owner, OwnerParts
from vanillapitch_relay.quarantine import Quarantine
from vanillapitch_relay.ranking import USABLE_STATES
from vanillapitch_relay.registration import Registration
from vanillapitch_relay.report_feed import ReportFeed
from vanillapitch_relay.retry_budget import SharedRetryBudget
from vanillapitch_relay.store_port import AsyncKeyValueStore
from vanillapitch_relay.store_reachability import StoreReachability
from vanillapitch_relay.store_timeline import StoreTimeline

__all__ = ["Daemon", "run_daemon"]

_log = EventLog(part="daemon")

# Interval of writing log lines, checking links and detecting the end of a cold start.
MAINTENANCE_INTERVAL_MS = 100.0
# The endpoint keeps serving while its daemon stops, so the owner accepts calls until
# shortly before the daemon exits.
OWNER_STOP_DELAY_MS = 2_000.0
# Readiness is checked once a second and a VM is removed after two failed checks, so
# callers may open connections until then.
CALLERS_STOP_DELAY_MS = 2_600.0
STOP_CHECK_INTERVAL_MS = 20.0
# Lets the kernel send the last responses before the process exits.
FINAL_WRITE_DELAY_MS = 100.0
# Reserved at the end of the grace period to write responses and exit before SIGKILL.
STOP_MARGIN_MS = 400.0
# Delay between attempts to read the store at start. Failed calls are billed too.
START_RETRY_INTERVAL_MS = 300.0
BACKLOG = 1_024
# Bytes of bodies in memory. A body is copied for its frame and for its connection, and
# the smallest VMs have 200 MB.
MAX_REQUEST_BYTES_HELD = 48 * 1024 * 1024
MAX_RESPONSE_BYTES_HELD = 32 * 1024 * 1024
# Delay before a task is run again that ended with an unexpected error.
TASK_RETRY_INTERVAL_MS = 1_000.0
_HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def run_daemon(
    *,
    settings: Settings,
    dialect: Dialect,
    make_store: Callable[[Settings], AsyncKeyValueStore],
    reload: Callable[[], Settings],
) -> int:
    """Run a daemon until a signal stops it.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    dialect : Dialect
        Message formats, headers and store keys of the platform.
    make_store : callable
        Creates the client of the platform's store.
    reload : callable
        Rereads the settings; raises `SettingsInvalid`.

    Returns
    -------
    int
        Exit code of the process.
    """
    clock = SystemClock()
    writer = LineWriter(clock=clock)
    root = logging.getLogger()
    root.handlers[:] = [writer]
    root.setLevel(logging.INFO)
    daemon = Daemon(
        settings=settings,
        dialect=dialect,
        clock=clock,
        store=make_store(settings),
        writer=writer,
        reload=reload,
    )
    asyncio.run(daemon.run())
    writer.flush()
    return 0


class Daemon:
    """One daemon with all its components.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    dialect : Dialect
        Message formats, headers and store keys of the platform.
    clock : Clock
        Source of time.
    store : AsyncKeyValueStore
        Client of the platform's store.
    writer : LineWriter
        Handler that writes log lines.
    reload : callable
        Rereads the settings; raises `SettingsInvalid`.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        dialect: Dialect,
        clock: Clock,
        store: AsyncKeyValueStore,
        writer: LineWriter,
        reload: Callable[[], Settings],
    ):
        self.settings = settings
        self._dialect = dialect
        self._clock = clock
        self._store = store
        self._writer = writer
        self._reload = reload
        self.started = asyncio.Event()
        self._stop_requested = asyncio.Event()
        self._stopping = False
        self._metrics = Metrics()
        self._configuration = ConfigurationState(
            dialect=dialect, clock=clock, on_change=self._on_configuration
        )
        self._reachability = StoreReachability(metrics=self._metrics)
        self._timeline = StoreTimeline()
        store.on_timeline = self._timeline.observe
        self._hub = Hub(
            member=MemberInfo(
                node=settings.node,
                address=settings.peer_address,
                service_name=settings.service,
                zone=settings.zone,
                introducer=False,
            ),
            clock=clock,
            configuration=self._configuration,
            reachability=self._reachability,
            timeline=self._timeline,
        )
        self._quarantine = Quarantine(clock=clock, share=self._hub.publish_strike)
        self._owner = Owner(
            parts=self._make_owner_parts(),
            reports=ReportFeed(
                send_to_subscribers=self._hub.publish_load,
                send_to_all=self._hub.publish_state,
            ),
            request_health_check=self._request_health_check,
            await_health_check=self._await_health_check,
            store_departure=lambda: self._keeper.keep(),
        )
        self._hub.owner = self._owner
        self._hub.quarantine = self._quarantine
        self._monitor = EndpointMonitor(
            owner=self._owner,
            configuration=lambda: self._configuration.configuration,
            bounds=lambda: self.settings.bounds,
        )
        self._registration = Registration(
            store=store,
            keys=dialect.keys,
            settings=settings,
            clock=clock,
            reachability=self._reachability,
            hub=self._hub,
        )
        self._follower = ConfigurationFollower(
            store=store,
            keys=dialect.keys,
            configuration=self._configuration,
            reachability=self._reachability,
            bounds=lambda: self.settings.bounds,
        )
        self._departures = DepartureStore(
            store=store,
            prefix=dialect.keys.departures_prefix,
            node=settings.node,
            clock=clock,
            reachability=self._reachability,
        )
        self._keeper = DepartureKeeper(
            observed=self._owner.parts.observed,
            departures=self._departures,
            clock=clock,
            share=self._hub.publish_departure,
        )
        self._hub.departures = DepartureExchange(
            node=settings.node,
            clock=clock,
            owed=lambda: self._keeper.owed,
            on_returned=self._restore_departure,
        )
        for on_restore in (
            self._registration.on_store_restored,
            self._follower.on_store_restored,
            self._on_store_restored,
        ):
            self._timeline.add_listener(on_restore)
        self._reachability.on_change = self._on_reachability_change
        self._budget = SharedRetryBudget(bounds=settings.bounds)
        self._hub.on_members = self._on_members
        self._ingress = Ingress(
            settings=settings,
            dialect=dialect,
            clock=clock,
            configuration=self._configuration,
            hub=self._hub,
            owner=self._owner,
            quarantine=self._quarantine,
            budget=self._budget,
            metrics=self._metrics,
        )
        self._receiver = AnnouncementReceiver(
            owner=self._owner,
            dialect=dialect,
            departures=self._keeper,
            endpoint_address=settings.endpoint_address,
            request_health_check=self._request_health_check,
        )
        self._request_budget = BodyBudget(limit_bytes=MAX_REQUEST_BYTES_HELD)
        self._callers = self._make_server(
            self._ingress.handle, may_pipeline=self._ingress.may_pipeline
        )
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task] = []

    async def run(self) -> None:
        """Serve until a stop signal, then finish the requests in flight."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        # The launcher blocks the reload signal; a pending one is handled now.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _HANDLED_SIGNALS)
        await self.serve()
        # Closing the loop restores the default actions. A signal that arrives later
        # would end the process before its exit code is set, so it stays pending.
        signal.pthread_sigmask(signal.SIG_BLOCK, _HANDLED_SIGNALS)

    def request_stop(self) -> None:
        """Start a graceful stop; idempotent."""
        self._stop_requested.set()

    def kill(self) -> None:
        """Abort all connections and tasks, as if the process had been killed."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        self._hub.stop()
        self._owner.parts.pool.close_all()
        self._callers.abort_all()

    def usable_owners(self) -> list[str]:
        """List the nodes whose endpoints this daemon may send calls to."""
        nodes = [
            node
            for node, link in self._hub.links_by_node.items()
            if link.is_up and link.state in USABLE_STATES
        ]
        if self.endpoint_state in USABLE_STATES:
            nodes.append(self.settings.node)
        return nodes

    @property
    def endpoint_state(self) -> EndpointState:
        """State of the endpoint on this VM, as reported to ingresses."""
        return EndpointState(self._owner.report().state)

    async def serve(self) -> None:
        """Serve until `request_stop`."""
        loop = asyncio.get_running_loop()
        await self._listen()
        for name, run in (
            ("store", self._use_store),
            ("monitor", self._monitor.run),
            ("departures", self._keeper.run),
            ("maintenance", self._run_maintenance),
        ):
            self._tasks.append(loop.create_task(_run_supervised(name, run)))
        _log.info(
            "started",
            node=self.settings.node,
            zone=self.settings.zone,
            service=self.settings.service,
            endpoint=self.settings.endpoint_address,
        )
        self.started.set()
        await self._stop_requested.wait()
        await self._stop()

    def _make_owner_parts(self) -> OwnerParts:
        settings = self.settings
        return OwnerParts(
            observed=ObservedEndpoint(service=settings.service),
            pool=EndpointPool(
                address=settings.endpoint_address,
                echo_header=self._dialect.headers.request_id,
                clock=self._clock,
                budget=BodyBudget(limit_bytes=MAX_RESPONSE_BYTES_HELD),
            ),
            dialect=self._dialect,
            clock=self._clock,
            quarantine=self._quarantine,
            metrics=self._metrics,
            zone_in_service=lambda: settings.zone not in self._configuration.zones_out,
            revision=lambda: self._configuration.changed_revision,
        )

    def _make_server(self, handle: Handler, **options) -> ServerState:
        return ServerState(
            handle=handle,
            limits=lambda: self._configuration.limits,
            clock=self._clock,
            body_budget=self._request_budget,
            **options,
        )

    async def _listen(self) -> None:
        settings = self.settings
        listeners = (
            (settings.caller_address, self._callers),
            (settings.announce_address, self._make_server(self._receiver.handle)),
            (settings.ready_address, self._make_server(self._serve_readiness)),
            (settings.metrics_address, self._make_server(self._serve_metrics)),
        )
        loop = asyncio.get_running_loop()
        self._servers.append(await self._hub.listen())
        for address, state in listeners:
            host, port = parse_address(address)
            server = await loop.create_server(
                lambda state=state: CallerConnection(state=state),
                host,
                port,
                backlog=BACKLOG,
            )
            self._servers.append(server)

    async def _serve_readiness(
        self, request: HttpRequest, arrived_ms: float, peer_host: str
    ) -> HttpResponse:
        if request.target.partition("?")[0] != self._dialect.readiness_path:
            return make_response(404, b'{"code":"no_route"}')
        ready = self._configuration.routes is not None and not self._stopping
        return make_response(200 if ready else 503, b"{}")

    async def _serve_metrics(
        self, request: HttpRequest, arrived_ms: float, peer_host: str
    ) -> HttpResponse:
        self._metrics.set_gauge("requests_in_flight", self._ingress.in_flight)
        self._metrics.set_gauge("endpoint_running", len(self._owner.admission.running))
        self._metrics.set_gauge("endpoint_waiting", len(self._owner.admission.waiting))
        self._metrics.set_gauge("endpoint_connections", self._owner.parts.pool.opened)
        rate_limit = self._owner.admission.named_rate.per_s
        self._metrics.set_gauge(
            "endpoint_rate_limit", math.inf if rate_limit is None else rate_limit
        )
        self._metrics.set_gauge("links", len(self._hub.links_by_node))
        self._metrics.set_gauge("log_lines_dropped", self._writer.dropped)
        self._metrics.set_gauge(
            "responses_unwritable", self._callers.unwritable_responses
        )
        self._metrics.set_gauge("store_timeline", self._timeline.number or 0)
        self._metrics.set_gauge("revision", self._configuration.changed_revision)
        body = self._metrics.render()
        return HttpResponse(
            status=200,
            phrase="OK",
            headers=[(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")],
            body=body,
        )

    def _on_configuration(self, is_local_read: bool) -> None:
        self._owner.refresh()
        if is_local_read:
            self._hub.publish_revision()
        self._request_health_check()

    def _on_reachability_change(self) -> None:
        self._hub.publish_store_reachability()
        self._follower.on_reachability_change()

    def _on_members(self, count: int) -> None:
        self._budget.daemons = count

    def _request_health_check(self) -> None:
        self._monitor.request_health_check()

    async def _await_health_check(self) -> None:
        await self._monitor.await_health_check()

    def _on_store_restored(self) -> None:
        self._departures.forget()
        if self._owner.parts.observed.leaving:
            self._keeper.keep()

    async def _use_store(self) -> None:
        """Read the store once, then stay registered and follow changes."""
        start = await self._read_store()
        departure = self._departures.find(start.entries)
        apply_departures_read(self._owner.parts.observed)
        if departure is not None:
            self._keeper.restore(departure)
        self._owner.refresh()
        self._request_health_check()
        async with asyncio.TaskGroup() as group:
            for name, run in (
                ("registration", lambda: self._registration.run(start)),
                ("follower", lambda: self._follower.run(start)),
                ("expiry", lambda: self._departures.remove_expired(start.entries)),
            ):
                group.create_task(_run_supervised(name, run))

    async def _read_store(self) -> PrefixResult:
        # Before the first start there are no departures, and what else was written
        # lately comes from a follower.
        may_be_stale = self.settings.is_first_start
        while True:
            try:
                start = await self._store.get_prefix(
                    self._dialect.keys.shared_prefix, may_be_stale=may_be_stale
                )
            except StoreError as error:
                self._reachability.record_failure("start", error)
                await asyncio.sleep(START_RETRY_INTERVAL_MS / 1_000.0)
                continue
            self._reachability.record_response(
                "get_prefix_stale" if may_be_stale else "get_prefix"
            )
            return start

    def _restore_departure(self, record: DepartureRecord) -> None:
        """Apply a departure that an earlier process on this VM acknowledged."""
        self._keeper.restore(record)
        self._owner.refresh()

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_MS / 1_000.0)
            self._owner.refresh()
            self._configuration.end_hold()
            self._hub.check_links()
            self._follower.set_follower(self._hub.is_follower())
            self._writer.flush()

    def _is_busy(self) -> bool:
        return bool(self._ingress.in_flight) or self._owner.is_busy

    def _on_reload(self) -> None:
        try:
            settings = self._reload()
        except SettingsInvalid as error:
            _log.warning("reload_refused", reason=str(error))
            return
        self._budget.bounds = settings.bounds
        self.settings = settings
        _log.info("reloaded", node=settings.node)

    async def _stop(self) -> None:
        """Finish requests; callers may send more until the VM is out of rotation."""
        deadline_ms = (
            self._clock.now_ms() + self.settings.bounds.grace_ms - STOP_MARGIN_MS
        )
        self._stopping = True
        self._callers.stopping = True
        _log.info("stopping", in_flight=self._ingress.in_flight)
        withdrawal = asyncio.get_running_loop().create_task(
            self._registration.withdraw()
        )
        await asyncio.sleep(OWNER_STOP_DELAY_MS / 1_000.0)
        self._owner.stopping = True
        self._hub.publish_state(self._owner.report())
        await asyncio.sleep((CALLERS_STOP_DELAY_MS - OWNER_STOP_DELAY_MS) / 1_000.0)
        for server in self._servers:
            server.close()
        self._callers.end_reading()
        self._owner.closed = True
        while self._clock.now_ms() < deadline_ms and self._is_busy():
            await asyncio.sleep(STOP_CHECK_INTERVAL_MS / 1_000.0)
        _log.info("stopped", in_flight=self._ingress.in_flight)
        if self._ingress.in_flight:
            self._ingress.end_requests()
            await asyncio.sleep(FINAL_WRITE_DELAY_MS / 1_000.0)
        self._hub.stop()
        for task in (*self._tasks, withdrawal):
            task.cancel()
        await asyncio.sleep(FINAL_WRITE_DELAY_MS / 1_000.0)
        self._writer.flush()


async def _run_supervised(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task again after an unexpected error, which must not end the process."""
    while True:
        try:
            await run()
        except Exception:
            _log.error("task_broke", task=name)
            await asyncio.sleep(TASK_RETRY_INTERVAL_MS / 1_000.0)
        else:
            return
