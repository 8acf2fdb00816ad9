"""Tests of log lines and metrics."""

import contextlib
import io
import logging
import re
import threading

import pytest
from vanillapitch_daemon.logs import configure_logs, get_log
from vanillapitch_daemon.metered_store import MeteredStore
from vanillapitch_daemon.metrics import Metrics
from vanillapitch_store import StoreRejected, StoreUnavailable

SECRET = 'operator "token" of tests'


@pytest.fixture
def lines():
    root = logging.getLogger()
    previous = (root.handlers[:], root.level)
    stream = io.StringIO()
    configure_logs(secrets=[SECRET, ""], stream=stream)
    yield lambda: stream.getvalue().splitlines()
    root.handlers[:], root.level = previous[0], previous[1]
    logging.captureWarnings(False)


def test_a_line_has_time_level_part_message_and_fields(lines):
    # Guards against a line that a log collector cannot parse, because a field is
    # missing or its value is not quoted.
    get_log("ingress").info("Refused a call", code="overloaded", reason='a "b"\nc')
    assert re.fullmatch(
        r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z INFO ingress: Refused a call "
        r'code=overloaded reason="a \\"b\\"\\nc"',
        lines()[0],
    )


def test_a_part_is_named_once(lines):
    # Guards against a repeated prefix when a package with a plain logger starts its
    # message with the name of its part.
    logging.getLogger("vanillapitch.wire").warning("wire: rejected a connection")
    assert lines()[0].endswith(" WARNING wire: rejected a connection")


def test_secrets_stay_out_of_every_part_of_a_line(lines):
    # Guards against a secret in the log by way of a field, a message, an error, a stack
    # trace or the record of a library.
    log = get_log("admin")
    log.warning(f"Got {SECRET}", token=SECRET, header=f"Bearer {SECRET}")
    try:
        raise ValueError(f"bad {SECRET}")
    except ValueError as error:
        log.exception("Request failed", error=error)
    logging.getLogger("urllib3").error("sent %s", SECRET)
    text = "\n".join(lines())
    assert len(lines()) == 3
    assert "token" not in text.replace("token=", "")
    assert text.count("[redacted]") == 6


def test_a_line_break_in_a_value_is_escaped(lines):
    # Guards against a caller that forges log lines with a line break in a path.
    logging.getLogger("waitress").error("path %s", "/a\n2026 INFO admin: forged")
    get_log("ingress").info("100% of %s", path="/\r\nforged")
    assert len(lines()) == 2


def test_counts_from_many_threads_are_exact():
    # Guards against lost increments: the collectors are not thread-safe, so 8 threads
    # that count 500 times each have to give exactly 4,000.
    metrics = Metrics()

    def count():
        for _ in range(500):
            metrics.count_retry("overloaded")
            metrics.observe_latency_ms("catalog", 3)
            metrics.add_in_flight("owner", 1)
            metrics.add_in_flight("owner", -1)

    threads = [threading.Thread(target=count) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        metrics.render()
        thread.join()
    text = metrics.render().decode()
    assert 'vanillapitch_retries_total{reason="overloaded"} 4000\n' in text
    assert 'vanillapitch_in_flight{role="owner"} 0\n' in text
    assert 'vanillapitch_latency_ms_bucket{le="2.0",pool="catalog"} 0.0\n' in text
    assert 'vanillapitch_latency_ms_count{pool="catalog"} 4000.0\n' in text


def test_gauges_and_sums_are_rendered():
    # Guards against a documented metric that is never rendered, and a member state that
    # keeps its old count when no member is in it any more.
    metrics = Metrics()
    metrics.set_members({"alive": 3, "suspect": 1})
    metrics.set_members({"alive": 4})
    metrics.set_limit(12)
    metrics.set_revision(7)
    metrics.count_call("catalog")
    metrics.count_claim("held")
    metrics.count_store_call("transact", "ok")
    metrics.add_gossip_bytes("sent", 1_400)
    metrics.count_gossip_drop("hmac")
    metrics.add_probe_ms(6.5)
    lines = metrics.render().decode().splitlines()
    for line in (
        'members{state="alive"} 4',
        'members{state="suspect"} 0',
        "limit 12",
        "tables_revision 7",
        'calls_total{pool="catalog"} 1',
        'claims_total{event="held"} 1',
        'store_calls_total{kind="transact",result="ok"} 1',
        'gossip_bytes_total{direction="sent"} 1400',
        'gossip_dropped_total{reason="hmac"} 1',
        "probe_ms_total 6.5",
    ):
        assert f"vanillapitch_{line}" in lines


def test_store_calls_are_counted_by_result():
    # Guards against a store outage that metrics and the status do not show; a rejected
    # call must not count as an outage.
    results = [None, StoreUnavailable(), StoreRejected()]

    class Store:
        def get(self, key):
            failure = results.pop(0)
            if failure is not None:
                raise failure

    metrics = Metrics()
    store = MeteredStore(store=Store(), metrics=metrics)
    states = [store.state]
    for error in (None, StoreUnavailable, StoreRejected):
        with contextlib.nullcontext() if error is None else pytest.raises(error):
            store.get("key")
        states.append(store.state)
    assert states == ["unknown", "up", "down", "up"]
    text = metrics.render().decode()
    for result in ("ok", "store_unavailable", "store_rejected"):
        assert f'calls_total{{kind="get",result="{result}"}} 1\n' in text
