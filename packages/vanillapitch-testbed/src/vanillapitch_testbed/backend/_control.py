"""Control interface of the simulated backend server."""

import asyncio

import msgspec
import urllib3

from vanillapitch_testbed._http import HttpConnection, HttpRequest, split_target
from vanillapitch_testbed.backend._options import Scenario
from vanillapitch_testbed.backend._server import BackendServer

__all__ = ["Announcement", "Control", "announce"]

_ANNOUNCE_TIMEOUT_S = 5.0


class Announcement(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Backend server state to announce, and the daemon to send it to."""

    admin: str
    token: str
    state: str = "ready"


def announce(announcement: Announcement) -> int:
    """Send ``PUT /v1/backend`` to the daemon and return the HTTP status."""
    response = urllib3.request(
        "PUT",
        f"http://{announcement.admin}/v1/backend",
        json={"state": announcement.state},
        headers={"Authorization": f"Bearer {announcement.token}"},
        timeout=_ANNOUNCE_TIMEOUT_S,
        retries=False,
    )
    return response.status


class Control:
    """Request handler of the control address.

    ``GET /stats``, ``GET /journal?from=N``, ``GET|PUT /scenario``, ``POST /cold``,
    ``POST /max-in-flight/reset``, ``PUT /announce``.
    """

    def __init__(self, *, server: BackendServer):
        self._server = server
        self._tasks: set[asyncio.Task] = set()

    def handle(self, connection: HttpConnection, request: HttpRequest) -> None:
        """Serve one request."""
        path, fields = split_target(request.target)
        try:
            self._dispatch(connection, request, path, fields)
        except (msgspec.DecodeError, ValueError) as error:
            connection.respond(status=400, body=str(error).encode())

    def _dispatch(self, connection, request, path, fields) -> None:
        server = self._server
        route = (request.method, path)
        if route == ("GET", "/stats"):
            stats = msgspec.structs.asdict(server.counters)
            stats.update(in_flight=server.in_flight, warmth=server.warmth)
            _respond(connection, stats)
        elif route == ("GET", "/journal"):
            start = int(fields.get("from", "0"))
            _respond(connection, server.journal.entries[start:])
        elif route == ("GET", "/scenario"):
            _respond(connection, server.scenario)
        elif route == ("PUT", "/scenario"):
            server.set_scenario(msgspec.json.decode(request.body, type=Scenario))
            _respond(connection, server.scenario)
        elif route == ("POST", "/cold"):
            server.turn_cold()
            _respond(connection, {"warmth": server.warmth})
        elif route == ("POST", "/max-in-flight/reset"):
            server.counters.max_in_flight = server.in_flight
            _respond(connection, {"max_in_flight": server.in_flight})
        elif route == ("PUT", "/announce"):
            announcement = msgspec.json.decode(request.body, type=Announcement)
            task = asyncio.ensure_future(self._announce(connection, announcement))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            connection.respond(status=404)

    async def _announce(self, connection, announcement: Announcement) -> None:
        try:
            status = await asyncio.to_thread(announce, announcement)
        except urllib3.exceptions.HTTPError as error:
            connection.respond(status=502, body=str(error).encode())
        else:
            _respond(connection, {"status": status})


def _respond(connection: HttpConnection, value: object) -> None:
    connection.respond(
        status=200,
        headers={"Content-Type": "application/json"},
        body=msgspec.json.encode(value),
    )
