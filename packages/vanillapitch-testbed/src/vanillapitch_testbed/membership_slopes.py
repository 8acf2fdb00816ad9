"""Measures how the cost of membership grows with the number of members.

The members are simulated on virtual time.

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

__all__ = ["MembershipMeasurements", "main", "measure"]

SIZES = (10, 50, 200, 710)
ZONES = 5
STEADY_S = 60
WINDOW_S = 10
TIMEOUT_MS = 120_000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipMeasurements:
    """Measurements at one number of members.

    Byte rates are those of one daemon and count sent and received bytes.

    Attributes
    ----------
    members : int
        Number of members.
    steady_bytes_per_s, steady_peak_bytes_per_s : float
        Mean and highest rate of all daemons while no member changes.
    steady_messages_per_s : float
        Membership messages that a daemon sends while no member changes.
    event_microseconds : float
        Processor time of the simulation per event while no member changes; encoding
        of messages included.
    leave_ms, crash_dead_ms, revision_ms : float
        Time until every other daemon has learned of the change; 120 s or more if the
        change did not reach all of them.
    crash_suspected_ms : float
        Time until the first daemon suspects a crashed member.
    joiner_ms : float
        Time until a new daemon has the records of all live members and all of them
        have recorded it as alive.
    zone_dead_ms : float
        Time until every surviving member has recorded every member of the lost zone
        as dead; 0 if that did not happen within 60 s.
    zone_peak_bytes_per_s : float
        Highest rate of a surviving member in any of the six 10 s windows after the
        loss.
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


def measure(members: int, *, seed: int) -> MembershipMeasurements:
    """Measure membership at one number of members.

    Parameters
    ----------
    members : int
        Number of members.
    seed : int
        Seed of the simulation.

    Returns
    -------
    MembershipMeasurements
        The measured values, rounded to one decimal.
    """
    loop = MembershipLoop(seed=seed)
    addresses = loop.start_fleet(members, zones=ZONES)
    measurements = {"members": members, **_measure_steady_state(loop, addresses)}
    measurements |= _measure_single_changes(loop, addresses)
    measurements |= _measure_zone_loss(members, seed)
    measurements["largest_message_bytes"] = loop.largest_message_bytes
    return MembershipMeasurements(
        **{key: round(value, 1) for key, value in measurements.items()}
    )


def _measure_steady_state(
    loop: MembershipLoop, addresses: list[str]
) -> dict[str, float]:
    loop.run(5_000)
    loop.reset_counts()
    events_before = loop.event_count
    started_s = time.process_time()
    loop.run(STEADY_S * 1_000)
    duration_s = time.process_time() - started_s
    rates = _byte_rates(loop, addresses, STEADY_S)
    return {
        "steady_bytes_per_s": sum(rates) / len(rates),
        "steady_peak_bytes_per_s": max(rates),
        "steady_messages_per_s": loop.message_count / len(addresses) / STEADY_S,
        "event_microseconds": 1e6 * duration_s / (loop.event_count - events_before),
    }


def _measure_single_changes(
    loop: MembershipLoop, addresses: list[str]
) -> dict[str, float]:
    leaving, crashed, *others = addresses
    loop.apply(leaving, Announce(now_ms=loop.now_ms, state=MemberState.LEAVING))
    leave_ms = _run_until_all(loop, leaving, others, MemberState.LEAVING)
    loop.kill(crashed)
    suspected_ms = loop.run_until(
        lambda: any(
            loop.view(observer, crashed) is MemberState.SUSPECT for observer in others
        ),
        limit_ms=TIMEOUT_MS,
    )
    dead_ms = _run_until_all(loop, crashed, others, MemberState.DEAD)
    revision = RevisionAdopted(now_ms=loop.now_ms, revision=1)
    loop.apply(others[0], revision)
    revision_ms = loop.run_until(
        lambda: all(loop.states_by_address[a].revision == 1 for a in others),
        limit_ms=TIMEOUT_MS,
    )
    return {
        "leave_ms": leave_ms,
        "crash_suspected_ms": suspected_ms,
        "crash_dead_ms": suspected_ms + dead_ms,
        "revision_ms": revision_ms,
        "joiner_ms": _measure_join_ms(loop, others),
    }


def _measure_join_ms(loop: MembershipLoop, others: list[str]) -> float:
    joiner = "10.9.0.0:7001"
    loop.start(joiner, seeds=(others[0],))
    state = loop.states_by_address[joiner]
    return loop.run_until(
        lambda: (
            len(live_records(state)) >= len(others)
            and all(loop.view(a, joiner) is MemberState.ALIVE for a in others)
        ),
        limit_ms=TIMEOUT_MS,
    )


def _measure_zone_loss(members: int, seed: int) -> dict[str, float]:
    loop = MembershipLoop(seed=seed)
    addresses = loop.start_fleet(members, zones=ZONES)
    loop.run(5_000)
    lost_members = set(addresses[::ZONES])
    survivors = [address for address in addresses if address not in lost_members]
    for address in lost_members:
        loop.kill(address)
    start_ms = loop.now_ms
    dead_ms, peak_bytes_per_s = 0.0, 0.0

    def is_converged() -> bool:
        return all(
            loop.view(observer, address) is MemberState.DEAD
            for observer in survivors
            for address in lost_members
        )

    for _ in range(6):
        loop.reset_counts()
        end_ms = loop.now_ms + WINDOW_S * 1_000
        if not dead_ms:
            loop.run_until(
                _or_end_of_window(is_converged, loop, end_ms), limit_ms=TIMEOUT_MS
            )
            dead_ms = loop.now_ms - start_ms if is_converged() else 0.0
        loop.run(end_ms - loop.now_ms)
        peak_bytes_per_s = max(
            peak_bytes_per_s, *_byte_rates(loop, survivors, WINDOW_S)
        )
    return {"zone_dead_ms": dead_ms, "zone_peak_bytes_per_s": peak_bytes_per_s}


def _or_end_of_window(
    is_done: Callable[[], bool], loop: MembershipLoop, end_ms: float
) -> Callable[[], bool]:
    return lambda: loop.now_ms >= end_ms - 1 or is_done()


def _run_until_all(
    loop: MembershipLoop, address: str, observers: list[str], state: MemberState
) -> float:
    return loop.run_until(
        lambda: all(loop.view(observer, address) is state for observer in observers),
        limit_ms=TIMEOUT_MS,
    )


def _byte_rates(
    loop: MembershipLoop, addresses: list[str], duration_s: float
) -> list[float]:
    sent, received = loop.sent_bytes_by_address, loop.received_bytes_by_address
    return [(sent[a] + received[a]) / duration_s for a in addresses]


def main() -> None:
    """Measure every size and write the measurements as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    options = parser.parse_args()
    measurements = []
    for members in options.sizes:
        measurements.append(dataclasses.asdict(measure(members, seed=options.seed)))
        print(json.dumps(measurements[-1]), flush=True)
    path = pathlib.Path(options.out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(measurements, indent=2) + "\n")


if __name__ == "__main__":
    main()
