"""Records of members and the order in which they supersede each other."""

import dataclasses
import enum
import functools
import hashlib

from vanillapitch_core.exceptions import VanillapitchError

__all__ = [
    "ENDED_STATES",
    "ACCUSER_BYTES",
    "KEY_BYTES",
    "InstanceError",
    "MemberRecord",
    "MemberState",
    "Status",
    "Strike",
    "accuser_id",
    "instance_key",
    "make_instance",
    "split_instance",
    "status_of",
]

KEY_BYTES = 8
ACCUSER_BYTES = 4


class InstanceError(VanillapitchError):
    """An instance name is not ``IP:port/incarnation``."""

    code = "instance_invalid"


class MemberState(enum.StrEnum):
    """Last known state of a member.

    At the same version, a state listed later supersedes one listed earlier.
    """

    JOINING = "joining"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
    LEFT = "left"


ENDED_STATES = frozenset({MemberState.DEAD, MemberState.LEFT})
_RANK_BY_STATE = {state: rank for rank, state in enumerate(MemberState)}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """A member, as announced by itself or observed by others.

    Attributes
    ----------
    instance : str
        ``IP:port/incarnation`` with the address of `listen.peers`.
    zone : str
        Availability zone.
    region : str
        Region of the zone.
    service : str
        Service that the member's backend server announces.
    inner_address : str
        Address for Thrift calls between daemons.
    gossip_address : str
        Address for membership messages.
    state : MemberState
        State of the member.
    version : int
        Incremented by the member with each announcement and each refutation.
    slots : int
        Requests that the backend server executes concurrently.
    """

    instance: str
    zone: str
    region: str
    service: str
    inner_address: str
    gossip_address: str
    state: MemberState
    version: int
    slots: int

    @property
    def address(self) -> str:
        """Address part of the instance name."""
        return self.instance.rpartition("/")[0]

    @property
    def incarnation(self) -> int:
        """Start time of the daemon in milliseconds since the Unix epoch."""
        return int(self.instance.rpartition("/")[2])

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key: the highest record of an address is the valid one."""
        return (self.incarnation, self.version, _RANK_BY_STATE[self.state])

    @property
    def has_ended(self) -> bool:
        """Whether the member is dead or has left."""
        return self.state in ENDED_STATES


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """Short form of a record for receivers that know the member.

    Attributes
    ----------
    key : bytes
        `instance_key` of the member.
    version : int
        Version of the record.
    state : MemberState
        State of the record.
    accusers : tuple of bytes
        Short ids of the members whose own pings failed, while suspect.
    """

    key: bytes
    version: int
    state: MemberState
    accusers: tuple[bytes, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Strike:
    """A crash of a backend server while it executed a request.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request.
    strike_id : str
        Unique id, so that a strike counts once.
    at_ms : int
        Wall-clock time of the strike, in milliseconds since the Unix epoch.
    """

    fingerprint: str
    strike_id: str
    at_ms: int


@functools.lru_cache(maxsize=4096)
def instance_key(instance: str) -> bytes:
    """Return the fixed-size identifier of an instance.

    Parameters
    ----------
    instance : str
        Instance name.

    Returns
    -------
    bytes
        `KEY_BYTES` bytes.
    """
    return hashlib.blake2b(instance.encode(), digest_size=KEY_BYTES).digest()


def accuser_id(instance: str) -> bytes:
    """Return the short id of an instance in suspicions.

    Parameters
    ----------
    instance : str
        Instance name.

    Returns
    -------
    bytes
        `ACCUSER_BYTES` bytes.
    """
    return instance_key(instance)[:ACCUSER_BYTES]


def make_instance(*, address: str, incarnation: int) -> str:
    """Build an instance name.

    Parameters
    ----------
    address : str
        ``IP:port`` of `listen.peers`.
    incarnation : int
        Start time in milliseconds since the Unix epoch.

    Returns
    -------
    str
        The instance name.
    """
    return f"{address}/{incarnation}"


def split_instance(instance: str) -> tuple[str, int]:
    """Split an instance name.

    Parameters
    ----------
    instance : str
        Instance name.

    Returns
    -------
    tuple of str and int
        Address and incarnation.

    Raises
    ------
    InstanceError
        If the name has another form.
    """
    address, separator, incarnation = instance.rpartition("/")
    if not separator or ":" not in address or not incarnation.isdecimal():
        raise InstanceError(f"instance {instance!r} is not IP:port/incarnation")
    return address, int(incarnation)


def status_of(record: MemberRecord, accusers: tuple[bytes, ...] = ()) -> Status:
    """Return the short form of a record.

    Parameters
    ----------
    record : MemberRecord
        The record.
    accusers : tuple of bytes
        Accusers of a suspect.

    Returns
    -------
    Status
        The short form.
    """
    return Status(
        key=instance_key(record.instance),
        version=record.version,
        state=record.state,
        accusers=accusers,
    )
