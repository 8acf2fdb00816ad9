"""Validated settings of the daemon."""

from vanillapitch_daemon.settings._address import Address
from vanillapitch_daemon.settings._load import load_settings, parse_settings
from vanillapitch_daemon.settings._models import (
    BackendSettings,
    InstanceSettings,
    LimitsSettings,
    ListenSettings,
    PlatformSettings,
    SecretsSettings,
    Settings,
)
from vanillapitch_daemon.settings._reference import settings_reference
from vanillapitch_daemon.settings.exceptions import SettingsError

__all__ = [
    "Address",
    "BackendSettings",
    "InstanceSettings",
    "LimitsSettings",
    "ListenSettings",
    "PlatformSettings",
    "SecretsSettings",
    "Settings",
    "SettingsError",
    "load_settings",
    "parse_settings",
    "settings_reference",
]
