"""System calls that fail for a while, as the manual pages of Linux document, and then succeed."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from typing import Any


def os_error(number: int) -> OSError:
    """Return the error that Python raises for an errno."""
    return OSError(number, os.strerror(number))


class FailingCall:
    """Stands in for a call: fails by a script, entry by entry, and then always goes on to it.

    An entry of the script is an errno, or 0 for a call that succeeds.
    """

    def __init__(self, original: Callable[..., Any], script: Iterable[int]) -> None:
        self.original, self.script = original, list(script)
        self.calls = self.failures = 0

    def __call__(self, *args: Any, **more: Any) -> Any:
        self.calls += 1
        number = self.script.pop(0) if self.script else 0
        if number:
            self.failures += 1
            raise os_error(number)
        return self.original(*args, **more)


class ModuleWith:
    """A module as its importer sees it, with one of its names replaced."""

    def __init__(self, module: Any, name: str, value: Any) -> None:
        self._module, self._name, self._value = module, name, value

    def __getattr__(self, name: str) -> Any:
        return self._value if name == self._name else getattr(self._module, name)
