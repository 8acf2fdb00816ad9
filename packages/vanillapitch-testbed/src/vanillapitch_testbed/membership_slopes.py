"""Measures membership against the number of members, on virtual time.

Run ``python -m vanillapitch_testbed.membership_slopes --out build/membership.json``.
"""

import argparse
import dataclasses
import json
import pathlib
import time
from collections.abc import Callable

from vanillapitch_core.membership import (
    Announce,
    MemberState,
    RevisionAdopted,
    live_records,
)

from vanillapitch_testbed.membership_loop import MembershipLoop

__all__ = ["MembershipFigures", "main", "measure"]

SIZES = (10, 50, 200, 710)
ZONES = 5
STEADY_S = 60
WINDOW_S = 10
LIMIT_MS = 120_000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipFigures:
    """Figures at one number of members; bytes are sent and received together.

    Attributes
    ----------
    members : int
        Number of members.
    steady_bytes_per_s, steady_peak_bytes_per_s : float
        Mean and highest rate of a daemon without changes.
    steady_messages_per_s : float
        Membership messages that a daemon sends.
    event_microseconds : float
        Processor time of the loop per event in a steady state, encoding included.
    leave_ms, crash_suspected_ms, crash_dead_ms, revision_ms : float
        Time until every other daemon knows.
    joiner_ms : float
        Time until a new daemon knows all and all know it.
    zone_dead_ms : float
        Time until every survivor holds every member of a lost zone dead.
    zone_peak_bytes_per_s : float
        Highest rate of a survivor over 10 s after the loss.
    largest_message_bytes : int
        Size of the largest message.
    """

    members: int
    steady_bytes_per_s: float
    steady_peak_bytes_per_s: float
    steady_messages_per_s: float
    event_microseconds: float
    leave_ms: float
    crash_suspected_ms: float
    crash_dead_ms: float
    revision_ms: float
    joiner_ms: float
    zone_dead_ms: float
    zone_peak_bytes_per_s: float
    largest_message_bytes: int


def measure(members: int, *, seed: int) -> MembershipFigures:
    """Measure one size.

    Parameters
    ----------
    members : int
        Number of members.
    seed : int
        Seed of the run.

    Returns
    -------
    MembershipFigures
        The figures.
    """
    loop = MembershipLoop(seed=seed)
    addresses = loop.start_fleet(members, zones=ZONES)
    figures = {"members": members, **_steady(loop, addresses)}
    figures |= _single_changes(loop, addresses)
    figures |= _zone_loss(members, seed)
    figures["largest_message_bytes"] = loop.largest_message_bytes
    return MembershipFigures(**{key: round(value, 1) for key, value in figures.items()})


def _steady(loop: MembershipLoop, addresses: list[str]) -> dict[str, float]:
    loop.run(5_000)
    loop.reset_counts()
    events_before = loop.event_count
    started = time.process_time()
    loop.run(STEADY_S * 1_000)
    duration_s = time.process_time() - started
    rates = _rates(loop, addresses, STEADY_S)
    return {
        "steady_bytes_per_s": sum(rates) / len(rates),
        "steady_peak_bytes_per_s": max(rates),
        "steady_messages_per_s": loop.message_count / len(addresses) / STEADY_S,
        "event_microseconds": 1e6 * duration_s / (loop.event_count - events_before),
    }


def _single_changes(loop: MembershipLoop, addresses: list[str]) -> dict[str, float]:
    leaver, crasher, *others = addresses
    loop.apply(leaver, Announce(now_ms=loop.now_ms, state=MemberState.LEAVING))
    leave_ms = _until_all(loop, leaver, others, MemberState.LEAVING)
    loop.kill(crasher)
    suspected_ms = loop.run_until(
        lambda: any(
            loop.view(observer, crasher) is MemberState.SUSPECT for observer in others
        ),
        limit_ms=LIMIT_MS,
    )
    dead_ms = _until_all(loop, crasher, others, MemberState.DEAD)
    revision = RevisionAdopted(now_ms=loop.now_ms, revision=1)
    loop.apply(others[0], revision)
    revision_ms = loop.run_until(
        lambda: all(loop.states_by_address[a].revision == 1 for a in others),
        limit_ms=LIMIT_MS,
    )
    return {
        "leave_ms": leave_ms,
        "crash_suspected_ms": suspected_ms,
        "crash_dead_ms": suspected_ms + dead_ms,
        "revision_ms": revision_ms,
        "joiner_ms": _join(loop, others),
    }


def _join(loop: MembershipLoop, others: list[str]) -> float:
    joiner = "10.9.0.0:7001"
    loop.start(joiner, seeds=(others[0],))
    state = loop.states_by_address[joiner]
    return loop.run_until(
        lambda: (
            len(live_records(state)) >= len(others)
            and all(loop.view(a, joiner) is MemberState.ALIVE for a in others)
        ),
        limit_ms=LIMIT_MS,
    )


def _zone_loss(members: int, seed: int) -> dict[str, float]:
    loop = MembershipLoop(seed=seed)
    addresses = loop.start_fleet(members, zones=ZONES)
    loop.run(5_000)
    lost = set(addresses[::ZONES])
    survivors = [address for address in addresses if address not in lost]
    for address in lost:
        loop.kill(address)
    start_ms = loop.now_ms
    dead_ms, peak = 0.0, 0.0

    def is_known() -> bool:
        return all(
            loop.view(observer, address) is MemberState.DEAD
            for observer in survivors
            for address in lost
        )

    for _ in range(6):
        loop.reset_counts()
        end_ms = loop.now_ms + WINDOW_S * 1_000
        if not dead_ms:
            loop.run_until(_with_limit(is_known, loop, end_ms), limit_ms=LIMIT_MS)
            dead_ms = loop.now_ms - start_ms if is_known() else 0.0
        loop.run(end_ms - loop.now_ms)
        peak = max(peak, *_rates(loop, survivors, WINDOW_S))
    return {"zone_dead_ms": dead_ms, "zone_peak_bytes_per_s": peak}


def _with_limit(
    is_done: Callable[[], bool], loop: MembershipLoop, end_ms: float
) -> Callable[[], bool]:
    return lambda: loop.now_ms >= end_ms - 1 or is_done()


def _until_all(
    loop: MembershipLoop, address: str, observers: list[str], state: MemberState
) -> float:
    return loop.run_until(
        lambda: all(loop.view(observer, address) is state for observer in observers),
        limit_ms=LIMIT_MS,
    )


def _rates(
    loop: MembershipLoop, addresses: list[str], duration_s: float
) -> list[float]:
    sent, received = loop.sent_bytes_by_address, loop.received_bytes_by_address
    return [(sent[a] + received[a]) / duration_s for a in addresses]


def main() -> None:
    """Measure every size and write the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    options = parser.parse_args()
    figures = []
    for members in options.sizes:
        figures.append(dataclasses.asdict(measure(members, seed=options.seed)))
        print(json.dumps(figures[-1]), flush=True)
    path = pathlib.Path(options.out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(figures, indent=2) + "\n")


if __name__ == "__main__":
    main()
