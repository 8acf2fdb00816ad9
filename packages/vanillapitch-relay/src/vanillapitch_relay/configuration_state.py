"""The configuration in force and the zones out of service, which never regress."""

import zlib
from collections.abc import Callable

from vanillapitch_core.clock import Clock
from vanillapitch_wire.relay import Snapshot

from vanillapitch_relay.exceptions import ConfigurationInvalid
from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.model import ClientLimits, Configuration, Dialect
from vanillapitch_relay.routing import RouteTable
from vanillapitch_relay.store_timeline import timeline_of

__all__ = ["ConfigurationState"]

_log = EventLog(part="configuration")

_SOURCE_STORE = "store"
_SOURCE_HOLD = "hold"
# Shrinks a document of 1,400 routes to a tenth within milliseconds, which matters on
# links of 11 Mbit/s.
_COMPRESSION_LEVEL = 1
# Limit after decompression. The store limits values to 1 MB.
_MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024
# A restored store may lack zones that operators took out of service, until they do so
# again. They stay out for this time.
ZONES_HOLD_MS = 5_000.0
# In force until the first configuration is received.
_INITIAL_LIMITS = ClientLimits(
    max_header_bytes=16 * 1024,
    max_body_bytes=64 * 1024 * 1024,
    header_timeout_ms=3_000.0,
    idle_timeout_ms=15_000.0,
)


class ConfigurationState:
    """Configuration and zones out of service, as of a revision of the store.

    Parameters
    ----------
    dialect : Dialect
        Decoder of configurations.
    clock : Clock
        Source of time.
    on_change : callable
        Called after each change, with whether this daemon read it from the store.
    """

    def __init__(
        self, *, dialect: Dialect, clock: Clock, on_change: Callable[[bool], None]
    ):
        self.routes: RouteTable | None = None
        self.zones_out: frozenset[str] = frozenset()
        self.read_revision = 0
        self.changed_revision = 0
        self._dialect = dialect
        self._clock = clock
        self._on_change = on_change
        self._stored_zones_out: frozenset[str] = frozenset()
        self._held_zones_out: frozenset[str] = frozenset()
        self._held_until_ms = 0.0
        self._raw = b""
        self._compressed = b""

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, or None before the first one."""
        return None if self.routes is None else self.routes.configuration

    @property
    def limits(self) -> ClientLimits:
        """Limits of callers' requests and connections."""
        if self.routes is None:
            return _INITIAL_LIMITS
        return self.routes.configuration.limits

    @property
    def version(self) -> str:
        """Version of the configuration in force, or empty before the first one."""
        return "" if self.routes is None else self.routes.configuration.version

    def apply_snapshot(self, snapshot: Snapshot, *, source: str) -> None:
        """Apply a snapshot from another daemon if it is newer than this state.

        Parameters
        ----------
        snapshot : Snapshot
            Configuration and zones as of its `read_revision`.
        source : str
            The daemon that sent it.
        """
        try:
            configuration = _decompress(snapshot.configuration)
        except zlib.error as error:
            _log.warning("snapshot_unreadable", reason=str(error), source=source)
            return
        self._apply(
            configuration=configuration,
            zones_out=frozenset(snapshot.zones_out),
            read_revision=snapshot.read_revision,
            changed_revision=snapshot.changed_revision,
            source=source,
        )

    def apply_store_read(
        self,
        *,
        configuration: bytes,
        zones_out: frozenset[str],
        read_revision: int,
        changed_revision: int,
    ) -> None:
        """Apply the result of a store read if it is newer than this state.

        Parameters
        ----------
        configuration : bytes
            The document, or empty when none has been written yet.
        zones_out : frozenset of str
            Availability zones out of service.
        read_revision, changed_revision : int
            Revision of the store at the read, and of the last change.
        """
        self._apply(
            configuration=configuration,
            zones_out=zones_out,
            read_revision=read_revision,
            changed_revision=changed_revision,
            source=_SOURCE_STORE,
        )

    def _apply(
        self,
        *,
        configuration: bytes,
        zones_out: frozenset[str],
        read_revision: int,
        changed_revision: int,
        source: str,
    ) -> None:
        if read_revision <= self.read_revision:
            if read_revision < self.read_revision and source == _SOURCE_STORE:
                _log.warning(
                    "store_read_outdated",
                    revision=read_revision,
                    known_revision=self.read_revision,
                    version=self.version,
                )
            return
        known_timeline = timeline_of(self.read_revision)
        is_restored = (
            self.read_revision > 0 and timeline_of(read_revision) > known_timeline
        )
        if is_restored:
            self._held_zones_out = self.zones_out
            self._held_until_ms = self._clock.now_ms() + ZONES_HOLD_MS
        self.read_revision = read_revision
        is_unchanged = configuration in (self._raw, b"")
        is_adopted = not is_unchanged and self._adopt(configuration, source=source)
        self._stored_zones_out = zones_out
        has_new_zones = self._update_zones(source=source)
        # After a restore the revision is announced also if nothing else changed, so
        # that each daemon restores what it had written.
        if not (is_adopted or has_new_zones or is_restored):
            return
        self.changed_revision = max(self.changed_revision, changed_revision)
        _log.info(
            "configuration_in_force",
            version=self.version,
            revision=changed_revision,
            source=source,
        )
        self._on_change(source == _SOURCE_STORE)

    def end_hold(self) -> None:
        """Return the zones to service that were held out after a restore, when due."""
        if self._held_zones_out and self._clock.now_ms() >= self._held_until_ms:
            self._held_zones_out = frozenset()
            if self._update_zones(source=_SOURCE_HOLD):
                self._on_change(False)

    def _update_zones(self, *, source: str) -> bool:
        """Derive the zones out of service; return whether they changed."""
        zones_out = self._stored_zones_out | self._held_zones_out
        if zones_out == self.zones_out:
            return False
        _log.info("zones_out", zones=sorted(zones_out), source=source)
        self.zones_out = zones_out
        return True

    def snapshot(self) -> Snapshot:
        """Return the state as a snapshot for another daemon."""
        return Snapshot(
            read_revision=self.read_revision,
            changed_revision=self.changed_revision,
            configuration=self._compressed,
            zones_out=sorted(self._stored_zones_out),
        )

    def _adopt(self, raw: bytes, *, source: str) -> bool:
        """Put a configuration in force; return whether it is valid and not older."""
        try:
            configuration = self._dialect.decode_configuration(raw)
        except ConfigurationInvalid as error:
            _log.warning("configuration_refused", reason=str(error), source=source)
            return False
        in_force = self.configuration
        if in_force is not None and configuration.sequence < in_force.sequence:
            _log.warning(
                "configuration_outdated",
                version=configuration.version,
                in_force=in_force.version,
                source=source,
            )
            return False
        self._raw = raw
        self._compressed = zlib.compress(raw, _COMPRESSION_LEVEL)
        self.routes = RouteTable(configuration=configuration)
        return True


def _decompress(data: bytes) -> bytes:
    if not data:
        return b""
    stream = zlib.decompressobj()
    raw = stream.decompress(data, _MAX_CONFIGURATION_BYTES)
    if not stream.eof:
        raise zlib.error("data truncated or too large")
    return raw
