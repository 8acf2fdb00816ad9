"""Tests of loading settings."""

import copy
import pathlib

import msgspec
import pytest
from vanillapitch_daemon.settings import (
    SettingsError,
    load_settings,
    parse_settings,
    settings_reference,
)

CLUSTER_KEY = "k" * 32
ADMIN_TOKEN = "operator-token-of-tests"
REPOSITORY = pathlib.Path(__file__).parents[3]

VALID = {
    "instance": {"zone": "gb-a", "region": "gyeongbuk"},
    "listen": {
        "callers": "127.0.0.1:8000",
        "peers": "127.0.0.1:8001",
        "gossip": "127.0.0.1:8001",
        "admin": "[::1]:8003",
    },
    "backend": {"address": "127.0.0.1:9000", "service": "catalog", "slots": 12},
    "platform": {"addresses": ["127.0.0.1:2379"]},
    "secrets": {"cluster_key": CLUSTER_KEY, "admin_token": ADMIN_TOKEN},
}


def _changed(path, value):
    document = copy.deepcopy(VALID)
    *parents, last = path.split(".")
    target = document
    for key in parents:
        target = target.setdefault(key, {})
    if value is ...:
        del target[last]
    else:
        target[last] = value
    return document


def test_a_file_with_the_required_fields_loads(tmp_path):
    # Guards against an additional required field and against a changed default: a file
    # with just the required fields must load.
    file = tmp_path / "settings.json"
    file.write_bytes(msgspec.json.encode(VALID))
    settings = load_settings(file)
    assert (settings.listen.admin.host, settings.listen.admin.port) == ("::1", 8003)
    assert settings.limits.drain_timeout_ms == 120_000
    assert settings.limits.probe_budget_percent == 1


@pytest.mark.parametrize(
    ("path", "value", "error_path"),
    [
        ("listen.callers", ..., "$.listen.callers"),
        ("listen.caller", "127.0.0.1:1", "$.listen.caller"),
        ("platform.timeout_s", 1, "$.platform.timeout_s"),
        ("platform.timeout_ms", "1s", "$.platform.timeout_ms"),
        ("platform.timeout_ms", 0.5, "$.platform.timeout_ms"),
        ("platform.timeout_ms", 5, "$.platform.timeout_ms"),
        ("platform.addresses", [], "$.platform.addresses"),
        ("platform.addresses", ["127.0.0.1"], "$.platform.addresses[0]"),
        ("seeds", ["127.0.0.1:70000"], "$.seeds[0]"),
        ("listen.callers", "localhost:80", "$.listen.callers"),
        ("listen.callers", "::1:80", "$.listen.callers"),
        ("listen.callers", 8000, "$.listen.callers"),
        ("listen.callers", "127.0.0.1:0", "$.listen.callers"),
        ("listen.admin", "127.0.0.1:8000", "$.listen.admin"),
        ("listen.callers", "0.0.0.0:8001", "$.listen.peers"),
        ("listen.peers", "0.0.0.0:8001", "$.listen.peers"),
        ("backend.address", "127.0.0.1:8000", "$.backend.address"),
        ("backend.service", "Catalog", "$.backend.service"),
        ("backend.connections", 11, "$.backend.connections"),
        ("secrets.cluster_key", "k" * 31, "$.secrets.cluster_key"),
        ("secrets.admin_token", CLUSTER_KEY, "$.secrets.admin_token"),
        ("limits.max_body_bytes", 67_108_865, "$.limits.max_total_body_bytes"),
        ("limits.drain_timeout_ms", 1_000, "$.limits.drain_timeout_ms"),
        ("limits.probe_budget_percent", 11, "$.limits.probe_budget_percent"),
        ("color\n", "blue", "$.color\\n"),
    ],
)
def test_an_invalid_field_gives_one_line_with_its_path(path, value, error_path):
    # Guards against a daemon that starts with missing, unknown, invalid or
    # contradictory fields: each must give a one-line error that begins with its path.
    with pytest.raises(SettingsError) as caught:
        parse_settings(msgspec.json.encode(_changed(path, value)))
    assert str(caught.value).startswith(f"{error_path}: ")
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize("document", [b"", b"{", b"[]", b'"\xff"', b"{}"])
def test_an_invalid_document_is_rejected(document):
    # Guards against a traceback for a document that is empty, malformed or incomplete:
    # it must raise `SettingsError`.
    with pytest.raises(SettingsError, match=r"^\$"):
        parse_settings(document)


def test_a_missing_file_is_named(tmp_path):
    # Guards against an error that does not name the missing file.
    with pytest.raises(SettingsError, match="none.json.*No such file"):
        load_settings(tmp_path / "none.json")


@pytest.mark.parametrize("secret", ["cluster_key", "admin_token"])
def test_secrets_stay_out_of_errors_and_representations(secret):
    # Guards against secrets in log lines: neither the representation of the settings
    # nor the error about a secret that is too short may contain it.
    settings = parse_settings(msgspec.json.encode(VALID))
    assert VALID["secrets"][secret] not in repr(settings)
    short = "hunter2"
    with pytest.raises(SettingsError) as caught:
        parse_settings(msgspec.json.encode(_changed(f"secrets.{secret}", short)))
    assert short not in str(caught.value)


def test_the_settings_page_is_up_to_date():
    # Guards against a reference page that is out of date after a change of the models.
    page = REPOSITORY / "docs" / "settings.md"
    assert page.read_text() == settings_reference()
