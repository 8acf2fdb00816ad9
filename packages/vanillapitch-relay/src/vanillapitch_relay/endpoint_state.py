"""What an owner believes of its endpoint, as functions of state and event."""

import dataclasses
import enum

from vanillapitch_relay.model import Announcement, EndpointState

__all__ = [
    "EndpointBelief",
    "HealthAnswer",
    "Verdict",
    "apply_announcement",
    "apply_departure",
    "apply_departure_mark",
    "apply_health",
    "apply_unreachable",
    "apply_zone_return",
    "classify",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HealthAnswer:
    """What a health check of the endpoint returned.

    Attributes
    ----------
    healthy : bool
        Whether the status was 200.
    instance : str
        Instance that answered, or empty.
    cold_remaining_ms : float
        How long it stays cold.
    slots : int
        Slots that it reports, or 0.
    """

    healthy: bool
    instance: str
    cold_remaining_ms: float
    slots: int


@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointBelief:
    """Identity and condition of the endpoint on this VM.

    Attributes
    ----------
    service : str
        Its service.
    instance : str
        Its id; empty while unknown.
    born_ms, sequence : int
        Order of the last announcement that was believed; -1 before one.
    slots : int
        Requests that it runs at once.
    leaving : bool
        Whether its leaving was acknowledged, by this process or an earlier one.
    left_instance : str
        Instance whose leaving was acknowledged last.
    left_born_ms : int
        Its start; -1 when unknown.
    verified : bool
        Whether it answered a health check since it was last in doubt.
    reachable : bool
        Whether connections to it succeed.
    answering_instance : str
        Instance that answered the last health check; empty before one.
    cold_until_ms : float
        Monotonic time until which it is cold.
    departures_known : bool
        Whether the store was asked for an acknowledgement by an earlier process.
    """

    service: str
    instance: str = ""
    born_ms: int = -1
    sequence: int = -1
    slots: int = 0
    leaving: bool = False
    left_instance: str = ""
    left_born_ms: int = -1
    verified: bool = False
    reachable: bool = True
    answering_instance: str = ""
    cold_until_ms: float = 0.0
    departures_known: bool = False


class Verdict(enum.Enum):
    """What becomes of an announcement.

    BELIEVED: it is newer than what was known. OLD: a later one of the same incarnation
    was believed before. FOREIGN: it is of another, earlier incarnation, and must not be
    acknowledged.
    """

    BELIEVED = "believed"
    OLD = "old"
    FOREIGN = "foreign"


def apply_announcement(
    belief: EndpointBelief, announcement: Announcement, *, now_ms: float
) -> Verdict:
    """Believe an announcement unless it is older than one believed before.

    Parameters
    ----------
    belief : EndpointBelief
        The belief; changed in place.
    announcement : Announcement
        What the endpoint says.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    Verdict
        Whether it was believed.
    """
    is_same = (announcement.instance, announcement.born_ms) == (
        belief.instance,
        belief.born_ms,
    )
    if is_same and announcement.sequence <= belief.sequence:
        if announcement.leaving:
            # An incarnation that leaves does not come back, in any order of messages.
            _leave(belief)
        return Verdict.OLD
    if announcement.born_ms < belief.born_ms and not _answers(belief, announcement):
        return Verdict.FOREIGN
    is_new = announcement.instance != belief.instance or (
        belief.born_ms >= 0 and announcement.born_ms != belief.born_ms
    )
    if is_new:
        belief.verified = False
        belief.leaving = _has_left(belief, announcement)
        belief.cold_until_ms = 0.0
    belief.instance = announcement.instance
    belief.service = announcement.service
    belief.born_ms = announcement.born_ms
    belief.sequence = announcement.sequence
    belief.slots = announcement.slots
    belief.cold_until_ms = now_ms + announcement.cold_remaining_ms
    if announcement.leaving:
        _leave(belief)
    elif _has_left(belief, announcement):
        belief.leaving = True
    return Verdict.BELIEVED


def apply_departure(belief: EndpointBelief, instance: str) -> bool:
    """Take an endpoint that deregisters as leaving; return whether it is this one."""
    if belief.instance not in ("", instance):
        return False
    belief.instance = instance
    _leave(belief)
    return True


def apply_departure_mark(
    belief: EndpointBelief, *, instance: str, born_ms: int
) -> None:
    """Take over an acknowledgement that an earlier process stored.

    Parameters
    ----------
    belief : EndpointBelief
        The belief; changed in place.
    instance : str
        Instance that left, or empty when none did.
    born_ms : int
        Its start, or -1.
    """
    belief.departures_known = True
    if not instance:
        return
    belief.left_instance = instance
    belief.left_born_ms = born_ms
    if belief.instance == instance and belief.born_ms <= max(born_ms, -1):
        belief.leaving = True


def apply_health(
    belief: EndpointBelief, answer: HealthAnswer, *, now_ms: float
) -> None:
    """Learn from a health check; its status may be false, its identity is not.

    Parameters
    ----------
    belief : EndpointBelief
        The belief; changed in place.
    answer : HealthAnswer
        What the endpoint answered.
    now_ms : float
        Current time in milliseconds.
    """
    belief.reachable = True
    belief.answering_instance = answer.instance
    belief.cold_until_ms = max(
        belief.cold_until_ms if not belief.verified else 0.0,
        now_ms + answer.cold_remaining_ms,
    )
    if not belief.instance:
        _adopt(belief, answer)
        return
    belief.verified = answer.instance == belief.instance


def apply_unreachable(belief: EndpointBelief) -> None:
    """Note that no connection to the endpoint succeeds."""
    belief.reachable = False
    belief.verified = False


def apply_zone_return(belief: EndpointBelief) -> None:
    """Ask for a health check, because the endpoint may have turned cold meanwhile."""
    belief.verified = False


def classify(
    belief: EndpointBelief, *, zone_in_service: bool, now_ms: float
) -> EndpointState:
    """Return the state that decides whether the endpoint gets work.

    Parameters
    ----------
    belief : EndpointBelief
        The belief.
    zone_in_service : bool
        Whether the availability zone is in service.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    EndpointState
        READY or COLD when it gets work.
    """
    if not belief.instance:
        return EndpointState.UNKNOWN
    if belief.leaving:
        return EndpointState.LEAVING
    if not zone_in_service:
        return EndpointState.ZONE_OUT
    if not belief.reachable or not belief.verified:
        return EndpointState.DOWN
    if now_ms < belief.cold_until_ms:
        return EndpointState.COLD
    return EndpointState.READY


def _adopt(belief: EndpointBelief, answer: HealthAnswer) -> None:
    """Take the identity from a health check after a restart of the daemon.

    An endpoint that left must not be taken back, so the store was read before.
    """
    if not belief.departures_known or not answer.healthy or not answer.slots:
        return
    if answer.instance in ("", belief.left_instance):
        return
    belief.instance = answer.instance
    belief.slots = answer.slots
    belief.verified = True


def _leave(belief: EndpointBelief) -> None:
    belief.leaving = True
    belief.left_instance = belief.instance
    belief.left_born_ms = belief.born_ms


def _has_left(belief: EndpointBelief, announcement: Announcement) -> bool:
    if announcement.instance != belief.left_instance:
        return False
    # A departure without an announcement before it does not tell the start.
    return belief.left_born_ms < 0 or announcement.born_ms <= belief.left_born_ms


def _answers(belief: EndpointBelief, announcement: Announcement) -> bool:
    """Tell whether another instance than the one believed answers health checks.

    The start is wall time, which may have jumped; what answers at the address is there.
    """
    answering = belief.answering_instance
    return answering not in ("", belief.instance) and (
        announcement.instance == answering
    )
