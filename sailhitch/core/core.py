"""What all fronts and pools share: requests and their deadlines, timers, descriptors, figures.

Owns the one final answer to each request: when it is due, that it goes out once, and what is let go
of after it. It knows fronts and transports by the protocols in `interfaces.py`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Final

from ..front import ConnectionAdmission, ConnectionSlot, Reason, Verdict
from ..interface import MOOT
from .budget import Budget
from .exchange import Exchange
from .interfaces import Client, Connection, ResponseSource
from .invariants import Invariants, Violation
from .log import Log
from .pool import Pool
from .terms import FAR, Answer, Bounds
from .timer_wheel import LATE, TimerWheel

MS: Final = 1000
MARGIN: Final = 10 * MS  # an answer is given so long before the client stops waiting for it,
TICK: Final = 2 * MS  # and never less than a timer may be late: the loop's count in milliseconds
OVERDUE: Final = 25 * MS  # so long after that the module has surely forgotten a request
BEAT: Final = 25 * MS  # how often lateness of the loop is looked at
SWEEP: Final = 1000 * MS
CLIENT_SWEEP: Final = 200 * MS  # clients have limits of a few seconds, to be kept to a fraction
STATS: Final = 10_000 * MS
DRAIN_HOLD: Final = 1500 * MS  # connections are kept no longer than this once told to end

Due = Exchange | tuple[Pool, int] | None  # a request, a timer of a pool's module, or the beat


class Counters:
    """What is counted for the periodic line in the log."""

    __slots__ = (
        "bad_lists", "bad_requests", "crowded", "cut", "failed", "faults", "gone", "malformed",
        "overdue", "panics", "refused", "requests", "served", "shed", "statuses",
    )  # fmt: skip

    def __init__(self) -> None:
        self.requests = self.served = self.refused = self.failed = self.gone = 0
        self.bad_requests = self.malformed = self.bad_lists = self.panics = self.overdue = 0
        self.shed = self.crowded = self.faults = self.cut = 0
        self.statuses: dict[str, int] = {}


class Core:
    """The process's requests, whatever front they came by and whatever pool they go to."""

    def __init__(self, bounds: Bounds, loop: asyncio.AbstractEventLoop, log: Log) -> None:
        self.bounds, self.loop, self.logger = bounds, loop, log
        # One clock for all: it runs evenly and starts from the time of day, so that a host's
        # `started_ms` compares with it.
        self.epoch = (time.time_ns() - time.monotonic_ns()) // 1000  # us
        self.budget = Budget(bounds.memory_mb)
        self.invariants = Invariants(log)
        self.pools: list[Pool] = []
        self.clients: dict[Connection, None] = {}
        self.admission = ConnectionAdmission(bounds.sizes(), self.clock())
        self.arriving: set[Connection] = set()  # accepted, and not yet among the clients
        self.emptying: set[object] = set()  # listeners that close once their queues are empty
        self.names: dict[bytes, Exchange] = {}  # of requests that are open, here or at a host
        self.live: dict[int, Exchange] = {}
        self.counters = Counters()
        self.ready = False
        self.drain_since = 0
        self.drain_until = 0  # by then the last answer is out
        self.hanging_up = False  # no connection is kept any more
        # Takes connections that fall idle, where another process of this gateway goes on with them.
        self.passing: Callable[[Connection], bool] | None = None
        self.timers: TimerWheel[Due] = TimerWheel(
            loop, self.clock, self._fire, self._fire_failed, self._stalled, _moot
        )
        self._next_id = 1
        self.held_up_at = 0  # when it last went on after it was held up
        self._beat_at = self._sweep_at = self._stats_at = self._client_sweep_at = 0

    # --- Clock and timers

    def clock(self) -> int:
        """Return the time in microseconds; no step of the wall clock changes it."""
        return time.monotonic_ns() // 1000 + self.epoch

    def held_up(self, now: int) -> bool:
        """Whether the loop has had no turn for a while, and what has come meanwhile is unread."""
        return now - self._beat_at > BEAT + LATE

    def begin(self) -> None:
        """Start the periodic work."""
        now = self.clock()
        self._beat_at = now + BEAT
        self._sweep_at, self._stats_at = now + SWEEP, now + STATS
        self.timers.push(self._beat_at, None)

    def finish(self) -> None:
        """End at once: timers and connections are let go."""
        self.timers.stop()
        for client in list(self.clients):
            client.abort()
        for pool in self.pools:
            pool.transport.stop()

    def reconfigure(self, bounds: Bounds) -> None:
        """Go by other bounds, with all that is open going on."""
        self.bounds = bounds
        self.budget.resize(bounds.memory_mb)
        self.admission.resize(bounds.sizes())

    def _fire(self, what: Due, at: int, now: int) -> None:
        if what is None:
            self._beat(now)
        elif isinstance(what, tuple):
            what[0].timer(what[1], now)
        elif what.wake == at:
            self._due(what, now)

    def _fire_failed(self, what: Due, error: Exception) -> None:
        """Handle a timer that raised; if it was a request's, its client gets an answer."""
        self.fault("a timer", error)
        if isinstance(what, Exchange) and not what.closed:
            self.answer_failed(what)

    def _stalled(self, now: int, late: int) -> None:
        self.logger.often("stall", f"held up for {late // MS} ms")
        self.held_up_at = now
        for pool in self.pools:
            pool.stalled(now)

    def fault(self, where: str, error: Exception) -> None:
        """Something has raised that should not have; whoever calls goes on."""
        self.counters.faults += 1
        self.logger.often(f"fault {where}", f"{where} failed: {error!r:.100}, {_raised_at(error)}")

    def panicked(self, error: Exception) -> None:
        """A pool's module has raised."""
        self.counters.panics += 1
        what = f"{type(error).__name__}: {error}, {_raised_at(error)}"
        self.logger.often("panic", f"the module failed: {what}")

    def _guard(self, where: str, work: Callable[[int], None], now: int) -> None:
        try:
            work(now)
        except Exception as error:
            self.fault(where, error)

    def _beat(self, now: int) -> None:
        """What is looked at regularly; each part by itself, so that none can end another."""
        self.timers.push(max(now + BEAT // 2, self._beat_at + BEAT), None)
        self._beat_at = now
        self._guard("the door", self._watch_admission, now)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP
            for pool in self.pools:
                self._guard("the sweep of hosts", pool.transport.sweep, now)
        if now >= self._client_sweep_at:
            self._client_sweep_at = now + CLIENT_SWEEP
            for client in list(self.clients):
                self._guard("the sweep of clients", client.sweep, now)
        if now >= self._stats_at:
            self._stats_at = now + STATS
            self._guard("the line of figures", self.say_stats, now)

    def _watch_admission(self, now: int) -> None:
        self.admission.sense(now, self.upstream(), self.budget.share())
        self.release(self.admission.trim(now), Reason.SEAT)

    def schedule(self, exchange: Exchange) -> None:
        """Look at this exchange again when its next time-out is due."""
        at = exchange.deadline + OVERDUE if not exchange.closed else FAR
        for attempt in exchange.out:
            at = min(at, attempt.ends)
            if attempt.connect_by:
                at = min(at, attempt.connect_by)
        if at < FAR and (not exchange.wake or at < exchange.wake):
            exchange.wake = at
            self.timers.push(at, exchange)

    def _due(self, exchange: Exchange, now: int) -> None:
        exchange.wake = 0
        pool = exchange.pool
        assert pool is not None
        for attempt in list(exchange.out):
            pool.due(attempt, now)
        if not exchange.closed and now >= exchange.deadline + OVERDUE:
            # The module still owes this one: its client must not be left without an answer.
            self.counters.overdue += 1
            self.logger.often("overdue", "a request was still held after its deadline")
            pool.gone(exchange, now)
            if exchange.attempts:
                self.answer_failed(exchange)
            else:
                self.answer_refused(exchange, 0)  # it was never sent
        self.schedule(exchange)

    # --- Requests

    def request(self, exchange: Exchange) -> None:
        """A request has come whole; from here on its client is owed one answer."""
        pool = exchange.pool
        assert pool is not None
        now = self.clock()
        arrived = exchange.came or self.arrival(now)
        deadline = self._deadline(exchange, arrived)
        exchange.deadline = FAR if exchange.filling() else deadline
        exchange.id = self._next_id
        self._next_id += 1
        self.counters.requests += 1
        if len(self.live) >= self.bounds.max_open:
            self.counters.shed += 1
            self.answer_refused(exchange, 0)
            return
        self.live[exchange.id] = self.names[exchange.name] = exchange
        pool.request(exchange, now, deadline)
        if not exchange.closed:
            self.schedule(exchange)

    def arrival(self, now: int) -> int:
        """When what is read now came: a loop that was held up reads late what came long ago."""
        return now - self.timers.lag

    def _deadline(self, exchange: Exchange, arrived: int) -> int:
        wait = exchange.wait_ms * MS
        deadline = arrived + wait - min(wait, max(TICK, min(MARGIN, wait // 10)))
        if self.drain_since:
            deadline = min(deadline, self.drain_until)
        return deadline

    def body_whole(self, exchange: Exchange) -> None:
        """The last byte has come of a body that flows: the request's time runs from here on."""
        if exchange.closed:
            return
        now = self.clock()
        exchange.deadline = self._deadline(exchange, self.arrival(now))
        for attempt in exchange.out:
            attempt.sent = now
            patience = attempt.patience
            attempt.ends = min(now + patience, exchange.deadline) if patience else exchange.deadline
        assert exchange.pool is not None
        exchange.pool.whole(exchange, now)
        if not exchange.closed:
            self.schedule(exchange)

    def client_gone(self, exchange: Exchange) -> None:
        """The client closed its connection; what is out goes on to its outcome."""
        if exchange.closed:
            return
        self.counters.gone += 1
        exchange.client = None
        exchange.closed = True
        if exchange.pool is not None:
            exchange.pool.gone(exchange, self.clock())
            # What is out without its last byte never ran, and says nothing of its host. Nobody
            # wants it to run any more.
            for attempt in list(exchange.out):
                unsent = attempt.conn is not None and attempt.conn.holds_back()
                if exchange.filling() or unsent:
                    attempt.withdraw()
                    exchange.pool.ended(attempt, MOOT, None, None)
        self.release_exchange(exchange)

    def _conclude(self, exchange: Exchange) -> Client | None:
        """The one answer is about to go out: nothing more does after it."""
        if exchange.closed:
            self.invariants.found(Violation.ANSWERED_TWICE, exchange)
            return None
        exchange.closed = True
        client, exchange.client = exchange.client, None
        self.release_exchange(exchange)
        return client

    def release_exchange(self, exchange: Exchange) -> None:
        """Let go of a request that is over, and of its body once no attempt needs it."""
        if exchange.closed and not exchange.out:
            self.live.pop(exchange.id, None)
            if self.names.get(exchange.name) is exchange:
                del self.names[exchange.name]
            self.release_body(exchange)
            exchange.head = b""
            exchange.fallback = None
            exchange.wake = 0

    def release_body(self, exchange: Exchange) -> None:
        """The body is not needed any more."""
        self.budget.give_back(exchange.reserved)
        exchange.reserved = 0
        exchange.body = b""
        if exchange.upload is not None:
            exchange.upload.close()

    def answer_served(self, exchange: Exchange, answer: Answer | None) -> None:
        """A host's answer is the final one."""
        self.counters.served += 1
        client = self._conclude(exchange)
        if client is not None and answer is not None:
            client.serve(exchange, answer)

    def answer_begun(
        self, exchange: Exchange, answer: Answer, length: int | None, source: ResponseSource
    ) -> Client | None:
        """A host's answer is the final one and is passed on as it comes; to whom, if to anybody."""
        self.counters.served += 1
        client = self._conclude(exchange)
        if client is not None:
            client.begin(exchange, answer, length, source)
        return client

    def answer_refused(self, exchange: Exchange, retry_after: int) -> None:
        """Turned away: a repeat is harmless."""
        if not self.invariants.before_refusal(exchange):
            self.answer_failed(exchange)
            return
        client = self._conclude(exchange)
        if client is not None:
            client.refuse(exchange, retry_after)

    def answer_failed(self, exchange: Exchange) -> None:
        """Failed, which promises nothing."""
        self.counters.failed += 1
        late, fallback = self.clock() >= exchange.deadline, exchange.fallback
        client = self._conclude(exchange)
        if client is None:
            return
        if fallback is not None:
            client.serve(exchange, fallback)
        else:
            client.fail(exchange, late)

    # --- Descriptors

    def upstream(self) -> int:
        """Descriptors held by connections to hosts."""
        return sum([pool.transport.size() for pool in self.pools])

    def _close_oldest_idle(self) -> bool:
        """Free a descriptor of the connection to a host that has stood idle longest."""
        idle = [(s, i) for i, p in enumerate(self.pools) if (s := p.transport.oldest_idle())]
        return bool(idle) and self.pools[min(idle)[1]].transport.close_oldest_idle()

    def make_room(self) -> bool:
        """Whether one more connection to a host may be opened; closes an idle one if need be.

        Guards against either side taking all descriptors: what a crowd of clients holds must not
        keep requests from hosts, and the other way round. Both sides have a part that is theirs.
        It can do harm where one side is idle for long: its part stands empty. What is closed here
        is free on the loop's next turn; the reserve covers the few that are opened until then.
        """
        admission, hosts = self.admission, self.upstream()
        most = admission.descriptors()
        if admission.held + hosts < most:
            return True
        if admission.held > admission.sizes.clients_least * most:
            now = self.clock()
            if self.release(admission.victims(now), Reason.ROOM):
                return True
        return self._close_oldest_idle()

    def way_in(self) -> Verdict:
        """Whether there is room for one more client; whoever must go for it goes."""
        admission = self.admission
        if not admission.crowded(self.upstream()):
            return Verdict.ADMIT
        if self.release(admission.victims(self.clock()), Reason.ROOM):
            return Verdict.WAIT
        if admission.held < admission.sizes.clients_most and self._close_oldest_idle():
            return Verdict.WAIT
        # What is half-way in or out only needs the loop to get round to it.
        soon = bool(self.arriving) or any(c.is_closed() for c in self.clients)
        return Verdict.WAIT if soon else Verdict.TURN_AWAY

    def exhausted(self, own_limit: bool = True) -> None:
        """The system refuses a descriptor that the settings promise.

        `own_limit`: this process has reached its own (EMFILE), and goes by a lower one for a while.
        Danger: a shortage of the whole system says nothing of how many this process may hold. By a
        limit of what it held it would close nearly all clients, new ones too, after the shortage.
        """
        now = self.clock()
        if own_limit:
            self.admission.exhausted(now, self.upstream())
        if not self.release(self.admission.victims(now), Reason.ROOM):
            self._close_oldest_idle()

    def release(self, slots: list[ConnectionSlot], reason: Reason) -> int:
        """Let these go, but for those on which bytes are found; how many went."""
        gone = 0
        for slot in slots:
            if slot.holder is not None and slot.holder.let_go(reason):
                gone += 1
            else:
                self.admission.spared(slot, self.clock())
        return gone

    def retry_after(self) -> int:
        """Return the Retry-After of a refused connection, in microseconds; 0 if unknown."""
        most = self.bounds.retry_most
        after = self.admission.retry_after(self.clock()) if most else 0
        return after if after <= most else 0

    # --- Drain, log

    def last_answer(self) -> int:
        """How long after SIGTERM the last answer is surely out: SIGKILL comes soon after."""
        longest = min(3_000_000, self.bounds.longest_deadline)
        return longest + 550_000

    def drain(self) -> None:
        """SIGTERM: nobody new is asked in. Who is inside is served on, for `drain_hold`.

        The front takes new connections elsewhere within moments, and may find that the other
        gateways are being restarted too. Its clients go on using the connections that they have,
        so closing each with its next answer would take from them the only service there is.
        """
        self.drain_since = self.clock()
        # Fixed now: settings that come later don't move the end of this process.
        self.drain_until = self.drain_since + self.last_answer()
        self.ready = False
        # Danger: what is open may have been promised more time than this process has.
        for exchange in list(self.live.values()):
            if exchange.closed or exchange.filling() or exchange.deadline <= self.drain_until:
                continue
            exchange.deadline = self.drain_until
            for attempt in exchange.out:
                attempt.ends = min(attempt.ends, self.drain_until)
            self.schedule(exchange)

    def drain_hold(self) -> int:
        """How long after SIGTERM connections are kept: what is taken then still has its time."""
        return min(DRAIN_HOLD, (self.drain_until - self.drain_since) // 2)

    def hang_up(self) -> bool:
        """From now on each answer closes its connection, and those with none owed are closed.

        Returns whether anybody is still owed something, or has asked and was not read yet.
        """
        self.hanging_up = True
        left = bool(self.arriving) or bool(self.emptying)
        for client in list(self.clients):
            idle = client.is_idle() and not client.is_closed()
            if not (idle and client.close_idle(Reason.ANSWERED)):
                left = left or idle or client.owes()
        return left

    def say_stats(self, now: int) -> None:
        """The lines of figures."""
        c = self.counters
        outcomes = " ".join(f"{k}={v}" for k, v in sorted(c.statuses.items()))
        self.logger.say(
            f"requests={c.requests} served={c.served} refused={c.refused} failed={c.failed} "
            f"gone={c.gone} cut={c.cut} bad={c.bad_requests} shed={c.shed} crowded={c.crowded} "
            f"open={len(self.live)} clients={len(self.clients)} upstream={self.upstream()} "
            f"opened={sum(p.transport.opened for p in self.pools)} "
            f"hosts={sum(len(p.listed) for p in self.pools)} "
            f"lag_ms={self.timers.worst // MS} panics={c.panics} "
            f"faults={c.faults} overdue={c.overdue} violations={self.invariants.total} "
            f"outcomes: {outcomes}"
        )
        if self.invariants.total:
            self.logger.say(f"violations: {self.invariants.told()}")
        self.logger.say(self.admission.told())
        for pool in self.pools:
            self.logger.say(f"{pool.name}: {pool.told()}")
        self.timers.worst = 0


def _moot(what: Due, at: int) -> bool:
    """Return whether a timer's exchange is over or due at another time."""
    return isinstance(what, Exchange) and what.wake != at


def _raised_at(error: Exception) -> str:
    """The function and line that an exception comes from."""
    where = error.__traceback__
    while where is not None and where.tb_next is not None:
        where = where.tb_next
    return "line 0" if where is None else f"{where.tb_frame.f_code.co_name} line {where.tb_lineno}"
