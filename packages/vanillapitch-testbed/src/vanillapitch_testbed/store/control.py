"""Control interface of the store: faults and counters."""

import http.server

import msgspec

from vanillapitch_testbed.store.exceptions import InvalidRequestError
from vanillapitch_testbed.store.faults import Faults
from vanillapitch_testbed.store.gateway import Gateway, JsonHandler

__all__ = ["ControlServer"]


class ControlServer(http.server.ThreadingHTTPServer):
    """Server of the control address, which the faults do not affect.

    ``GET /counters`` and ``POST /counters/reset`` read and clear the counters;
    ``GET /faults`` and ``PUT /faults`` read and replace the faults.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on, or 0 for any.
    gateway : Gateway
        Gateway of the store to control.
    """

    daemon_threads = True
    block_on_close = False

    def __init__(self, *, host: str, port: int, gateway: Gateway):
        super().__init__((host, port), _ControlHandler)
        self.gateway = gateway

    @property
    def address(self) -> str:
        """``IP:port`` of the control address."""
        return "{}:{}".format(*self.server_address)


class _ControlHandler(JsonHandler):
    def do_GET(self):  # noqa: N802
        match self.path:
            case "/counters":
                self.respond(200, self._counters())
            case "/faults":
                self.respond(200, self.server.gateway.faults.faults)
            case _:
                self.respond(404, {"message": "Not Found"})

    def do_POST(self):  # noqa: N802
        if self.path != "/counters/reset":
            self.respond(404, {"message": "Not Found"})
            return
        self.read_json()
        counters = self._counters()
        self.server.gateway.counters.reset()
        self.respond(200, counters)

    def do_PUT(self):  # noqa: N802
        if self.path != "/faults":
            self.respond(404, {"message": "Not Found"})
            return
        try:
            faults = msgspec.convert(self.read_json(), Faults)
        except (InvalidRequestError, msgspec.ValidationError) as error:
            self.respond(400, {"message": str(error)})
            return
        self.server.gateway.set_faults(faults)
        self.respond(200, faults)

    def _counters(self):
        engine = self.server.gateway.engine
        return self.server.gateway.counters.snapshot(
            revision=engine.revision, keys=engine.key_count, leases=engine.lease_count
        )
