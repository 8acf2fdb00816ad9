"""Number of calls to the store, and takeover by other followers."""

import asyncio
import time
import zlib

import msgspec
import pytest
from vanillapitch_adapter.main import DIALECT
from vanillapitch_core.clock import ManualClock
from vanillapitch_relay import hub, registration
from vanillapitch_relay.configuration_state import ConfigurationState
from vanillapitch_relay.departure_store import REMOVAL_BATCH_SIZE
from vanillapitch_testbed.platform_standins import (
    Refusal,
    ServiceSpec,
    make_configuration,
    make_route,
)
from vanillapitch_wire.relay import Snapshot

ONE_ZONE = (ServiceSpec(name="shop", zones=("a",) * 8),)
TWO_ZONES = (ServiceSpec(name="shop", zones=("a", "a", "a", "b", "b", "b")),)
NEW_ROUTE = make_route("new", service="shop")


@pytest.fixture(autouse=True)
def second_introducer_follows_soon(monkeypatch):
    """Shorten the delay of the second introducer of a zone."""
    monkeypatch.setattr(registration, "ONE_INTRODUCER_DELAY_MS", 200.0)


async def wait_until_settled(fleet):
    await fleet.wait_until(lambda: len(fleet.store.keys("owners/")) >= 2)
    await asyncio.sleep(1.0)


def versions(fleet):
    return {
        vm.daemon._configuration.version for vm in fleet.vms if vm.daemon is not None
    }


async def wait_for_version(fleet, version, *, timeout_s):
    await fleet.wait_until(lambda: versions(fleet) == {version}, timeout_s=timeout_s)


def test_two_daemons_of_a_zone_watch_the_store(run_fleet):
    # Guards against watches of all daemons: each start and each change would complete
    # all of them, and every completed watch is billed (0.184 of the worth, the users'
    # measure, with 90 daemons).
    async def scenario(fleet):
        await wait_until_settled(fleet)
        fleet.store.calls_by_path.clear()
        await fleet.add_vm(ONE_ZONE[0], "a")
        await fleet.wait_until_connected()
        await asyncio.sleep(0.5)
        for number in range(3):
            fleet.configure(routes=[{**NEW_ROUTE, "timeout_s": 1.0 + number}])
            await wait_for_version(fleet, f"{number + 2:08x}", timeout_s=2)
        return dict(fleet.store.calls_by_path)

    calls = run_fleet(scenario, services=ONE_ZONE)
    # Two followers with three changes and at most one time-out each; the new daemon is
    # not a follower.
    assert calls.get("kv-watch", 0) <= 2 * (3 + 1)
    assert calls["kv-range"] == 1
    assert "kv-lease" not in calls


def test_a_restart_reuses_the_lease(run_fleet, monkeypatch):
    # Guards against a restart that takes seven calls to the store because it does not
    # reuse its predecessor's key and lease and first conflicts with them.
    async def scenario(fleet):
        await wait_until_settled(fleet)
        monkeypatch.setattr(registration, "ONE_INTRODUCER_DELAY_MS", 1e9)
        await asyncio.sleep(0.3)
        introducers = fleet.store.keys("owners/")
        (vm,) = (vm for vm in fleet.vms if introducers[0].endswith(vm.settings.node))
        await fleet.kill_daemon(vm)
        fleet.store.calls_by_path.clear()
        await fleet.start_daemon(vm)
        await fleet.wait_until_connected()
        await asyncio.sleep(0.5)
        keys = fleet.store.keys("owners/")
        return dict(fleet.store.calls_by_path), introducers, keys

    calls, introducers, keys = run_fleet(scenario, services=ONE_ZONE)
    # A renewal costs a tenth of a call. The watches belong to the followers.
    calls.pop("kv-watch", None)
    assert set(calls) <= {"kv-range", "kv-keep"}
    assert calls["kv-range"] == 1
    assert keys == introducers


def test_few_daemons_of_a_zone_are_listed(run_fleet):
    # Guards against store calls that grow with the number of daemons: eight daemons
    # that start at once, while reads are stale, must make fewer than two calls each,
    # and two of them are listed.
    async def scenario(fleet):
        fleet.store.faults.stale_s = 0.2
        for vm in fleet.vms:
            await fleet.kill_daemon(vm)
        fleet.store.revoke_leases()
        fleet.store.calls_by_path.clear()
        await asyncio.gather(*(fleet.start_daemon(vm) for vm in fleet.vms))
        await fleet.wait_until_connected(timeout_s=3)
        await wait_until_settled(fleet)
        return dict(fleet.store.calls_by_path), fleet.store.keys("owners/")

    calls, keys = run_fleet(scenario, services=ONE_ZONE)
    assert 2 <= len(keys) <= 4
    assert calls["kv-lease"] == len(keys)


def test_member_lists_are_spread_over_time(run_fleet, monkeypatch):
    # Guards against an introducer whose link is full for half a second, because all
    # daemons of its zone get the complete list of members at once.
    sent_at_s = []
    encode = hub.Members

    def record(*, members):
        if len(members) > 4:
            sent_at_s.append(asyncio.get_running_loop().time())
        return encode(members=members)

    async def scenario(fleet):
        await wait_until_settled(fleet)
        monkeypatch.setattr(hub, "Members", record)
        introducers = fleet.store.keys("owners/")
        (vm,) = (vm for vm in fleet.vms if introducers[0].endswith(vm.settings.node))
        for incoming in vm.daemon._hub._incoming.values():
            incoming.wants_members = True
            incoming.members_due_ms = 0.0
        await asyncio.sleep(1.0)

    run_fleet(scenario, services=ONE_ZONE)
    assert len(sent_at_s) >= 6
    assert sent_at_s[-1] - sent_at_s[0] >= 0.1 * (len(sent_at_s) / 2 - 1) - 0.02


def test_a_daemon_joins_after_all_introducers_were_lost(run_fleet, monkeypatch):
    # Guards against a new daemon that finds no member, because the introducers of its
    # zone were lost at once; others must take their place when the leases have ended.
    monkeypatch.setattr(registration, "LEASE_TTL_MS", 1_500)

    async def scenario(fleet):
        await wait_until_settled(fleet)
        introducers = fleet.store.keys("owners/")
        for vm in fleet.vms:
            if f"owners/{vm.settings.node}" in introducers:
                await fleet.kill_daemon(vm)
        await fleet.add_vm(ONE_ZONE[0], "a")
        await fleet.wait_until_connected(timeout_s=8)
        return set(fleet.store.keys("owners/")) - set(introducers)

    assert run_fleet(scenario, services=ONE_ZONE)


def test_daemons_beyond_the_introducers_leave_a_lost_store_alone(run_fleet):
    # Guards against calls to a store that is down which grow with the fleet: two
    # daemons watch and renew, and the six others must make fewer than 1.5 calls a
    # second together.
    async def scenario(fleet):
        await wait_until_settled(fleet)
        fleet.store.faults.refusal = Refusal.BUSY
        fleet.store.cut_connections()
        await asyncio.sleep(2.0)
        fleet.store.calls_by_path.clear()
        await asyncio.sleep(4.0)
        return dict(fleet.store.calls_by_path)

    calls = run_fleet(scenario, services=ONE_ZONE)
    # Only the six search; their first read may be stale, and it fails.
    assert calls.get("kv-range-stale", 0) <= 1.5 * 4.0
    # Each of the two retries its watch and its renewal every 0.6 s or later.
    assert sum(calls.values()) <= 2 * 2 * 4.0 / 0.6 + 1.5 * 4.0


def test_expired_departure_records_of_other_vms_are_removed(run_fleet):
    # Guards against departure records of removed VMs that accumulate in the store, so
    # that every start reads more of them.
    async def scenario(fleet):
        old = msgspec.json.encode({"instance": "i-0", "born_ms": 1, "stored_ms": 2})
        for number in range(REMOVAL_BATCH_SIZE + 3):
            fleet.store.put(f"outgoing/gone-{number}", old)
        new = msgspec.json.encode(
            {"instance": "i-9", "born_ms": 1, "stored_ms": time.time_ns() // 1_000_000}
        )
        fleet.store.put("outgoing/fresh", new)
        fleet.store.put("outgoing/unreadable", b"{")
        vm = fleet.vms[0]
        await fleet.kill_daemon(vm)
        await fleet.start_daemon(vm)
        await asyncio.sleep(0.4)
        return fleet.store.keys("outgoing/")

    keys = run_fleet(scenario)
    assert len(keys) == 3 + 2
    assert {"outgoing/fresh", "outgoing/unreadable"} <= set(keys)


def test_another_daemon_takes_over_from_followers_that_are_killed(run_fleet):
    # Guards against changes that do not reach a zone whose followers were killed;
    # another daemon must become a follower. The bound is 2 s.
    async def scenario(fleet):
        await asyncio.sleep(0.6)
        for vm in fleet.vms[:2]:
            await fleet.kill_daemon(vm)
        fleet.configure(routes=[NEW_ROUTE])
        await wait_for_version(fleet, "00000002", timeout_s=2)

    run_fleet(scenario, services=ONE_ZONE)


def test_a_zone_without_store_responses_gets_changes_from_another(run_fleet):
    # Guards against changes that do not reach a zone because the store does not respond
    # to any of its daemons; they must come from another zone. The bound is 2 s.
    async def scenario(fleet):
        await asyncio.sleep(0.6)
        fleet.store.faults.refusal = Refusal.SILENT
        fleet.store.faults.refused_hosts = {fleet.store_host(n) for n in range(3)}
        fleet.configure(routes=[NEW_ROUTE])
        await wait_for_version(fleet, "00000002", timeout_s=2)

    run_fleet(scenario, services=TWO_ZONES)


def test_a_silent_outage_is_detected_by_the_pending_watch(run_fleet):
    # Guards against a change that is missed because the store silently stopped
    # answering a pending watch; it must be in force within 2 s after the store
    # recovers.
    async def scenario(fleet):
        await asyncio.sleep(0.6)
        fleet.store.faults.refusal = Refusal.SILENT
        fleet.configure(routes=[NEW_ROUTE])
        await asyncio.sleep(3.5)
        fleet.store.faults.refusal = None
        await wait_for_version(fleet, "00000002", timeout_s=2)

    run_fleet(scenario, services=ONE_ZONE)


def test_daemons_that_start_at_the_same_time_connect(run_fleet):
    # Guards against daemons that start at the same time and read the list of members
    # before the others have written their keys, and so never connect.
    async def scenario(fleet):
        fleet.store.faults.stale_s = 5.0
        for vm in fleet.vms:
            await fleet.kill_daemon(vm)
        fleet.store.revoke_leases()
        await asyncio.gather(*(fleet.start_daemon(vm) for vm in fleet.vms))
        await fleet.wait_until_connected(timeout_s=3)

    run_fleet(scenario, services=ONE_ZONE)


def test_daemons_that_removed_their_links_reconnect(run_fleet, monkeypatch):
    # Guards against two daemons that never reconnect after both removed their link, as
    # after a network partition that lasts longer than unlisted links are kept.
    monkeypatch.setattr(registration, "MEMBERS_INTERVAL_MS", 300.0)
    monkeypatch.setattr(registration, "STALE_READ_AGE_MS", 0.0)

    async def scenario(fleet):
        for here, there in ((0, 1), (1, 0)):
            hub = fleet.vms[here].daemon._hub
            link = hub.links_by_node.pop(f"vm-{there + 1}")
            link.stop()
        await fleet.wait_until_connected(timeout_s=4)

    run_fleet(scenario)


def test_a_deleted_member_key_is_written_again(run_fleet, monkeypatch):
    # Guards against a daemon that stays unlisted after its key was deleted, because
    # renewals of its lease still succeed.
    monkeypatch.setattr(registration, "MEMBERS_INTERVAL_MS", 300.0)
    monkeypatch.setattr(registration, "STALE_READ_AGE_MS", 0.0)

    async def scenario(fleet):
        fleet.store.delete("owners/vm-1")
        await fleet.wait_until(
            lambda: "owners/vm-1" in fleet.store.keys("owners/"), timeout_s=4
        )

    run_fleet(scenario)


def test_a_key_deleted_in_an_outage_is_restored_within_two_seconds(run_fleet):
    # Guards against a daemon that stays unlisted after its key was deleted during an
    # outage, because its lease survived. The key must be restored within 2 s.
    async def scenario(fleet):
        await asyncio.sleep(0.6)
        fleet.store.faults.refusal = Refusal.BUSY
        fleet.store.faults.refused_hosts = {fleet.store_host(0)}
        fleet.store.delete("owners/vm-1")
        await asyncio.sleep(2.5)
        fleet.store.faults.refusal = None
        await fleet.wait_until(
            lambda: "owners/vm-1" in fleet.store.keys("owners/"), timeout_s=2
        )

    run_fleet(scenario)


def test_unreadable_snapshots_of_peers_change_nothing():
    # Guards against truncated, corrupt or oversized (8 MiB) snapshots of a peer that
    # change the state or block a later valid snapshot.
    changes = []
    state = ConfigurationState(
        dialect=DIALECT, clock=ManualClock(), on_change=changes.append
    )
    complete = zlib.compress(make_configuration([ServiceSpec(name="s", zones=("a",))]))
    oversized = zlib.compress(bytes(8 * 1024 * 1024))
    for number, data in enumerate((b"x", complete[:-9], oversized)):
        snapshot = Snapshot(
            read_revision=10 + number,
            changed_revision=10 + number,
            configuration=data,
            zones_out=["a"],
        )
        state.apply_snapshot(snapshot, source="vm-2")
    assert (state.read_revision, state.zones_out, changes) == (0, frozenset(), [])
    state.apply_snapshot(
        Snapshot(
            read_revision=9, changed_revision=8, configuration=complete, zones_out=[]
        ),
        source="vm-2",
    )
    assert (state.version, changes) == ("00000001", [False])
