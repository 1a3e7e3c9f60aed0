"""A pool of hosts: passes events to its decision module, and tracks attempts to their outcomes.

Only this module calls the decision module. It defines the events as the simulator's protocol does:
how attempts are numbered and time out, when a request is closed, and which outcomes there are.
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
    LoadReport,
    PolicySnapshot,
    WatchEventKind,
)
from ..settings import Idempotency, RequestClass, Settings
from .connection_settings import ConnectionSettings
from .endpoints import EndpointUpdate
from .interfaces import (
    Client,
    HasUnreadEvent,
    MayWrite,
    OnOutcome,
    ResponseSource,
    SetWatchWanted,
    Transport,
)
from .maintenance import MaintenanceResult
from .outcome_recorder import OutcomeRecorder
from .policy_port import PolicyPort
from .policy_snapshot import restore_snapshot, take_snapshot
from .pool_endpoints import PoolEndpoints
from .request_classes import RequestClasses
from .request_context import Attempt, RequestContext
from .response import Response
from .timer_wheel import NEVER

if TYPE_CHECKING:
    from .core import GatewayCore


SERVICE_UNAVAILABLE: Final = 503
CONNECT_EVENT_DELAY: Final = 10_000  # us for the event loop to report a connection after a stall


class Pool:
    """Connects the core with one instance of the decision module and its transport."""

    def __init__(
        self,
        core: GatewayCore,
        name: str,
        settings: Settings,
        seed: int,
        connection_settings: ConnectionSettings,
        transport: Callable[[Pool], Transport],
    ) -> None:
        self.core = core
        self.name = name
        self.settings = settings
        self.connection_settings = connection_settings
        self.request_classes = RequestClasses(settings.classes)
        self._endpoint_list = PoolEndpoints(self)
        self.endpoints = self._endpoint_list.by_name
        self.maintenance = self._endpoint_list.maintenance
        self.list_valid_at = 0  # when its source last confirmed the list; 0 if unknown
        self._outcomes = OutcomeRecorder(self)
        self.failing = self._outcomes.failing
        self.set_watch_wanted: SetWatchWanted | None = None
        self.may_write: MayWrite | None = None
        self.has_unread_event: HasUnreadEvent | None = None
        self.on_outcome: OnOutcome | None = None
        self.stamp = b""  # header fields on every attempt, which name the version of the rules
        self._in_policy = False
        self._deferred_outcomes: deque[tuple[Attempt, AttemptOutcome]] = deque()
        self.transport = transport(self)
        self.port = PolicyPort(self)
        self.policy = Gateway(self.port, settings, seed)

    def start(self, update: EndpointUpdate) -> None:
        """Start the module with the last known endpoint list."""
        now = self.core.clock()
        self.notify_policy(None, lambda: self.policy.start(now))
        self.apply_update(update, WatchEventKind.RESTORED)

    # --- Events to the decision module

    def notify_policy(self, request: RequestContext | None, event: Callable[[], None]) -> None:
        """Pass an event to the module; an exception fails only the request, not the process."""
        if self._in_policy:
            raise RuntimeError("reentrant call of the decision module")
        self._in_policy = True
        try:
            event()
        except Exception as error:
            self._on_policy_failure(request, error)
        finally:
            self._in_policy = False
        while self._deferred_outcomes and not self._in_policy:
            attempt, status = self._deferred_outcomes.popleft()
            self.attempt_finished(attempt, status, None, None)

    def _on_policy_failure(self, request: RequestContext | None, error: Exception) -> None:
        self.core.policy_failed(error)
        if request is not None and not request.closed:
            self.policy.open_requests.pop(request.id, None)
            self.core.respond_failed(request)

    def request(self, request: RequestContext, now: int, deadline: int) -> None:
        """Pass a request to the module once it is complete, or can be streamed."""
        request_class = request.request_class
        assert request_class is not None
        number = self.request_classes.number(request_class)
        if number is None:  # removed classes are kept for a limited time
            self.core.respond_failed(request)
            return
        self.notify_policy(
            request,
            lambda: self.policy.request(
                now,
                request.id,
                number,
                deadline,
                request.work,
                request.key,
                request.tenant,
                request.is_retry,
                request.is_uploading(),
            ),
        )

    def body_arrived(self, request: RequestContext, arrived: int) -> None:
        """Report when the last byte of a streamed request arrived, though it may be unread."""
        self.notify_policy(
            request, lambda: self.policy.body_arrived(request.id, request.deadline, arrived)
        )

    def body_complete(self, request: RequestContext, now: int) -> None:
        """Report that the last byte of a streamed request was passed on."""
        self.notify_policy(request, lambda: self.policy.body_complete(now, request.id))

    def client_disconnected(self, request: RequestContext, now: int) -> None:
        """Report that the request's client has disconnected."""
        self.notify_policy(None, lambda: self.policy.client_disconnected(now, request.id))

    def timer(self, token: int, now: int) -> None:
        """Report a timer that the module has set."""
        self.notify_policy(None, lambda: self.policy.timer(now, token))

    def on_stall(self, now: int, duration: int) -> None:
        """Report a stall of the event loop that ended now."""
        self.notify_policy(None, lambda: self.policy.on_stall(now, duration))

    def retire(self) -> None:
        """Retire the pool: queued requests get a response, and open attempts are completed."""
        now = self.core.clock()
        self.notify_policy(None, lambda: self.policy.retire(now))

    def reconfigure(
        self,
        settings: Settings,
        connection_settings: ConnectionSettings,
        extra_classes: Sequence[RequestClass] = (),
    ) -> None:
        """Apply other settings; open requests keep their class.

        `extra_classes`, besides those of the settings, are accepted for a while.
        """
        self.connection_settings = connection_settings
        if settings != self.settings:
            self.settings = settings
            now = self.core.clock()
            classes = self.request_classes.replace(now, settings.classes, extra_classes)
            policy_settings = replace(settings, classes=classes)
            self.notify_policy(None, lambda: self.policy.reconfigure(now, policy_settings))

    # --- Attempts

    def has_unread_updates(self) -> bool:
        """Return whether an update has arrived that the module's choices don't reflect yet."""
        return self.has_unread_event is not None and self.has_unread_event()

    def defer_outcome(self, attempt: Attempt, status: AttemptOutcome) -> None:
        """Record an outcome once the module, which is running now, has returned."""
        self._deferred_outcomes.append((attempt, status))

    def may_send(self, attempt: Attempt, now: int, ready: bool) -> bool:
        """Return whether an attempt's first byte may be written now, to a host that is `ready`."""
        request = attempt.request
        request_class = request.request_class
        keyed = request_class is not None and request_class.idempotency == Idempotency.KEYED
        remembered = keyed and self.is_key_remembered(request, now)
        return self.core.invariants.before_send(attempt, now, ready, remembered) is None

    def is_key_remembered(self, request: RequestContext, now: int) -> bool:
        """Return whether hosts still recognize a retry by its key if it is written now.

        They did when the module chose the attempt, but connecting may take longer than the rest of
        the idempotency window, and the request would then take effect twice.
        """
        request_class = request.request_class
        if request_class is None or request_class.idempotency != Idempotency.KEYED:
            return True
        if not request.first_run_at:
            return True
        window = int(request_class.idempotency_window * WINDOW_MARGIN)
        return now < request.first_run_at + window

    def check_timeouts(self, attempt: Attempt, now: int) -> None:
        """End an attempt whose timeout, or connect timeout, has passed."""
        if attempt.expires_at <= now:
            if self._is_being_answered(attempt, now):
                return
            self.abort(attempt, self._expiry_outcome(attempt, now))
        elif attempt.connect_by and attempt.connect_by <= now:
            if self.transport.is_connected(attempt):
                # After a stall, timers run before the event loop reports connections.
                attempt.connect_by = now + CONNECT_EVENT_DELAY
            else:
                self.abort(attempt, AttemptOutcome.CONNECT_FAILED)

    def _is_being_answered(self, attempt: Attempt, now: int) -> bool:
        """Return whether a long response, whose first bytes came in time, is streamed from now on.

        At the end of a drain there is no time left for one.
        """
        if attempt.connection is None or (self.core.drain_since and now >= self.core.drain_until):
            return False
        return attempt.connection.stream_response()

    def _expiry_outcome(self, attempt: Attempt, now: int) -> AttemptOutcome:
        if attempt.connection is not None:
            if attempt.connection.has_unsent_bytes():
                return self.core.uploads.expiry_outcome(attempt, now)
            return AttemptOutcome.TIMEOUT
        # Nothing was written, so the attempt never ran.
        if attempt.connect_by and not self.transport.is_connected(attempt):
            return AttemptOutcome.EXPIRED
        return AttemptOutcome.NOT_SENT

    def response_started(
        self,
        attempt: Attempt,
        response: Response,
        length: int | None,
        load: LoadReport | None,
        source: ResponseSource,
    ) -> Client | None:
        """Begin to stream an attempt's response; return the client that gets it.

        Returns None if the request is closed; the response is then discarded.
        """
        request = attempt.request
        if request.closed:
            return None
        now = self.core.clock()
        self.core.detect_stall(now)
        attempt.response_started = True
        attempt.expires_at = NEVER
        client = self.core.respond_streaming(request, response, length, source)
        latency = now - attempt.sent_at
        self.notify_policy(
            request,
            lambda: self.policy.response_started(
                now, request.id, attempt.number, attempt.server, latency, load, True
            ),
        )
        return client

    def abort(self, attempt: Attempt, status: AttemptOutcome) -> None:
        """Cancel an attempt and record its outcome."""
        attempt.cancel()
        self.attempt_finished(attempt, status, None, None)

    def attempt_finished(
        self,
        attempt: Attempt,
        status: AttemptOutcome,
        load: LoadReport | None,
        response: Response | None,
    ) -> None:
        """Record an attempt's outcome; the first successful one is the client's response."""
        if attempt.finished:
            return
        attempt.finished = True
        attempt.connect_by = 0
        request = attempt.request
        core = self.core
        if status not in NEVER_RAN and not request.first_run_at:
            request.first_run_at = attempt.sent_at
        if status == AttemptOutcome.NOT_SENT and _has_client_disconnected(request):
            core.client_disconnected(request)
        request.open_attempts.remove(attempt)
        now = core.clock()
        core.detect_stall(now)
        latency = now - attempt.sent_at
        if not request.closed:
            if status == AttemptOutcome.OK:
                core.respond_served(request, response)
            elif status == AttemptOutcome.ERROR and response is not None:
                self._keep_fallback(request, response)
        attributable = self._is_attributable(attempt, status, now)
        self._outcomes.record(attempt.server, status, attributable)
        closed = request.closed
        self.notify_policy(
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
                attributable,
            ),
        )
        core.release_request(request)

    def _keep_fallback(self, request: RequestContext, response: Response) -> None:
        """Keep a host's error response, to be sent if no attempt succeeds."""
        if self.connection_settings.passes_any_status:
            # Clients take a 503 as the gateway's own, which tells them that a retry is safe; a
            # host's 503 doesn't.
            unsafe = response.status == SERVICE_UNAVAILABLE
            request.fallback_response = None if unsafe else response

    def _is_attributable(self, attempt: Attempt, status: AttemptOutcome, now: int) -> bool:
        """Return whether this outcome is attributable to the attempt's host.

        A timeout is not if the event loop stalled before the request was written, and the host had
        less time to respond than writing took; nor if, while the request was written, the event
        loop was stalled for longer than it ran.
        """
        if status == AttemptOutcome.EXPIRED and attempt.written_at:
            stalled_time = self.core.stalls.total - attempt.stalled_before
            return stalled_time <= (now - attempt.written_at) // 2
        if status != AttemptOutcome.TIMEOUT:
            return True
        stalled = attempt.sent_at < self.core.stalls.until <= attempt.written_at
        return not stalled or now - attempt.written_at >= attempt.written_at - attempt.sent_at

    def on_malformed_response(self, server: str, reason: str) -> None:
        """Record an invalid response of a host."""
        self._outcomes.record_malformed(server, reason)

    def on_unexpected_status(self, server: str, status: int) -> None:
        """Record a complete response that neither serves nor rejects the request."""
        self._outcomes.record_unexpected_status(server, status)

    # --- Endpoints

    def apply_update(self, update: EndpointUpdate, event: WatchEventKind) -> None:
        """Apply an update of the endpoint list; `event` tells the module which kind it is."""
        self._endpoint_list.apply_update(update, event)

    def on_endpoint_update(self, update: EndpointUpdate) -> None:
        """Apply an update from the source: the complete list, or changes to it."""
        self._endpoint_list.on_update(update)

    def on_watch_failed(self) -> None:
        """Report to the module that the watch it requested has failed."""
        now = self.core.clock()
        self.notify_policy(None, lambda: self.policy.on_watch_event(now, WatchEventKind.FAILED, ()))

    def set_maintenance(self, name: str, out: bool) -> None:
        """Take a host out for maintenance, or put it back."""
        if out:
            self.enter_maintenance(name)
        else:
            self.leave_maintenance(name)

    def enter_maintenance(self, name: str) -> MaintenanceResult:
        """Take a host out for maintenance; no new request is sent to it from now on."""
        return self._endpoint_list.enter_maintenance(name)

    def leave_maintenance(self, name: str) -> MaintenanceResult:
        """Put a host back; it is used from now on like one that has just started."""
        return self._endpoint_list.leave_maintenance(name)

    def republish(self, names: list[str]) -> None:
        """Pass hosts to transport and module again, as their maintenance has changed."""
        self._endpoint_list.republish(names)

    # --- Statistics and snapshots

    def summary(self) -> str:
        """Return the module's counters, for the log."""
        counters = self.policy.counters | self.policy.endpoint_table.subsetter.summary()
        return " ".join(f"{name}={count}" for name, count in counters.items())

    def take_snapshot(self) -> PolicySnapshot:
        """Return the module's learned state."""
        return take_snapshot(self.policy)

    def restore_snapshot(self, snapshot: PolicySnapshot) -> None:
        """Continue with the learned state of another process's module."""
        self.notify_policy(None, lambda: restore_snapshot(self.policy, snapshot))

    def set_share(self, share: float) -> None:
        """Set the share of the gateway's clients that connect to this process."""
        self.notify_policy(None, lambda: self.policy.set_share(share))


def _has_client_disconnected(request: RequestContext) -> bool:
    """Return whether the client has disconnected, even if the event loop has not read that yet."""
    return request.client is not None and request.client.has_disconnected()
