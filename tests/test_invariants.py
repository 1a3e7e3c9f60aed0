"""What would break a rule is not done; it is counted by kind and told with the request's id."""

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


def exchange_of(kind: RequestClass) -> RequestContext:
    made = RequestContext(None)  # type: ignore[arg-type]
    made.name, made.request_class = b"q1", kind
    return made


@pytest.mark.parametrize("effect", [Idempotency.SAFE, Idempotency.KEYED, Idempotency.UNSAFE])
@pytest.mark.parametrize("ran", [True, False])
@pytest.mark.parametrize("remembered", [True, False])
def test_only_what_is_safe_or_remembered_is_sent_again(
    effect: Idempotency, ran: bool, remembered: bool
) -> None:
    exchange = exchange_of(CLASSES[effect])
    exchange.first_run_at = NOW - S if ran else 0
    it = Invariants(Log("n0"))
    attempt = Attempt(exchange, 1, "a", NOW, NOW + S)
    wrong = ran and effect != Idempotency.SAFE and not (effect == Idempotency.KEYED and remembered)
    found = it.before_send(attempt, NOW, True, remembered and effect == Idempotency.KEYED)
    assert found is (Violation.REPEATED if wrong else None)
    assert it.total == wrong


@pytest.mark.parametrize(
    ("change", "now", "ready", "violation"),
    [
        (lambda e: None, NOW, True, None),
        (lambda e: setattr(e, "closed", True), NOW, True, Violation.SENT_UNOWED),
        (lambda e: None, NOW + S, True, Violation.SENT_LATE),
        (lambda e: None, NOW, False, Violation.SENT_UNLISTED),
    ],
)
def test_what_may_not_be_sent_is_named(
    change: Callable[[RequestContext], None],
    now: int,
    ready: bool,
    violation: Violation | None,
    capsys: pytest.CaptureFixture[str],
) -> None:
    exchange = exchange_of(CLASSES[Idempotency.SAFE])
    change(exchange)
    it = Invariants(Log("n0"))
    assert it.before_send(Attempt(exchange, 0, "a", NOW, NOW + S), now, ready, False) is violation
    said = capsys.readouterr().err
    assert ("request q1" in said) == (violation is not None)
    assert it.summary() == ("" if violation is None else f"{violation.name.lower()}=1")


def test_a_second_copy_of_what_may_not_run_twice_is_a_violation() -> None:
    exchange = exchange_of(CLASSES[Idempotency.UNSAFE])
    it = Invariants(Log("n0"))
    first, second = (Attempt(exchange, n, "a", NOW, NOW + S) for n in range(2))
    exchange.open_attempts += [first, second]
    assert it.before_send(second, NOW, True, False) is None  # the first is not written
    first.connection = object()  # type: ignore[assignment]
    assert it.before_send(second, NOW, True, False) is Violation.REPEATED


def play(story: Callable[[RunningGateway, Server], object], host: Server) -> None:
    async def run() -> None:
        async with host, running_gateway(("a", host.addr)) as it:
            await story(it, host)  # type: ignore[misc]

    asyncio.run(run())


async def silent(message: bytes, writer: Writer) -> None:
    """A host that answers nothing."""
    await asyncio.Event().wait()


@pytest.mark.parametrize("body", [None, b"pay"])
def test_a_refusal_of_what_may_have_run_goes_out_as_a_failure(body: bytes | None) -> None:
    async def story(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        client.send(request("q1", body))
        await until(lambda: bool(host.seen))
        (exchange,) = it.core.open_requests.values()
        exchange.first_run_at = it.core.clock()
        it.core.respond_rejected(exchange, 0)
        status, _ = await client.answer()
        assert (status == 503) == (body is None)
        assert it.core.invariants.counts[Violation.REFUSED_AFTER_RUN] == (body is not None)

    play(story, Server(silent))


def test_a_second_answer_is_not_given() -> None:
    async def story(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        client.send(request("q1"))
        await until(lambda: bool(host.seen))
        (exchange,) = it.core.open_requests.values()
        it.core.respond_rejected(exchange, 0)
        it.core.respond_failed(exchange)
        assert (await client.answer())[0] == 503
        assert it.core.invariants.counts[Violation.ANSWERED_TWICE] == 1
        assert (await client.ask(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"))[0] == 200

    play(story, Server(silent))


@pytest.mark.parametrize("by_client", [True, False])
def test_a_close_with_an_answer_owed_counts_where_it_is_this_sides(by_client: bool) -> None:
    async def story(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        client.send(request("q1"))
        await until(lambda: bool(host.seen))
        if by_client:
            client.writer.close()
        else:
            it.clients()[0].abort()
        await until(lambda: not it.core.clients)
        assert it.core.invariants.counts[Violation.CLOSED_OWING] == (not by_client)

    play(story, Server(silent))


def test_reasons_of_refusals_and_retries_are_counted() -> None:
    """By the module's figures, which the log's line of its pool has."""

    async def busy(message: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")

    async def story(it: RunningGateway, host: Server) -> None:
        client = await it.client()
        assert (await client.ask(request("q1")))[0] == 503
        figures = it.pool.policy.counters
        assert figures["capped"] == 1
        assert figures["retries"] == 4
        assert "capped=1" in it.pool.summary()

    play(story, Server(busy))
