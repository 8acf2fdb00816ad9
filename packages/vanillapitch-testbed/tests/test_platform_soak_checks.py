"""Tests of the checks of the platform soak."""

import asyncio
import contextlib
import time

import pytest
from vanillapitch_testbed.loopback import make_loopback_ip
from vanillapitch_testbed.platform_soak._callers import Caller
from vanillapitch_testbed.platform_soak._checks import LOSS_SLACK_S, _check_loss
from vanillapitch_testbed.proxy import TcpLink


@pytest.mark.parametrize(("is_listening", "losses"), [(False, 0), (True, 1)])
def test_a_refused_connection_is_no_loss_however_late(is_listening, losses):
    # Guards against a check that takes a stopped daemon for one that drops requests
    # when the machine is slow, or that excuses a daemon that accepted the connection.
    async def drop(reader, writer):
        await reader.read(1)
        time.sleep(2 * LOSS_SLACK_S)
        writer.transport.abort()

    async def body():
        ip = make_loopback_ip()
        link = TcpLink(listen=f"{ip}:8404", target=f"{ip}:8304")
        await link.start()
        server = await asyncio.start_server(drop, ip, 8304) if is_listening else None
        caller = Caller(node="vm-1", address=link.listen, services=("shop",), seed=1)
        task = asyncio.create_task(caller.run())
        while not caller.exchanges:
            await asyncio.sleep(0)
        if not is_listening:
            time.sleep(2 * LOSS_SLACK_S)
        while not caller.exchanges[0].ended_s:
            await asyncio.sleep(0.01)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        link.stop()
        if server is not None:
            server.close()
        (exchange,) = caller.exchanges[:1]
        assert exchange.ended_s - exchange.sent_s > LOSS_SLACK_S
        return list(_check_loss(exchange, [], refused_at_s=link.refused_at_s))

    assert len(asyncio.run(asyncio.wait_for(body(), 10))) == losses
