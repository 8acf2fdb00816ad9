"""Tests of daemons whose store is replaced by an older copy of it."""

import queue
import random

import pytest
from vanillapitch_core.tables import Tables, encode_tables
from vanillapitch_daemon.configuration import StoreWatcher
from vanillapitch_daemon.configuration._store import TABLES_KEY
from vanillapitch_store import EtcdGatewayStore, Put
from vanillapitch_testbed.loopback import make_loopback_ip
from vanillapitch_testbed.store import StoreProcess

pytestmark = pytest.mark.integration


def write(address, revision):
    client = EtcdGatewayStore(addresses=[address], timeout_ms=2_000)
    value = encode_tables(Tables(revision=revision))
    client.transact([], [Put(key=TABLES_KEY, value=value)])


def test_tables_written_after_a_restore_are_delivered():
    # Guards against a watcher that waits for store revisions which the restored store
    # has not reached, and so misses every change until then.
    ip = make_loopback_ip()
    addresses = {"listen": f"{ip}:7000", "control": f"{ip}:7001"}
    delivered = queue.Queue()
    with StoreProcess(**addresses) as store_process:
        watcher = StoreWatcher(
            store=EtcdGatewayStore(addresses=[store_process.address], timeout_ms=500),
            deliver=lambda tables: delivered.put(tables.revision),
            random_source=random.Random(1),
        )
        for revision in range(1, 6):
            write(store_process.address, revision)
        watcher.set_watching(True)
        watcher.start()
        assert delivered.get(timeout=5) == 5
        write(store_process.address, 6)
        assert delivered.get(timeout=5) == 6
    with StoreProcess(**addresses) as store_process:
        write(store_process.address, 7)
        assert delivered.get(timeout=10) == 7
        write(store_process.address, 8)
        assert delivered.get(timeout=10) == 8
        watcher.close()
