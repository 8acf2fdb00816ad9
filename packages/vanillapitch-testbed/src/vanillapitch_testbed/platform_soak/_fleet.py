"""Processes of the deployment behind proxies for callers and endpoints."""

import asyncio
import random

from vanillapitch_relay.model import Settings

from vanillapitch_testbed.platform_standins import ServiceSpec, make_route
from vanillapitch_testbed.platform_standins._fleet import Vm
from vanillapitch_testbed.platform_standins._processes import (
    READY_TIMEOUT_S,
    ProcessFleet,
)
from vanillapitch_testbed.proxy import TcpLink

__all__ = ["COLD_PER_S", "SoakFleet"]

COLD_PER_S = 20.0
CALLERS_PORT = 8404
ENDPOINT_PORT = 8311
ROUTE_TIMEOUT_S = (1.2, 1.6, 2.0)


class SoakFleet(ProcessFleet):
    """A `ProcessFleet` whose daemons and endpoints are reached through proxies.

    Parameters
    ----------
    services : list of ServiceSpec
        Services with their endpoints.
    seed : int
        Seed of the proxies.
    """

    def __init__(self, *, services: list[ServiceSpec], seed: int):
        super().__init__(services=services)
        self.violations: list[str] = []
        self.newest_prefix = ""
        self._seed = seed
        self._links_by_node: dict[str, tuple[TcpLink, TcpLink]] = {}
        self._routes = 0

    async def prepare_endpoint(self, settings: Settings) -> str:
        """Start the proxies of a VM; return the address that its endpoint binds."""
        ip = settings.endpoint_address.rpartition(":")[0]
        bind = f"{ip}:{ENDPOINT_PORT}"
        links = (
            TcpLink(
                listen=f"{ip}:{CALLERS_PORT}",
                target=settings.caller_address,
                seed=self._seed,
            ),
            TcpLink(listen=settings.endpoint_address, target=bind, seed=self._seed),
        )
        for link in links:
            await link.start()
        self._links_by_node[settings.node] = links
        return bind

    async def start_daemon(self, vm: Vm, **options: object) -> None:
        """Start the program and wait until it listens and handles signals.

        Before that, the default action of a stop signal ends it.
        """
        await super().start_daemon(vm, **options)
        host, _, port = vm.settings.caller_address.rpartition(":")
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(0.02)
                else:
                    writer.close()
                    return

    def links(self, vm: Vm) -> tuple[TcpLink, TcpLink]:
        """Return the proxy to the daemon and the proxy to the endpoint."""
        return self._links_by_node[vm.settings.node]

    def callers_address(self, vm: Vm) -> str:
        """Return the address at which callers reach a daemon."""
        return self.links(vm)[0].listen

    def store_hosts(self) -> list[str]:
        """Return the hosts at which the VMs reach the store."""
        return [self.store_host(number) for number in range(len(self.vms))]

    def change_routes(self, rng: random.Random) -> None:
        """Write a configuration with a new route and a random time-out."""
        self._routes += 1
        self.newest_prefix = f"/soak-{self._routes}/"
        timeout_s = rng.choice(ROUTE_TIMEOUT_S)
        route = make_route(
            f"soak-{self._routes}",
            service=self.services[0].name,
            timeout_s=timeout_s,
        )
        self.configure(routes=[route], timeout_s=timeout_s, cold_per_s=COLD_PER_S)

    async def stop(self) -> None:
        """Stop the fleet and its proxies."""
        await super().stop()
        for links in self._links_by_node.values():
            for link in links:
                link.stop()
