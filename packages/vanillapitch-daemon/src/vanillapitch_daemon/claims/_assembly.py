"""Assembly of the claims components."""

import dataclasses
from collections.abc import Callable

import pykka
from vanillapitch_core import Clock
from vanillapitch_store import KeyValueStore

from vanillapitch_daemon.claims._attempt import make_claim_attempt
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
    """The components that handle the claims of a daemon.

    Attributes
    ----------
    gate : ClaimGate
        Claims keys for the ingress.
    handler : ClaimsHandler
        Thrift handler of the ``claims`` service.
    routes : CommitRoutes
        Committers of the shards.
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
        """Record the ends of the claims and stop the components.

        Parameters
        ----------
        timeout_ms : float
            Time limit for the recording, in milliseconds.

        Returns
        -------
        bool
            Whether all ends were recorded.
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
    """Create the components and start their actors and threads.

    Parameters
    ----------
    instance : str
        Instance name of this daemon.
    writing_store : KeyValueStore
        Store for the writer thread of the committer.
    reading_store : KeyValueStore
        Store for reading claims at the ingress.
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
        The started components.
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
    attempt = make_claim_attempt(
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
