"""The timer wheel, on a loop with a virtual clock."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from typing import Any, cast

from sailhitch.core.timer_wheel import TimerWheel


class Handle:
    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Loop:
    """Calls what is due when its time is moved on; counts how often it had to wake."""

    def __init__(self) -> None:
        self.now = self.wakes = 0
        self.due: list[tuple[int, int, Handle, Callable[[], None]]] = []

    def call_later(self, delay: float, call: Callable[[], None]) -> Handle:
        handle = Handle()
        heapq.heappush(self.due, (self.now + round(delay * 1e6), len(self.due), handle, call))
        return handle

    def run_until(self, time: int) -> None:
        while self.due and self.due[0][0] <= time:
            at, _, handle, call = heapq.heappop(self.due)
            self.now = max(self.now, at)
            if not handle.cancelled:
                self.wakes += 1
                call()
        self.now = time


def _wheel(loop: Loop, over: set[int], fired: list[int]) -> TimerWheel[int]:
    def fire(what: int, at: int, now: int) -> None:
        if what not in over:
            fired.append(what)

    def unwanted(*args: Any) -> None:
        raise AssertionError(args)

    on = cast(asyncio.AbstractEventLoop, loop)
    return TimerWheel(on, lambda: loop.now, fire, unwanted, unwanted, lambda what, at: what in over)


def test_the_loop_is_not_woken_for_what_ended_long_before() -> None:
    loop, over, fired = Loop(), set[int](), list[int]()
    wheel = _wheel(loop, over, fired)
    for i in range(1000):
        wheel.push(1_000_000 + i * 3_000, i)
    over.update(i for i in range(1000) if i % 100)
    loop.run_until(5_000_000)
    assert fired == list(range(0, 1000, 100))
    assert loop.wakes <= 11


def test_what_ends_while_the_loop_sleeps_towards_it_costs_one_wake_and_hides_nothing() -> None:
    loop, over, fired = Loop(), set[int](), list[int]()
    wheel = _wheel(loop, over, fired)
    wheel.push(100_000, 1)
    wheel.push(200_000, 2)
    wheel.push(300_000, 3)
    loop.run_until(50_000)
    over.update((1, 2))
    loop.run_until(400_000)
    assert fired == [3]
    assert loop.wakes == 2


def test_an_entry_pushed_before_the_armed_one_fires_in_time() -> None:
    loop, fired = Loop(), list[int]()
    wheel = _wheel(loop, set(), fired)
    wheel.push(500_000, 1)
    wheel.push(100_000, 2)
    loop.run_until(150_000)
    assert fired == [2]
    loop.run_until(600_000)
    assert fired == [2, 1]
