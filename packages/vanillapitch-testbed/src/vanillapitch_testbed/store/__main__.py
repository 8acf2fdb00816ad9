"""Process of the simulated store.

Prints one line, ``listening on IP:PORT, control on IP:PORT``, when it is ready, and
exits on SIGTERM or SIGINT.
"""

import argparse
import queue
import signal
import sys
import threading

from vanillapitch_core.clock import SystemClock

from vanillapitch_testbed.store.control import ControlServer
from vanillapitch_testbed.store.gateway import Gateway


def main() -> int:
    """Run until SIGTERM or SIGINT; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m vanillapitch_testbed.store")
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="IP:PORT")
    parser.add_argument("--control", default="127.0.0.1:0", metavar="IP:PORT")
    arguments = parser.parse_args()
    host, _, port = arguments.listen.rpartition(":")
    control_host, _, control_port = arguments.control.rpartition(":")
    # `Event.set` in a handler can deadlock with `Event.wait` in the main thread.
    signals: queue.SimpleQueue[int] = queue.SimpleQueue()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, _: signals.put(received))
    gateway = Gateway(host=host, port=int(port), clock=SystemClock())
    control = ControlServer(host=control_host, port=int(control_port), gateway=gateway)
    threading.Thread(target=control.serve_forever, daemon=True).start()
    print(f"listening on {gateway.address}, control on {control.address}", flush=True)
    signals.get()
    gateway.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
