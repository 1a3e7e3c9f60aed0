"""A pool of hosts: one instance of the decision module, and the only caller of it.

Owns the meaning that the simulator's wire gives to events and actions: numbers of attempts and
their time-outs, when a request is closed, and outcomes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from ..interface import (
    BY_HAND,
    CANCELLED,
    CHANGES,
    CONNECT_FAILED,
    ERROR,
    EXPIRED,
    FAILED,
    FULL,
    GONE,
    MOOT,
    NEVER_RAN,
    NO_ROUTE,
    OK,
    RESTORED,
    TIMEOUT,
    WITHHELD,
    Knowledge,
    Report,
)
from ..policy import WINDOW_MARGIN, Gateway
from ..settings import KEYED, RequestClass, Settings
from .exchange import Attempt, Exchange
from .interfaces import Client, ResponseSource, Transport
from .learned import learned, teach
from .maintenance import Maintenance, Told
from .request_classes import RequestClasses
from .terms import FAR, Answer, Entry, Reach, Roster

if TYPE_CHECKING:
    from .core import Core


HEAR_CONNECTED: Final = 10_000  # us in which a loop that was held up hears of a connection


class Pool:
    """Translates between the core and one instance of the module; implements `Port`."""

    def __init__(
        self, core: Core, name: str, settings: Settings, seed: int, reach: Reach,
        transport: Callable[[Pool], Transport],
    ) -> None:  # fmt: skip
        self.core, self.name, self.settings, self.reach = core, name, settings, reach
        self.request_classes = RequestClasses(settings.classes)
        self.listed: dict[str, Entry] = {}  # as the list has them
        self.list_held_at = 0  # when its source last said that nothing was new; 0: not known
        self.maintenance = Maintenance()
        self.failing: set[str] = set()  # hosts whose last attempt failed; for the log only
        self.watch_wanted: Callable[[bool], None] = lambda on: None
        # Asked right before an attempt's first byte is written, where rules may have changed since
        # the module chose; None where they can't.
        self.may_write: Callable[[Attempt], bool] | None = None
        # Whether news of members has come that nobody has read yet; None where none comes so.
        self.news_waits: Callable[[], bool] | None = None
        # Told of each attempt's server and outcome, where somebody sums them up.
        self.seen: Callable[[str, str], None] | None = None
        self.stamp = b""  # fields that every attempt carries, as of the rules it is sent by
        self._inside = False
        self._later: deque[tuple[Attempt, str]] = deque()
        self.transport = transport(self)
        self.module = Gateway(self, settings, seed)

    def start(self, known: Roster) -> None:
        """Start the module with the list as last known."""
        now = self.core.clock()
        self._tell(None, lambda: self.module.start(now))
        self.take_list(known, RESTORED)

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
        self.core.panicked(error)
        if exchange is not None and not exchange.closed:
            self.module.live.pop(exchange.id, None)
            self.core.answer_failed(exchange)

    def request(self, exchange: Exchange, now: int, deadline: int) -> None:
        """A request of this pool has come: whole, or so much of it that it can begin to go on."""
        kind = exchange.kind
        assert kind is not None
        number = self.request_classes.number(kind)
        if number is None:  # it took longer to come than any class that has gone is remembered
            self.core.answer_failed(exchange)
            return
        self._tell(
            exchange,
            lambda: self.module.request(
                now, exchange.id, number, deadline, exchange.work, exchange.key,
                exchange.tenant, exchange.repeat, exchange.filling(),
            ),
        )  # fmt: skip

    def whole(self, exchange: Exchange, now: int) -> None:
        """The last byte has come of a request that had begun to go on without it."""
        self._tell(exchange, lambda: self.module.whole(now, exchange.id, exchange.deadline))

    def gone(self, exchange: Exchange, now: int) -> None:
        """Nobody waits for this one's answer any more."""
        self._tell(None, lambda: self.module.gone(now, exchange.id))

    def timer(self, token: int, now: int) -> None:
        """A timer that the module has set."""
        self._tell(None, lambda: self.module.timer(now, token))

    def stalled(self, now: int) -> None:
        """The process has been held up."""
        self._tell(None, lambda: self.module.stalled(now))

    def retire(self) -> None:
        """The pool is to go: what it holds is answered, and what is out goes on to its end."""
        now = self.core.clock()
        self._tell(None, lambda: self.module.retire(now))

    def reconfigure(
        self, settings: Settings, reach: Reach, also: Sequence[RequestClass] = ()
    ) -> None:
        """Go by other settings; requests taken go on under their class as it was.

        `also` are classes that requests may come under for a while besides those of the settings.
        """
        self.reach = reach
        if settings != self.settings:
            self.settings = settings
            now = self.core.clock()
            whole = replace(
                settings, classes=self.request_classes.replace(now, settings.classes, also)
            )
            self._tell(None, lambda: self.module.reconfigure(now, whole))

    # --- Port: what the module does

    def send(self, req: int, server: str, timeout: int) -> None:
        exchange = self.core.live.get(req)
        if exchange is None:
            return
        now = self.core.clock()
        ends = min(now + timeout, exchange.deadline) if timeout > 0 else exchange.deadline
        attempt = Attempt(exchange, exchange.attempts, server, now, ends)
        exchange.attempts += 1
        exchange.out.append(attempt)
        upload = exchange.upload
        if upload is not None and not upload.whole:
            attempt.patience, attempt.ends = timeout, FAR
        most = self.settings.limits.max_attempts
        over = exchange.closed or now >= ends or exchange.attempts > most
        if over or (upload is not None and not upload.replayable()):
            self.later(attempt, MOOT)
        else:
            self.transport.start(attempt, now)
            self.core.schedule(exchange)

    def refuse(self, req: int, retry_after: int) -> None:
        exchange = self.core.live.get(req)
        if exchange is not None and not exchange.closed:
            self.core.counters.refused += 1
            self.core.answer_refused(exchange, retry_after)

    def fail(self, req: int) -> None:
        exchange = self.core.live.get(req)
        if exchange is not None and not exchange.closed:
            self.core.answer_failed(exchange)

    def cancel(self, req: int, attempt: int) -> None:
        exchange = self.core.live.get(req)
        if exchange is None:
            return
        for one in exchange.out:
            if one.n == attempt:
                one.withdraw()
                self.later(one, CANCELLED)

    def set_timer(self, token: int, at: int) -> None:
        self.core.timers.push(at, (self, token))

    def watch(self, on: bool) -> None:
        self.watch_wanted(on)

    def log(self, text: str) -> None:
        self.core.logger.often("module", text)

    # --- Attempts

    def unheard(self) -> bool:
        """Whether what the module chose by may be older than news that has come."""
        return self.news_waits is not None and self.news_waits()

    def later(self, attempt: Attempt, status: str) -> None:
        """An outcome that is known while the module is still speaking: told right after."""
        self._later.append((attempt, status))

    def may_begin(self, attempt: Attempt, now: int, ready: bool) -> bool:
        """Return whether an attempt's first byte may be written now, to a host that is `ready`."""
        exchange = attempt.exchange
        kind = exchange.kind
        keyed = kind is not None and kind.effect == KEYED
        remembered = keyed and self.remembered(exchange, now)
        return self.core.invariants.before_send(attempt, now, ready, remembered) is None

    def remembered(self, exchange: Exchange, now: int) -> bool:
        """Whether a repeat that is written now is still known as one by its hosts.

        Danger: the module chose while it was; a connection may take longer to come up than what is
        left of that time, and then the effect would happen twice.
        """
        kind = exchange.kind
        if kind is None or kind.effect != KEYED or not exchange.ran_at:
            return True
        return now < exchange.ran_at + int(kind.window * WINDOW_MARGIN)

    def due(self, attempt: Attempt, now: int) -> None:
        """Look at an attempt's time-outs."""
        if attempt.ends <= now:
            # What has not been written never ran, whatever it waited for.
            waits = attempt.connect_by and not self.transport.is_connected(attempt)
            unsent = EXPIRED if waits else MOOT
            self._give_up(attempt, TIMEOUT if attempt.conn is not None else unsent)
        elif attempt.connect_by and attempt.connect_by <= now:
            if self.transport.is_connected(attempt):
                # Danger: after a stall timers run before the loop hears of what was connected.
                attempt.connect_by = now + HEAR_CONNECTED
            else:
                self._give_up(attempt, CONNECT_FAILED)

    def begun(
        self, attempt: Attempt, answer: Answer, length: int | None, load: Report | None,
        source: ResponseSource,
    ) -> Client | None:  # fmt: skip
        """An attempt's answer is long and has begun: it is the client's from here on.

        None where nobody is there to take it; then it is dropped as it comes.
        """
        exchange = attempt.exchange
        if exchange.closed:
            return None
        now = self.core.clock()
        attempt.begun, attempt.ends = True, FAR
        client = self.core.answer_begun(exchange, answer, length, source)
        latency = now - attempt.sent
        self._tell(
            exchange,
            lambda: self.module.first(
                now, exchange.id, attempt.n, attempt.server, latency, load, True
            ),
        )
        return client

    def _give_up(self, attempt: Attempt, status: str) -> None:
        attempt.withdraw()
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
        core = self.core
        if status not in NEVER_RAN and not exchange.ran_at:
            exchange.ran_at = attempt.sent
        if status == MOOT and _left(exchange):
            core.client_gone(exchange)
        exchange.out.remove(attempt)
        now = core.clock()
        latency = now - attempt.sent
        if not exchange.closed:
            if status == OK:
                core.answer_served(exchange, answer)
            elif status == ERROR and answer is not None and self.reach.any_status:
                # Danger: passed on as it is, a host's 503 would say what this gateway's own says,
                # that a repeat is harmless.
                exchange.fallback = answer if answer.status != 503 else None
        fair = status != TIMEOUT or self._had_fair_time(attempt, now)
        self._count(attempt.server, status, fair)
        closed = exchange.closed
        self._tell(
            exchange,
            lambda: self.module.outcome(
                now, exchange.id, attempt.n, status, closed, latency, attempt.server, load, fair
            ),
        )
        core.release_exchange(exchange)

    def _had_fair_time(self, attempt: Attempt, now: int) -> bool:
        """Whether an attempt that has timed out says something of its host.

        It does not where this process was held up before it wrote the request, and the host had
        less of its time than that took.
        """
        held_up = attempt.sent < self.core.held_up_at <= attempt.written
        return not held_up or now - attempt.written >= attempt.written - attempt.sent

    def _count(self, server: str, status: str, fair: bool) -> None:
        statuses = self.core.counters.statuses
        statuses[status] = statuses.get(status, 0) + 1
        if not fair or status in (MOOT, CANCELLED, NO_ROUTE, WITHHELD):
            return
        if self.seen is not None:
            self.seen(server, status)
        if status == OK:
            self.failing.discard(server)
        elif server not in self.failing:
            self.failing.add(server)
            self.core.logger.often(f"host {server}", f"host {server}: {status}")

    def malformed(self, server: str, why: str) -> None:
        """What a host sent is no answer."""
        self.core.counters.malformed += 1
        self.core.logger.often(
            f"malformed {server}", f"host {server}: malformed answer: {why[:100]}"
        )

    def odd_status(self, server: str, status: int) -> None:
        """A host's whole answer that is neither served nor turned away."""
        self.core.logger.often(f"status {status} {server}", f"host {server} answered {status}")

    # --- Members

    def take_list(self, roster: Roster, mode: str) -> None:
        """News of members, in the module's terms for what kind of news it is."""
        gone = []
        for entry in roster.entries:
            name = entry.listed.server
            if entry.listed.state == GONE:
                gone.append(name)
            else:
                self.listed[name] = entry
        self.maintenance.saw(e.listed.server for e in roster.entries)
        entries = [self._told(e).listed for e in roster.entries]
        if mode in (FULL, RESTORED):
            named = {e.listed.server for e in roster.entries} | roster.bad_ids
            gone += [name for name in self.listed if name not in named]
            # A host whose entry can't be read stays as it was.
            left = [self.listed[n] for n in sorted(roster.bad_ids) if n in self.listed]
            entries += [self.maintenance.over(e.listed) for e in left]
        for name in gone:
            self.listed.pop(name, None)
            self.failing.discard(name)
            self.maintenance.gone(name)
            self.transport.drop_host(name)
        now = self.core.clock()
        since = self.list_held_at if mode in (FULL, CHANGES) else 0
        self._tell(None, lambda: self.module.members(now, mode, entries, since))

    def _told(self, entry: Entry) -> Entry:
        """An entry as module and transport hear it, with what staff have said over it."""
        over = self.maintenance.over(entry.listed)
        told = entry if over is entry.listed else Entry(over, entry.addr)
        if over.state != GONE:
            self.transport.list_host(told)
        return told

    def by_hand(self, name: str, out: bool) -> None:
        """Staff take a host out, or put it back."""
        if out:
            self.take_out(name)
        else:
            self.put_back(name)

    def take_out(self, name: str) -> Told:
        """Staff take a host out; from here on it is sent nothing new."""
        told = self.maintenance.enter(name, self.core.clock())
        self._retell(name, told)
        return told

    def put_back(self, name: str) -> Told:
        """Staff put a host back; it is used again from here on, as one that has just started."""
        told = self.maintenance.leave(name, self.core.clock())
        self._retell(name, told)
        return told

    def _retell(self, name: str, told: Told) -> None:
        if told is Told.CHANGED:
            self.retell([name])

    def retell(self, names: list[str]) -> None:
        """What staff have said of these has changed."""
        entries = tuple(self.listed[name] for name in names if name in self.listed)
        if entries:
            self.take_list(Roster(0, False, entries, 0, frozenset()), BY_HAND)

    def told(self) -> str:
        """The module's figures, for the log."""
        figures = self.module.figures | self.module.roster.reach.told()
        return " ".join(f"{name}={count}" for name, count in figures.items())

    def knowledge(self) -> Knowledge:
        """What the module has learned."""
        return learned(self.module)

    def adopt(self, knowledge: Knowledge) -> None:
        """Go on with what another process's module has learned."""
        self._tell(None, lambda: teach(self.module, knowledge))

    def share(self, part: float) -> None:
        """The part of the gateway's clients that comes to this process."""
        self._tell(None, lambda: self.module.share(part))

    def list_news(self, roster: Roster) -> None:
        """A source of members has answered: the whole list, or what has changed."""
        self.take_list(roster, FULL if roster.full else CHANGES)
        if roster.entries:
            self.core.logger.often(
                "list",
                f"list {roster.version}: {'whole' if roster.full else 'changes'}, "
                f"{len(roster.entries)} entries, {len(self.listed)} hosts",
            )

    def list_failed(self) -> None:
        """A watch that the module asked for has failed."""
        now = self.core.clock()
        self._tell(None, lambda: self.module.members(now, FAILED, ()))


def _left(exchange: Exchange) -> bool:
    """Whether this one's client has gone unnoticed."""
    return exchange.client is not None and exchange.client.left()
