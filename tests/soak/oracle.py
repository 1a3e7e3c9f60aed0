"""Checks the events recorded by clients, nodes and processes for violations of the rules.

The rules and their limits come from the protocol page and the standing test.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path

from tests.soak.records import (
    LONG_ANSWER,
    Arrival,
    Drain,
    End,
    Kind,
    LongAnswer,
    ProcessRecord,
    Records,
    Sent,
)

DRAIN_GRACE = 1.0  # s; `drainGrace` of the settings
NOTIFIED_AFTER_RELOAD = 4.0  # s after SIGHUP until which the gateway need not know of a change
MAX_LATENESS = 0.5  # s past its deadline; a later answer counts as lost
MAX_HELD_BACK = 2.0  # s for which what a host has given may be held back
DISCONNECT_SLACK = 0.1  # s after the client's close; an attempt that begins later is a violation
WAIT_SLACK = 0.15  # s by which the wait sent to a host may exceed the time left
SOCKET_DELAY = 0.05  # s added to each time limit, for the delay of real sockets
RECORDING_DELAY = 0.1  # s by which the soak's own timestamps may be late
READY_WITHIN, EXIT_WITHIN = 10.0, 5.0  # s
MIN_SERVED_SHARE = 0.95  # share of requests that must be served once all faults are over
MAX_RACED_SHARE = 0.05  # share of requests that may race with the close of an idle connection
FAILURE_COUNTERS = re.compile(r"(panics|faults|overdue|violations)=([1-9]\d*)")


class Oracle:
    """Checks the records of one run."""

    def __init__(self, records: Records) -> None:
        self.records = records
        self.arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in records.arrivals:
            self.arrivals[arrival.name].append(arrival)
        self.long_answers: dict[str, list[LongAnswer]] = defaultdict(list)
        for answer in records.long_answers:
            self.long_answers[answer.name].append(answer)

    def broken(self, logs: Iterable[Path]) -> list[str]:
        """One line for each violation of a rule."""
        found = []
        for sent in self.records.sent.values():
            found += [f"{sent.name} at {sent.gateway}: {why}" for why in self._check_request(sent)]
        found += self._check_drains()
        found += self._check_processes()
        found += self._check_shares()
        for log in logs:
            said = Counter(match[0] for match in FAILURE_COUNTERS.findall(log.read_text()))
            found += [f"{log.stem}: its log reports {name}" for name in said]
        return found

    # --- Requests

    def _process(self, sent: Sent) -> ProcessRecord:
        return self.records.processes[sent.gateway][sent.process - 1]

    def _check_request(self, sent: Sent) -> Iterator[str]:
        if sent.end is End.UNCONNECTED:
            return
        yield from self._check_answer(sent)
        effects = self.records.effects.get(sent.name, 0)
        if sent.kind is not Kind.PAGE and effects > 1:
            yield f"its effect happened {effects} times"
        if sent.kind is Kind.PAYOUT and sent.end is End.REFUSED and effects:
            yield "refused as not executed, but it was executed"
        for arrival in self.arrivals[sent.name]:
            yield from self._check_attempt(sent, arrival)

    def _check_answer(self, sent: Sent) -> Iterator[str]:
        process = self._process(sent)
        if sent.wrong:
            yield "served with a body that no host sent for it"
        if process.killed and sent.ended >= process.killed and sent.end in (End.CLOSED, End.SILENT):
            return  # its process was killed while handling it, or before it arrived
        if sent.end is End.SILENT:
            yield (
                f"lost: no answer {sent.ended - sent.at:.2f} s after it was sent; "
                f"{self._describe_times(sent)}; {self._describe_arrivals(sent)}"
            )
        elif sent.end is End.CLOSED and (sent.fresh or self.arrivals[sent.name]):
            which = "a new" if sent.fresh else "a kept"
            yield f"lost: {which} connection closed with no answer, {self._describe_times(sent)}"
        elif sent.end in (End.SERVED, End.REFUSED, End.FAILED):
            timed = self._timed_at(sent)
            late = timed - sent.at - sent.wait - _stalled_for(self.records.stalls, timed)
            if late > MAX_LATENESS + RECORDING_DELAY:
                yield f"lost: answered {late:.2f} s late; {self._describe_times(sent)}"
        yield from self._check_long_answer(sent, process)

    def _timed_at(self, sent: Sent) -> float:
        """Return when an answer counts as come: a long one with its first bytes."""
        is_long = sent.end is End.SERVED and sent.name.endswith(LONG_ANSWER)
        return sent.answered if is_long else sent.ended

    def _check_long_answer(self, sent: Sent, process: ProcessRecord) -> Iterator[str]:
        """Check that nothing was held back or cut off of what a node was giving."""
        given = self.long_answers[sent.name]
        if len(given) != 1 or given[0].was_disturbed(sent.ended) or sent.end is End.LEFT:
            return  # more than one node was giving, or it was cut off itself
        answer = given[0]
        stalled = _stalled_for(self.records.stalls, answer.begun) + RECORDING_DELAY
        stalled += sum(end - begin for begin, end in process.pauses)
        held = sent.answered - answer.begun
        if sent.end is End.SERVED and held > MAX_HELD_BACK + stalled:
            yield f"lost: an answer was held back for {held:.2f} s"
        ended = process.killed or process.stopped
        in_time = answer.begun < min(sent.ended, sent.at + sent.wait - stalled)
        if in_time and sent.end in (End.CUT, End.FAILED) and not 0 < ended < sent.ended:
            yield f"lost: {sent.end.value} {sent.ended - answer.begun:.2f} s after its node began"

    def _describe_times(self, sent: Sent) -> str:
        """What a request was, when it was sent and closed, and its process's ends."""
        process = self._process(sent)
        framing = " in chunks" if sent.chunked else ""
        said = [
            f"{sent.kind.name.lower()} with {sent.body_size} bytes{framing}",
            f"sent {sent.at - process.started:.3f}",
            f"closed {sent.ended - process.started:.3f}",
        ]
        marks = {"told to end": process.stopped, "killed": process.killed, "ended": process.ended}
        said += [f"{mark} {at - process.started:.3f}" for mark, at in marks.items() if at]
        return ", ".join(said) + " s after its process's start"

    def _describe_arrivals(self, sent: Sent) -> str:
        """When a request reached nodes, how long proxies may have delayed it, and stalls nearby."""
        started = self._process(sent).started
        came = ", ".join(
            f"{one.node} {one.at - started:.3f} (held {one.held:.1f})"
            for one in self.arrivals[sent.name]
        )
        held_up = [*self._process(sent).pauses, *self.records.stalls]
        near = [one for one in held_up if abs(one[0] - sent.at) < 1.0]
        spans = ", ".join(f"{begin - started:.3f} to {end - started:.3f}" for begin, end in near)
        which = "a new" if sent.fresh else "a kept"
        return f"on {which} connection, arrived at {came or 'no node'}, held up {spans or 'never'}"

    def _check_attempt(self, sent: Sent, arrival: Arrival) -> Iterator[str]:
        slack = self._slack(sent, arrival)
        if sent.end in (End.LEFT, End.SILENT):
            late = arrival.at - sent.ended
            if late > DISCONNECT_SLACK + slack:
                yield (
                    f"lost: reached {arrival.node} {late:.3f} s after its client had left; "
                    f"{self._describe_times(sent)}; {self._describe_arrivals(sent)}"
                )
        left = sent.at + sent.wait - arrival.at
        if arrival.wait > max(0.0, left) + WAIT_SLACK + slack:
            yield (
                f"{arrival.node} was told {arrival.wait:.3f} s where {left:.3f} s were left; "
                f"{self._describe_times(sent)}; {self._describe_arrivals(sent)}"
            )

    def _slack(self, sent: Sent, arrival: Arrival) -> float:
        """By how much (s) an arrival may be late for reasons outside the gateway.

        Nodes and proxies run in the soak's own process, which may stall, too.
        """
        paused = _stalled_for(self._process(sent).pauses, arrival.at)
        return (
            RECORDING_DELAY + arrival.held + paused + _stalled_for(self.records.stalls, arrival.at)
        )

    # --- Drains

    def _check_drains(self) -> Iterator[str]:
        for drain in self.records.drains:
            for arrival in self.records.arrivals:
                sent = self.records.sent.get(arrival.name)
                if sent is None or arrival.node != drain.node:
                    continue
                late = arrival.at - self._notified_at(sent, drain, arrival.at)
                slack = self._slack(sent, arrival)
                if arrival.at < drain.over and late > DRAIN_GRACE + SOCKET_DELAY + slack:
                    yield (
                        f"{sent.name} at {sent.gateway}: drain: reached {drain.node} {late:.2f} s "
                        "after its gateway was notified"
                    )

    def _notified_at(self, sent: Sent, drain: Drain, at: float) -> float:
        """The time by which the gateway must have known of a drain, for an arrival at `at`."""
        process = self._process(sent)
        notified = max(drain.begun, process.started)
        for begun, over in self.records.outages:
            if begun - DRAIN_GRACE <= notified < over:
                notified = over
        for reload in process.reloads:
            if drain.begun - DRAIN_GRACE <= reload <= at:
                notified = max(notified, reload + NOTIFIED_AFTER_RELOAD)
        return notified

    # --- Processes and shares

    def _check_processes(self) -> Iterator[str]:
        for name, processes in self.records.processes.items():
            for number, process in enumerate(processes, 1):
                which = f"{name}, process {number}"
                if not process.ready or process.ready - process.started > READY_WITHIN:
                    yield f"{which}: not ready within {READY_WITHIN:g} s"
                if process.exceeded_memory:
                    held = process.exceeded_memory / (1 << 20)
                    yield f"{which}: passed its memory limit, with {held:.0f} MB"
                if process.stopped and not process.killed:
                    if process.code != 0:
                        yield f"{which}: ended with {process.code}"
                    if process.ended - process.stopped > EXIT_WITHIN:
                        yield f"{which}: took {process.ended - process.stopped:.1f} s to end"

    def _check_shares(self) -> Iterator[str]:
        sent = [one for one in self.records.sent.values() if one.end is not End.LEFT]
        raced = sum(one.end is End.CLOSED and not one.fresh for one in sent)
        if raced > MAX_RACED_SHARE * len(sent):
            yield f"{raced} of {len(sent)} requests raced with the close of an idle connection"
        last = [one for one in sent if one.at > self.records.quiet]
        served = sum(one.end is End.SERVED for one in last)
        if not last or served < MIN_SERVED_SHARE * len(last):
            yield f"after all faults {served} of {len(last)} were served"


def _stalled_for(pauses: list[tuple[float, float]], at: float) -> float:
    """The longest pause (s) in progress at `at` or just ended."""
    near = [end - begin for begin, end in pauses if begin <= at <= end + 2 * RECORDING_DELAY]
    return max(near, default=0.0)


def ends(records: Records) -> Counter[str]:
    """Number of requests by how they ended."""
    return Counter(sent.end.value for sent in records.sent.values())
