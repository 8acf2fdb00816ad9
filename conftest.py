"""Fixtures that the tests of several packages share."""

import platform
import socket

import pytest
from vanillapitch_store import EtcdGatewayStore
from vanillapitch_testbed.store import StoreProcess

# In importlib mode, pytest imports the tests in platform/ as submodules of `platform`.
# It would replace the standard library's module of that name with a package, unless
# the module has a `__path__`.
platform.__path__ = []


@pytest.fixture(scope="session")
def shared_store_process():
    """Start one store process for the whole test session.

    The fixture `store_process` clears its faults.
    """
    with StoreProcess() as process:
        yield process


@pytest.fixture
def store_process(shared_store_process):
    """Provide a store process without faults and with counters at zero."""
    shared_store_process.set_faults()
    shared_store_process.reset_counters()
    yield shared_store_process
    shared_store_process.set_faults()


@pytest.fixture
def store(store_process):
    """Provide a client of `store_process` with a timeout of 500 ms."""
    client = EtcdGatewayStore(addresses=[store_process.address], timeout_ms=500)
    yield client
    client.close()


@pytest.fixture
def unused_address():
    """Provide an address at which connections are refused.

    A bound socket that does not listen reserves the port.
    """
    with socket.socket() as reserved:
        reserved.bind(("127.0.0.1", 0))
        yield "{}:{}".format(*reserved.getsockname())
