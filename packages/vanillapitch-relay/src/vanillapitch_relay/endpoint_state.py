"""What an owner believes of its endpoint, as functions of state and event."""

import dataclasses
import enum

from vanillapitch_relay.model import Announcement, EndpointState

__all__ = [
    "ObservedEndpoint",
    "HealthAnswer",
    "AnnouncementVerdict",
    "apply_announcement",
    "apply_departure",
    "apply_departure_record",
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
class ObservedEndpoint:
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


class AnnouncementVerdict(enum.Enum):
    """What becomes of an announcement.

    BELIEVED: it is newer than what was known. OLD: a later one of the same incarnation
    was believed before. FOREIGN: it is of another, earlier incarnation, and must not be
    acknowledged.
    """

    ACCEPTED = "believed"
    STALE = "old"
    OTHER_INCARNATION = "foreign"


def apply_announcement(
    observed: ObservedEndpoint, announcement: Announcement, *, now_ms: float
) -> AnnouncementVerdict:
    """Believe an announcement unless it is older than one believed before.

    Parameters
    ----------
    observed : ObservedEndpoint
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
        observed.instance,
        observed.born_ms,
    )
    if is_same and announcement.sequence <= observed.sequence:
        if announcement.leaving:
            # An incarnation that leaves does not come back, in any order of messages.
            _set_leaving(observed)
        return AnnouncementVerdict.STALE
    if announcement.born_ms < observed.born_ms and not _answers_health_checks(
        observed, announcement
    ):
        return AnnouncementVerdict.OTHER_INCARNATION
    is_new = announcement.instance != observed.instance or (
        observed.born_ms >= 0 and announcement.born_ms != observed.born_ms
    )
    if is_new:
        observed.verified = False
        observed.leaving = _has_left(observed, announcement)
        observed.cold_until_ms = 0.0
    observed.instance = announcement.instance
    observed.service = announcement.service
    observed.born_ms = announcement.born_ms
    observed.sequence = announcement.sequence
    observed.slots = announcement.slots
    observed.cold_until_ms = now_ms + announcement.cold_remaining_ms
    if announcement.leaving:
        _set_leaving(observed)
    elif _has_left(observed, announcement):
        observed.leaving = True
    return AnnouncementVerdict.ACCEPTED


def apply_departure(observed: ObservedEndpoint, instance: str) -> bool:
    """Take an endpoint that deregisters as leaving; return whether it is this one."""
    if observed.instance not in ("", instance):
        return False
    observed.instance = instance
    _set_leaving(observed)
    return True


def apply_departure_record(
    observed: ObservedEndpoint, *, instance: str, born_ms: int
) -> None:
    """Take over an acknowledgement that an earlier process stored.

    Parameters
    ----------
    observed : ObservedEndpoint
        The belief; changed in place.
    instance : str
        Instance that left, or empty when none did.
    born_ms : int
        Its start, or -1.
    """
    observed.departures_known = True
    if not instance:
        return
    observed.left_instance = instance
    observed.left_born_ms = born_ms
    if observed.instance == instance and observed.born_ms <= max(born_ms, -1):
        observed.leaving = True


def apply_health(
    observed: ObservedEndpoint, answer: HealthAnswer, *, now_ms: float
) -> None:
    """Learn from a health check; its status may be false, its identity is not.

    Parameters
    ----------
    observed : ObservedEndpoint
        The belief; changed in place.
    answer : HealthAnswer
        What the endpoint answered.
    now_ms : float
        Current time in milliseconds.
    """
    observed.reachable = True
    observed.answering_instance = answer.instance
    observed.cold_until_ms = max(
        observed.cold_until_ms if not observed.verified else 0.0,
        now_ms + answer.cold_remaining_ms,
    )
    if not observed.instance:
        _adopt_identity(observed, answer)
        return
    observed.verified = answer.instance == observed.instance


def apply_unreachable(observed: ObservedEndpoint) -> None:
    """Note that no connection to the endpoint succeeds."""
    observed.reachable = False
    observed.verified = False


def apply_zone_return(observed: ObservedEndpoint) -> None:
    """Ask for a health check, because the endpoint may have turned cold meanwhile."""
    observed.verified = False


def classify(
    observed: ObservedEndpoint, *, zone_in_service: bool, now_ms: float
) -> EndpointState:
    """Return the state that decides whether the endpoint gets work.

    Parameters
    ----------
    observed : ObservedEndpoint
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
    if not observed.instance:
        return EndpointState.UNKNOWN
    if observed.leaving:
        return EndpointState.LEAVING
    if not zone_in_service:
        return EndpointState.ZONE_OUT
    if not observed.reachable or not observed.verified:
        return EndpointState.DOWN
    if now_ms < observed.cold_until_ms:
        return EndpointState.COLD
    return EndpointState.READY


def _adopt_identity(observed: ObservedEndpoint, answer: HealthAnswer) -> None:
    """Take the identity from a health check after a restart of the daemon.

    An endpoint that left must not be taken back, so the store was read before.
    """
    if not observed.departures_known or not answer.healthy or not answer.slots:
        return
    if answer.instance in ("", observed.left_instance):
        return
    observed.instance = answer.instance
    observed.slots = answer.slots
    observed.verified = True


def _set_leaving(observed: ObservedEndpoint) -> None:
    observed.leaving = True
    observed.left_instance = observed.instance
    observed.left_born_ms = observed.born_ms


def _has_left(observed: ObservedEndpoint, announcement: Announcement) -> bool:
    if announcement.instance != observed.left_instance:
        return False
    # A departure without an announcement before it does not tell the start.
    return observed.left_born_ms < 0 or announcement.born_ms <= observed.left_born_ms


def _answers_health_checks(
    observed: ObservedEndpoint, announcement: Announcement
) -> bool:
    """Tell whether another instance than the one believed answers health checks.

    The start is wall time, which may have jumped; what answers at the address is there.
    """
    answering = observed.answering_instance
    return answering not in ("", observed.instance) and (
        announcement.instance == answering
    )
