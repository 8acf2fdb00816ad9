"""The configuration in force and the zones out of service; neither ever goes back."""

from collections.abc import Callable

from vanillapitch_wire.relay import Snapshot

from vanillapitch_relay.exceptions import ConfigurationInvalid
from vanillapitch_relay.line_log import EventLog
from vanillapitch_relay.model import ClientLimits, Configuration, Dialect
from vanillapitch_relay.routing import RouteTable

__all__ = ["ConfigurationState"]

_log = EventLog(part="configuration")

# In force until the first configuration is known.
_INITIAL_LIMITS = ClientLimits(
    max_header_bytes=16 * 1024,
    max_body_bytes=64 * 1024 * 1024,
    header_timeout_ms=3_000.0,
    idle_timeout_ms=15_000.0,
)


class ConfigurationState:
    """What operators have written, as of a revision of the store.

    Parameters
    ----------
    dialect : Dialect
        Decoder of configurations.
    on_change : callable
        Called after each change.
    """

    def __init__(self, *, dialect: Dialect, on_change: Callable[[], None]):
        self.routes: RouteTable | None = None
        self.zones_out: frozenset[str] = frozenset()
        self.read_revision = 0
        self.changed_revision = 0
        self._dialect = dialect
        self._on_change = on_change
        self._raw = b""

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, or None before the first."""
        return None if self.routes is None else self.routes.configuration

    @property
    def limits(self) -> ClientLimits:
        """What callers may send."""
        if self.routes is None:
            return _INITIAL_LIMITS
        return self.routes.configuration.limits

    @property
    def version(self) -> str:
        """Version in force, or empty."""
        return "" if self.routes is None else self.routes.configuration.version

    def take_snapshot(self, snapshot: Snapshot, *, source: str) -> None:
        """Adopt what the store or another daemon read, if it is newer.

        Parameters
        ----------
        snapshot : Snapshot
            Configuration and zones as of its `read_revision`.
        source : str
            ``store``, or the daemon that sent it.
        """
        if snapshot.read_revision <= self.read_revision:
            return
        self.read_revision = snapshot.read_revision
        zones_out = frozenset(snapshot.zones_out)
        same = snapshot.configuration in (self._raw, b"")
        if same and zones_out == self.zones_out:
            return
        if not same:
            self._adopt(snapshot.configuration, source=source)
        if zones_out != self.zones_out:
            _log.info("zones_out", zones=sorted(zones_out), source=source)
            self.zones_out = zones_out
        self.changed_revision = max(self.changed_revision, snapshot.changed_revision)
        _log.info(
            "configuration_in_force",
            version=self.version,
            revision=snapshot.changed_revision,
            source=source,
        )
        self._on_change()

    def snapshot(self) -> Snapshot:
        """Return the state for another daemon."""
        return Snapshot(
            read_revision=self.read_revision,
            changed_revision=self.changed_revision,
            configuration=self._raw,
            zones_out=sorted(self.zones_out),
        )

    def _adopt(self, raw: bytes, *, source: str) -> None:
        try:
            configuration = self._dialect.decode_configuration(raw)
        except ConfigurationInvalid as error:
            _log.warning("configuration_refused", reason=str(error), source=source)
            return
        self._raw = raw
        self.routes = RouteTable(configuration=configuration)
