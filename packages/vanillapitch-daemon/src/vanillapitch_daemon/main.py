"""Entry point of ``vanillapitchd``."""

import argparse
import gc
import queue
import signal
import sys
import time
from collections.abc import Callable

from vanillapitch_core import SystemClock
from vanillapitch_core.membership import MemberChanged, MemberState, StrikeReceived

from vanillapitch_daemon.assembly import Daemon, build_daemon
from vanillapitch_daemon.claims import make_claims_subscriber
from vanillapitch_daemon.logs import configure_logs, get_log
from vanillapitch_daemon.membership import make_picker_subscriber
from vanillapitch_daemon.owner import SetState
from vanillapitch_daemon.settings import Settings, SettingsError, load_settings

__all__ = ["main"]

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
# Peers that have not yet received the leaving state still send calls, which must be
# refused and not cut off. No call for this long means that all peers have received it.
PEERS_IDLE_S = 1.0
# Bound on writing the results of claims after the last response. If the store does not
# accept a result, later requests with its key are answered with `outcome_unknown`.
CLAIMS_RECORD_TIMEOUT_MS = 5_000

_log = get_log("main")


def main(arguments: list[str] | None = None) -> None:
    """Run the daemon until it receives a stop signal.

    Parameters
    ----------
    arguments : list of str, optional
        Command line without the program name.
    """
    # argparse instead of typer: typer and rich would use 8 MB of the memory target of
    # 32 MB.
    parser = argparse.ArgumentParser(prog="vanillapitchd", description=__doc__)
    parser.add_argument("--settings", required=True, help="path of the settings file")
    options = parser.parse_args(arguments)
    try:
        settings = load_settings(options.settings)
    except SettingsError as error:
        print(f"vanillapitchd: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    sys.exit(run_daemon(settings))


def run_daemon(settings: Settings) -> int:
    """Start the daemon, wait for SIGTERM or SIGINT and stop it gracefully.

    Parameters
    ----------
    settings : Settings
        The validated settings.

    Returns
    -------
    int
        Exit code.
    """
    secrets = settings.secrets
    configure_logs(secrets=(secrets.cluster_key, secrets.admin_token))
    wait_for_stop = install_stop_signals()
    try:
        daemon = build_daemon(settings, clock=SystemClock())
    except OSError as error:
        print(f"vanillapitchd: cannot listen: {error}", file=sys.stderr)
        return EXIT_FAILED
    start_daemon(daemon)
    # Objects created at start are needed until the process ends, so full collections
    # skip them.
    gc.freeze()
    wait_for_stop()
    code = stop_daemon(daemon, drain_timeout_ms=settings.limits.drain_timeout_ms)
    ignore_stop_signals()
    return code


def install_stop_signals() -> Callable[[], None]:
    """Install handlers for SIGTERM and SIGINT.

    Returns
    -------
    callable
        Waits for the first signal; later ones have no effect.
    """
    # A handler interrupts the main thread anywhere. `SimpleQueue.put` is reentrant;
    # `Event.set` deadlocks when the main thread is inside `Event.wait` with its lock.
    signals: queue.SimpleQueue[int] = queue.SimpleQueue()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, _: signals.put(received))

    def wait_for_stop() -> None:
        signals.get()

    return wait_for_stop


def ignore_stop_signals() -> None:
    """Ignore stop signals until the process has ended.

    At exit the interpreter restores the default action of signals that have a handler,
    and a repeated SIGTERM would then end the process with a signal's exit code.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)


def start_daemon(daemon: Daemon) -> None:
    """Start the components of a daemon.

    Parameters
    ----------
    daemon : Daemon
        The components.
    """
    daemon.admin.start()
    daemon.peers.start()
    daemon.prober.start()
    daemon.callers.start()
    daemon.quarantine.set_share(daemon.fleet.record_strike)
    daemon.fleet.subscribe(
        StrikeReceived, lambda effect: daemon.quarantine.receive(effect.strike)
    )
    daemon.fleet.subscribe(MemberChanged, make_claims_subscriber(daemon.claims.routes))
    daemon.upkeep.start()
    daemon.fleet.start(on_member_changed=make_picker_subscriber(daemon.picker))
    daemon.node.mark_started()
    _log.info("Started", instance=daemon.endpoint.instance)


def stop_daemon(daemon: Daemon, *, drain_timeout_ms: int) -> int:
    """Drain a daemon and stop it.

    Parameters
    ----------
    daemon : Daemon
        The components.
    drain_timeout_ms : int
        Upper bound of the drain, in milliseconds.

    Returns
    -------
    int
        Exit code; 0 if every request was answered in time. It does not depend on the
        results of claims: if the store does not accept one in time, later requests
        with its key are answered with `outcome_unknown`.
    """
    _log.info("Draining", timeout_ms=drain_timeout_ms)
    daemon.node.mark_draining()
    daemon.fleet.announce(MemberState.LEAVING)
    daemon.admission.ask(SetState(state="leaving"))
    daemon.callers.drain()
    deadline_s = time.monotonic() + drain_timeout_ms / 1000
    drained = daemon.callers.wait_until_drained(drain_timeout_ms / 1000)
    remaining_s = max(0.0, deadline_s - time.monotonic())
    drained = daemon.peers.wait_until_idle(PEERS_IDLE_S, remaining_s) and drained
    daemon.prober.stop()
    daemon.admin.stop()
    daemon.upkeep.stop()
    daemon.fleet.stop()
    recorded = daemon.claims.stop(CLAIMS_RECORD_TIMEOUT_MS)
    daemon.peers.close()
    daemon.transport.close()
    daemon.backend.close()
    daemon.store.close()
    daemon.picker.stop()
    daemon.admission.stop()
    _log.info("Stopped", drained=drained, recorded=recorded)
    return 0 if drained else EXIT_FAILED
