"""sailhitch: an HTTP/1.1 gateway that balances load over hosts, which it ranks by C3."""

from .policy import Gateway
from .policy_interface import (
    AttemptOutcome,
    Endpoint,
    EndpointState,
    LoadReport,
    Port,
    WatchEventKind,
)
from .settings import Idempotency, Settings, SettingsError, parse_settings

__version__ = "0.2.0"

__all__ = [
    "AttemptOutcome",
    "Endpoint",
    "EndpointState",
    "Gateway",
    "Idempotency",
    "LoadReport",
    "Port",
    "Settings",
    "SettingsError",
    "WatchEventKind",
    "parse_settings",
]
