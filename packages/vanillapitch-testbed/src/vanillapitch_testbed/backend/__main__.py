"""Entry point of the simulated backend server's process."""

import argparse
import asyncio
import dataclasses
import signal
import sys

import urllib3

from vanillapitch_testbed._http import HttpConnection
from vanillapitch_testbed.backend._control import Announcement, Control, announce
from vanillapitch_testbed.backend._journal import Journal
from vanillapitch_testbed.backend._options import BackendOptions
from vanillapitch_testbed.backend._server import BackendServer

_ANNOUNCE_ATTEMPTS = 60
_ANNOUNCE_INTERVAL_S = 0.5


def main() -> int:
    """Run the backend server until SIGTERM or SIGINT."""
    arguments = _parse_arguments(sys.argv[1:])
    asyncio.run(_serve(arguments))
    return 0


def _parse_arguments(argv: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="vanillapitch_testbed.backend")
    parser.add_argument("--listen", required=True, metavar="IP:PORT")
    parser.add_argument("--control", required=True, metavar="IP:PORT")
    parser.add_argument("--journal-file")
    parser.add_argument(
        "--announce-to", metavar="IP:PORT", help="admin address of the daemon"
    )
    parser.add_argument("--token", default="", help="admin token of the daemon")
    for field in dataclasses.fields(BackendOptions):
        parser.add_argument(
            "--" + field.name.replace("_", "-"),
            type=type(field.default),
            default=field.default,
        )
    return parser.parse_args(argv)


async def _serve(arguments: argparse.Namespace) -> None:
    names = [field.name for field in dataclasses.fields(BackendOptions)]
    options = BackendOptions(**{name: getattr(arguments, name) for name in names})
    server = BackendServer(
        options=options, journal=Journal(path=arguments.journal_file)
    )
    control = Control(server=server)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    listener = await _listen(
        arguments.listen,
        lambda: server.accept(HttpConnection(on_request=server.handle)),
    )
    control_listener = await _listen(
        arguments.control, lambda: HttpConnection(on_request=control.handle)
    )
    announcing = None
    if arguments.announce_to:
        announcing = asyncio.ensure_future(
            _announce_ready(arguments.announce_to, arguments.token)
        )
    await stop.wait()
    if announcing is not None:
        announcing.cancel()
    listener.close()
    control_listener.close()


async def _listen(address: str, factory) -> asyncio.Server:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        factory, host, int(port), reuse_address=True, backlog=256
    )


async def _announce_ready(admin: str, token: str) -> None:
    announcement = Announcement(admin=admin, token=token)
    for _ in range(_ANNOUNCE_ATTEMPTS):
        try:
            if await asyncio.to_thread(announce, announcement) < 300:
                return
        except urllib3.exceptions.HTTPError:
            pass
        await asyncio.sleep(_ANNOUNCE_INTERVAL_S)
    print("backend: the daemon did not accept the announcement", file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
