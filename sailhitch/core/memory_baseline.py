"""How much of the process's memory nothing accounts for.

Every count of held bytes may be wrong, and the next part of the program may hold some that none
knows. The resident size can't be wrong. What it exceeds a baseline by, less what is counted, is
held by the connections of a crowd, or by the program for itself.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from .budget import MB

CONNECTION_BYTES: Final = 12 * 1024  # that a connection costs which holds nothing else
# By which the baseline follows a process that grows: while few connections could hold anything, and
# while many could. No connection holds anything for longer than some seconds.
RISE_PER_SECOND: Final = MB
BUSY_RISE_PER_SECOND: Final = MB // 16


class MemoryBaseline:
    """The memory that the process needs with no connection and no bytes of messages.

    It follows the resident size while the process is calm, down at once and up slowly, and takes in
    at once by what the process grows on its own account.
    """

    def __init__(self, read_resident: Callable[[], int]) -> None:
        self._read_resident = read_resident
        self._updated_at = 0
        self.size = 0  # bytes; 0 while unknown

    def update(self, now: int, explained: int, is_calm: bool) -> None:
        """Follow the process, which holds `explained` bytes besides what its connections do."""
        elapsed = now - self._updated_at
        self._updated_at = now
        if not self.size:
            self.size = explained
            return
        rate = RISE_PER_SECOND if is_calm else BUSY_RISE_PER_SECOND
        highest = self.size + max(0, rate * elapsed // 1_000_000)
        if is_calm or explained > highest:
            self.size = min(explained, highest)

    @contextmanager
    def own_growth(self) -> Iterator[None]:
        """Take in what the process grows by in this block.

        If the block awaits, that has what connections make it grow by meanwhile.
        """
        before = self._read_resident()
        try:
            yield
        finally:
            self.size += max(0, self._read_resident() - before)
