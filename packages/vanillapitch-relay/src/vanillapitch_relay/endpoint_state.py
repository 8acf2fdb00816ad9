"""Last known state of an owner's endpoint, as functions of state and event."""

import dataclasses
import enum

from vanillapitch_relay.model import Announcement, EndpointState

__all__ = [
    "ObservedEndpoint",
    "HealthCheckResult",
    "AnnouncementVerdict",
    "apply_announcement",
    "apply_departure",
    "apply_departure_notice",
    "apply_departure_record",
    "apply_departures_read",
    "apply_health",
    "apply_unreachable",
    "apply_zone_return",
    "classify",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HealthCheckResult:
    """Result of a health check of the endpoint.

    Attributes
    ----------
    healthy : bool
        Whether the status was 200 and the endpoint is not leaving.
    instance : str
        Instance that answered, or empty.
    cold_remaining_ms : float
        Remaining time for which it is cold.
    slots : int
        Slots that it reports, or 0.
    """

    healthy: bool
    instance: str
    cold_remaining_ms: float
    slots: int


@dataclasses.dataclass(slots=True, kw_only=True)
class ObservedEndpoint:
    """Last known identity and state of the endpoint on this VM.

    Attributes
    ----------
    service : str
        Its service.
    instance : str
        Its id; empty while unknown.
    born_ms, sequence : int
        Start time and number of the last accepted announcement; -1 before one.
    slots : int
        Requests that it executes concurrently.
    leaving : bool
        Whether its departure was acknowledged by this process or an earlier one.
    left_instance : str
        Instance whose departure was acknowledged last.
    left_born_ms : int
        Start time of that instance; -1 if unknown.
    verified : bool
        Whether the last answered check confirmed the instance. False after a restart,
        a connection failure or the return of its zone, until the next check.
    reachable : bool
        Whether connections to it succeed.
    answering_instance : str
        Instance that answered the last health check; empty before one.
    cold_until_ms : float
        Monotonic time until which it is cold.
    departures_known : bool
        Whether the departure that an earlier process stored has been read.
    confirmed : bool
        Whether the instance was found healthy, or announced itself more than once.
    incarnation : int
        Number of the current incarnation among those that this process knew.
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
    confirmed: bool = False
    incarnation: int = 0


class AnnouncementVerdict(enum.Enum):
    """Result of evaluating an announcement.

    ACCEPTED: it is newer than the last known state. STALE: the same or a later one of
    the same incarnation was accepted before. OTHER_INCARNATION: it is of another,
    earlier incarnation, and must not be acknowledged.
    """

    ACCEPTED = "believed"
    STALE = "old"
    OTHER_INCARNATION = "foreign"


def apply_announcement(
    observed: ObservedEndpoint, announcement: Announcement, *, now_ms: float
) -> AnnouncementVerdict:
    """Accept an announcement unless it is older than one accepted before.

    Parameters
    ----------
    observed : ObservedEndpoint
        Last known state; changed in place.
    announcement : Announcement
        The announcement.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    AnnouncementVerdict
        Whether it was accepted, or why not.
    """
    is_same = (announcement.instance, announcement.born_ms) == (
        observed.instance,
        observed.born_ms,
    )
    if is_same and announcement.sequence <= observed.sequence:
        if announcement.leaving:
            # A departure is final for its incarnation, in any order of messages.
            _set_leaving(observed)
        return AnnouncementVerdict.STALE
    if announcement.born_ms < observed.born_ms and not _answers_health_checks(
        observed, announcement
    ):
        return AnnouncementVerdict.OTHER_INCARNATION
    is_new = announcement.instance != observed.instance or (
        observed.born_ms >= 0 and announcement.born_ms != observed.born_ms
    )
    # While the start time is unknown, the departure may be that of an earlier
    # incarnation.
    is_same_start = not is_new and observed.born_ms >= 0
    observed.leaving = _has_left(observed, announcement) or (
        is_same_start and observed.leaving
    )
    if is_new:
        observed.incarnation += 1
        observed.verified = False
        observed.confirmed = False
        observed.cold_until_ms = 0.0
    else:
        observed.confirmed |= observed.sequence >= 0
    observed.instance = announcement.instance
    observed.service = announcement.service
    observed.born_ms = announcement.born_ms
    observed.sequence = announcement.sequence
    observed.slots = announcement.slots
    observed.cold_until_ms = now_ms + announcement.cold_remaining_ms
    if announcement.leaving:
        _set_leaving(observed)
    return AnnouncementVerdict.ACCEPTED


def apply_departure(observed: ObservedEndpoint, instance: str) -> bool:
    """Record that an endpoint deregisters; return whether it is this one."""
    if observed.instance not in ("", instance):
        return False
    observed.instance = instance
    _set_leaving(observed)
    return True


def apply_departure_notice(observed: ObservedEndpoint) -> bool:
    """Record that a response of the endpoint says it leaves; return whether it is new.

    The departure is as final as one that the endpoint announces.
    """
    if observed.leaving:
        return False
    _set_leaving(observed)
    return True


def apply_departure_record(
    observed: ObservedEndpoint, *, instance: str, born_ms: int
) -> None:
    """Apply the departure that an earlier process acknowledged last.

    Parameters
    ----------
    observed : ObservedEndpoint
        Last known state; changed in place.
    instance : str
        Instance that left.
    born_ms : int
        Its start time, or -1.
    """
    observed.left_instance = instance
    observed.left_born_ms = born_ms
    if observed.instance == instance and observed.born_ms <= max(born_ms, -1):
        observed.leaving = True


def apply_departures_read(observed: ObservedEndpoint) -> None:
    """Record that the departure that the store holds, if any, has been applied."""
    observed.departures_known = True


def apply_health(
    observed: ObservedEndpoint, result: HealthCheckResult, *, now_ms: float
) -> None:
    """Apply a health check; its status may be wrong, its identity is reliable.

    Parameters
    ----------
    observed : ObservedEndpoint
        Last known state; changed in place.
    result : HealthCheckResult
        Result of the health check.
    now_ms : float
        Current time in milliseconds.
    """
    observed.reachable = True
    observed.answering_instance = result.instance
    observed.cold_until_ms = max(
        observed.cold_until_ms if not observed.verified else 0.0,
        now_ms + result.cold_remaining_ms,
    )
    if not observed.instance:
        _adopt_identity(observed, result)
        return
    observed.verified = result.instance == observed.instance
    observed.confirmed |= observed.verified and result.healthy


def apply_unreachable(observed: ObservedEndpoint) -> None:
    """Record that no connection to the endpoint succeeds."""
    observed.reachable = False
    observed.verified = False


def apply_zone_return(observed: ObservedEndpoint) -> None:
    """Require a health check; the endpoint may be cold when its zone returns."""
    observed.verified = False


def classify(
    observed: ObservedEndpoint, *, zone_in_service: bool, now_ms: float
) -> EndpointState:
    """Return the state that determines whether the endpoint receives requests.

    Parameters
    ----------
    observed : ObservedEndpoint
        Last known state.
    zone_in_service : bool
        Whether the availability zone is in service.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    EndpointState
        READY or COLD if it receives requests.
    """
    if not observed.instance:
        return EndpointState.UNKNOWN
    if observed.leaving:
        return EndpointState.LEAVING
    if not zone_in_service:
        return EndpointState.ZONE_OUT
    if not observed.reachable or not observed.verified:
        return EndpointState.DOWN
    if not observed.departures_known and not observed.confirmed:
        # A single announcement may be a late one of an endpoint that has left.
        return EndpointState.UNKNOWN
    if now_ms < observed.cold_until_ms:
        return EndpointState.COLD
    return EndpointState.READY


def _adopt_identity(observed: ObservedEndpoint, result: HealthCheckResult) -> None:
    """Adopt the identity that a health check returns after a restart of the daemon.

    The stored departure must be known first, so that an endpoint that has left is not
    adopted again.
    """
    if not observed.departures_known or not result.healthy or not result.slots:
        return
    if result.instance in ("", observed.left_instance):
        return
    observed.instance = result.instance
    observed.slots = result.slots
    observed.verified = True


def _set_leaving(observed: ObservedEndpoint) -> None:
    observed.leaving = True
    observed.left_instance = observed.instance
    observed.left_born_ms = observed.born_ms


def _has_left(observed: ObservedEndpoint, announcement: Announcement) -> bool:
    if announcement.instance != observed.left_instance:
        return False
    # The start time of an endpoint that left without an announcement is unknown.
    return observed.left_born_ms < 0 or announcement.born_ms <= observed.left_born_ms


def _answers_health_checks(
    observed: ObservedEndpoint, announcement: Announcement
) -> bool:
    """Return whether the announced instance has replaced the known one.

    The start time is wall time, which may have jumped back. The instance that answers
    health checks at the address does exist.
    """
    answering = observed.answering_instance
    return answering not in ("", observed.instance) and (
        announcement.instance == answering
    )
