"""Creates and connects membership and configuration, the state shared with peers."""

import dataclasses
import random
from collections.abc import Callable

import pykka
from vanillapitch_core import Clock
from vanillapitch_core.configuration import FetchTables
from vanillapitch_core.membership import (
    Effect,
    MemberChanged,
    MemberRecord,
    MemberState,
    RevisionReceived,
    StartSync,
    Strike,
)
from vanillapitch_store import KeyValueStore
from vanillapitch_wire.gossip import decode_members
from vanillapitch_wire.peers import DigestsReply, TablesReply

from vanillapitch_daemon.configuration import (
    AdminConfiguration,
    ChangeExecutor,
    Configuration,
    Fetcher,
    ReceiveRevision,
    SetDependencies,
    StoreWatcher,
    SubscribeTables,
    TablesArrived,
    TablesStore,
    make_tables_reply,
    make_watcher_selector,
)
from vanillapitch_daemon.membership import (
    AnnounceState,
    AnswerDigests,
    GetMembers,
    GossipMeter,
    GossipSocket,
    Introducers,
    Membership,
    NullMeter,
    ReceiveMessage,
    ReceiveRecords,
    ReceiveSeeds,
    RecordRevision,
    RecordStrike,
    RecordSyncBytes,
    StartExchange,
    Subscribe,
    Synchronizer,
    TickDue,
    make_digests_reply,
)
from vanillapitch_daemon.settings import Settings
from vanillapitch_daemon.snapshot import TablesSnapshot
from vanillapitch_daemon.transport import Transport

__all__ = ["Fleet", "PeersHandler", "build_fleet"]


class PeersHandler:
    """Handler of the Thrift service for peers.

    Parameters
    ----------
    membership : pykka.ActorRef
        The membership actor.
    snapshot : TablesSnapshot
        Tables in force.
    """

    def __init__(self, *, membership: pykka.ActorRef, snapshot: TablesSnapshot):
        self._membership = membership
        self._snapshot = snapshot

    def sync_digests(self, digests: bytes) -> DigestsReply:
        """Answer a peer's digests with the records that differ."""
        answer = self._membership.ask(AnswerDigests(digests=digests))
        return make_digests_reply(
            answer=answer,
            revision=self._snapshot.current.tables.revision,
            count_bytes=lambda size_bytes: self._membership.tell(
                RecordSyncBytes(size_bytes=size_bytes)
            ),
        )

    def sync_differences(self, members: bytes) -> None:
        """Receive records that this daemon lacks from a peer."""
        records, strikes = decode_members(members)
        self._membership.tell(ReceiveRecords(records=records, strikes=strikes))

    def fetch_tables(self, min_revision: int) -> TablesReply:
        """Return the tables in force to a peer."""
        return make_tables_reply(self._snapshot, min_revision)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """Membership and configuration of a daemon.

    Attributes
    ----------
    membership, configuration : pykka.ActorRef
        The actors that other components use.
    handler : PeersHandler
        Handler of the Thrift service for peers.
    admin_configuration : AdminConfiguration
        Configuration for the administration API.
    gossip : GossipSocket
        UDP socket of membership messages.
    watcher : StoreWatcher
        Reads and watches the store.
    introducers : Introducers
        Registers this daemon in the store, where starting daemons find it.
    blocking_actors : tuple of pykka.ActorRef
        Actors that make blocking calls.
    seeds : tuple of str
        Gossip addresses from the settings.
    """

    membership: pykka.ActorRef
    configuration: pykka.ActorRef
    handler: PeersHandler
    admin_configuration: AdminConfiguration
    gossip: GossipSocket
    watcher: StoreWatcher
    introducers: Introducers
    blocking_actors: tuple[pykka.ActorRef, ...]
    seeds: tuple[str, ...]

    def start(self, *, on_member_changed: Callable[[MemberChanged], None]) -> None:
        """Start to receive messages and to read the store.

        Parameters
        ----------
        on_member_changed : callable
            Subscriber that updates the picker's endpoints.
        """
        self.subscribe(MemberChanged, on_member_changed)
        self.gossip.start(
            on_message=lambda message, source: self.membership.tell(
                ReceiveMessage(message=message, source=source)
            ),
            on_tick=lambda: self.membership.tell(TickDue()),
        )
        self.membership.tell(ReceiveSeeds(gossip_addresses=self.seeds))
        self.watcher.start()
        self.introducers.start()

    def members(self) -> tuple[MemberRecord, ...]:
        """Return the records of all members, this daemon's first."""
        return self.membership.ask(GetMembers())

    def subscribe(
        self, effect_type: type[Effect], callback: Callable[[Effect], None]
    ) -> None:
        """Call a function for each effect of a type, in the membership actor's thread.

        Parameters
        ----------
        effect_type : type
            For example `MemberChanged` or `StrikeReceived`.
        callback : callable
            Called with the effect; must not block.
        """
        self.membership.ask(Subscribe(effect_type=effect_type, callback=callback))

    def record_strike(self, strike: Strike) -> None:
        """Send a quarantine strike of this daemon to the other members.

        Parameters
        ----------
        strike : Strike
            The strike.
        """
        self.membership.tell(RecordStrike(strike=strike))

    def announce(self, state: MemberState) -> None:
        """Announce a state of this daemon; waits until due messages have been sent.

        Parameters
        ----------
        state : MemberState
            The state.
        """
        self.membership.ask(AnnounceState(state=state))

    def stop(self) -> None:
        """Announce that this daemon has left and stop every component."""
        self.announce(MemberState.LEFT)
        self.introducers.close()
        self.watcher.close()
        self.gossip.close()
        for actor in (*self.blocking_actors, self.membership, self.configuration):
            # Does not wait: an actor may be in a blocking call; its daemon thread ends
            # with the process.
            actor.stop(block=False)


def build_fleet(
    settings: Settings,
    *,
    instance: str,
    store: KeyValueStore,
    transport: Transport,
    snapshot: TablesSnapshot,
    clock: Clock,
    meter: GossipMeter | None = None,
) -> Fleet:
    """Create membership and configuration; only the actors are started.

    Parameters
    ----------
    settings : Settings
        The validated settings.
    instance : str
        Instance name of this daemon.
    store : KeyValueStore
        The platform's store.
    transport : Transport
        Connections to peers.
    snapshot : TablesSnapshot
        Tables in force.
    clock : Clock
        Source of time.
    meter : GossipMeter, optional
        Counts bytes and rejected messages.

    Returns
    -------
    Fleet
        The components.

    Raises
    ------
    OSError
        If the gossip address cannot be bound.
    """
    random_source = random.Random()
    gossip = GossipSocket(
        address=(settings.listen.gossip.host, settings.listen.gossip.port),
        cluster_key=settings.secrets.cluster_key.encode(),
        clock=clock,
        meter=meter or NullMeter(),
    )
    membership = Membership.start(
        own=_own_record(settings, instance),
        send=gossip.send,
        clock=clock,
        random_source=random.Random(random_source.random()),
    )
    synchronizer = Synchronizer.start(
        membership=membership, transport=transport, clock=clock
    )
    tables_store = TablesStore(store=store)
    configuration, blocking_actors = _start_configuration(
        tables_store=tables_store, transport=transport, snapshot=snapshot, clock=clock
    )
    watcher = StoreWatcher(
        store=store,
        deliver=lambda tables: configuration.tell(
            TablesArrived(tables=tables, source="store")
        ),
        random_source=random.Random(random_source.random()),
    )
    seeds = tuple(str(seed) for seed in settings.seeds)
    introducers = Introducers(
        store=store,
        members=lambda: membership.ask(GetMembers()),
        deliver=lambda addresses: membership.tell(
            ReceiveSeeds(gossip_addresses=(*seeds, *addresses))
        ),
        clock=clock,
        random_source=random.Random(random_source.random()),
    )
    _subscribe(
        settings=settings,
        membership=membership,
        configuration=configuration,
        synchronizer=synchronizer,
        watcher=watcher,
    )
    return Fleet(
        membership=membership,
        configuration=configuration,
        handler=PeersHandler(membership=membership, snapshot=snapshot),
        admin_configuration=AdminConfiguration(
            configuration=configuration, store=tables_store, snapshot=snapshot
        ),
        gossip=gossip,
        watcher=watcher,
        introducers=introducers,
        blocking_actors=(synchronizer, *blocking_actors),
        seeds=seeds,
    )


def _own_record(settings: Settings, instance: str) -> MemberRecord:
    return MemberRecord(
        instance=instance,
        zone=settings.instance.zone,
        region=settings.instance.region,
        service=settings.backend.service,
        inner_address=str(settings.listen.peers),
        gossip_address=str(settings.listen.gossip),
        state=MemberState.JOINING,
        version=1,
        slots=settings.backend.slots,
    )


def _start_configuration(
    *,
    tables_store: TablesStore,
    transport: Transport,
    snapshot: TablesSnapshot,
    clock: Clock,
) -> tuple[pykka.ActorRef, tuple[pykka.ActorRef, ...]]:
    configuration = Configuration.start(snapshot=snapshot)
    fetcher = Fetcher.start(
        configuration=configuration, transport=transport, clock=clock
    )
    changes = ChangeExecutor.start(
        store=tables_store,
        clock=clock,
        tables_in_force=lambda: snapshot.current.tables,
        on_accepted=lambda tables: configuration.tell(
            TablesArrived(tables=tables, source="change")
        ),
    )

    def fetch(effect: FetchTables) -> None:
        fetcher.tell(effect)

    configuration.tell(SetDependencies(fetch=fetch, changes=changes))
    return configuration, (fetcher, changes)


def _subscribe(
    *,
    settings: Settings,
    membership: pykka.ActorRef,
    configuration: pykka.ActorRef,
    synchronizer: pykka.ActorRef,
    watcher: StoreWatcher,
) -> None:
    select_watchers = make_watcher_selector(
        zone=settings.instance.zone,
        own_address=str(settings.listen.peers),
        set_watching=watcher.set_watching,
    )

    def start_exchange(effect: StartSync) -> None:
        synchronizer.tell(StartExchange(peer_address=effect.peer_address))

    def forward_revision(effect: RevisionReceived) -> None:
        configuration.tell(
            ReceiveRevision(revision=effect.revision, peer_address=effect.peer_address)
        )

    for effect_type, callback in (
        (StartSync, start_exchange),
        (RevisionReceived, forward_revision),
        (MemberChanged, select_watchers),
    ):
        membership.ask(Subscribe(effect_type=effect_type, callback=callback))
    configuration.ask(
        SubscribeTables(
            callback=lambda adopted: membership.tell(
                RecordRevision(revision=adopted.tables.revision)
            )
        )
    )
