"""The four rules over random legal sequences of events."""

from __future__ import annotations

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sailhitch.policy import Gateway
from sailhitch.policy_interface import (
    NEVER_RAN,
    AttemptOutcome,
    Endpoint,
    EndpointState,
    LoadReport,
    WatchEventKind,
)
from sailhitch.settings import (
    Idempotency,
    RequestClass,
    parse_settings,
)
from tests.fake import MS, START, FakePort, S, settings_value

NAMES = [f"s{i}" for i in range(6)]
STATUSES = [
    AttemptOutcome.OK,
    AttemptOutcome.ERROR,
    AttemptOutcome.BUSY,
    AttemptOutcome.TIMEOUT,
    AttemptOutcome.EXPIRED,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.RESET,
    AttemptOutcome.CANCELLED,
]
REPORTS = st.one_of(
    st.none(),
    st.builds(
        LoadReport,
        st.one_of(st.none(), st.floats(0, 50)),
        st.one_of(st.none(), st.floats(0, 1e7)),
        st.one_of(st.none(), st.floats(0, 50)),
    ),
)
STEP = st.one_of(
    st.tuples(st.just("request"), st.integers(0, 4), st.integers(1, 3000), st.integers(0, 3)),
    st.tuples(st.just("outcome"), st.integers(0, 30), st.sampled_from(STATUSES), REPORTS),
    st.tuples(st.just("list"), st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3)))),
    st.tuples(st.just("full"), st.lists(st.integers(0, 5), unique=True)),
    st.tuples(st.just("lost"), st.just(0)),
    st.tuples(st.just("wait"), st.integers(1, 900)),
    st.tuples(st.just("leave"), st.integers(0, 30)),
)


class Checker(FakePort):
    """Plays the world for one gateway and checks each action against the rules as worded."""

    def __init__(self, duplicates: bool, ask: bool) -> None:
        super().__init__()
        self.now = START
        self.duplicates = duplicates
        value = settings_value(
            limits={"mayDuplicate": duplicates},
            discovery="subscribe" if ask else "automatic",
            familyInfo={"warmKeys": True},
        )
        self.settings = parse_settings(value)
        self.classes: dict[int, RequestClass] = {}
        self.deadline: dict[int, int] = {}
        self.owed: set[int] = set()
        self.out: list[tuple[int, int, str, int]] = []  # req, attempt, server, when sent
        self.count: dict[int, int] = {}
        self.ran: dict[int, list[tuple[str, int]]] = {}  # attempts that may have run
        self.zone = {n: i % 2 for i, n in enumerate(NAMES)}
        self.cell = {n: i // 2 + 3 * (i % 2) for i, n in enumerate(NAMES)}
        self.not_ready: dict[str, int] = dict.fromkeys(NAMES, 0)  # since when; -1 is ready
        self.timers: list[tuple[int, int]] = []

    def send(self, req: int, server: str, timeout: int) -> None:
        assert req in self.owed, "sent for a request that ended"
        assert timeout >= 0
        since = self.not_ready[server]
        assert since < 0 or self.now - since <= self.settings.rules.drain_grace, "drain"
        cls = self.classes[req]
        mine = [(s, at) for r, _, s, at in self.out if r == req]
        assert self.duplicates or not mine, "two attempts out"
        earlier = self.ran[req] + mine
        if earlier and cls.idempotency == Idempotency.UNSAFE:
            raise AssertionError("an unsafe request sent again")
        if earlier and cls.idempotency == Idempotency.KEYED:
            for where, at in earlier:
                assert self.now <= at + cls.idempotency_window, "outside the window"
                assert (
                    cls.idempotency_scope == "all"
                    or (cls.idempotency_scope == "zone" and self.zone[where] == self.zone[server])
                    or (cls.idempotency_scope == "cell" and self.cell[where] == self.cell[server])
                ), "outside the group"
        self.out.append((req, self.count[req], server, self.now))
        self.count[req] += 1
        assert self.count[req] <= self.settings.limits.max_attempts

    def _end(self, req: int) -> None:
        assert req in self.owed, "two answers"
        assert self.now <= self.deadline[req] + self.settings.rules.answer_slack, "too late"
        self.owed.discard(req)

    def refuse(self, req: int, retry_after: int) -> None:
        cls = self.classes[req]
        maybe = bool(self.ran[req]) or any(r == req for r, *_ in self.out)
        assert (
            cls.idempotency == Idempotency.SAFE
            or (cls.idempotency == Idempotency.KEYED and cls.idempotency_scope == "all")
            or not maybe
        ), "a refusal that lies"
        self._end(req)

    def fail(self, req: int) -> None:
        self._end(req)

    def set_timer(self, token: int, at: int) -> None:
        self.timers.append((at, token))

    # --- The world's side

    def listed(self, name: str, state: EndpointState, boot: int = 0) -> Endpoint:
        if state == EndpointState.READY:
            self.not_ready[name] = -1
        elif self.not_ready[name] < 0:
            self.not_ready[name] = self.now
        return Endpoint(name, 1.0, self.zone[name], self.cell[name], state, boot, 0)

    def end_attempt(
        self, gateway: Gateway, i: int, status: AttemptOutcome, report: LoadReport | None
    ) -> None:
        req, attempt, server, at = self.out.pop(i)
        owed = req in self.owed
        closed = status == AttemptOutcome.OK or not owed
        if status == AttemptOutcome.OK:
            self.owed.discard(req)
        if status not in NEVER_RAN:
            self.ran[req].append((server, at))
        gateway.outcome(self.now, req, attempt, status, closed, self.now - at, server, report)

    def advance(self, gateway: Gateway, to: int) -> None:
        """Timers, the end of attempts at their client's deadline, in order of time."""
        while True:
            nearest = [(at, 0, token) for at, token in self.timers if at <= to]
            nearest += [
                (self.deadline[r], 1, i)
                for i, (r, *_) in enumerate(self.out)
                if self.deadline[r] <= to
            ]
            if not nearest:
                break
            at, kind, which = min(nearest)
            self.now = max(self.now, at)
            if kind == 0:
                self.timers.remove((at, which))
                gateway.timer(self.now, which)
            else:
                self.end_attempt(gateway, which, AttemptOutcome.TIMEOUT, None)
        self.now = to
        for req in self.owed:
            assert to <= self.deadline[req] + self.settings.rules.answer_slack, "no answer"


@given(steps=st.lists(STEP, max_size=60), duplicates=st.booleans(), ask=st.booleans())
@settings(
    max_examples=200,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
def test_the_rules_hold_over_any_legal_events(
    steps: list[tuple[object, ...]], duplicates: bool, ask: bool
) -> None:
    world = Checker(duplicates, ask)
    gateway = Gateway(world, world.settings, 11)
    gateway.start(world.now)
    gateway.on_watch_event(
        world.now,
        WatchEventKind.RESTORED,
        [world.listed(n, EndpointState.READY) for n in NAMES[:4]],
    )
    req = 0
    for step in steps:
        match step:
            case ("request", int(cls), int(lasts), int(key)):
                req += 1
                world.classes[req] = world.settings.classes[cls]
                world.deadline[req] = world.now + lasts * MS
                world.owed.add(req)
                world.count[req], world.ran[req] = 0, []
                gateway.request(world.now, req, cls, world.deadline[req], 0, key or None, 0)
            case ("outcome", int(i), str(status), report) if world.out:
                assert report is None or isinstance(report, LoadReport)
                world.end_attempt(gateway, i % len(world.out), AttemptOutcome(status), report)
            case ("list", list(changes)):
                states = [
                    EndpointState.READY,
                    EndpointState.DRAINING,
                    EndpointState.GONE,
                    EndpointState.READY,
                ]
                news = [
                    world.listed(NAMES[n], states[s], world.now if s == 3 else 0)
                    for n, s in changes
                ]
                gateway.on_watch_event(world.now, WatchEventKind.CHANGES, news)
            case ("full", list(names)):
                for n, name in enumerate(NAMES):
                    if n not in names:
                        world.listed(name, EndpointState.GONE)
                full = [world.listed(NAMES[n], EndpointState.READY) for n in names]
                gateway.on_watch_event(world.now, WatchEventKind.SNAPSHOT, full)
            case ("lost", _) if ask:
                gateway.on_watch_event(world.now, WatchEventKind.FAILED, [])
            case ("wait", int(ms)):
                world.advance(gateway, world.now + ms * MS)
            case ("leave", int(i)) if world.owed:
                who = sorted(world.owed)[i % len(world.owed)]
                world.owed.discard(who)
                gateway.client_disconnected(world.now, who)
                gateway.client_disconnected(world.now, who)  # it may be named again
    world.advance(gateway, world.now + 20 * S)
    assert not world.owed
