"""The exit codes of commands, and the error that ends one with a message."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import Final

DONE: Final = 0  # done, or nothing to do
ERROR: Final = 1
CHANGES: Final = 2  # `plan` found changes, or a tier's change is pending
REFUSED: Final = 3  # the live state has changed since the plan was made

CommandHandler = Callable[[argparse.Namespace], int]
"""Executes a command; returns its exit code."""


class CommandError(Exception):
    """The command can't be executed; the text says why and what to do."""
