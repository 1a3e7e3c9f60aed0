"""What a process keeps for another one that reads nothing, and what that one learns at last."""

from __future__ import annotations

import asyncio
import socket

from hypothesis import given
from hypothesis import strategies as st

from sailhitch.core.recent_requests import MAX_IDS
from sailhitch.handover.link import Link
from sailhitch.handover.request_ids import RequestIdSharing, read_request_ids
from sailhitch.handover.unsent_ids import IdChange, RequestIds, UnsentIds
from tests.sockets import running_gateway, until

REQUESTS = 30_000
NAMES = st.sampled_from([b"a", b"b", b"c"])
EVENTS = st.lists(st.tuples(NAMES, st.sampled_from(IdChange), st.booleans()), max_size=40)


class OtherProcess:
    """The ids that another process takes for open, and those that may have run."""

    def __init__(self) -> None:
        self.opened: set[bytes] = set()
        self.may_have_run: set[bytes] = set()

    def apply(self, ids: RequestIds) -> None:
        self.opened |= set(ids.opened)
        self.opened -= {*ids.closed, *ids.may_have_run}
        self.may_have_run |= set(ids.may_have_run)


@given(EVENTS)
def test_another_process_knows_the_same_however_late_it_reads(
    events: list[tuple[bytes, IdChange, bool]],
) -> None:
    at_once, late = OtherProcess(), OtherProcess()
    unsent = UnsentIds()
    for name, change, is_read in events:
        part = RequestIds(
            [name] if change is IdChange.OPENED else [],
            [name] if change is IdChange.CLOSED else [],
            [name] if change is IdChange.MAY_HAVE_RUN else [],
        )
        at_once.apply(part)
        unsent.add(name, change)
        for ids in unsent.take() if is_read else ():
            late.apply(ids)
    for ids in unsent.take():
        late.apply(ids)
    assert late.opened == at_once.opened
    # An id that came again is told by what became of it last.
    last = {name: change for name, change, _ in events}
    assert {n for n, c in last.items() if c is IdChange.MAY_HAVE_RUN} <= late.may_have_run


def test_ids_that_may_have_run_are_limited() -> None:
    unsent = UnsentIds()
    for number in range(5 * MAX_IDS):
        unsent.add(b"%d" % number, IdChange.MAY_HAVE_RUN)
    assert len(unsent) <= 2 * MAX_IDS
    told = [name for ids in unsent.take() for name in ids.may_have_run]
    assert told[-1] == b"%d" % (5 * MAX_IDS - 1)


# Guards against: frames for the other process of an upgrade that pile up while it is stalled, some
# 400 bytes for each unsafe request (report 63c1a8).
def test_changes_for_a_stalled_process_do_not_pile_up() -> None:
    async def run() -> None:
        async with running_gateway() as gateway:
            here, there = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            sharing = RequestIdSharing(gateway.core)
            link = Link(here, lambda *_: None, lambda: None)
            sharing.add_link(link)
            for number in range(REQUESTS):
                sharing.on_opened(b"request-%d" % number)
                sharing.on_closed(b"request-%d" % number, may_have_run=False)
                sharing.on_opened(b"open-%d" % (number % 10))
            sharing.on_closed(b"open-9", may_have_run=True)
            held = sum(len(frame) for frame, _ in link._unsent)
            assert held < 64 * 1024
            other = OtherProcess()
            there_link = Link(
                there, lambda _, data, __: other.apply(read_request_ids(data)), lambda: None
            )
            await until(lambda: other.may_have_run == {b"open-9"})
            assert other.opened == {b"open-%d" % number for number in range(9)}
            there_link.close()
            link.close()

    asyncio.run(run())
