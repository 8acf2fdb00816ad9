"""Models of the settings file."""

from typing import Annotated

from msgspec import Meta, Struct

from vanillapitch_daemon.settings._address import Address

__all__ = [
    "BackendSettings",
    "InstanceSettings",
    "LimitsSettings",
    "ListenSettings",
    "PlatformSettings",
    "SecretsSettings",
    "Settings",
]

_NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
_PATH_PATTERN = r"^/[!-~]*$"
# HMAC-SHA256 is weaker with a shorter key, and not stronger with a longer one.
_CLUSTER_KEY_LENGTH_MIN = 32
_ADMIN_TOKEN_LENGTH_MIN = 16


class InstanceSettings(Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Where the VM is."""

    zone: Annotated[
        str, Meta(pattern=_NAME_PATTERN, description="Availability zone of the VM.")
    ]
    region: Annotated[
        str, Meta(pattern=_NAME_PATTERN, description="Region of the zone.")
    ]


class ListenSettings(Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Addresses that the daemon listens on."""

    callers: Annotated[Address, Meta(description="HTTP from callers (TCP).")]
    peers: Annotated[
        Address,
        Meta(
            description="Calls between daemons (TCP). Names the instance, so it must "
            "be an IP that peers can reach."
        ),
    ]
    gossip: Annotated[
        Address,
        Meta(description="Membership messages (UDP). An IP that peers can reach."),
    ]
    admin: Annotated[Address, Meta(description="Administration API (TCP).")]


class BackendSettings(Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The backend server beside the daemon."""

    address: Annotated[Address, Meta(description="HTTP address of the backend server.")]
    service: Annotated[
        str,
        Meta(pattern=_NAME_PATTERN, description="Service name that pools refer to."),
    ]
    slots: Annotated[
        int,
        Meta(
            ge=1, le=10_000, description="Requests that it runs well at the same time."
        ),
    ]
    connections: Annotated[
        int,
        Meta(ge=1, le=100_000, description="Connections that it accepts."),
    ] = 200
    health_path: Annotated[
        str, Meta(pattern=_PATH_PATTERN, description="Path of its health endpoint.")
    ] = "/health"
    load_path: (
        Annotated[
            str, Meta(pattern=_PATH_PATTERN, description="Path of its load endpoint.")
        ]
        | None
    ) = None
    announce_by_health: Annotated[
        bool,
        Meta(
            description="Announce the backend server when its health endpoint answers "
            "2xx, instead of waiting for `PUT /v1/backend`."
        ),
    ] = False


class PlatformSettings(Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The platform's key-value store."""

    addresses: Annotated[
        tuple[Address, ...],
        Meta(min_length=1, max_length=16, description="Addresses of the store."),
    ]
    timeout_ms: Annotated[
        int, Meta(ge=10, le=60_000, description="Upper bound of one call.")
    ] = 1_000


class SecretsSettings(Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Shared secrets; they never appear in logs, errors or API answers."""

    cluster_key: Annotated[
        str,
        Meta(
            min_length=_CLUSTER_KEY_LENGTH_MIN,
            max_length=1_024,
            description="Key that daemons prove to each other; the same everywhere.",
        ),
    ]
    admin_token: Annotated[
        str,
        Meta(
            min_length=_ADMIN_TOKEN_LENGTH_MIN,
            max_length=1_024,
            pattern=r"^[!-~]*$",
            description="Bearer token of the administration API.",
        ),
    ]

    def __repr__(self) -> str:
        """Return a representation without the secrets."""
        return "SecretsSettings(cluster_key=..., admin_token=...)"


class LimitsSettings(Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Bounds on what the daemon uses."""

    max_header_bytes: Annotated[
        int,
        Meta(ge=1_024, le=1_048_576, description="Header bytes of one request."),
    ] = 65_536
    max_body_bytes: Annotated[
        int,
        Meta(ge=0, le=1_073_741_824, description="Body bytes of one request."),
    ] = 16_777_216
    max_total_body_bytes: Annotated[
        int,
        Meta(
            ge=0,
            le=17_179_869_184,
            description="Body bytes of all requests held in memory, and of all "
            "responses being received; at least `max_body_bytes`.",
        ),
    ] = 67_108_864
    probe_budget_percent: Annotated[
        float,
        Meta(ge=0, le=10, description="Share of the backend server's time for probes."),
    ] = 1.0
    drain_timeout_ms: Annotated[
        int,
        Meta(
            ge=100,
            le=3_600_000,
            description="Upper bound of a graceful shutdown; "
            "above `platform.timeout_ms`.",
        ),
    ] = 120_000
    worker_threads: Annotated[
        int,
        Meta(ge=1, le=1_024, description="Callers' requests served at the same time."),
    ] = 64


class Settings(Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The whole settings file."""

    instance: InstanceSettings
    listen: ListenSettings
    backend: BackendSettings
    platform: PlatformSettings
    seeds: Annotated[
        tuple[Address, ...],
        Meta(
            max_length=256,
            description="Gossip addresses of some peers, for a start "
            "while the store is down.",
        ),
    ] = ()
    secrets: SecretsSettings
    limits: LimitsSettings = LimitsSettings()
