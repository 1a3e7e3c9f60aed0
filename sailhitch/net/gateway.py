"""The module's `Port` on real sockets, and the only caller of the module.

Owns the meaning that the simulator's wire gives to events and actions: numbers of attempts and
their time-outs, deadlines, when a request is closed, timers, ids and the clock.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from ..front import Door, Place, Reason, Sizes, Verdict
from ..interface import (
    CANCELLED,
    CHANGES,
    CONNECT_FAILED,
    FAILED,
    FULL,
    GONE,
    MOOT,
    OK,
    RESTORED,
    TIMEOUT,
    Listed,
    Report,
)
from ..policy import Gateway
from .budget import Budget
from .config import Config, Roster, Wire
from .log import Log
from .upstream import Attempt, Host, Pool
from .wheel import Wheel

if TYPE_CHECKING:
    from .downstream import Downstream

MS: Final = 1000
MARGIN: Final = 10 * MS  # an answer is given so long before the client stops waiting for it
OVERDUE: Final = 25 * MS  # so long after that the module has surely forgotten a request
BEAT: Final = 25 * MS  # how often lateness of the loop is looked at
SWEEP: Final = 1000 * MS
CLIENT_SWEEP: Final = 200 * MS  # clients have limits of a few seconds, to be kept to a fraction
STATS: Final = 10_000 * MS
RESERVE: Final = 36  # descriptors for the loop, the listener, discovery, the log and files
DRAIN_HOLD: Final = 1500 * MS  # connections are kept no longer than this once told to end
SEATS: Final = 3  # fronts deal out one part in so many of the descriptors for requests

Answer = tuple[list[tuple[bytes, bytes, bytes]], "bytes | bytearray"]


class Exchange:
    """One client's request, from its last byte to its one answer and its last attempt's outcome."""

    __slots__ = (
        "attempts",
        "body",
        "client",
        "closed",
        "cls",
        "deadline",
        "head",
        "id",
        "keep",
        "key",
        "name",
        "old_http",
        "out",
        "repeat",
        "reserved",
        "tenant",
        "wait_ms",
        "wake",
        "work",
    )  # fmt: skip

    def __init__(self) -> None:
        self.id = 0
        self.name = b""  # the client's own word for it, by which hosts know it
        self.client: Downstream | None = None
        self.head = b""  # all of the head that goes on but for the deadline
        self.body: bytes | bytearray = b""
        self.reserved = 0  # of the budget for bodies
        self.cls = self.tenant = self.work = self.wait_ms = 0
        self.key: int | None = None
        self.repeat = False
        self.keep = True
        self.old_http = False  # HTTP/1.0: closed unless asked otherwise
        self.deadline = self.wake = 0
        self.attempts = 0
        self.out: list[Attempt] = []
        self.closed = False

    def wire(self, left: int) -> tuple[bytes, bytes | bytearray]:
        """Head and body as they go to a host that is waited for so long."""
        return b"%sReq-Deadline-Ms: %d\r\n\r\n" % (self.head, max(1, left // 1000)), self.body


class Counters:
    """What is counted for the periodic line in the log."""

    __slots__ = (
        "bad_lists", "bad_requests", "crowded", "failed", "faults", "gone", "malformed",
        "overdue", "panics", "refused", "requests", "served", "shed", "statuses",
    )  # fmt: skip

    def __init__(self) -> None:
        self.requests = self.served = self.refused = self.failed = self.gone = 0
        self.bad_requests = self.malformed = self.bad_lists = self.panics = self.overdue = 0
        self.shed = self.crowded = self.faults = 0
        self.statuses: dict[str, int] = {}


class Proxy:
    """Translates between sockets and the module; implements `Port`."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, log: Log) -> None:
        self.config, self.loop, self.logger = config, loop, log
        # One clock for all: it runs evenly and starts from the time of day, so that a host's
        # `started_ms` compares with it.
        self._epoch = time.time_ns() - time.monotonic_ns()
        wire = config.wire
        self.pool = Pool(self, idle_life(wire), wire.connect_timeout)
        self.budget = Budget(config.memory_mb)
        self.clients: dict[Downstream, None] = {}
        self.door = Door(sizes(config), self.clock())
        self.arriving = 0  # accepted, and not yet among the clients
        self.names: dict[bytes, Exchange] = {}  # of requests that are open, here or at a host
        self.live: dict[int, Exchange] = {}
        self.counters = Counters()
        self.ready = False
        self.drain_since = 0
        self.hanging_up = False  # no connection is kept any more
        self.wheel: Wheel[Exchange | int | None] = Wheel(
            loop, self.clock, self._fire, self._fire_failed, self._stalled, _moot
        )
        self.watch_wanted: Callable[[bool], None] = lambda on: None
        self._next_id = 1
        self._inside = False
        self._later: deque[tuple[Attempt, str]] = deque()
        self._beat_at = self._sweep_at = self._stats_at = self._client_sweep_at = 0
        self.module = Gateway(self, config.settings, config.seed)

    # --- Clock and timers

    def clock(self) -> int:
        return (time.monotonic_ns() + self._epoch) // 1000

    def begin(self) -> None:
        """Start the module with the list as last known, and the timers."""
        now = self.clock()
        self._beat_at = now + BEAT
        self._sweep_at, self._stats_at = now + SWEEP, now + STATS
        self._tell(None, lambda: self.module.start(now))
        self._take_list(self.config.known, RESTORED)
        self.wheel.push(self._beat_at, None)

    def finish(self) -> None:
        """End at once: timers and connections are let go."""
        self.wheel.stop()
        open_now = [client.transport for client in self.clients]
        open_now += [conn.transport for conn in self.pool.open]
        for transport in open_now:
            if transport is not None:
                transport.abort()

    def _fire(self, what: Exchange | int | None, at: int, now: int) -> None:
        if what is None:
            self._beat(now)
        elif isinstance(what, int):
            token = what
            self._tell(None, lambda: self.module.timer(now, token))
        elif what.wake == at:
            self._due(what, now)

    def _fire_failed(self, what: Exchange | int | None, error: Exception) -> None:
        """An entry of the wheel has raised. Where it was a request's, its client gets an answer."""
        self.fault("a timer", error)
        if isinstance(what, Exchange) and not what.closed:
            self._answer_failed(what)

    def _stalled(self, now: int, late: int) -> None:
        self.logger.often("stall", f"held up for {late // MS} ms")
        self._tell(None, lambda: self.module.stalled(now))

    def fault(self, where: str, error: Exception) -> None:
        """Something has raised that should not have; whoever calls goes on."""
        self.counters.faults += 1
        self.logger.often(f"fault {where}", f"{where} failed: {error!r:.100}, {_raised_at(error)}")

    def _guard(self, where: str, work: Callable[[int], None], now: int) -> None:
        try:
            work(now)
        except Exception as error:
            self.fault(where, error)

    def _beat(self, now: int) -> None:
        """What is looked at regularly; each part by itself, so that none can end another."""
        self.wheel.push(max(now + BEAT // 2, self._beat_at + BEAT), None)
        self._beat_at = now
        self._guard("the door", self._watch_door, now)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP
            self._guard("the sweep of hosts", self.pool.sweep, now)
        if now >= self._client_sweep_at:
            self._client_sweep_at = now + CLIENT_SWEEP
            for client in list(self.clients):
                self._guard("the sweep of clients", client.sweep, now)
        if now >= self._stats_at:
            self._stats_at = now + STATS
            self._guard("the line of figures", self.say_stats, now)

    def _watch_door(self, now: int) -> None:
        self.door.sense(now, self.pool.size(), self.budget.held / self.budget.most)
        self.release(self.door.trim(now), Reason.SEAT)

    def _schedule(self, exchange: Exchange) -> None:
        """Look at this exchange again when its next time-out is due."""
        at = exchange.deadline + OVERDUE if not exchange.closed else 1 << 62
        for attempt in exchange.out:
            at = min(at, attempt.ends)
            if attempt.connect_by:
                at = min(at, attempt.connect_by)
        if at < 1 << 62 and (not exchange.wake or at < exchange.wake):
            exchange.wake = at
            self.wheel.push(at, exchange)

    def _due(self, exchange: Exchange, now: int) -> None:
        exchange.wake = 0
        for attempt in list(exchange.out):
            if attempt.ends <= now:
                self._give_up(attempt, TIMEOUT)
            elif attempt.connect_by and attempt.connect_by <= now:
                self._give_up(attempt, CONNECT_FAILED)
        if not exchange.closed and now >= exchange.deadline + OVERDUE:
            # The module still owes this one: its client must not be left without an answer.
            self.counters.overdue += 1
            self.logger.often("overdue", "a request was still held after its deadline; failed")
            self._abandoned(exchange, now)
            self._answer_failed(exchange)
        self._schedule(exchange)

    # --- The module

    def _tell(self, exchange: Exchange | None, event: Callable[[], None]) -> None:
        """Hand the module an event. Its exception fails that one request; the process lives."""
        if self._inside:
            raise RuntimeError("the module was called from inside itself")
        self._inside = True
        try:
            event()
        except Exception as error:
            self._panic(exchange, error)
        finally:
            self._inside = False
        while self._later and not self._inside:
            attempt, status = self._later.popleft()
            self.ended(attempt, status, None, None)

    def _panic(self, exchange: Exchange | None, error: Exception) -> None:
        self.counters.panics += 1
        what = f"{type(error).__name__}: {error}, {_raised_at(error)}"
        self.logger.often("panic", f"the module failed: {what}")
        if exchange is not None and not exchange.closed:
            self.module.live.pop(exchange.id, None)
            self._answer_failed(exchange)

    # --- Port: what the module does

    def send(self, req: int, server: str, timeout: int) -> None:
        exchange = self.live.get(req)
        if exchange is None:
            return
        now = self.clock()
        ends = min(now + timeout, exchange.deadline) if timeout > 0 else exchange.deadline
        host = self.pool.hosts.get(server)
        missing = host is None
        if host is None:
            host = Host(Listed(server, 1.0, 0, 0, GONE, 0, 0), ("0.0.0.0", 0))
        attempt = Attempt(exchange, exchange.attempts, host, now, ends)
        exchange.attempts += 1
        exchange.out.append(attempt)
        limits = self.config.settings.limits
        if exchange.closed or now >= ends or exchange.attempts > limits.max_attempts:
            self.later(attempt, MOOT)
        elif missing:
            self.later(attempt, CONNECT_FAILED)
        else:
            self.pool.start(attempt, now)
            self._schedule(exchange)

    def refuse(self, req: int, retry_after: int) -> None:
        exchange = self.live.get(req)
        if exchange is None or exchange.closed:
            return
        self.counters.refused += 1
        client = self._conclude(exchange)
        if client is not None:
            client.refuse(exchange, retry_after)

    def fail(self, req: int) -> None:
        exchange = self.live.get(req)
        if exchange is not None and not exchange.closed:
            self._answer_failed(exchange)

    def cancel(self, req: int, attempt: int) -> None:
        exchange = self.live.get(req)
        if exchange is None:
            return
        for one in exchange.out:
            if one.n == attempt:
                self._withdraw(one)
                self.later(one, CANCELLED)

    def set_timer(self, token: int, at: int) -> None:
        self.wheel.push(at, token)

    def watch(self, on: bool) -> None:
        self.watch_wanted(on)

    def log(self, text: str) -> None:
        self.logger.often("module", text)

    # --- Requests

    def request(self, exchange: Exchange) -> None:
        """A request has come whole; from here on its client is owed one answer."""
        # Danger: a loop that was held up reads late what came long ago.
        now = self.clock()
        arrived = now - self.wheel.lag
        wait = exchange.wait_ms * MS
        deadline = arrived + wait - min(MARGIN, wait // 10)
        if self.drain_since:
            deadline = min(deadline, self.drain_since + self.last_answer())
        exchange.deadline = deadline
        exchange.id = self._next_id
        self._next_id += 1
        self.counters.requests += 1
        if len(self.live) >= self.config.wire.max_open:
            self.counters.shed += 1
            client = self._conclude(exchange)
            if client is not None:
                client.refuse(exchange, 0)
            return
        self.live[exchange.id] = self.names[exchange.name] = exchange
        self._tell(
            exchange,
            lambda: self.module.request(
                now, exchange.id, exchange.cls, exchange.deadline, exchange.work, exchange.key,
                exchange.tenant, exchange.repeat,
            ),
        )  # fmt: skip
        if not exchange.closed:
            self._schedule(exchange)

    def client_gone(self, exchange: Exchange) -> None:
        """The client closed its connection; what is out goes on to its outcome."""
        if exchange.closed:
            return
        self.counters.gone += 1
        exchange.client = None
        exchange.closed = True
        now = self.clock()
        self._tell(None, lambda: self.module.gone(now, exchange.id))
        self._release(exchange)

    def _conclude(self, exchange: Exchange) -> Downstream | None:
        """The one answer is about to go out: nothing more does after it."""
        exchange.closed = True
        client, exchange.client = exchange.client, None
        self._release(exchange)
        return client

    def _release(self, exchange: Exchange) -> None:
        """Let go of a request that is over, and of its body once no attempt needs it."""
        if exchange.closed and not exchange.out:
            self.live.pop(exchange.id, None)
            if self.names.get(exchange.name) is exchange:
                del self.names[exchange.name]
            self.release_body(exchange)
            exchange.head = b""
            exchange.wake = 0

    def release_body(self, exchange: Exchange) -> None:
        """The body is not needed any more."""
        self.budget.give_back(exchange.reserved)
        exchange.reserved = 0
        exchange.body = b""

    def _answer_failed(self, exchange: Exchange) -> None:
        self.counters.failed += 1
        late = self.clock() >= exchange.deadline
        client = self._conclude(exchange)
        if client is not None:
            client.fail(exchange, late)

    def _abandoned(self, exchange: Exchange, now: int) -> None:
        self._tell(None, lambda: self.module.gone(now, exchange.id))

    # --- Attempts

    def later(self, attempt: Attempt, status: str) -> None:
        """An outcome that is known while the module is still speaking: told right after."""
        self._later.append((attempt, status))

    def _withdraw(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt, on its connection or for one."""
        if attempt.task is not None:
            attempt.task.cancel()
            attempt.task = None
        attempt.connect_by = 0
        if attempt.conn is not None:
            attempt.conn.abandon()
            attempt.conn = None

    def _give_up(self, attempt: Attempt, status: str) -> None:
        self._withdraw(attempt)
        self.ended(attempt, status, None, None)

    def ended(
        self, attempt: Attempt, status: str, load: Report | None, answer: Answer | None
    ) -> None:
        """An attempt has its outcome; the first served one is the client's answer."""
        if attempt.over:
            return
        attempt.over = True
        attempt.connect_by = 0
        exchange = attempt.exchange
        exchange.out.remove(attempt)
        now = self.clock()
        latency = now - attempt.sent
        if not exchange.closed and status == OK:
            self.counters.served += 1
            client = self._conclude(exchange)
            if client is not None and answer is not None:
                client.serve(exchange, *answer)
        self._count(attempt.host, status)
        closed = exchange.closed
        self._tell(
            exchange,
            lambda: self.module.outcome(
                now, exchange.id, attempt.n, status, closed, latency, attempt.host.id, load
            ),
        )
        self._release(exchange)

    def malformed(self, host: Host, why: str) -> None:
        self.counters.malformed += 1
        self.logger.often(f"malformed {host.id}", f"host {host.id}: malformed answer: {why[:100]}")

    def odd_status(self, host: Host, status: int) -> None:
        """A host's whole answer that is neither served nor turned away."""
        self.logger.often(f"status {status} {host.id}", f"host {host.id} answered {status}")

    def _count(self, host: Host, status: str) -> None:
        statuses = self.counters.statuses
        statuses[status] = statuses.get(status, 0) + 1
        failing = status not in (OK, MOOT, CANCELLED)
        if failing != host.failing and status not in (MOOT, CANCELLED):
            host.failing = failing
            if failing:
                self.logger.often(f"host {host.id}", f"host {host.id}: {status}")

    # --- Discovery

    def _take_list(self, roster: Roster, mode: str) -> None:
        pool = self.pool
        gone = []
        for entry in roster.entries:
            listed = entry.listed
            if listed.state == GONE:
                gone.append(listed.server)
            else:
                pool.list_host(listed, entry.addr)
        if mode != CHANGES:
            named = {e.listed.server for e in roster.entries} | roster.bad_ids
            gone += [name for name in pool.hosts if name not in named]
        for name in gone:
            pool.drop_host(name)
        now = self.clock()
        entries = [e.listed for e in roster.entries]
        if mode != CHANGES:
            # A host whose entry can't be read stays as it was.
            entries += [pool.hosts[n].listed for n in sorted(roster.bad_ids) if n in pool.hosts]
        self._tell(None, lambda: self.module.members(now, mode, entries))

    def list_news(self, roster: Roster) -> None:
        """Discovery has answered: the whole list, or what has changed."""
        self._take_list(roster, FULL if roster.full else CHANGES)
        if roster.entries:
            self.logger.often(
                "list",
                f"list {roster.version}: {'whole' if roster.full else 'changes'}, "
                f"{len(roster.entries)} entries, {len(self.pool.hosts)} hosts",
            )

    def reconfigure(self, config: Config) -> None:
        """Go by a new configuration, with all that is open going on.

        Its list of hosts is older than what discovery has said since, and name, listening address
        and seed belong to the process. They stay.
        """
        old, self.config = self.config, config
        self.budget.resize(config.memory_mb)
        self.door.resize(sizes(config))
        wire = config.wire
        self.pool.idle_life, self.pool.connect_timeout = idle_life(wire), wire.connect_timeout
        if config.settings != old.settings:
            now = self.clock()
            self._tell(None, lambda: self.module.reconfigure(now, config.settings))

    def list_failed(self) -> None:
        """A watch that the module asked for has failed."""
        now = self.clock()
        self._tell(None, lambda: self.module.members(now, FAILED, ()))

    # --- Descriptors, drain, log

    def make_room(self) -> bool:
        """Whether one more connection to a host may be opened; closes an idle one if need be.

        Guards against either side taking all descriptors: what a crowd of clients holds must not
        keep requests from hosts, and the other way round. Both sides have a part that is theirs.
        It can do harm where one side is idle for long: its part stands empty. What is closed here
        is free on the loop's next turn; the reserve covers the few that are opened until then.
        """
        door, hosts = self.door, self.pool.size()
        most = door.descriptors()
        if door.held + hosts < most:
            return True
        if door.held > door.sizes.clients_least * most:
            now = self.clock()
            if self.release(door.victims(now), Reason.ROOM):
                return True
        return self.pool.close_oldest_idle()

    def way_in(self) -> Verdict:
        """Whether there is room for one more client; whoever must go for it goes."""
        door = self.door
        if not door.crowded(self.pool.size()):
            return Verdict.ADMIT
        if self.release(door.victims(self.clock()), Reason.ROOM):
            return Verdict.WAIT
        if door.held < door.sizes.clients_most and self.pool.close_oldest_idle():
            return Verdict.WAIT
        # What is half-way in or out only needs the loop to get round to it.
        soon = bool(self.arriving) or any(c.is_closed() for c in self.clients)
        return Verdict.WAIT if soon else Verdict.TURN_AWAY

    def exhausted(self) -> None:
        """The system refuses a descriptor that the settings promise."""
        now = self.clock()
        self.door.exhausted(now, self.pool.size())
        if not self.release(self.door.victims(now), Reason.ROOM):
            self.pool.close_oldest_idle()

    def release(self, places: list[Place], reason: Reason) -> int:
        """Let these go, but for those on which bytes are found; how many went."""
        gone = 0
        for place in places:
            if place.holder is not None and place.holder.let_go(reason):
                gone += 1
            else:
                self.door.spared(place, self.clock())
        return gone

    def retry_after(self) -> int:
        """For who is turned away for want of a place: microseconds, 0 where there is no saying."""
        limits = self.config.settings.limits
        if not limits.retry_after:
            return 0
        after = self.door.retry_after(self.clock())
        return after if after <= limits.max_retry_after else 0

    def last_answer(self) -> int:
        """How long after SIGTERM the last answer is surely out: SIGKILL comes soon after."""
        longest = min(3_000_000, self.config.wire.longest_deadline)
        return longest + 550_000

    def drain(self) -> None:
        """SIGTERM: nobody new is asked in. Who is inside is served on, for `drain_hold`.

        The front takes new connections elsewhere within moments, and may find that the other
        gateways are being restarted too. Its clients go on using the connections that they have,
        so closing each with its next answer would take from them the only service there is.
        """
        self.drain_since = self.clock()
        self.ready = False

    def drain_hold(self) -> int:
        """How long after SIGTERM connections are kept: what is taken then still has its time."""
        return min(DRAIN_HOLD, self.last_answer() // 2)

    def hang_up(self) -> bool:
        """From now on each answer closes its connection, and those with none owed are closed.

        Returns whether anybody is still owed something, or has asked and was not read yet.
        """
        self.hanging_up = True
        left = bool(self.arriving)
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
            f"gone={c.gone} bad={c.bad_requests} shed={c.shed} crowded={c.crowded} "
            f"open={len(self.live)} clients={len(self.clients)} upstream={self.pool.size()} "
            f"opened={self.pool.opened} "
            f"hosts={len(self.pool.hosts)} lag_ms={self.wheel.worst // MS} panics={c.panics} "
            f"faults={c.faults} overdue={c.overdue} outcomes: {outcomes}"
        )
        self.logger.say(self.door.told())
        self.wheel.worst = 0


def _moot(what: Exchange | int | None, at: int) -> bool:
    """Whether an entry of the wheel is of an exchange that is over or looks at another time."""
    return isinstance(what, Exchange) and what.wake != at


def _raised_at(error: Exception) -> str:
    """The function and line that an exception comes from."""
    where = error.__traceback__
    while where is not None and where.tb_next is not None:
        where = where.tb_next
    return "line 0" if where is None else f"{where.tb_frame.f_code.co_name} line {where.tb_lineno}"


def sizes(config: Config) -> Sizes:
    """What the settings leave to clients and hosts."""
    return Sizes(max(8, config.sockets - RESERVE), max(1, config.sockets // SEATS))


def idle_life(wire: Wire) -> int:
    """How long a connection to a host is kept: less than the host keeps it."""
    return max(wire.conn_idle // 2, wire.conn_idle - 3_000_000)


def read_cookie_key(value: Any) -> int | None:
    """What a request is about: the cookie `sid`, where it is hex digits."""
    for part in value.split(b";"):
        name, _, text = part.strip().partition(b"=")
        if name == b"sid":
            try:
                return int(text, 16) & 0xFFFFFFFFFFFFFFFF
            except ValueError:
                return None
    return None
