"""Updates the picker's endpoints when members change."""

from collections.abc import Callable

from vanillapitch_core.membership import MemberChanged, MemberState

from vanillapitch_daemon.monitor import Monitor
from vanillapitch_daemon.picker import Endpoint, EndpointChanged, EndpointRemoved
from vanillapitch_daemon.settings import Address

__all__ = ["make_picker_subscriber"]

# A suspect may only be slow to answer pings; the picker evaluates it by requests.
_SERVING_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


def make_picker_subscriber(picker: Monitor) -> Callable[[MemberChanged], None]:
    """Return a subscriber that updates the endpoints of the picker.

    Parameters
    ----------
    picker : Monitor
        The picker.

    Returns
    -------
    callable
        Subscriber of `MemberChanged`.
    """

    def update_picker(effect: MemberChanged) -> None:
        record = effect.record
        if record.state not in _SERVING_STATES:
            picker.tell(EndpointRemoved(instance=record.instance))
            return
        address = Address(record.inner_address)
        endpoint = Endpoint(
            instance=record.instance,
            address=(address.host, address.port),
            service=record.service,
            zone=record.zone,
            region=record.region,
        )
        picker.tell(EndpointChanged(endpoint=endpoint))

    return update_picker
