"""Failure tests of membership and configuration over loopback sockets."""

import concurrent.futures
import socket
import time
import uuid

import msgspec
import pytest
import urllib3
from vanillapitch_core import ManualClock, SystemClock
from vanillapitch_core.membership import (
    MemberChanged,
    MemberRecord,
    MemberState,
    Message,
    MessageKind,
    Strike,
    StrikeReceived,
)
from vanillapitch_core.tables import Pool, Route, Tables, encode_tables
from vanillapitch_daemon.admin import ChangeStatus, TablesChange, ZoneChange
from vanillapitch_daemon.assembly import build_daemon
from vanillapitch_daemon.configuration import TABLES_KEY, make_watcher_selector
from vanillapitch_daemon.main import start_daemon, stop_daemon
from vanillapitch_daemon.membership import GetMembers, GossipSocket, NullMeter
from vanillapitch_daemon.settings import PlatformSettings, SecretsSettings
from vanillapitch_store import EtcdGatewayStore, Put
from vanillapitch_testbed.store import StoreProcess
from vanillapitch_wire.gossip import encode_message

LEAVE_BOUND_S = 3.0
REVISION_BOUND_S = 3.0
STRIKE_BOUND_S = 2.0
KEY = b"k" * 32


@pytest.fixture
def own_store_process():
    with StoreProcess() as process:
        yield process


@pytest.fixture
def start_fleet(make_settings, make_backend):
    """Start daemons one after the other, with the first one or ``seeds`` as seeds."""
    started = []

    def start(count, *, store_address=None, seeds=None, zones=("zone-a",), **secrets):
        daemons = []
        for index in range(count):
            settings = make_settings(make_backend().server_port)
            changes = {
                "instance": msgspec.structs.replace(
                    settings.instance, zone=zones[index % len(zones)]
                )
            }
            if store_address:
                changes["platform"] = PlatformSettings(
                    addresses=(type(settings.listen.peers)(store_address),),
                    timeout_ms=500,
                )
            if seeds is not None:
                changes["seeds"] = seeds
            elif daemons:
                changes["seeds"] = (daemons[0].gossip_address,)
            if secrets:
                changes["secrets"] = SecretsSettings(admin_token="t" * 16, **secrets)
            settings = msgspec.structs.replace(settings, **changes)
            daemon = build_daemon(settings, clock=SystemClock())
            start_daemon(daemon)
            started.append(daemon)
            daemons.append(_StartedDaemon(daemon, settings.listen.gossip))
        return daemons

    yield start
    for daemon in started:
        if daemon.admission.is_alive():
            stop_daemon(daemon, drain_timeout_ms=5_000)


class _StartedDaemon:
    """A daemon and the gossip address that others use as a seed."""

    def __init__(self, daemon, gossip_address):
        self.daemon = daemon
        self.gossip_address = gossip_address
        self.admin = daemon.fleet.admin_configuration

    def states(self):
        records = self.daemon.fleet.membership.ask(GetMembers())
        return {record.instance: record.state for record in records}

    @property
    def revision(self):
        return self.daemon.snapshot.current.tables.revision


def wait_until(condition, timeout_s):
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(0.02)
    return False


def all_alive(daemons):
    instances = {item.daemon.endpoint.instance for item in daemons}
    return lambda: all(
        set(item.states()) == instances
        and set(item.states().values()) == {MemberState.ALIVE}
        for item in daemons
    )


def tables_change(base_revision, change_id="first"):
    return TablesChange(
        base_revision=base_revision,
        change_id=change_id,
        author="test",
        routes=(Route(name="all", pool="catalog"),),
        pools=(Pool(name="catalog", service="catalog"),),
    )


def send_requests(daemon):
    with urllib3.PoolManager(retries=False, timeout=10) as pool:
        address = f"http://{daemon.callers.address}/"
        return [pool.request("GET", address) for _ in range(30)]


def test_daemons_find_each_other_by_seeds_while_the_store_is_down(start_fleet):
    # Guards against daemons that cannot find members without the store: all three have
    # to see each other alive within 10 s, through seeds alone.
    daemons = start_fleet(3)
    assert wait_until(all_alive(daemons), 10)


def test_daemons_find_each_other_by_introducers(start_fleet, own_store_process):
    # Guards against a daemon without seeds that finds no members because introducers
    # are not registered or not read; all three have to see each other alive within
    # 15 s.
    daemons = start_fleet(3, store_address=own_store_process.address, seeds=())
    assert wait_until(all_alive(daemons), 15)


def test_a_daemon_with_another_key_cannot_join(start_fleet):
    # Guards against members, tables or zones from outside the cluster, which a daemon
    # would accept if it did not check the cluster key of messages.
    (member,) = start_fleet(1)
    seeds = (member.gossip_address,)
    (outsider,) = start_fleet(1, seeds=seeds, cluster_key="x" * 32)
    time.sleep(2.5)
    assert len(member.states()) == 1
    assert len(outsider.states()) == 1
    (second_member,) = start_fleet(1, seeds=seeds)
    assert wait_until(all_alive([member, second_member]), 10)


def test_a_leaving_daemon_gets_no_new_work_within_the_bound(
    start_fleet, own_store_process
):
    # Guards against requests to a backend server that is shutting down (invariant I7):
    # the other daemons have to know within 3 s that its daemon has left.
    daemons = start_fleet(3, store_address=own_store_process.address)
    assert wait_until(all_alive(daemons), 10)
    first, _, leaving = daemons
    result = first.admin.apply(tables_change(0))
    assert result.status is ChangeStatus.ACCEPTED
    assert wait_until(
        lambda: (
            leaving.daemon.endpoint.instance
            in {
                each.headers["Vanillapitch-Instance"]
                for each in send_requests(first.daemon)
            }
        ),
        5,
    )
    assert stop_daemon(leaving.daemon, drain_timeout_ms=5_000) == 0
    instance = leaving.daemon.endpoint.instance
    assert wait_until(
        lambda: first.states()[instance] is MemberState.LEFT, LEAVE_BOUND_S
    )
    responses = send_requests(first.daemon)
    assert {response.status for response in responses} == {200}
    assert instance not in {each.headers["Vanillapitch-Instance"] for each in responses}


def test_a_zone_out_is_in_force_everywhere_within_the_bound(
    start_fleet, own_store_process
):
    # Guards against new requests to a zone that was taken out of service (invariants
    # I3 and I9), if a daemon receives the tables after more than 3 s or picks without
    # checking the zone.
    daemons = start_fleet(
        4, store_address=own_store_process.address, zones=("zone-a", "zone-b")
    )
    assert wait_until(all_alive(daemons), 10)
    assert daemons[0].admin.apply(tables_change(0)).status is ChangeStatus.ACCEPTED
    zone_out = ZoneChange(
        zone="zone-b", in_service=False, change_id="out", author="test"
    )
    result = daemons[1].admin.set_zone(zone_out)
    assert result.status is ChangeStatus.ACCEPTED
    assert result.tables.zones_out == ("zone-b",)
    assert wait_until(
        lambda: all(item.revision == 2 for item in daemons), REVISION_BOUND_S
    )
    outside = {daemons[index].daemon.endpoint.instance for index in (0, 2)}
    for item in daemons:
        responses = send_requests(item.daemon)
        assert {response.status for response in responses} == {200}
        assert {each.headers["Vanillapitch-Instance"] for each in responses} <= outside


def test_a_lost_store_response_is_resolved_by_reading_back(
    start_fleet, own_store_process
):
    # Guards against reporting an accepted change as failed when the response of the
    # store is lost, and against applying it twice when the operator repeats it.
    (single,) = start_fleet(1, store_address=own_store_process.address)
    own_store_process.set_faults(lose_answers=1)
    result = single.admin.apply(tables_change(0))
    assert result.status is ChangeStatus.ACCEPTED
    assert result.tables.revision == 1
    assert single.admin.apply(tables_change(0)).tables.revision == 1
    conflict = single.admin.apply(tables_change(0, change_id="other"))
    assert conflict.status is ChangeStatus.CONFLICT
    assert [tables.revision for tables in single.admin.history(limit=5)] == [1]


def test_one_of_two_concurrent_changes_is_accepted(start_fleet, own_store_process):
    # Guards against two accepted changes of one base revision and against a conflict
    # that took effect, when changes race and the store loses 40 % of its responses.
    daemons = start_fleet(2, store_address=own_store_process.address)
    own_store_process.set_faults(lose_probability=0.4, seed=5)
    accepted_ids = []
    with concurrent.futures.ThreadPoolExecutor(2) as operators:
        for base_revision in range(12):
            changes = [
                tables_change(base_revision, change_id=f"{base_revision}-{name}")
                for name in ("a", "b")
            ]
            results = list(
                operators.map(
                    lambda item, change: item.admin.apply(change), daemons, changes
                )
            )
            statuses = [result.status for result in results]
            assert sorted(statuses) == [ChangeStatus.ACCEPTED, ChangeStatus.CONFLICT]
            winner = statuses.index(ChangeStatus.ACCEPTED)
            accepted_ids.append(changes[winner].change_id)
    history = daemons[0].admin.history(limit=20)
    assert [tables.change_id for tables in reversed(history)] == accepted_ids


def test_a_change_during_an_outage_is_refused_and_tables_stay(
    start_fleet, own_store_process
):
    # Guards against reporting a change as accepted while the store is down, and
    # against losing the tables in force when the store does not answer.
    (single,) = start_fleet(1, store_address=own_store_process.address)
    assert single.admin.apply(tables_change(0)).status is ChangeStatus.ACCEPTED
    assert wait_until(lambda: single.revision == 1, REVISION_BOUND_S)
    own_store_process.set_faults(down="refuse")
    zone_out = ZoneChange(
        zone="zone-a", in_service=False, change_id="out", author="test"
    )
    assert single.admin.set_zone(zone_out).status is ChangeStatus.UNAVAILABLE
    assert single.admin.tables().revision == 1
    own_store_process.set_faults()
    assert single.admin.set_zone(zone_out).status is ChangeStatus.ACCEPTED


class CountingMeter(NullMeter):
    """Counts dropped messages by reason."""

    def __init__(self):
        self.drops = []

    def count_drop(self, reason):
        self.drops.append(reason)


def test_an_invalid_document_does_not_hide_the_next_one(start_fleet, own_store_process):
    # Guards against a watcher that stops at an invalid document, for example one that
    # an operator wrote by hand, and misses the valid one after it; both daemons have to
    # adopt that one within 3 s.
    daemons = start_fleet(2, store_address=own_store_process.address)
    assert wait_until(all_alive(daemons), 10)
    writer = EtcdGatewayStore(addresses=[own_store_process.address], timeout_ms=500)
    for document in (b"{", encode_tables(Tables(revision=7, change_id="seven"))):
        writer.transact((), (Put(key=TABLES_KEY, value=document),))
        time.sleep(0.3)
    writer.close()
    assert wait_until(
        lambda: all(item.revision == 7 for item in daemons), REVISION_BOUND_S
    )


def test_watchers_are_replaced_when_they_leave():
    # Guards against a zone without a watcher of the store, if watchers that are
    # suspect or dead are not replaced.
    chosen = []
    choose = make_watcher_selector(
        zone="zone-a", own_address="10.0.0.1:1", set_watching=chosen.append
    )

    def change(index, state):
        record = MemberRecord(
            instance=f"10.0.0.{index}:1/1",
            zone="zone-a",
            region="north",
            service="catalog",
            inner_address=f"10.0.0.{index}:1",
            gossip_address=f"10.0.0.{index}:2",
            state=state,
            version=1,
            slots=1,
        )
        choose(MemberChanged(record=record))

    for index in range(1, 11):
        change(index, MemberState.ALIVE)
    for index in range(2, 11):
        change(index, MemberState.SUSPECT if index % 2 else MemberState.DEAD)
    assert chosen[0] and chosen[-1]
    assert not all(chosen)


def test_a_strike_reaches_the_other_daemons(start_fleet):
    # Guards against a crashing request that is executed again because a daemon did
    # not receive its strike within 2 s. The instance name has the longest possible
    # address.
    daemons = start_fleet(3)
    assert wait_until(all_alive(daemons), 10)
    received_strikes = []
    for item in daemons[1:]:
        item.daemon.fleet.subscribe(
            StrikeReceived, lambda effect: received_strikes.append(effect.strike)
        )
    instance = "[2001:db8:1111:2222:3333:4444:5555:6666]:65535/1700000000000"
    strike_id = f"{instance}/{uuid.uuid4()}"
    strike = Strike(fingerprint="f" * 64, strike_id=strike_id, at_ms=1)
    daemons[0].daemon.fleet.record_strike(strike)
    assert wait_until(lambda: received_strikes == [strike, strike], STRIKE_BOUND_S)


def test_forged_old_or_malformed_messages_are_dropped():
    # Guards against records from outside the cluster, replayed old messages, and a
    # socket that stops receiving after a malformed datagram.
    clock, meter, received = SystemClock(), CountingMeter(), []
    gossip = GossipSocket(
        address=("127.0.0.1", 0), cluster_key=KEY, clock=clock, meter=meter
    )
    gossip.start(
        on_message=lambda message, source: received.append(message),
        on_tick=lambda: None,
    )
    message = Message(
        kind=MessageKind.UPDATE,
        sequence=0,
        sender="127.0.0.1:1/1",
        sender_version=1,
        sender_state=MemberState.ALIVE,
        revision=0,
    )
    wall_ms = clock.wall_ms()
    valid = encode_message(message, cluster_key=KEY, wall_ms=wall_ms)
    old = encode_message(message, cluster_key=KEY, wall_ms=wall_ms - 60_000)
    forged = encode_message(message, cluster_key=b"x" * 32, wall_ms=wall_ms)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for datagram in (old, forged, b"", valid[:40], b"x" * 1_401, valid):
            sender.sendto(datagram, ("127.0.0.1", gossip.port))
    assert wait_until(lambda: received, 2)
    gossip.close()
    assert received == [message]
    assert meter.drops == ["age", "hmac", "hmac", "hmac", "size"]


def test_missed_ticks_are_skipped():
    # Guards against a burst of ticks after a pause of 10 s: each would look timely and
    # hide the pause from the failure detector.
    clock = ManualClock()
    ticks = []
    gossip = GossipSocket(
        address=("127.0.0.1", 0), cluster_key=KEY, clock=clock, meter=NullMeter()
    )
    gossip.start(
        on_message=lambda message, source: None, on_tick=lambda: ticks.append(1)
    )
    assert wait_until(lambda: ticks, 2)
    clock.advance(10_000)
    time.sleep(0.5)
    gossip.close()
    assert len(ticks) <= 3
