"""Creates the components of the daemon and connects them."""

import dataclasses
import random

from vanillapitch_core import Clock
from vanillapitch_core.probes import ProbeBudget
from vanillapitch_store import EtcdGatewayStore, KeyValueStore
from vanillapitch_wire import Server
from vanillapitch_wire.claims import CLAIMS_SERVICE, ClaimsProcessor
from vanillapitch_wire.dispatch import OWNER_SERVICE, OwnerProcessor
from vanillapitch_wire.peers import PEERS_SERVICE, PeersProcessor

from vanillapitch_daemon.admin import AdminServer, create_app
from vanillapitch_daemon.claims import ClaimsComponents, build_claims
from vanillapitch_daemon.fleet import Fleet, build_fleet
from vanillapitch_daemon.ingress import (
    BodyMemory,
    CallerServer,
    make_application,
    make_attempter,
    make_claim_check,
    make_quarantine_check,
    make_refusal_handler,
    make_retrier,
)
from vanillapitch_daemon.membership import GetMembers
from vanillapitch_daemon.metered_store import MeteredStore
from vanillapitch_daemon.metrics import Metrics
from vanillapitch_daemon.monitor import Monitor
from vanillapitch_daemon.node import GossipMetrics, Node
from vanillapitch_daemon.owner import (
    Admission,
    BackendClient,
    Owner,
    OwnerHandler,
    Prober,
)
from vanillapitch_daemon.picker import Endpoint, Picker
from vanillapitch_daemon.quarantine import Quarantine
from vanillapitch_daemon.settings import PlatformSettings, Settings
from vanillapitch_daemon.snapshot import LoadSnapshot, TablesSnapshot
from vanillapitch_daemon.transport import Transport
from vanillapitch_daemon.upkeep import Upkeep

__all__ = ["Daemon", "build_daemon"]

# Allowance for the headers and Thrift fields around a body.
FRAME_OVERHEAD_BYTES = 1_048_576
# Threads in addition to one per slot, so that refusals and calls between daemons are
# served while every slot is in use.
PEER_CALL_THREADS = 16
# Reading a claim back has to fit into `CLAIM_TIMEOUT_MS` of
# `vanillapitch_daemon.claims._attempt`.
READ_BACK_TIMEOUT_MS = 500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Daemon:
    """The components of a running daemon.

    Attributes
    ----------
    endpoint : Endpoint
        This daemon's own endpoint.
    snapshot : TablesSnapshot
        Tables in force.
    load : LoadSnapshot
        Load of this daemon's endpoint.
    picker, admission : Monitor
        The monitors on the request path.
    callers : CallerServer
        HTTP server for callers.
    peers : Server
        Thrift server for other daemons.
    transport : Transport
        Connections to other daemons.
    owner : Owner
        Executes requests at the backend server.
    backend : BackendClient
        Connections to the backend server.
    quarantine : Quarantine
        Strikes of requests that crash the backend server.
    prober : Prober
        Probes of the backend server.
    node : Node
        State of this daemon for operators.
    metrics : Metrics
        Metrics of the daemon.
    admin : AdminServer
        Administration API.
    store : EtcdGatewayStore
        Client of the platform's store.
    fleet : Fleet
        Membership and configuration.
    claims : ClaimsComponents
        Claims of keyed requests.
    upkeep : Upkeep
        Periodic background tasks.
    """

    endpoint: Endpoint
    snapshot: TablesSnapshot
    load: LoadSnapshot
    picker: Monitor
    admission: Monitor
    callers: CallerServer
    peers: Server
    transport: Transport
    owner: Owner
    backend: BackendClient
    quarantine: Quarantine
    prober: Prober
    node: Node
    metrics: Metrics
    admin: AdminServer
    store: EtcdGatewayStore
    fleet: Fleet
    claims: ClaimsComponents
    upkeep: Upkeep


def build_daemon(settings: Settings, *, clock: Clock) -> Daemon:
    """Create the components and connect them; only the actors are started.

    Parameters
    ----------
    settings : Settings
        The validated settings.
    clock : Clock
        Source of time.

    Returns
    -------
    Daemon
        The components.
    """
    limits = settings.limits
    endpoint = Endpoint(
        instance=f"{settings.listen.peers}/{clock.wall_ms()}",
        address=(settings.listen.peers.host, settings.listen.peers.port),
        service=settings.backend.service,
        zone=settings.instance.zone,
        region=settings.instance.region,
    )
    cluster_key = settings.secrets.cluster_key.encode()
    max_frame_bytes = limits.max_body_bytes + FRAME_OVERHEAD_BYTES
    metrics = Metrics()
    refuse = make_refusal_handler(metrics=metrics)
    snapshot = TablesSnapshot()
    load = LoadSnapshot()
    picker = Picker.start(
        own_endpoint=endpoint,
        snapshot=snapshot,
        clock=clock,
        random_source=random.Random(),
    )
    admission = Admission.start(
        slots=settings.backend.slots,
        connections=settings.backend.connections,
        zone=endpoint.zone,
        load=load,
        snapshot=snapshot,
        clock=clock,
    )
    backend = BackendClient(
        address=(settings.backend.address.host, settings.backend.address.port),
        max_response_bytes=limits.max_body_bytes,
        memory=BodyMemory(max_bytes=limits.max_total_body_bytes),
        clock=clock,
        instance=endpoint.instance,
    )
    quarantine = Quarantine(clock=clock)
    owner = Owner(
        instance=endpoint.instance,
        admission=admission,
        backend=backend,
        load=load,
        snapshot=snapshot,
        quarantine=quarantine,
        clock=clock,
    )
    transport = Transport(
        cluster_key=cluster_key, max_frame_bytes=max_frame_bytes, clock=clock
    )
    store = EtcdGatewayStore(
        addresses=settings.platform.addresses,
        timeout_ms=settings.platform.timeout_ms,
        clock=clock,
    )
    metered_store = MeteredStore(store=store, metrics=metrics)
    fleet = build_fleet(
        settings,
        instance=endpoint.instance,
        store=metered_store,
        transport=transport,
        snapshot=snapshot,
        clock=clock,
        meter=GossipMetrics(metrics=metrics),
    )
    attempt = make_attempter(
        picker=picker,
        transport=transport,
        owner=owner,
        own_instance=endpoint.instance,
        clock=clock,
    )
    claims = _build_claims(
        settings.platform,
        instance=endpoint.instance,
        store=metered_store,
        transport=transport,
        metrics=metrics,
        clock=clock,
    )
    run_attempts = make_retrier(
        attempt=attempt,
        clock=clock,
        record_crash=quarantine.record_crash,
        count_retry=metrics.count_retry,
    )
    run_unless_quarantined = make_quarantine_check(
        run_attempts=run_attempts, quarantine=quarantine
    )
    # The key is looked up before the quarantine: a repeated request gets the outcome of
    # the first one, even if the request has been quarantined since.
    run_claimed = make_claim_check(
        run_attempts=run_unless_quarantined, gate=claims.gate
    )
    callers = CallerServer(
        address=(settings.listen.callers.host, settings.listen.callers.port),
        handler=make_application(
            snapshot=snapshot,
            run_attempts=run_claimed,
            refuse=refuse,
            metrics=metrics,
            clock=clock,
        ),
        refuse=refuse,
        clock=clock,
        memory=BodyMemory(max_bytes=limits.max_total_body_bytes),
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        worker_threads=limits.worker_threads,
    )
    peers = Server(
        address=endpoint.address,
        cluster_key=cluster_key,
        processors_by_service={
            OWNER_SERVICE: OwnerProcessor(OwnerHandler(owner=owner)),
            PEERS_SERVICE: PeersProcessor(fleet.handler),
            CLAIMS_SERVICE: ClaimsProcessor(claims.handler),
        },
        max_frame_bytes=max_frame_bytes,
        worker_threads=settings.backend.slots + PEER_CALL_THREADS,
    )
    node = Node(
        settings=settings,
        endpoint=endpoint,
        admission=admission,
        load=load,
        snapshot=snapshot,
        metrics=metrics,
        clock=clock,
        read_members=lambda: fleet.membership.ask(GetMembers()),
        announce_state=fleet.announce,
        read_store_state=lambda: metered_store.state,
    )
    admin = AdminServer(
        application=create_app(
            node=node,
            configuration=fleet.admin_configuration,
            metrics=metrics,
            admin_token=settings.secrets.admin_token,
        ),
        address=settings.listen.admin,
    )
    prober = _build_prober(
        settings,
        admission=admission,
        backend=backend,
        load=load,
        owner=owner,
        metrics=metrics,
        node=node,
        clock=clock,
    )
    upkeep = Upkeep(tasks=(transport.close_idle,))
    return Daemon(
        endpoint=endpoint,
        snapshot=snapshot,
        load=load,
        picker=picker,
        admission=admission,
        callers=callers,
        peers=peers,
        transport=transport,
        owner=owner,
        backend=backend,
        quarantine=quarantine,
        prober=prober,
        node=node,
        metrics=metrics,
        admin=admin,
        store=store,
        fleet=fleet,
        claims=claims,
        upkeep=upkeep,
    )


def _build_prober(
    settings: Settings,
    *,
    admission: Monitor,
    backend: BackendClient,
    load: LoadSnapshot,
    owner: Owner,
    metrics: Metrics,
    node: Node,
    clock: Clock,
) -> Prober:
    def record_probe(healthy: bool, duration_ms: float) -> None:
        metrics.add_probe_ms(duration_ms)
        node.record_probe(healthy)

    budget = ProbeBudget(
        slots=settings.backend.slots,
        budget_percent=settings.limits.probe_budget_percent,
        started_at_ms=clock.now_ms(),
    )
    return Prober(
        admission=admission,
        backend=backend,
        load=load,
        budget=budget,
        health_path=settings.backend.health_path,
        last_result_at_ms=lambda: owner.last_result_at_ms,
        on_probe=record_probe,
        clock=clock,
    )


def _build_claims(
    platform: PlatformSettings,
    *,
    instance: str,
    store: KeyValueStore,
    transport: Transport,
    metrics: Metrics,
    clock: Clock,
) -> ClaimsComponents:
    read_timeout_ms = min(READ_BACK_TIMEOUT_MS, platform.timeout_ms)
    reading_store = EtcdGatewayStore(
        addresses=platform.addresses, timeout_ms=read_timeout_ms, clock=clock
    )
    return build_claims(
        instance=instance,
        writing_store=store,
        reading_store=MeteredStore(store=reading_store, metrics=metrics),
        read_timeout_ms=read_timeout_ms,
        transport=transport,
        clock=clock,
        count_event=metrics.count_claim,
    )
