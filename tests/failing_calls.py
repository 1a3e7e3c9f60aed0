"""System calls that fail for a while, with errors from the Linux manual pages, then succeed."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from typing import Any


def os_error(error_number: int) -> OSError:
    """Return the error that Python raises for an errno."""
    return OSError(error_number, os.strerror(error_number))


class FailingCall:
    """Replaces a callable: each call uses up an entry of the script, later ones succeed.

    An entry is the errno that the call fails with, or 0 to pass it on to the original callable.
    """

    def __init__(self, original: Callable[..., Any], script: Iterable[int]) -> None:
        self.original, self.script = original, list(script)
        self.calls = self.failures = 0

    def __call__(self, *args: Any, **more: Any) -> Any:
        self.calls += 1
        error_number = self.script.pop(0) if self.script else 0
        if error_number:
            self.failures += 1
            raise os_error(error_number)
        return self.original(*args, **more)


class ModuleProxy:
    """Wraps a module and replaces one of its names."""

    def __init__(self, module: Any, name: str, value: Any) -> None:
        self._module, self._name, self._value = module, name, value

    def __getattr__(self, name: str) -> Any:
        return self._value if name == self._name else getattr(self._module, name)
