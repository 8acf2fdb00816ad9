"""Wiring of the daemon's claims."""

import dataclasses
from collections.abc import Callable

import pykka
from vanillapitch_core import Clock
from vanillapitch_store import KeyValueStore

from vanillapitch_daemon.claims._attempt import make_attempter
from vanillapitch_daemon.claims._committer import Committer, ShardsChanged
from vanillapitch_daemon.claims._gate import ClaimGate
from vanillapitch_daemon.claims._holder import Holder
from vanillapitch_daemon.claims._peers import ClaimsHandler, ClaimsPeers, LocalClaims
from vanillapitch_daemon.claims._recorder import Recorder
from vanillapitch_daemon.claims._routes import CommitRoutes
from vanillapitch_daemon.claims._store_writer import StoreWriter
from vanillapitch_daemon.transport import Transport

__all__ = ["ClaimsComponents", "build_claims"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimsComponents:
    """The claims of a running daemon.

    Attributes
    ----------
    gate : ClaimGate
        For the ingress.
    handler : ClaimsHandler
        Thrift handler of the service ``claims``.
    routes : CommitRoutes
        Committers.
    recorder : Recorder
        Records the ends of claims.
    committer, holder : pykka.ActorRef
        The actors.
    """

    gate: ClaimGate
    handler: ClaimsHandler
    routes: CommitRoutes
    recorder: Recorder
    committer: pykka.ActorRef
    holder: pykka.ActorRef

    def stop(self, timeout_ms: float) -> bool:
        """Record the ends of all claims and stop.

        Parameters
        ----------
        timeout_ms : float
            Bound on the recording, in milliseconds.

        Returns
        -------
        bool
            Whether all ends are recorded.
        """
        recorded = self.recorder.flush(timeout_ms)
        self.committer.stop()
        self.holder.stop()
        return recorded


def build_claims(
    *,
    instance: str,
    writing_store: KeyValueStore,
    reading_store: KeyValueStore,
    read_timeout_ms: float,
    transport: Transport,
    clock: Clock,
    count_event: Callable[[str], None] = lambda event: None,
    count_store_call: Callable[[str, str], None] = lambda kind, result: None,
) -> ClaimsComponents:
    """Create the parts and start their actors and threads.

    Parameters
    ----------
    instance : str
        Name of this daemon.
    writing_store : KeyValueStore
        Used by the committer's thread.
    reading_store : KeyValueStore
        Used by the ingress for reading back.
    read_timeout_ms : float
        Timeout of `reading_store`, in milliseconds.
    transport : Transport
        Connections to other daemons.
    clock : Clock
        Source of time.
    count_event : callable
        Takes the name of each event, for metrics.
    count_store_call : callable
        Takes the kind and the result of each call to the store, for metrics.

    Returns
    -------
    ClaimsComponents
        The parts.
    """
    writer = StoreWriter(store=writing_store, clock=clock, count_call=count_store_call)
    committer = Committer.start(writer=writer, clock=clock)
    holder = Holder.start(clock=clock)
    local = LocalClaims(
        instance=instance, committer=committer, holder=holder, clock=clock
    )
    peers = ClaimsPeers(local=local, transport=transport, clock=clock)
    routes = CommitRoutes(
        instance=instance,
        peers=peers,
        clock=clock,
        on_shard_count=lambda count: committer.tell(ShardsChanged(shard_count=count)),
    )
    recorder = Recorder(
        routes=routes, holder=holder, clock=clock, count_event=count_event
    )
    recorder.start()
    attempt = make_attempter(
        routes=routes,
        peers=peers,
        store=reading_store,
        read_timeout_ms=read_timeout_ms,
        clock=clock,
        count_event=count_event,
    )
    gate = ClaimGate(
        instance=instance,
        attempt=attempt,
        routes=routes,
        holder=holder,
        recorder=recorder,
        clock=clock,
        count_event=count_event,
    )
    return ClaimsComponents(
        gate=gate,
        handler=ClaimsHandler(local=local, refresh=routes.refresh, clock=clock),
        routes=routes,
        recorder=recorder,
        committer=committer,
        holder=holder,
    )
