"""Selects the members of a zone that watch the store."""

from collections.abc import Callable

from vanillapitch_core.configuration import WATCHERS_PER_ZONE, choose_by_rendezvous
from vanillapitch_core.membership import MemberChanged, MemberState

__all__ = ["make_watcher_selector"]

# A member that is leaving or unresponsive must not be one of the two watchers.
_WATCHING_STATES = frozenset({MemberState.JOINING, MemberState.ALIVE})


def make_watcher_selector(
    *, zone: str, own_address: str, set_watching: Callable[[bool], None]
) -> Callable[[MemberChanged], None]:
    """Return a subscriber that selects the watchers of a zone.

    Parameters
    ----------
    zone : str
        Zone of this daemon.
    own_address : str
        Address part of this daemon's instance name.
    set_watching : callable
        Called with True if this daemon is one of the watchers, otherwise False.

    Returns
    -------
    callable
        Subscriber of `MemberChanged`.
    """
    instances_by_address: dict[str, str] = {}

    def select_watchers(effect: MemberChanged) -> None:
        record = effect.record
        if record.zone != zone:
            return
        if record.state in _WATCHING_STATES:
            instances_by_address[record.address] = record.instance
        elif instances_by_address.get(record.address) == record.instance:
            del instances_by_address[record.address]
        selected = choose_by_rendezvous(
            purpose=f"watcher {zone}",
            instances=instances_by_address.values(),
            count=WATCHERS_PER_ZONE,
        )
        set_watching(instances_by_address.get(own_address) in selected)

    return select_watchers
