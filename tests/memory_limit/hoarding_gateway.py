"""A gateway with a fault: it holds many times what clients send, and no count knows.

`python -m tests.memory_limit.hoarding_gateway` runs the program, as `python -m sailhitch` does. For
each read from a client it holds HOARD times its bytes, until the message is complete or the
connection is lost. It stands for whatever holds memory next without being counted.
"""

from __future__ import annotations

import sys

from sailhitch.__main__ import main
from sailhitch.net.client_connection import IDLE
from sailhitch.net.downstream import Downstream

HOARD = 5

_parse = Downstream.parse
_connection_lost = Downstream.connection_lost
_held: dict[Downstream, list[bytes]] = {}


def _hoarding_parse(self: Downstream, data: bytes) -> bool:
    is_parsed = _parse(self, data)
    if self.phase == IDLE:
        _held.pop(self, None)
    else:
        _held.setdefault(self, []).append(data * HOARD)
    return is_parsed


def _forgetting_connection_lost(self: Downstream, exc: Exception | None) -> None:
    _held.pop(self, None)
    _connection_lost(self, exc)


if __name__ == "__main__":
    setattr(Downstream, "parse", _hoarding_parse)  # noqa: B010 (a method is replaced)
    setattr(Downstream, "connection_lost", _forgetting_connection_lost)  # noqa: B010
    sys.exit(main(sys.argv[1:]))
