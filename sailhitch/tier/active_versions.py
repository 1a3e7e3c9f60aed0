"""The versions that this member knows to be active, or to have been active, since it started.

The register holds the active version only, and the traffic policy in force. A proposer may learn
that its version was chosen after another one has followed it, and then needs to tell that from a
version that was withdrawn.
"""

from __future__ import annotations

from typing import Final

from .messages import Version

MAX_RECORDED: Final = 256  # versions


class ActiveVersions:
    """A bounded record of active versions; each one's base was active right before it."""

    def __init__(self) -> None:
        self._versions: dict[int, Version] = {}  # by serial, in ascending order
        self._latest_serial = 0

    def record(self, version: Version) -> None:
        """Record the active version of a chosen state."""
        if version.serial in self._versions:
            return
        self._versions[version.serial] = version
        if version.serial < self._latest_serial:
            self._versions = dict(sorted(self._versions.items()))
        self._latest_serial = max(self._latest_serial, version.serial)
        if len(self._versions) > MAX_RECORDED:
            del self._versions[next(iter(self._versions))]

    def find(self, change_id: str) -> Version | None:
        """Return the recorded version that a proposal has become."""
        return next((v for v in self._versions.values() if v.change_id == change_id), None)

    def has_successor(self, serial: int) -> bool:
        """Return whether the version that became active right after this one is recorded."""
        return any(version.base == serial for version in self._versions.values())

    def was_active(self, serial: int) -> bool | None:
        """Return whether a serial is or was active; None if that is not known.

        A serial that is lower than the latest one and is not among its ancestors was withdrawn.
        """
        if serial > self._latest_serial:
            return None
        ancestor = self._latest_serial
        while ancestor > serial:
            version = self._versions.get(ancestor)
            if version is None:
                return None
            ancestor = version.base
        return ancestor == serial
