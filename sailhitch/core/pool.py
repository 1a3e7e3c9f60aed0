"""A pool of hosts: one instance of the decision module, and the only caller of it.

Owns the meaning that the simulator's wire gives to events and actions: numbers of attempts and
their time-outs, when a request is closed, and outcomes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from ..policy import WINDOW_MARGIN, Gateway
from ..policy_interface import (
    NEVER_RAN,
    AttemptOutcome,
    EndpointState,
    LoadReport,
    PolicySnapshot,
    WatchEventKind,
)
from ..settings import (
    Idempotency,
    RequestClass,
    Settings,
)
from .connection_settings import ConnectionSettings
from .endpoints import EndpointAddress, EndpointUpdate
from .interfaces import Client, ResponseSource, Transport
from .maintenance import Maintenance, MaintenanceResult
from .policy_snapshot import restore_snapshot, take_snapshot
from .request_classes import RequestClasses
from .request_context import Attempt, RequestContext
from .response import Response
from .timer_wheel import NEVER

if TYPE_CHECKING:
    from .core import GatewayCore


CONNECT_EVENT_DELAY: Final = 10_000  # us in which a loop that was held up hears of a connection


class Pool:
    """Translates between the core and one instance of the module; implements `Port`."""

    def __init__(
        self,
        core: GatewayCore,
        name: str,
        settings: Settings,
        seed: int,
        reach: ConnectionSettings,
        transport: Callable[[Pool], Transport],
    ) -> None:
        self.core = core
        self.name = name
        self.settings = settings
        self.connection_settings = reach
        self.request_classes = RequestClasses(settings.classes)
        self.endpoints: dict[str, EndpointAddress] = {}  # as the list has them
        self.list_valid_at = 0  # when its source last said that nothing was new; 0: not known
        self.maintenance = Maintenance()
        self.failing: set[str] = set()  # hosts whose last attempt failed; for the log only
        self.set_watch_wanted: Callable[[bool], None] = lambda on: None
        # Asked right before an attempt's first byte is written, where rules may have changed since
        # the module chose; None where they can't.
        self.may_write: Callable[[Attempt], bool] | None = None
        # Whether news of members has come that nobody has read yet; None where none comes so.
        self.has_unread_event: Callable[[], bool] | None = None
        # Told of each attempt's server and outcome, where somebody sums them up.
        self.on_outcome: Callable[[str, str], None] | None = None
        self.stamp = b""  # fields that every attempt carries, as of the rules it is sent by
        self._inside = False
        self._deferred_outcomes: deque[tuple[Attempt, AttemptOutcome]] = deque()
        self.transport = transport(self)
        self.policy = Gateway(self, settings, seed)

    def start(self, known: EndpointUpdate) -> None:
        """Start the module with the list as last known."""
        now = self.core.clock()
        self._notify_policy(None, lambda: self.policy.start(now))
        self.apply_update(known, WatchEventKind.RESTORED)

    # --- The module

    def _notify_policy(self, request: RequestContext | None, event: Callable[[], None]) -> None:
        """Hand the module an event. Its exception fails that one request; the process lives."""
        if self._inside:
            raise RuntimeError("the module was called from inside itself")
        self._inside = True
        try:
            event()
        except Exception as error:
            self._on_policy_failure(request, error)
        finally:
            self._inside = False
        while self._deferred_outcomes and not self._inside:
            attempt, status = self._deferred_outcomes.popleft()
            self.attempt_finished(attempt, status, None, None)

    def _on_policy_failure(self, request: RequestContext | None, error: Exception) -> None:
        self.core.policy_failed(error)
        if request is not None and not request.closed:
            self.policy.open_requests.pop(request.id, None)
            self.core.respond_failed(request)

    def request(self, request: RequestContext, now: int, deadline: int) -> None:
        """A request of this pool has come: whole, or so much of it that it can begin to go on."""
        kind = request.request_class
        assert kind is not None
        number = self.request_classes.number(kind)
        if number is None:  # it took longer to come than any class that has gone is remembered
            self.core.respond_failed(request)
            return
        self._notify_policy(
            request,
            lambda: self.policy.request(
                now,
                request.id,
                number,
                deadline,
                request.work,
                request.key,
                request.tenant,
                request.repeat,
                request.is_uploading(),
            ),
        )

    def body_complete(self, request: RequestContext, now: int) -> None:
        """The last byte has come of a request that had begun to go on without it."""
        self._notify_policy(
            request, lambda: self.policy.body_complete(now, request.id, request.deadline)
        )

    def client_disconnected(self, request: RequestContext, now: int) -> None:
        """Nobody waits for this one's answer any more."""
        self._notify_policy(None, lambda: self.policy.client_disconnected(now, request.id))

    def timer(self, token: int, now: int) -> None:
        """A timer that the module has set."""
        self._notify_policy(None, lambda: self.policy.timer(now, token))

    def on_stall(self, now: int) -> None:
        """The process has been held up."""
        self._notify_policy(None, lambda: self.policy.on_stall(now))

    def retire(self) -> None:
        """The pool is to go: what it holds is answered, and what is out goes on to its end."""
        now = self.core.clock()
        self._notify_policy(None, lambda: self.policy.retire(now))

    def reconfigure(
        self, settings: Settings, reach: ConnectionSettings, also: Sequence[RequestClass] = ()
    ) -> None:
        """Go by other settings; requests taken go on under their class as it was.

        `also` are classes that requests may come under for a while besides those of the settings.
        """
        self.connection_settings = reach
        if settings != self.settings:
            self.settings = settings
            now = self.core.clock()
            whole = replace(
                settings, classes=self.request_classes.replace(now, settings.classes, also)
            )
            self._notify_policy(None, lambda: self.policy.reconfigure(now, whole))

    # --- Port: what the module does

    def send(self, req: int, server: str, timeout: int) -> None:
        request = self.core.open_requests.get(req)
        if request is None:
            return
        now = self.core.clock()
        ends = min(now + timeout, request.deadline) if timeout > 0 else request.deadline
        attempt = Attempt(request, request.attempts, server, now, ends)
        request.attempts += 1
        request.open_attempts.append(attempt)
        upload = request.upload
        if upload is not None and not upload.complete:
            attempt.timeout = timeout
            attempt.expires_at = NEVER
        most = self.settings.limits.max_attempts
        over = request.closed or now >= ends or request.attempts > most
        if over or (upload is not None and not upload.replayable()):
            self.defer_outcome(attempt, AttemptOutcome.NOT_SENT)
        else:
            self.transport.start(attempt, now)
            self.core.schedule(request)

    def refuse(self, req: int, retry_after: int) -> None:
        request = self.core.open_requests.get(req)
        if request is not None and not request.closed:
            self.core.counters.refused += 1
            self.core.respond_rejected(request, retry_after)

    def fail(self, req: int) -> None:
        request = self.core.open_requests.get(req)
        if request is not None and not request.closed:
            self.core.respond_failed(request)

    def cancel(self, req: int, attempt: int) -> None:
        request = self.core.open_requests.get(req)
        if request is None:
            return
        for one in request.open_attempts:
            if one.number == attempt:
                one.cancel()
                self.defer_outcome(one, AttemptOutcome.CANCELLED)

    def set_timer(self, token: int, at: int) -> None:
        self.core.timers.push(at, (self, token))

    def watch(self, on: bool) -> None:
        self.set_watch_wanted(on)

    def log(self, text: str) -> None:
        self.core.logger.write_limited("module", text)

    # --- Attempts

    def has_unread_updates(self) -> bool:
        """Return whether what the module chose by may be older than news that has come."""
        return self.has_unread_event is not None and self.has_unread_event()

    def defer_outcome(self, attempt: Attempt, status: AttemptOutcome) -> None:
        """An outcome that is known while the module is still speaking: told right after."""
        self._deferred_outcomes.append((attempt, status))

    def may_send(self, attempt: Attempt, now: int, ready: bool) -> bool:
        """Return whether an attempt's first byte may be written now, to a host that is `ready`."""
        request = attempt.request
        kind = request.request_class
        keyed = kind is not None and kind.idempotency == Idempotency.KEYED
        remembered = keyed and self.is_key_remembered(request, now)
        return self.core.invariants.before_send(attempt, now, ready, remembered) is None

    def is_key_remembered(self, request: RequestContext, now: int) -> bool:
        """Return whether a repeat that is written now is still known as one by its hosts.

        The module chose while it was; a connection may take longer to come up than what is
        left of that time, and then the effect would happen twice.
        """
        kind = request.request_class
        if kind is None or kind.idempotency != Idempotency.KEYED or not request.first_run_at:
            return True
        return now < request.first_run_at + int(kind.idempotency_window * WINDOW_MARGIN)

    def check_timeouts(self, attempt: Attempt, now: int) -> None:
        """Look at an attempt's time-outs."""
        if attempt.expires_at <= now:
            # What has not been written never ran, whatever it waited for.
            waits = attempt.connect_by and not self.transport.is_connected(attempt)
            unsent = AttemptOutcome.EXPIRED if waits else AttemptOutcome.NOT_SENT
            self._give_up(
                attempt, AttemptOutcome.TIMEOUT if attempt.connection is not None else unsent
            )
        elif attempt.connect_by and attempt.connect_by <= now:
            if self.transport.is_connected(attempt):
                # After a stall timers run before the loop hears of what was connected.
                attempt.connect_by = now + CONNECT_EVENT_DELAY
            else:
                self._give_up(attempt, AttemptOutcome.CONNECT_FAILED)

    def response_started(
        self,
        attempt: Attempt,
        answer: Response,
        length: int | None,
        load: LoadReport | None,
        source: ResponseSource,
    ) -> Client | None:
        """An attempt's answer is long and has begun: it is the client's from here on.

        None where nobody is there to take it; then it is dropped as it comes.
        """
        request = attempt.request
        if request.closed:
            return None
        now = self.core.clock()
        attempt.response_started = True
        attempt.expires_at = NEVER
        client = self.core.respond_streaming(request, answer, length, source)
        latency = now - attempt.sent_at
        self._notify_policy(
            request,
            lambda: self.policy.response_started(
                now, request.id, attempt.number, attempt.server, latency, load, True
            ),
        )
        return client

    def _give_up(self, attempt: Attempt, status: AttemptOutcome) -> None:
        attempt.cancel()
        self.attempt_finished(attempt, status, None, None)

    def attempt_finished(
        self,
        attempt: Attempt,
        status: AttemptOutcome,
        load: LoadReport | None,
        answer: Response | None,
    ) -> None:
        """An attempt has its outcome; the first served one is the client's answer."""
        if attempt.finished:
            return
        attempt.finished = True
        attempt.connect_by = 0
        request = attempt.request
        core = self.core
        if status not in NEVER_RAN and not request.first_run_at:
            request.first_run_at = attempt.sent_at
        if status == AttemptOutcome.NOT_SENT and _client_has_left(request):
            core.client_disconnected(request)
        request.open_attempts.remove(attempt)
        now = core.clock()
        latency = now - attempt.sent_at
        if not request.closed:
            if status == AttemptOutcome.OK:
                core.respond_served(request, answer)
            elif (
                status == AttemptOutcome.ERROR
                and answer is not None
                and self.connection_settings.passes_any_status
            ):
                # Passed on as it is, a host's 503 would say what this gateway's own says,
                # that a repeat is harmless.
                request.fallback_response = answer if answer.status != 503 else None
        fair = status != AttemptOutcome.TIMEOUT or self._had_fair_time(attempt, now)
        self._count(attempt.server, status, fair)
        closed = request.closed
        self._notify_policy(
            request,
            lambda: self.policy.outcome(
                now,
                request.id,
                attempt.number,
                status,
                closed,
                latency,
                attempt.server,
                load,
                fair,
            ),
        )
        core.release_request(request)

    def _had_fair_time(self, attempt: Attempt, now: int) -> bool:
        """Return whether an attempt that has timed out says something of its host.

        It does not where this process was held up before it wrote the request, and the host had
        less of its time than that took.
        """
        held_up = attempt.sent_at < self.core.stalled_until <= attempt.written_at
        return not held_up or now - attempt.written_at >= attempt.written_at - attempt.sent_at

    def _count(self, server: str, status: AttemptOutcome, fair: bool) -> None:
        statuses = self.core.counters.statuses
        statuses[status] = statuses.get(status, 0) + 1
        if not fair or status in (
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.CANCELLED,
            AttemptOutcome.NO_ROUTE,
            AttemptOutcome.WITHHELD,
        ):
            return
        if self.on_outcome is not None:
            self.on_outcome(server, status)
        if status == AttemptOutcome.OK:
            self.failing.discard(server)
        elif server not in self.failing:
            self.failing.add(server)
            self.core.logger.write_limited(f"host {server}", f"host {server}: {status}")

    def on_malformed_response(self, server: str, why: str) -> None:
        """What a host sent is no answer."""
        self.core.counters.malformed += 1
        self.core.logger.write_limited(
            f"malformed {server}", f"host {server}: malformed answer: {why[:100]}"
        )

    def on_unexpected_status(self, server: str, status: int) -> None:
        """A host's whole answer that is neither served nor turned away."""
        self.core.logger.write_limited(
            f"status {status} {server}", f"host {server} answered {status}"
        )

    # --- Members

    def apply_update(self, roster: EndpointUpdate, mode: WatchEventKind) -> None:
        """News of members, in the module's terms for what kind of news it is."""
        gone = []
        for entry in roster.entries:
            name = entry.endpoint.name
            if entry.endpoint.state == EndpointState.GONE:
                gone.append(name)
            else:
                self.endpoints[name] = entry
        self.maintenance.add_names(e.endpoint.name for e in roster.entries)
        entries = [self._with_maintenance(e).endpoint for e in roster.entries]
        if mode in (WatchEventKind.SNAPSHOT, WatchEventKind.RESTORED):
            named = {e.endpoint.name for e in roster.entries} | roster.invalid_names
            gone += [name for name in self.endpoints if name not in named]
            # A host whose entry can't be read stays as it was.
            left = [self.endpoints[n] for n in sorted(roster.invalid_names) if n in self.endpoints]
            entries += [self.maintenance.apply_to(e.endpoint) for e in left]
        for name in gone:
            self.endpoints.pop(name, None)
            self.failing.discard(name)
            self.maintenance.forget(name)
            self.transport.drop_host(name)
        now = self.core.clock()
        since = (
            self.list_valid_at if mode in (WatchEventKind.SNAPSHOT, WatchEventKind.CHANGES) else 0
        )
        self._notify_policy(None, lambda: self.policy.on_watch_event(now, mode, entries, since))

    def _with_maintenance(self, entry: EndpointAddress) -> EndpointAddress:
        """Return an entry as module and transport hear it, with what staff have said over it."""
        over = self.maintenance.apply_to(entry.endpoint)
        told = entry if over is entry.endpoint else EndpointAddress(over, entry.address)
        if over.state != EndpointState.GONE:
            self.transport.list_host(told)
        return told

    def set_maintenance(self, name: str, out: bool) -> None:
        """Staff take a host out, or put it back."""
        if out:
            self.enter_maintenance(name)
        else:
            self.leave_maintenance(name)

    def enter_maintenance(self, name: str) -> MaintenanceResult:
        """Staff take a host out; from here on it is sent nothing new."""
        told = self.maintenance.enter(name, self.core.clock())
        self._republish_if_changed(name, told)
        return told

    def leave_maintenance(self, name: str) -> MaintenanceResult:
        """Staff put a host back; it is used again from here on, as one that has just started."""
        told = self.maintenance.leave(name, self.core.clock())
        self._republish_if_changed(name, told)
        return told

    def _republish_if_changed(self, name: str, told: MaintenanceResult) -> None:
        if told is MaintenanceResult.CHANGED:
            self.republish([name])

    def republish(self, names: list[str]) -> None:
        """What staff have said of these has changed."""
        entries = tuple(self.endpoints[name] for name in names if name in self.endpoints)
        if entries:
            self.apply_update(
                EndpointUpdate(0, False, entries, 0, frozenset()), WatchEventKind.MAINTENANCE
            )

    def summary(self) -> str:
        """Return the module's figures, for the log."""
        figures = self.policy.counters | self.policy.endpoint_table.reach.summary()
        return " ".join(f"{name}={count}" for name, count in figures.items())

    def take_snapshot(self) -> PolicySnapshot:
        """Return what the module has learned."""
        return take_snapshot(self.policy)

    def restore_snapshot(self, knowledge: PolicySnapshot) -> None:
        """Go on with what another process's module has learned."""
        self._notify_policy(None, lambda: restore_snapshot(self.policy, knowledge))

    def set_share(self, part: float) -> None:
        """The part of the gateway's clients that comes to this process."""
        self._notify_policy(None, lambda: self.policy.set_share(part))

    def on_endpoint_update(self, roster: EndpointUpdate) -> None:
        """A source of members has answered: the whole list, or what has changed."""
        self.apply_update(
            roster, WatchEventKind.SNAPSHOT if roster.is_snapshot else WatchEventKind.CHANGES
        )
        if roster.entries:
            self.core.logger.write_limited(
                "list",
                f"list {roster.version}: {'whole' if roster.is_snapshot else 'changes'}, "
                f"{len(roster.entries)} entries, {len(self.endpoints)} hosts",
            )

    def on_watch_failed(self) -> None:
        """A watch that the module asked for has failed."""
        now = self.core.clock()
        self._notify_policy(
            None, lambda: self.policy.on_watch_event(now, WatchEventKind.FAILED, ())
        )


def _client_has_left(request: RequestContext) -> bool:
    """Return whether this one's client has gone unnoticed."""
    return request.client is not None and request.client.left()
