"""End-to-end tests of the data path: callers, daemons and endpoints on sockets."""

import asyncio

import pytest
from vanillapitch_relay import ingress
from vanillapitch_testbed.platform_standins import (
    ServiceSpec,
    read_pipelined,
    send_pipelined,
    send_request,
)


def test_a_request_reaches_its_service_unchanged(run_fleet):
    # Guards against forwarding that alters a request, drops the headers added for the
    # endpoint, or sends it to another service.
    async def scenario(fleet):
        response = await fleet.call("/stock/item?x=1&y=%20", headers={"X-Own": "kept"})
        (execution,) = fleet.executions("/stock/")
        return response, execution, fleet.vms[2].endpoint

    response, execution, endpoint = run_fleet(scenario)
    assert response.status == 200
    assert response.complete
    assert response.body == f"answer to {response.request_id}".encode() * 10
    assert response.headers["x-vanillapitch-server-seal"] == f"seal.{endpoint.instance}"
    assert execution.target == "/stock/item?x=1&y=%20"
    assert execution.headers["x-own"] == "kept"
    assert execution.headers["x-vanillapitch-caller-service"] == "shop"
    assert execution.headers["x-vanillapitch-expected-instance"] == endpoint.instance
    assert 0 < int(execution.headers["x-vanillapitch-deadline-ms"]) <= 1_000


def test_headers_that_the_daemon_sets_cannot_be_forged(run_fleet):
    # Guards against forwarding a caller's own values of headers that the daemon sets,
    # or its hop-by-hop headers, to the endpoint.
    async def scenario(fleet):
        await fleet.call(
            "/stock/a",
            headers={
                "X-Vanillapitch-Caller-Service": "forged",
                "X-Vanillapitch-Expected-Instance": "i-forged",
                "Connection": "X-Hop",
                "X-Hop": "1",
            },
        )
        return fleet.executions("/stock/")[0]

    execution = run_fleet(scenario)
    assert execution.headers["x-vanillapitch-caller-service"] == "shop"
    assert execution.headers["x-vanillapitch-expected-instance"] != "i-forged"
    assert "x-hop" not in execution.headers


def test_a_chunked_body_arrives_complete(run_fleet):
    # Guards against a chunked body that is truncated or corrupted when it is converted
    # to a body with a length.
    body = b"0123456789" * 30_000

    async def scenario(fleet):
        vm = fleet.vms[0]
        host, _, port = vm.settings.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /stock-once/up HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Vanillapitch-Attempt-Id: c1\r\nX-Vanillapitch-Deadline-Ms: 3000\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for start in range(0, len(body), 7_001):
            part = body[start : start + 7_001]
            writer.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")
        writer.write(b"0\r\n\r\n")
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        writer.close()
        return head, fleet.executions("/stock-once/")

    head, executions = run_fleet(scenario)
    assert head.startswith(b"HTTP/1.1 200")
    assert [execution.body for execution in executions] == [body]


def test_pipelined_requests_are_answered_in_order(run_fleet):
    # Guards against responses in order of completion instead of order of the pipelined
    # requests, and against requests that are executed one by one.
    async def scenario(fleet):
        reader, writer = await send_pipelined(
            fleet.vms[0].settings.caller_address,
            [f"/stock/p?work_ms={work_ms}" for work_ms in (120, 10, 60)],
            deadline_ms=2_000,
        )
        ids = [(await read_pipelined(reader))[1] for _ in range(3)]
        writer.close()
        return ids, fleet.vms[2].endpoint.max_running

    ids, max_running = run_fleet(scenario)
    assert ids == ["p0", "p1", "p2"]
    assert max_running == 3


@pytest.mark.parametrize(
    ("fault", "status"),
    [
        ("truncated", 502),
        ("reset", 502),
        ("garbage", 502),
        ("encoded", 502),
        ("shed", 503),
        ("error", 500),
    ],
)
def test_an_unsafe_request_is_not_sent_again_after_an_invalid_response(
    run_fleet, fault, status
):
    # Guards against a repeated execution of a non-idempotent request after an invalid
    # response, against a 503, which states that it was not executed, although it was,
    # and against the endpoint's seal on a response that the daemon generated.
    async def scenario(fleet):
        fleet.vms[2].endpoint.faults.response = fault
        return await fleet.call("/stock-once/a", method="POST"), fleet.executions(
            "-once"
        )

    response, executions = run_fleet(scenario)
    assert response.status == status
    assert len(executions) == (0 if fault == "shed" else 1)
    if status != 500:
        assert "x-vanillapitch-server-seal" not in response.headers


@pytest.mark.parametrize("fault", ["truncated", "reset", "garbage", "shed", "error"])
def test_a_safe_request_is_retried_elsewhere_after_an_invalid_response(
    run_fleet, fault
):
    # Guards against an idempotent request that fails although another endpoint could
    # have served it, because a failed attempt is not retried there.
    async def scenario(fleet):
        for vm in fleet.vms[:2]:
            vm.endpoint.faults.response = fault
            vm.endpoint.faults.count = 1
        first = await fleet.call("/shop/a")
        for vm in fleet.vms[:2]:
            vm.endpoint.faults.count = 0
        return first, await fleet.call("/shop/b")

    first, second = run_fleet(scenario)
    assert first.status in (200, 500, 502, 503)
    assert second.status == 200


@pytest.mark.parametrize("fault", ["extra", "late", "unframed"])
def test_responses_are_never_matched_to_another_request(run_fleet, fault):
    # Guards against responses that are matched to the wrong request because surplus,
    # late or unframed bytes follow an earlier response on the connection to the
    # endpoint.
    async def scenario(fleet):
        fleet.vms[2].endpoint.faults.response = fault
        fleet.vms[2].endpoint.faults.count = 3
        return [await fleet.call(f"/stock/{number}") for number in range(6)]

    for response in run_fleet(scenario):
        assert response.status == 200
        assert response.complete
        assert response.body == f"answer to {response.request_id}".encode() * 10


def test_a_caller_that_disconnects_cancels_its_request(run_fleet):
    # Guards against a request that keeps executing at the endpoint after its caller has
    # disconnected; it must be cancelled within 0.5 s.
    async def scenario(fleet):
        with pytest.raises(TimeoutError):
            await fleet.call("/stock/a?work_ms=2000", timeout_s=0.2, deadline_ms=3_000)
        await fleet.wait_until(
            lambda: (
                [execution.outcome for execution in fleet.executions("/stock/")]
                == ["cut"]
            ),
            timeout_s=0.5,
        )

    run_fleet(scenario)


@pytest.mark.parametrize("owner_limit_ms", [370, 5_000])
def test_the_route_time_out_gives_an_answer(run_fleet, owner_limit_ms, monkeypatch):
    # Guards against callers that wait for their own deadline (4 s) because the endpoint
    # does not respond; the time-out of the route is 0.4 s. It must be reported as such,
    # whether it ends first at the owner or at the ingress.
    make_call = ingress.make_call

    def make_limited_call(*args, **options):
        call = make_call(*args, **options)
        call.remaining_ms = owner_limit_ms
        return call

    monkeypatch.setattr(ingress, "make_call", make_limited_call)

    async def scenario(fleet):
        fleet.vms[2].endpoint.faults.response = "silent"
        started_s = asyncio.get_running_loop().time()
        response = await fleet.call("/stock-once/a", method="POST", deadline_ms=4_000)
        return response, asyncio.get_running_loop().time() - started_s

    response, took_s = run_fleet(scenario, timeout_s=0.4)
    assert response.status == 504
    assert 0.35 < took_s < 0.65


def test_requests_without_a_route_are_not_found(run_fleet):
    # Guards against requests that match no prefix or host of a route and are forwarded
    # all the same.
    async def scenario(fleet):
        return [
            await fleet.call("/nothing/a"),
            await fleet.call("/stock"),
            await fleet.call("/stock/a", host="other.example"),
        ]

    assert [response.status for response in run_fleet(scenario)] == [404, 404, 404]


@pytest.mark.parametrize(
    "raw",
    [
        b"GET /stock/a HTTP/1.1\r\n\r\n",
        b"NONSENSE\r\n\r\n",
        b"POST /stock/a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /stock/a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n"
        b"Content-Length: 4\r\n\r\nabcd",
        b"POST /stock/a HTTP/1.1\r\nHost: shop.example\r\n"
        b"Transfer-Encoding: gzip\r\n\r\n",
        b"POST /stock/a HTTP/1.1\r\nHost: shop.example\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"GET http://shop.example/stock/a HTTP/1.1\r\nHost: shop.example\r\n\r\n",
        b"GET /stock/a HTTP/1.1\r\nHost: shop.example\r\n\r\n",
        b"GET /stock/a HTTP/1.1\r\nHost: shop.example\r\n"
        b"X-Vanillapitch-Attempt-Id: a\r\nX-Vanillapitch-Deadline-Ms: soon\r\n\r\n",
        b"GET /stock/a HTTP/1.1\r\nHost: shop.example\r\nX: "
        + b"y" * 70_000
        + b"\r\n\r\n",
    ],
)
def test_malformed_requests_are_refused_and_not_forwarded(run_fleet, raw):
    # Guards against request smuggling: malformed or ambiguous requests that the daemon
    # and the endpoint may parse differently must not be forwarded.
    async def scenario(fleet):
        host, _, port = fleet.vms[0].settings.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw)
        line = await asyncio.wait_for(reader.readline(), 5)
        writer.close()
        good = await fleet.call("/stock/good")
        return line, good, fleet.executions("/stock/a")

    line, good, executions = run_fleet(scenario)
    assert line.startswith((b"HTTP/1.1 4", b"HTTP/1.1 501"))
    assert good.status == 200
    assert executions == []


def test_the_metrics_count_responses(run_fleet):
    # Guards against counters and histograms that are not updated by requests.
    async def scenario(fleet):
        await fleet.call("/stock/a")
        await fleet.call("/none/a")
        address = fleet.vms[0].settings.metrics_address
        return await send_request(address, "/metrics")

    text = run_fleet(scenario).body.decode()
    assert 'vanillapitch_answers_total{origin="endpoint"} 1' in text
    assert 'vanillapitch_refusals_total{reason="no_route"} 1' in text
    assert "vanillapitch_latency_ms_bucket" in text


def test_nested_calls_are_admitted_before_new_requests(run_fleet):
    # Guards against a request that times out because a nested call that it made waits
    # behind new requests, while the request itself occupies a slot.
    async def scenario(fleet):
        owner = fleet.vms[0]
        full = [
            asyncio.create_task(
                fleet.call(f"/shop/{n}?work_ms=120", request_id=f"run-{n}")
            )
            for n in range(6)
        ]
        await fleet.wait_until(lambda: owner.endpoint.max_running == 6)
        for n in range(3):
            full.append(asyncio.create_task(fleet.call(f"/shop/new{n}")))
        await asyncio.sleep(0.02)
        parents = [execution.request_id for execution in owner.endpoint.executions]
        full.append(
            asyncio.create_task(
                fleet.call("/shop/call", request_id=f"{parents[0]}.0123456789abcdef")
            )
        )
        full.append(
            asyncio.create_task(
                fleet.call("/shop/other", request_id="unknown.0123456789abcdef")
            )
        )
        await asyncio.gather(*full)
        return [execution.target for execution in owner.endpoint.executions[6:]]

    one_shop = (ServiceSpec(name="shop", zones=("a",), slots=8),)
    order = run_fleet(scenario, services=one_shop)
    assert order[0] == "/shop/call"
    assert "/shop/other" in order
