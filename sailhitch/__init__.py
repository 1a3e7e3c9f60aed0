"""sailhitch: the decisions of a reverse proxy over HTTP servers, which it ranks by C3."""

from .interface import Listed, Port, Report
from .policy import Gateway
from .settings import Settings, SettingsError, parse_settings

__version__ = "0.2.0"

__all__ = ["Gateway", "Listed", "Port", "Report", "Settings", "SettingsError", "parse_settings"]
