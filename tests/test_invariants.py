"""Actions that violate an invariant are not done; they are counted by kind and logged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from sailhitch.core.invariants import Invariants, Violation
from sailhitch.core.log import Log
from sailhitch.core.request_context import Attempt, RequestContext
from sailhitch.settings import (
    Idempotency,
    RequestClass,
    parse_settings,
)
from tests.fake import S, settings_value
from tests.sockets import RunningGateway, Server, Writer, request, running_gateway, until

CLASSES = {cls.idempotency: cls for cls in parse_settings(settings_value()).classes[:3]}
NOW = 10 * S


def new_request(kind: RequestClass) -> RequestContext:
    made = RequestContext(None)  # type: ignore[arg-type]
    made.name, made.request_class = b"q1", kind
    return made


@pytest.mark.parametrize("idempotency", [Idempotency.SAFE, Idempotency.KEYED, Idempotency.UNSAFE])
@pytest.mark.parametrize("has_run", [True, False])
@pytest.mark.parametrize("remembered", [True, False])
def test_only_safe_or_remembered_requests_are_sent_again(
    idempotency: Idempotency, has_run: bool, remembered: bool
) -> None:
    request_context = new_request(CLASSES[idempotency])
    request_context.first_run_at = NOW - S if has_run else 0
    invariants = Invariants(Log("n0"))
    attempt = Attempt(request_context, 1, "a", NOW, NOW + S)
    wrong = (
        has_run
        and idempotency != Idempotency.SAFE
        and not (idempotency == Idempotency.KEYED and remembered)
    )
    violation = invariants.before_send(
        attempt, NOW, True, remembered and idempotency == Idempotency.KEYED
    )
    assert violation is (Violation.REPEATED if wrong else None)
    assert invariants.total == wrong


@pytest.mark.parametrize(
    ("change", "now", "ready", "violation"),
    [
        (lambda e: None, NOW, True, None),
        (lambda e: setattr(e, "closed", True), NOW, True, Violation.SENT_UNOWED),
        (lambda e: None, NOW + S, True, Violation.SENT_LATE),
        (lambda e: None, NOW, False, Violation.SENT_UNLISTED),
    ],
)
def test_a_forbidden_attempt_is_reported_by_its_violation(
    change: Callable[[RequestContext], None],
    now: int,
    ready: bool,
    violation: Violation | None,
    capsys: pytest.CaptureFixture[str],
) -> None:
    request_context = new_request(CLASSES[Idempotency.SAFE])
    change(request_context)
    invariants = Invariants(Log("n0"))
    assert (
        invariants.before_send(Attempt(request_context, 0, "a", NOW, NOW + S), now, ready, False)
        is violation
    )
    log_output = capsys.readouterr().err
    assert ("request q1" in log_output) == (violation is not None)
    assert invariants.summary() == ("" if violation is None else f"{violation.name.lower()}=1")


def test_a_concurrent_second_attempt_of_an_unsafe_request_is_a_violation() -> None:
    request_context = new_request(CLASSES[Idempotency.UNSAFE])
    invariants = Invariants(Log("n0"))
    first, second = (Attempt(request_context, n, "a", NOW, NOW + S) for n in range(2))
    request_context.open_attempts += [first, second]
    assert invariants.before_send(second, NOW, True, False) is None  # the first is not written
    first.connection = object()  # type: ignore[assignment]
    assert invariants.before_send(second, NOW, True, False) is Violation.REPEATED


def run_scenario(scenario: Callable[[RunningGateway, Server], object], host: Server) -> None:
    async def run() -> None:
        async with host, running_gateway(("a", host.addr)) as gateway:
            await scenario(gateway, host)  # type: ignore[misc]

    asyncio.run(run())


async def silent(message: bytes, writer: Writer) -> None:
    """Never respond."""
    await asyncio.Event().wait()


@pytest.mark.parametrize("body", [None, b"pay"])
def test_rejecting_a_request_that_may_have_run_is_sent_as_a_failure(body: bytes | None) -> None:
    async def scenario(gateway: RunningGateway, host: Server) -> None:
        client = await gateway.client()
        client.send(request("q1", body))
        await until(lambda: bool(host.seen))
        (request_context,) = gateway.core.open_requests.values()
        request_context.first_run_at = gateway.core.clock()
        gateway.core.respond_rejected(request_context, 0)
        status, _ = await client.answer()
        assert (status == 503) == (body is None)
        assert gateway.core.invariants.counts[Violation.REFUSED_AFTER_RUN] == (body is not None)

    run_scenario(scenario, Server(silent))


def test_a_second_response_is_not_sent() -> None:
    async def scenario(gateway: RunningGateway, host: Server) -> None:
        client = await gateway.client()
        client.send(request("q1"))
        await until(lambda: bool(host.seen))
        (request_context,) = gateway.core.open_requests.values()
        gateway.core.respond_rejected(request_context, 0)
        gateway.core.respond_failed(request_context)
        assert (await client.answer())[0] == 503
        assert gateway.core.invariants.counts[Violation.ANSWERED_TWICE] == 1
        assert (await client.ask(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"))[0] == 200

    run_scenario(scenario, Server(silent))


@pytest.mark.parametrize("by_client", [True, False])
def test_closing_with_a_pending_response_is_a_violation_only_of_the_gateway(
    by_client: bool,
) -> None:
    async def scenario(gateway: RunningGateway, host: Server) -> None:
        client = await gateway.client()
        client.send(request("q1"))
        await until(lambda: bool(host.seen))
        if by_client:
            client.writer.close()
        else:
            gateway.clients()[0].abort()
        await until(lambda: not gateway.core.clients)
        assert gateway.core.invariants.counts[Violation.CLOSED_OWING] == (not by_client)

    run_scenario(scenario, Server(silent))


def test_reasons_of_rejections_and_retries_are_counted() -> None:
    """They are counters of the decision module, and in the pool's statistics in the log."""

    async def busy(message: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")

    async def scenario(gateway: RunningGateway, host: Server) -> None:
        client = await gateway.client()
        assert (await client.ask(request("q1")))[0] == 503
        figures = gateway.pool.policy.counters
        assert figures["capped"] == 1
        assert figures["retries"] == 4
        assert "capped=1" in gateway.pool.summary()

    run_scenario(scenario, Server(busy))
