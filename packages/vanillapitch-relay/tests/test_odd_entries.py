"""Entries in the store that another writer malformed."""

import pytest
from vanillapitch_testbed.platform_standins import make_route

MEMBER = b'{"address":"%s","service":"shop","zone":"a"%s}'
DEEP = b"[" * 100_000 + b"]" * 100_000
ODD_VALUES = {
    "deep": MEMBER % (b"127.0.0.1:1", b',"more":' + DEEP),
    "number": MEMBER % (b"127.0.0.1:1", b',"born_ms":1' + b"0" * 5_000),
    "infinite": MEMBER % (b"127.0.0.1:1", b',"zone":1e999'),
    "port": MEMBER % (b"127.0.0.1:99999", b""),
    "negative_port": MEMBER % (b"127.0.0.1:-1", b""),
    "no_port": MEMBER % (b"127.0.0.1", b""),
    "bytes": b"\xff\xfe\x00",
}


@pytest.mark.parametrize(
    ("key", "odd"),
    [
        *(("owners/odd", odd) for odd in ODD_VALUES),
        ("outgoing/odd", "deep"),
        ("outgoing/vm-3", "deep"),
        ("outgoing/vm-3", "bytes"),
        ("op/evacuate/odd", "deep"),
    ],
)
def test_an_odd_entry_stops_no_daemon_from_following(run_fleet, caplog, key, odd):
    # Guards against one entry whose decoding ends the tasks that read the store, so
    # that the daemon ends or follows no change any more.
    async def scenario(fleet):
        fleet.store.put(key, ODD_VALUES[odd])
        await fleet.kill_daemon(fleet.vms[2])
        await fleet.start_daemon(fleet.vms[2])
        await fleet.wait_until_connected()
        fleet.configure(routes=[make_route("new", service="shop")])
        await fleet.wait_until_served("/new/a", timeout_s=2)

    run_fleet(scenario)
    assert "task_broke" not in caplog.messages
    assert "Task exception was never retrieved" not in caplog.text
