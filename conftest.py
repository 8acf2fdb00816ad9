"""Fixtures that the tests of several packages share, and the known failures."""

import ast
import pathlib
import platform
import re
import socket

import pytest
from vanillapitch_store import EtcdGatewayStore
from vanillapitch_testbed.store import StoreProcess

# In importlib mode, pytest imports the tests in platform/ as submodules of `platform`.
# It would replace the standard library's module of that name with a package, unless
# the module has a `__path__`.
platform.__path__ = []

pytest_plugins = ["pytester"]

_KNOWN_RED = "KNOWN-RED.txt"
_LISTED_TEST = re.compile(
    r"^ *test: (?P<file>[^:\s]+)::(?P<name>[^\s\[]+)", re.MULTILINE
)


def _listed_tests(config):
    """Return the tests that KNOWN-RED.txt lists, as pairs of file and function name."""
    path = config.rootpath / _KNOWN_RED
    if not path.exists():
        return []
    return _LISTED_TEST.findall(path.read_text(encoding="utf-8"))


def _defines(path: pathlib.Path, name: str) -> bool:
    if not path.exists():
        return False
    functions = (ast.FunctionDef, ast.AsyncFunctionDef)
    nodes = ast.parse(path.read_text(encoding="utf-8")).body
    return any(isinstance(node, functions) and node.name == name for node in nodes)


def pytest_sessionstart(session):
    """Refuse to run when KNOWN-RED.txt lists a test that does not exist."""
    root = session.config.rootpath
    for file, name in _listed_tests(session.config):
        if not _defines(root / file, name):
            raise pytest.UsageError(f"{_KNOWN_RED}: no such test: {file}::{name}")


def pytest_collection_modifyitems(config, items):
    """Let exactly the tests that KNOWN-RED.txt lists fail without failing the run."""
    listed = set(_listed_tests(config))
    for item in items:
        file = item.path.relative_to(config.rootpath).as_posix()
        if (file, item.originalname) in listed:
            item.add_marker(pytest.mark.xfail(reason=_KNOWN_RED))


def pytest_terminal_summary(terminalreporter):
    """Print each listed test that ran, with its outcome."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            if _KNOWN_RED in getattr(report, "wasxfail", ""):
                terminalreporter.write_line(f"{_KNOWN_RED}: {outcome} {report.nodeid}")


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
