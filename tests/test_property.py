"""Property test of the four rules, over random valid sequences of events."""

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
    AttemptOutcome.STALLED,
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
    """Simulates the environment of one gateway and checks each action against the rules."""

    def __init__(self, duplicates: bool, needs_watch: bool) -> None:
        super().__init__()
        self.now = START
        self.duplicates = duplicates
        value = settings_value(
            limits={"mayDuplicate": duplicates},
            discovery="subscribe" if needs_watch else "automatic",
            familyInfo={"warmKeys": True},
        )
        self.settings = parse_settings(value)
        self.classes: dict[int, RequestClass] = {}
        self.deadline: dict[int, int] = {}
        self.unanswered: set[int] = set()
        self.in_flight: list[tuple[int, int, str, int]] = []  # request, attempt, server, send time
        self.count: dict[int, int] = {}
        self.possible_runs: dict[int, list[tuple[str, int]]] = {}  # attempts that may have run
        self.zone = {n: i % 2 for i, n in enumerate(NAMES)}
        self.cell = {n: i // 2 + 3 * (i % 2) for i, n in enumerate(NAMES)}
        self.not_ready: dict[str, int] = dict.fromkeys(NAMES, 0)  # since when; -1 if ready
        self.timers: list[tuple[int, int]] = []

    def send(self, req: int, server: str, timeout: int) -> None:
        assert req in self.unanswered, "attempt for a request that has ended"
        assert timeout >= 0
        since = self.not_ready[server]
        assert since < 0 or self.now - since <= self.settings.rules.drain_grace, "draining"
        cls = self.classes[req]
        own_attempts = [(s, sent_at) for r, _, s, sent_at in self.in_flight if r == req]
        assert self.duplicates or not own_attempts, "two attempts in flight"
        earlier = self.possible_runs[req] + own_attempts
        if earlier and cls.idempotency == Idempotency.UNSAFE:
            raise AssertionError("an unsafe request sent again")
        if earlier and cls.idempotency == Idempotency.KEYED:
            for previous, sent_at in earlier:
                assert self.now <= sent_at + cls.idempotency_window, "outside the window"
                assert (
                    cls.idempotency_scope == "all"
                    or (
                        cls.idempotency_scope == "zone" and self.zone[previous] == self.zone[server]
                    )
                    or (
                        cls.idempotency_scope == "cell" and self.cell[previous] == self.cell[server]
                    )
                ), "outside the scope"
        self.in_flight.append((req, self.count[req], server, self.now))
        self.count[req] += 1
        assert self.count[req] <= self.settings.limits.max_attempts

    def _finish(self, req: int) -> None:
        assert req in self.unanswered, "two responses"
        assert self.now <= self.deadline[req] + self.settings.rules.answer_slack, "late response"
        self.unanswered.discard(req)

    def refuse(self, req: int, retry_after: int) -> None:
        cls = self.classes[req]
        may_have_run = bool(self.possible_runs[req]) or any(r == req for r, *_ in self.in_flight)
        assert (
            cls.idempotency == Idempotency.SAFE
            or (cls.idempotency == Idempotency.KEYED and cls.idempotency_scope == "all")
            or not may_have_run
        ), "rejected although a repeat is not safe"
        self._finish(req)

    def fail(self, req: int) -> None:
        self._finish(req)

    def set_timer(self, token: int, at: int) -> None:
        self.timers.append((at, token))

    # --- Simulation of the environment

    def listed(self, name: str, state: EndpointState, boot: int = 0) -> Endpoint:
        if state == EndpointState.READY:
            self.not_ready[name] = -1
        elif self.not_ready[name] < 0:
            self.not_ready[name] = self.now
        return Endpoint(name, 1.0, self.zone[name], self.cell[name], state, boot, 0)

    def end_attempt(
        self, gateway: Gateway, i: int, status: AttemptOutcome, report: LoadReport | None
    ) -> None:
        req, attempt, server, sent_at = self.in_flight.pop(i)
        unanswered = req in self.unanswered
        closed = status == AttemptOutcome.OK or not unanswered
        if status == AttemptOutcome.OK:
            self.unanswered.discard(req)
        if status not in NEVER_RAN:
            self.possible_runs[req].append((server, sent_at))
        gateway.outcome(self.now, req, attempt, status, closed, self.now - sent_at, server, report)

    def advance(self, gateway: Gateway, to: int) -> None:
        """Advance the clock, firing timers and timing out attempts at the client's deadline."""
        while True:
            nearest = [(at, 0, token) for at, token in self.timers if at <= to]
            nearest += [
                (self.deadline[r], 1, i)
                for i, (r, *_) in enumerate(self.in_flight)
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
        for req in self.unanswered:
            assert to <= self.deadline[req] + self.settings.rules.answer_slack, "no response"


@given(steps=st.lists(STEP, max_size=60), duplicates=st.booleans(), needs_watch=st.booleans())
@settings(
    max_examples=200,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
def test_the_rules_hold_over_any_legal_events(
    steps: list[tuple[object, ...]], duplicates: bool, needs_watch: bool
) -> None:
    checker = Checker(duplicates, needs_watch)
    gateway = Gateway(checker, checker.settings, 11)
    gateway.start(checker.now)
    gateway.on_watch_event(
        checker.now,
        WatchEventKind.RESTORED,
        [checker.listed(n, EndpointState.READY) for n in NAMES[:4]],
    )
    req = 0
    for step in steps:
        match step:
            case ("request", int(cls), int(time_limit), int(key)):
                req += 1
                checker.classes[req] = checker.settings.classes[cls]
                checker.deadline[req] = checker.now + time_limit * MS
                checker.unanswered.add(req)
                checker.count[req], checker.possible_runs[req] = 0, []
                gateway.request(checker.now, req, cls, checker.deadline[req], 0, key or None, 0)
            case ("outcome", int(i), str(status), report) if checker.in_flight:
                assert report is None or isinstance(report, LoadReport)
                checker.end_attempt(
                    gateway, i % len(checker.in_flight), AttemptOutcome(status), report
                )
            case ("list", list(changes)):
                states = [
                    EndpointState.READY,
                    EndpointState.DRAINING,
                    EndpointState.GONE,
                    EndpointState.READY,
                ]
                entries = [
                    checker.listed(NAMES[n], states[s], checker.now if s == 3 else 0)
                    for n, s in changes
                ]
                gateway.on_watch_event(checker.now, WatchEventKind.CHANGES, entries)
            case ("full", list(names)):
                for n, name in enumerate(NAMES):
                    if n not in names:
                        checker.listed(name, EndpointState.GONE)
                full = [checker.listed(NAMES[n], EndpointState.READY) for n in names]
                gateway.on_watch_event(checker.now, WatchEventKind.SNAPSHOT, full)
            case ("lost", _) if needs_watch:
                gateway.on_watch_event(checker.now, WatchEventKind.FAILED, [])
            case ("wait", int(ms)):
                checker.advance(gateway, checker.now + ms * MS)
            case ("leave", int(i)) if checker.unanswered:
                request_id = sorted(checker.unanswered)[i % len(checker.unanswered)]
                checker.unanswered.discard(request_id)
                gateway.client_disconnected(checker.now, request_id)
                gateway.client_disconnected(checker.now, request_id)  # may be repeated
    checker.advance(gateway, checker.now + 20 * S)
    assert not checker.unanswered
