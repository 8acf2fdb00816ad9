"""Last known state of an endpoint after late, old and repeated messages."""

import dataclasses

import hypothesis
import hypothesis.strategies as st
import pytest
from vanillapitch_relay.endpoint_state import (
    AnnouncementVerdict,
    HealthCheckResult,
    ObservedEndpoint,
    apply_announcement,
    apply_departure,
    apply_departure_record,
    apply_departures_read,
    apply_health,
    apply_unreachable,
    classify,
)
from vanillapitch_relay.model import Announcement, EndpointState

FIRST = Announcement(
    instance="i-1",
    service="shop",
    zone="a",
    address="127.0.0.1:1",
    slots=8,
    leaving=False,
    born_ms=1_000,
    sequence=5,
    cold_remaining_ms=0.0,
)
HEALTHY = HealthCheckResult(
    healthy=True, instance="i-1", cold_remaining_ms=0.0, slots=8
)


def make_observed(**changes):
    observed = ObservedEndpoint(service="shop", departures_known=True)
    apply_announcement(observed, FIRST, now_ms=0.0)
    apply_health(observed, HEALTHY, now_ms=0.0)
    for name, value in changes.items():
        setattr(observed, name, value)
    return observed


def state_of(observed, *, zone_in_service=True, now_ms=0.0):
    return classify(observed, zone_in_service=zone_in_service, now_ms=now_ms)


def test_an_announced_and_checked_endpoint_is_ready():
    # Guards against endpoints that never receive requests although they have been
    # announced and a health check has succeeded.
    observed = ObservedEndpoint(service="shop")
    assert state_of(observed) is EndpointState.UNKNOWN
    assert (
        apply_announcement(observed, FIRST, now_ms=0.0) is AnnouncementVerdict.ACCEPTED
    )
    assert state_of(observed) is EndpointState.DOWN
    apply_health(observed, HEALTHY, now_ms=0.0)
    assert state_of(observed) is EndpointState.READY


@pytest.mark.parametrize(
    ("changes", "verdict"),
    [
        ({"sequence": 4}, AnnouncementVerdict.STALE),
        ({"sequence": 5}, AnnouncementVerdict.STALE),
        (
            {"born_ms": 900, "sequence": 9, "instance": "i-0"},
            AnnouncementVerdict.OTHER_INCARNATION,
        ),
        (
            {"born_ms": 900, "sequence": 9, "leaving": True},
            AnnouncementVerdict.OTHER_INCARNATION,
        ),
    ],
)
def test_old_announcements_change_nothing(changes, verdict):
    # Guards against announcements that a partition delayed and that overwrite a newer
    # state.
    observed = make_observed()
    before = dataclasses.asdict(observed)
    old = dataclasses.replace(FIRST, **changes)
    assert apply_announcement(observed, old, now_ms=0.0) is verdict
    assert dataclasses.asdict(observed) == before


def test_a_late_departure_counts_for_its_incarnation():
    # Guards against a departure that is acknowledged but ignored, because a later
    # announcement of the same incarnation overtook it.
    observed = make_observed()
    late = dataclasses.replace(FIRST, sequence=4, leaving=True)
    assert apply_announcement(observed, late, now_ms=0.0) is AnnouncementVerdict.STALE
    assert state_of(observed) is EndpointState.LEAVING


def test_a_clock_that_jumped_back_does_not_lock_an_endpoint_out():
    # Guards against a new endpoint that is ignored because the wall clock jumped back
    # and its start time is before its predecessor's. The health check identifies it.
    observed = make_observed()
    successor = dataclasses.replace(FIRST, instance="i-2", born_ms=500, sequence=1)
    assert (
        apply_announcement(observed, successor, now_ms=0.0)
        is AnnouncementVerdict.OTHER_INCARNATION
    )
    apply_health(observed, dataclasses.replace(HEALTHY, instance="i-2"), now_ms=0.0)
    successor = dataclasses.replace(successor, sequence=2)
    assert (
        apply_announcement(observed, successor, now_ms=0.0)
        is AnnouncementVerdict.ACCEPTED
    )
    apply_health(observed, dataclasses.replace(HEALTHY, instance="i-2"), now_ms=0.0)
    assert state_of(observed) is EndpointState.READY


def test_an_acknowledged_departure_is_final_for_its_incarnation():
    # Guards against requests to an endpoint that has left, because a later announcement
    # of the same incarnation does not announce its departure.
    observed = make_observed()
    leaving = dataclasses.replace(FIRST, sequence=6, leaving=True)
    apply_announcement(observed, leaving, now_ms=0.0)
    assert state_of(observed) is EndpointState.LEAVING
    ready = dataclasses.replace(FIRST, sequence=7)
    apply_announcement(observed, ready, now_ms=0.0)
    assert state_of(observed) is EndpointState.LEAVING


def test_a_new_incarnation_gets_requests_again():
    # Guards against a VM that receives no requests after its endpoint left and was
    # restarted under the same id.
    observed = make_observed()
    apply_departure(observed, "i-1")
    assert state_of(observed) is EndpointState.LEAVING
    restarted = dataclasses.replace(FIRST, born_ms=2_000, sequence=1)
    assert (
        apply_announcement(observed, restarted, now_ms=0.0)
        is AnnouncementVerdict.ACCEPTED
    )
    assert state_of(observed) is EndpointState.DOWN
    apply_health(observed, HEALTHY, now_ms=0.0)
    assert state_of(observed) is EndpointState.READY


def test_a_restarted_daemon_keeps_the_acknowledgement():
    # Guards against a restarted daemon that sends requests to an endpoint whose
    # departure the previous process acknowledged.
    observed = ObservedEndpoint(service="shop")
    apply_departure_record(observed, instance="i-1", born_ms=1_000)
    apply_departures_read(observed)
    apply_health(observed, HEALTHY, now_ms=0.0)
    assert state_of(observed) is EndpointState.UNKNOWN
    apply_announcement(observed, FIRST, now_ms=0.0)
    apply_health(observed, HEALTHY, now_ms=0.0)
    assert state_of(observed) is EndpointState.LEAVING


def test_a_departure_may_be_read_after_the_announcement():
    # Guards against a departure that has no effect because the daemon reads it from the
    # store only after an announcement of the endpoint.
    observed = make_observed(departures_known=False)
    apply_departure_record(observed, instance="i-1", born_ms=1_000)
    assert state_of(observed) is EndpointState.LEAVING


@pytest.mark.parametrize("evidence", ["none", "healthy", "announcement", "store"])
def test_one_late_announcement_does_not_make_an_endpoint_ready(evidence):
    # Guards against a new process that cannot read the store yet and takes an endpoint
    # that has left for ready, because an earlier announcement of it arrives late. Its
    # health check fails, but that of an endpoint that stays may fail as well.
    observed = ObservedEndpoint(service="shop")
    apply_announcement(observed, FIRST, now_ms=0.0)
    apply_health(observed, dataclasses.replace(HEALTHY, healthy=False), now_ms=0.0)
    if evidence == "healthy":
        apply_health(observed, HEALTHY, now_ms=0.0)
    elif evidence == "announcement":
        second = dataclasses.replace(FIRST, sequence=FIRST.sequence + 1)
        apply_announcement(observed, second, now_ms=0.0)
    elif evidence == "store":
        apply_departures_read(observed)
    expected = EndpointState.UNKNOWN if evidence == "none" else EndpointState.READY
    assert state_of(observed) is expected


@pytest.mark.parametrize("born_ms", [1_000, 2_000])
def test_a_departure_that_is_returned_late_binds_its_own_incarnation_only(born_ms):
    # Guards against an endpoint that gets no requests for good: it was started again
    # under its id, and adopted before a daemon returned the earlier departure.
    observed = ObservedEndpoint(service="shop", departures_known=True)
    apply_health(observed, HEALTHY, now_ms=0.0)
    apply_departure_record(observed, instance="i-1", born_ms=1_000)
    assert state_of(observed) is EndpointState.LEAVING
    announcement = dataclasses.replace(FIRST, born_ms=born_ms)
    apply_announcement(observed, announcement, now_ms=0.0)
    apply_health(observed, HEALTHY, now_ms=0.0)
    expected = EndpointState.LEAVING if born_ms == 1_000 else EndpointState.READY
    assert state_of(observed) is expected


def test_a_restarted_daemon_adopts_a_healthy_endpoint():
    # Guards against a healthy endpoint that receives no requests after a restart of the
    # daemon until its next announcement. The stored departure has to be read first.
    observed = ObservedEndpoint(service="shop")
    apply_health(observed, HEALTHY, now_ms=0.0)
    assert state_of(observed) is EndpointState.UNKNOWN
    apply_departures_read(observed)
    apply_health(observed, HEALTHY, now_ms=0.0)
    assert state_of(observed) is EndpointState.READY


def test_another_instance_at_the_address_gets_nothing():
    # Guards against requests that reach another instance, which has taken over the
    # address of the announced one.
    observed = make_observed()
    other = dataclasses.replace(HEALTHY, instance="i-2")
    apply_health(observed, other, now_ms=0.0)
    assert state_of(observed) is EndpointState.DOWN


def test_a_wrong_health_status_does_not_stop_requests():
    # Guards against an endpoint that receives no requests because its health check
    # reports a wrong status.
    observed = make_observed()
    apply_health(observed, dataclasses.replace(HEALTHY, healthy=False), now_ms=0.0)
    assert state_of(observed) is EndpointState.READY


def test_cold_starts_are_detected_by_announcement_or_health_check():
    # Guards against full load on a cold endpoint, whether an announcement or a health
    # check reports that it is cold.
    cold = dataclasses.replace(FIRST, sequence=6, cold_remaining_ms=3_000.0)
    observed = make_observed()
    apply_announcement(observed, cold, now_ms=0.0)
    assert state_of(observed, now_ms=2_900.0) is EndpointState.COLD
    observed = make_observed()
    health = dataclasses.replace(HEALTHY, cold_remaining_ms=3_000.0)
    apply_health(observed, health, now_ms=0.0)
    assert state_of(observed, now_ms=2_900.0) is EndpointState.COLD
    assert state_of(observed, now_ms=3_100.0) is EndpointState.READY


def test_an_unreachable_endpoint_must_answer_a_check_first():
    # Guards against full load on an endpoint that has become reachable again and may be
    # cold: an announcement alone must not make it usable.
    observed = make_observed()
    apply_unreachable(observed)
    assert state_of(observed) is EndpointState.DOWN
    newer = dataclasses.replace(FIRST, sequence=6)
    apply_announcement(observed, newer, now_ms=0.0)
    assert state_of(observed) is EndpointState.DOWN


def test_a_zone_out_of_service_gets_nothing():
    # Guards against requests to a zone that operators have taken out of service.
    assert state_of(make_observed(), zone_in_service=False) is EndpointState.ZONE_OUT


announcements = st.builds(
    Announcement,
    instance=st.sampled_from(["i-1", "i-2"]),
    service=st.just("shop"),
    zone=st.just("a"),
    address=st.just("127.0.0.1:1"),
    slots=st.integers(1, 9),
    leaving=st.booleans(),
    born_ms=st.integers(1, 3),
    sequence=st.integers(1, 6),
    cold_remaining_ms=st.just(0.0),
)
events = st.one_of(
    announcements,
    st.sampled_from(["healthy i-1", "healthy i-2", "unreachable", "restart"]),
)


@hypothesis.settings(max_examples=400)
@hypothesis.given(st.lists(events, max_size=25))
def test_no_order_of_events_brings_back_an_incarnation_that_left(history):
    # Covers restarts of the daemon, late announcements and restarts of an endpoint
    # under the same id. An incarnation whose departure was acknowledged last must
    # receive no requests. A later acknowledged departure replaces the stored record.
    observed = ObservedEndpoint(service="shop", departures_known=True)
    left = None
    for event in history:
        if isinstance(event, Announcement):
            verdict = apply_announcement(observed, event, now_ms=0.0)
            if verdict is not AnnouncementVerdict.OTHER_INCARNATION and event.leaving:
                left = (event.instance, event.born_ms)
        elif event == "unreachable":
            apply_unreachable(observed)
        elif event == "restart":
            observed = ObservedEndpoint(service="shop")
            if left is not None:
                apply_departure_record(observed, instance=left[0], born_ms=left[1])
            apply_departures_read(observed)
        else:
            health = dataclasses.replace(HEALTHY, instance=event.split()[1])
            apply_health(observed, health, now_ms=0.0)
        if left is not None and (observed.instance, observed.born_ms) == left:
            assert state_of(observed) is EndpointState.LEAVING
