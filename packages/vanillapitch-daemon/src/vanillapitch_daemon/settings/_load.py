"""Loading and validation of settings."""

import pathlib
import re
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from vanillapitch_daemon.settings._address import Address
from vanillapitch_daemon.settings._models import Settings
from vanillapitch_daemon.settings.exceptions import SettingsError

__all__ = ["load_settings", "parse_settings"]

_FIELD_ERRORS = (
    (re.compile(r"Object contains unknown field `(.*)`", re.DOTALL), "unknown field"),
    (
        re.compile(r"Object missing required field `(.*)`", re.DOTALL),
        "required field is missing",
    ),
)
# A settings file has a few kilobytes, so a larger file is not a settings file.
_FILE_BYTES_MAX = 1_048_576

Problem = tuple[str, str]


def load_settings(path: str | pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        The JSON file.

    Returns
    -------
    Settings
        The validated settings.

    Raises
    ------
    SettingsError
        If the file cannot be read or a field is invalid.
    """
    try:
        with open(path, "rb") as file:
            document = file.read(_FILE_BYTES_MAX + 1)
    except OSError as error:
        reason = f"cannot read {str(path)!r}: {error.strerror}"
        raise SettingsError(path="$", reason=reason) from error
    if len(document) > _FILE_BYTES_MAX:
        raise SettingsError(path="$", reason=f"{str(path)!r} is larger than 1 MiB")
    return parse_settings(document)


def parse_settings(document: bytes) -> Settings:
    """Decode and validate settings.

    Parameters
    ----------
    document : bytes
        JSON text.

    Returns
    -------
    Settings
        The validated settings.

    Raises
    ------
    SettingsError
        If the text is not JSON, a field is invalid or fields contradict each other.
    """
    try:
        settings = msgspec.json.decode(document, type=Settings, dec_hook=_decode)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _as_settings_error(error) from None
    for check in _CHECKS:
        for path, reason in check(settings):
            raise SettingsError(path=path, reason=reason)
    return settings


def _decode(expected: type, value: Any) -> Any:
    if expected is not Address:
        raise NotImplementedError(f"no decoder for {expected.__name__}")
    if not isinstance(value, str):
        raise ValueError("expected IP:port as text")
    return Address(value)


def _as_settings_error(error: Exception) -> SettingsError:
    reason, _, path = str(error).partition(" - at `")
    path = path.rstrip("`") or "$"
    for pattern, text in _FIELD_ERRORS:
        matched = pattern.fullmatch(reason)
        if matched:
            # The name of an unknown field comes from the file and can contain any
            # character, such as a line break.
            field = matched[1].encode("unicode_escape").decode("ascii")
            return SettingsError(path=f"{path}.{field}", reason=text)
    return SettingsError(path=path, reason=reason)


def _check_listeners(settings: Settings) -> Iterator[Problem]:
    # Gossip uses UDP, so it may have the same port number as a TCP listener.
    listen = settings.listen
    addresses_by_path = {
        "$.listen.callers": listen.callers,
        "$.listen.peers": listen.peers,
        "$.listen.admin": listen.admin,
        "$.backend.address": settings.backend.address,
    }
    paths = list(addresses_by_path)
    for index, path in enumerate(paths):
        for earlier in paths[:index]:
            if addresses_by_path[path].overlaps(addresses_by_path[earlier]):
                yield path, f"overlaps {earlier} ({addresses_by_path[earlier]})"


def _check_reachable(settings: Settings) -> Iterator[Problem]:
    addresses_by_path = {
        "$.listen.peers": settings.listen.peers,
        "$.listen.gossip": settings.listen.gossip,
        "$.backend.address": settings.backend.address,
    }
    for path, address in addresses_by_path.items():
        if address.is_unspecified:
            yield path, f"{address.host} cannot be reached; give the VM's own IP"


def _check_backend(settings: Settings) -> Iterator[Problem]:
    backend = settings.backend
    if backend.connections < backend.slots:
        yield (
            "$.backend.connections",
            f"{backend.connections} is below slots ({backend.slots})",
        )


def _check_limits(settings: Settings) -> Iterator[Problem]:
    limits = settings.limits
    if limits.max_total_body_bytes < limits.max_body_bytes:
        yield (
            "$.limits.max_total_body_bytes",
            f"{limits.max_total_body_bytes} is below max_body_bytes "
            f"({limits.max_body_bytes})",
        )
    # The ends of claims are written to the store at the end of a drain.
    if limits.drain_timeout_ms <= settings.platform.timeout_ms:
        yield (
            "$.limits.drain_timeout_ms",
            f"{limits.drain_timeout_ms} must exceed platform.timeout_ms "
            f"({settings.platform.timeout_ms})",
        )


def _check_secrets(settings: Settings) -> Iterator[Problem]:
    # Operators have the token; with the cluster key they could act as a daemon.
    if settings.secrets.admin_token == settings.secrets.cluster_key:
        yield "$.secrets.admin_token", "must differ from cluster_key"


_CHECKS: tuple[Callable[[Settings], Iterator[Problem]], ...] = (
    _check_listeners,
    _check_reachable,
    _check_backend,
    _check_limits,
    _check_secrets,
)
