"""Returns free memory to the system once a crowd has left.

The C library keeps what was freed between blocks that are still in use. After a crowd that is
several megabytes, which the process would hold for good.
"""

from __future__ import annotations

import ctypes
import gc
from collections.abc import Callable


def _find_malloc_trim() -> Callable[[int], int] | None:
    """Return the C library's malloc_trim(3); None where it has none."""
    try:
        function = ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):
        return None
    function.argtypes = [ctypes.c_size_t]
    function.restype = ctypes.c_int
    return function


_malloc_trim = _find_malloc_trim()


def return_free_memory() -> bool:
    """Return free pages to the system; return whether the C library can.

    Closed connections form reference cycles, which are collected first; that is quick only in a
    process whose other objects are frozen (`freeze_startup_objects`).
    """
    if gc.get_freeze_count():
        gc.collect()
    if _malloc_trim is None:
        return False
    _malloc_trim(0)
    return True
