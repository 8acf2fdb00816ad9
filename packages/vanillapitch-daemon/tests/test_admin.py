"""Tests of the administration API over HTTP."""

import http.client
import threading
import time

import pytest
from vanillapitch_core.outcome import RefusalCode
from vanillapitch_core.tables import Pool
from vanillapitch_daemon.admin import AdminServer
from vanillapitch_daemon.settings import Address
from vanillapitch_testbed.loopback import make_loopback_address

POOLS = [{"name": "catalog", "service": "catalog", "zones": ["gb-a"]}]


def _change(**fields):
    return {"base_revision": 1, "author": "ishikari", "pools": POOLS, **fields}


@pytest.mark.parametrize("token", [None, "", "wrong", "operator-token-of-test", "é"])
@pytest.mark.parametrize("path", ["/v1/tables", "/metrics", "/v1/none", "/healthz/"])
def test_a_wrong_token_is_refused_everywhere(running_admin, path, token):
    # Guards against clients without the token that read tables or metrics, or learn
    # which paths exist: all of these requests must get 401.
    status, body = running_admin.request("GET", path, token=token)
    assert (status, body["code"]) == (401, "unauthorized")


def test_a_wrong_token_changes_nothing(running_admin):
    # Guards against a change that is applied before the token is checked.
    for method, path, body in [
        ("PUT", "/v1/tables", _change()),
        ("PUT", "/v1/zones/gb-a", {"in_service": False}),
        ("PUT", "/v1/backend", {"state": "leaving"}),
    ]:
        assert running_admin.request(method, path, body, token="wrong")[0] == 401
    assert running_admin.configuration.tables().revision == 1
    assert running_admin.node.announced == []


def test_health_and_readiness_need_no_token(running_admin):
    # Guards against health checks that fail with 401, because the platform has no
    # token, and against a daemon that reports ready while it is not.
    assert running_admin.request("GET", "/healthz", token=None)[0] == 200
    assert running_admin.request("GET", "/readyz", token=None)[0] == 200
    running_admin.node.reasons = ("no tables",)
    status, body = running_admin.request("GET", "/readyz", token=None)
    assert (status, body["reasons"]) == (503, ["no tables"])


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/v1/none", (404, "not_found")),
        ("GET", "/v1/zones/gb-a", (405, "method_not_allowed")),
        ("DELETE", "/v1/tables", (405, "method_not_allowed")),
        ("GET", "/v1/tables/history?limit=0", (400, "bad_request")),
        ("GET", "/v1/tables/history?limit=1e9", (400, "bad_request")),
    ],
)
def test_unknown_paths_and_methods_have_problem_bodies(
    running_admin, method, path, expected
):
    # Guards against error responses without the status and the code by which a client
    # distinguishes errors.
    status, body = running_admin.request(method, path)
    assert (status, body["code"]) == expected


@pytest.mark.parametrize(
    ("path", "body", "expected"),
    [
        ("/v1/tables", b"{", (400, None)),
        ("/v1/tables", b'{"author": "\xff"}', (400, None)),
        ("/v1/tables", _change(base_revision=-1), (422, "$.base_revision")),
        ("/v1/tables", _change(zones_out=[]), (422, "$")),
        ("/v1/tables", _change(pools=[{"name": "X"}]), (422, "$.pools[0].name")),
        ("/v1/tables", _change(pools=[]), (422, "$.routes[0].pool")),
        (
            "/v1/tables",
            _change(routes=[{"name": "r", "pool": "none"}]),
            (422, "$.routes[0].pool"),
        ),
        ("/v1/zones/GB", {"in_service": False}, (422, "$.zone")),
        ("/v1/zones/gb-a", {"in_service": "no"}, (422, "$.in_service")),
        ("/v1/backend", {"state": "tired"}, (422, "$.state")),
    ],
)
def test_an_invalid_body_names_the_field(running_admin, path, body, expected):
    # Guards against storing invalid tables: an invalid body must be rejected, with the
    # path of the field if it is JSON.
    status, problem = running_admin.request("PUT", path, body)
    assert (status, problem.get("path")) == expected
    assert running_admin.configuration.tables().revision == 1


def test_a_change_is_applied_and_listed(running_admin):
    # Guards against a history that lacks the author, the change id or a changed field.
    body = _change(change_id="change-of-test")
    status, response = running_admin.request("PUT", "/v1/tables", body)
    assert (status, response["tables"]["revision"]) == (200, 2)
    _, history = running_admin.request("GET", "/v1/tables/history")
    latest = history["history"][0]
    assert (latest["author"], latest["change_id"]) == ("ishikari", "change-of-test")
    assert latest["changes"] == [
        {"path": "$.pools[catalog].zones", "before": [], "after": ["gb-a"]}
    ]
    _, short = running_admin.request("GET", "/v1/tables/history?limit=1")
    assert short["history"] == [latest]


def test_a_conflict_shows_who_changed_what(running_admin):
    # Guards against a conflict response without the changes that other operators made
    # since the base revision.
    pools = (Pool(name="catalog", service="catalog", shed_status=429),)
    running_admin.configuration.write("hanul", pools=pools)
    status, problem = running_admin.request("PUT", "/v1/tables", _change())
    assert (status, problem["code"]) == (409, "conflict")
    assert problem["current"]["revision"] == 2
    assert [entry["author"] for entry in problem["changes"]] == ["hanul"]
    assert problem["changes"][0]["changes"][0]["path"] == "$.pools[catalog].shed_status"


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        ("unavailable", (503, "store_unavailable")),
        ("unknown_applied", (504, "outcome_unknown")),
    ],
)
def test_an_outage_of_the_store_is_reported_truthfully(running_admin, fault, expected):
    # Guards against reporting success, when the store is unavailable or its response is
    # lost, for a change that may not have been applied.
    running_admin.configuration.fault = fault
    for path, body in [
        ("/v1/tables", _change()),
        ("/v1/zones/gb-a", {"in_service": False}),
    ]:
        status, problem = running_admin.request("PUT", path, body)
        assert (status, problem["code"]) == expected
        assert problem["change_id"]
        running_admin.configuration.documents = running_admin.configuration.documents[
            :1
        ]


def test_zones_leave_and_return_to_service(running_admin):
    # Guards against a zone list that omits zones without members: a zone out of service
    # must be listed with 0 members.
    running_admin.node.zones = ["gb-b"]
    assert running_admin.request("PUT", "/v1/zones/gb-a", {"in_service": False})
    _, zones = running_admin.request("GET", "/v1/zones")
    assert zones["zones"] == [
        {"zone": "gb-a", "in_service": False, "members": 0},
        {"zone": "gb-b", "in_service": True, "members": 1},
    ]
    running_admin.request("PUT", "/v1/zones/gb-a", {"in_service": True})
    assert running_admin.configuration.tables().zones_out == ()


def test_the_backend_server_announces_itself(running_admin):
    # Guards against an announcement that is accepted but not passed on to the daemon.
    for state in ("ready", "leaving"):
        assert running_admin.request("PUT", "/v1/backend", {"state": state})[0] == 200
    assert running_admin.node.announced == ["ready", "leaving"]


def test_metrics_are_served(running_admin):
    # Guards against a refusal code without a counter: each code must be exported, also
    # with the count 0.
    running_admin.metrics.count_refusal(RefusalCode.OVERLOADED)
    status, text = running_admin.request("GET", "/metrics")
    assert status == 200
    for code in RefusalCode:
        count = 1 if code is RefusalCode.OVERLOADED else 0
        assert f'vanillapitch_refusals_total{{code="{code}"}} {count}\n' in text


def test_an_internal_error_has_no_details_for_the_client(running_admin):
    # Guards against a stack trace or a secret in the response after an unexpected
    # exception.
    running_admin.configuration.tables = lambda: 1 / 0
    status, body = running_admin.request("GET", "/v1/tables")
    assert (status, body["code"]) == (500, "internal_error")
    assert "zero" not in body["detail"]


def test_stop_completes_the_running_request(running_admin):
    # Guards against a shutdown that drops the response to an operator's request: a
    # request that takes 0.3 s must be completed.
    entered = threading.Event()

    def slow_tables():
        entered.set()
        time.sleep(0.3)
        return running_admin.configuration.documents[-1]

    running_admin.configuration.tables = slow_tables
    responses = []
    thread = threading.Thread(
        target=lambda: responses.append(running_admin.request("GET", "/v1/tables"))
    )
    thread.start()
    assert entered.wait(5)
    running_admin.server.stop()
    thread.join(5)
    assert responses[0][0] == 200


def test_an_address_in_use_fails_at_once(running_admin):
    # Guards against a daemon that runs without its administration API, because another
    # process uses the address.
    with pytest.raises(OSError, match="in use"):
        AdminServer(application=lambda *_: [], address=Address(running_admin.address))


def test_a_server_that_never_started_releases_its_address():
    # Guards against a failed start that hangs or keeps the port, when the server is
    # stopped before its thread runs: a second server must be able to bind the port.
    address = Address(make_loopback_address())
    for _ in range(2):
        AdminServer(application=lambda *_: [], address=address).stop()


@pytest.mark.parametrize("pull_delay_s", [0.4, 3.0])
def test_a_worker_never_wakes_a_closed_trigger(pull_delay_s):
    # Guards against a stop that closes the trigger of the server between the end of a
    # request and the wake-up that its worker sends: the descriptor may be in use by
    # another file by then. The longer delay exceeds the time limit of the stop.
    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    address = Address(make_loopback_address())
    server = AdminServer(application=application, address=address)
    trigger = server._server.trigger
    closed_at_pull = []
    pulled = threading.Event()

    def pull_late():
        if threading.current_thread().name.startswith("waitress"):
            time.sleep(pull_delay_s)
            closed_at_pull.append(trigger._closed)
            pulled.set()
        trigger.pull_trigger()

    server._server.pull_trigger = pull_late
    server.start()
    connection = http.client.HTTPConnection(address.host, address.port)
    connection.request("GET", "/")
    assert connection.getresponse().status == 200
    connection.close()
    server.stop(timeout_ms=1_000)
    assert pulled.wait(2 * pull_delay_s)
    assert closed_at_pull == [False]
