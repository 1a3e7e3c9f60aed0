"""Which rules a play has broken, by what clients, nodes and processes have noted.

The rules and their figures are the protocol page's and the standing test's.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path

from tests.soak.records import Arrival, Drain, End, Kind, Life, Records, Sent

GRACE = 1.0  # s; `drainGrace` of the settings
TOLD_AFTER_RELOAD = 4.0  # s; news counts as told so long after SIGHUP
LATEST = 0.5  # s past its time up to which an answer is late and not lost
LEFT_SLACK = 0.1  # s; an attempt that begins later than this after the close is a break
WAIT_SLACK = 0.15  # s that an attempt may tell its host too much
ON_SOCKETS = 0.05  # s by which each time limit is longer on sockets
MACHINE = 0.1  # s by which the soak's own notes may be late
READY_WITHIN, END_WITHIN = 10.0, 5.0  # s
RECOVERED = 0.95  # share of requests that are served once nothing goes wrong
CROSSED_MOST = 0.05  # share of requests that may cross the end of a resting connection
BAD_FIGURES = re.compile(r"(panics|faults|overdue|violations)=([1-9]\d*)")


class Oracle:
    """Judges one play."""

    def __init__(self, records: Records) -> None:
        self.records = records
        self.arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in records.arrivals:
            self.arrivals[arrival.name].append(arrival)

    def broken(self, logs: Iterable[Path]) -> list[str]:
        """A line for each broken rule."""
        found = []
        for sent in self.records.sent.values():
            found += [f"{sent.name} at {sent.gateway}: {why}" for why in self._request(sent)]
        found += self._drains()
        found += self._processes()
        found += self._shares()
        for log in logs:
            said = Counter(match[0] for match in BAD_FIGURES.findall(log.read_text()))
            found += [f"{log.stem}: its figures count {name}" for name in said]
        return found

    # --- Requests

    def _life(self, sent: Sent) -> Life:
        return self.records.lives[sent.gateway][sent.life - 1]

    def _request(self, sent: Sent) -> Iterator[str]:
        if sent.end is End.UNCONNECTED:
            return
        yield from self._answer(sent)
        effects = self.records.effects.get(sent.name, 0)
        if sent.kind is not Kind.PAGE and effects > 1:
            yield f"its effect happened {effects} times"
        if sent.kind is Kind.PAYOUT and sent.end is End.REFUSED and effects:
            yield "refused as harmless, and it has run"
        for arrival in self.arrivals[sent.name]:
            yield from self._attempt(sent, arrival)

    def _answer(self, sent: Sent) -> Iterator[str]:
        life = self._life(sent)
        if sent.wrong:
            yield "served with what no host made for it"
        if life.killed and sent.ended >= life.killed and sent.end in (End.CLOSED, End.SILENT):
            return  # its process was killed under it, or on the way to it
        if sent.end is End.SILENT:
            yield f"lost: no answer {sent.ended - sent.at:.2f} s after it was sent"
        elif sent.end is End.CLOSED and (sent.fresh or self.arrivals[sent.name]):
            which = "a new" if sent.fresh else "a kept"
            yield f"lost: {which} connection closed with no answer, {self._when(sent)}"
        elif sent.end in (End.SERVED, End.REFUSED, End.FAILED):
            late = sent.ended - sent.at - sent.wait - _held_up(self.records.stalls, sent.ended)
            if late > LATEST + MACHINE:
                yield f"lost: answered {late:.2f} s late"

    def _when(self, sent: Sent) -> str:
        """When a request was sent and ended, by its process's start, end and kill."""
        life = self._life(sent)
        said = [f"sent {sent.at - life.started:.3f}", f"closed {sent.ended - life.started:.3f}"]
        marks = {"told to end": life.stopped, "killed": life.killed, "ended": life.ended}
        said += [f"{mark} {at - life.started:.3f}" for mark, at in marks.items() if at]
        return ", ".join(said) + " s after its process's start"

    def _arrived(self, sent: Sent) -> str:
        """When a request came to nodes, for how long it may have been held back, and stalls."""
        started = self._life(sent).started
        came = ", ".join(
            f"{one.node} {one.at - started:.3f} (held {one.held:.1f})"
            for one in self.arrivals[sent.name]
        )
        held_up = [*self._life(sent).pauses, *self.records.stalls]
        near = [one for one in held_up if abs(one[0] - sent.at) < 1.0]
        spans = ", ".join(f"{begin - started:.3f} to {end - started:.3f}" for begin, end in near)
        which = "a new" if sent.fresh else "a kept"
        return f"on {which} connection, arrived at {came}, held up {spans or 'never'}"

    def _attempt(self, sent: Sent, arrival: Arrival) -> Iterator[str]:
        slack = self._slack(sent, arrival)
        if sent.end in (End.LEFT, End.SILENT):
            late = arrival.at - sent.ended
            if late > LEFT_SLACK + slack:
                yield (
                    f"lost: reached {arrival.node} {late:.3f} s after its client had left; "
                    f"{self._when(sent)}; {self._arrived(sent)}"
                )
        left = sent.at + sent.wait - arrival.at
        if arrival.wait > max(0.0, left) + WAIT_SLACK + slack:
            yield f"{arrival.node} was told {arrival.wait:.3f} s where {left:.3f} s were left"

    def _slack(self, sent: Sent, arrival: Arrival) -> float:
        """By how much (s) an arrival may have been noted, or made, late by no fault of the program.

        Nodes and proxies live in the soak's own process, which may be held up too.
        """
        paused = _held_up(self._life(sent).pauses, arrival.at)
        return MACHINE + arrival.held + paused + _held_up(self.records.stalls, arrival.at)

    # --- Drains

    def _drains(self) -> Iterator[str]:
        for drain in self.records.drains:
            for arrival in self.records.arrivals:
                sent = self.records.sent.get(arrival.name)
                if sent is None or arrival.node != drain.node:
                    continue
                late = arrival.at - self._told(sent, drain, arrival.at)
                slack = self._slack(sent, arrival)
                if arrival.at < drain.over and late > GRACE + ON_SOCKETS + slack:
                    yield (
                        f"{sent.name} at {sent.gateway}: drain: reached {drain.node} {late:.2f} s "
                        "after its gateway was told"
                    )

    def _told(self, sent: Sent, drain: Drain, at: float) -> float:
        """When the gateway had been told of a drain, as far as this arrival is concerned."""
        life = self._life(sent)
        told = max(drain.begun, life.started)
        for begun, over in self.records.outages:
            if begun - GRACE <= told < over:
                told = over
        for reload in life.reloads:
            if drain.begun - GRACE <= reload <= at:
                told = max(told, reload + TOLD_AFTER_RELOAD)
        return told

    # --- Processes and shares

    def _processes(self) -> Iterator[str]:
        for name, lives in self.records.lives.items():
            for number, life in enumerate(lives, 1):
                which = f"{name}, process {number}"
                if not life.ready or life.ready - life.started > READY_WITHIN:
                    yield f"{which}: not ready within {READY_WITHIN:g} s"
                if life.stopped and not life.killed:
                    if life.code != 0:
                        yield f"{which}: ended with {life.code}"
                    if life.ended - life.stopped > END_WITHIN:
                        yield f"{which}: took {life.ended - life.stopped:.1f} s to end"

    def _shares(self) -> Iterator[str]:
        sent = [one for one in self.records.sent.values() if one.end is not End.LEFT]
        crossed = sum(one.end is End.CLOSED and not one.fresh for one in sent)
        if crossed > CROSSED_MOST * len(sent):
            yield f"{crossed} of {len(sent)} requests crossed the end of a resting connection"
        last = [one for one in sent if one.at > self.records.quiet]
        served = sum(one.end is End.SERVED for one in last)
        if not last or served < RECOVERED * len(last):
            yield f"after all troubles {served} of {len(last)} were served"


def _held_up(pauses: list[tuple[float, float]], at: float) -> float:
    """For how long (s) somebody stood still right before this."""
    near = [end - begin for begin, end in pauses if begin <= at <= end + 2 * MACHINE]
    return max(near, default=0.0)


def ends(records: Records) -> Counter[str]:
    """How many requests ended how."""
    return Counter(sent.end.value for sent in records.sent.values())
