"""Process of the fault-injecting proxy with its HTTP control interface."""

import argparse
import asyncio
import signal
import sys

import msgspec

from vanillapitch_testbed._http import HttpConnection, HttpRequest
from vanillapitch_testbed.proxy import Faults, TcpLink, UdpLink


class Control:
    """Serves ``GET /links``, ``PUT /links/NAME`` and ``POST /links/NAME/cut``."""

    def __init__(self, *, links_by_name: dict[str, TcpLink | UdpLink]):
        self._links_by_name = links_by_name

    def handle(self, connection: HttpConnection, request: HttpRequest) -> None:
        """Serve one request."""
        parts = request.target.strip("/").split("/")
        link = self._links_by_name.get(parts[1]) if len(parts) > 1 else None
        if request.method == "GET" and parts == ["links"]:
            links = self._links_by_name.items()
            _respond(connection, {name: link.counters for name, link in links})
        elif link is None:
            connection.respond(status=404)
        elif request.method == "PUT" and len(parts) == 2:
            _set_faults(connection, link, request.body)
        elif request.method == "POST" and parts[2:] == ["cut"]:
            _respond(connection, {"cut": link.cut()})
        else:
            connection.respond(status=404)


def main() -> int:
    """Run the proxy until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="vanillapitch_testbed.proxy")
    parser.add_argument("--control", required=True, metavar="IP:PORT")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--link",
        action="append",
        default=[],
        metavar="NAME,tcp|udp,LISTEN,TARGET",
    )
    arguments = parser.parse_args()
    asyncio.run(_serve(arguments))
    return 0


async def _serve(arguments: argparse.Namespace) -> None:
    links_by_name = {}
    for index, text in enumerate(arguments.link):
        name, kind, listen, target = text.split(",")
        link_class = UdpLink if kind == "udp" else TcpLink
        link = link_class(listen=listen, target=target, seed=arguments.seed + index)
        await link.start()
        links_by_name[name] = link
    control = Control(links_by_name=links_by_name)
    host, _, port = arguments.control.rpartition(":")
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await loop.create_server(
        lambda: HttpConnection(on_request=control.handle), host, int(port)
    )
    await stop.wait()
    for link in links_by_name.values():
        link.stop()


def _set_faults(connection, link: TcpLink | UdpLink, body: bytes) -> None:
    try:
        link.faults = msgspec.json.decode(body, type=Faults)
    except msgspec.DecodeError as error:
        connection.respond(status=400, body=str(error).encode())
    else:
        _respond(connection, link.faults)


def _respond(connection: HttpConnection, value: object) -> None:
    connection.respond(status=200, body=msgspec.json.encode(value))


if __name__ == "__main__":
    sys.exit(main())
