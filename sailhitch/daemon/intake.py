"""What an ordinary HTTP request means: its route, and by that its class, deadline and pool."""

from __future__ import annotations

import itertools
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from ..core.pool import Pool
from ..core.request_context import RequestContext
from ..core.response import Response
from ..net.intake import OWN, READY_PATH, Head, RejectError, read_name, read_wait
from ..settings import Idempotency
from .routes import (
    PathError,
    Route,
    RouteQuery,
    Routes,
    Sticky,
    bare_host,
    choose_pool,
    normal_path,
)
from .tables import Tables, effect_of

_TEXT: Final = [(b"content-type", b"Content-Type", b"text/plain")]
MOST_KEY: Final = 256  # bytes of an Idempotency-Key


def come_back(why: bytes) -> Response:
    """Turned away for what will soon be over: a repeat in a second is harmless."""
    return Response(503, [*_TEXT, (b"retry-after", b"Retry-After", b"1")], why)


HELD_BACK: Final = come_back(b"a change of its route is under way\n")


@dataclass(frozen=True, slots=True)
class RoutingView:
    """All that a request's reading depends on, as of one serial; replaced as a whole."""

    routes: Routes
    pools: Mapping[str, Pool]
    tables: Tables
    class_overlap: RequestClassOverlap | None = None
    rules_revision: int = 0


@dataclass(frozen=True, slots=True)
class RequestClassOverlap:
    """Rules that hold beside those of a view: what may not be repeated at will goes by both."""

    routes: Routes
    stated_effects: Mapping[str, str | None]  # as stated, by class


Gate = Callable[[str], Response | None]  # by effect: an answer in place of the request, or None


class RoutedIntake:
    """Reads ordinary clients' requests by routes.

    A client may bring the platform's fields: `Req-Id` and `Req-Deadline-Ms` hold within what the
    class allows, `Req-Kind` and `Req-Owner` are only looked at by routes. What class a request has
    is the route's word alone, and the node is told that one.
    """

    own = OWN | {b"req-kind"}

    view: RoutingView  # set by the first switch, before anybody is taken in
    gate: Gate | None = None  # asked of each request, where there is somebody to ask
    held_back = 0  # requests that two sets of rules send to different places

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.sticky: Sticky[Pool] = Sticky()
        self._prefix = secrets.token_hex(6)  # no two processes make the same id
        self._count = itertools.count(1)

    def read(self, head: Head, found: dict[bytes, bytes], request: RequestContext) -> bool:
        """Fill in the request. Raises RejectError."""
        if head.url.partition(b"?")[0] == READY_PATH and b"req-id" not in found:
            return False
        view = self.view
        asked = self._asked(head, found, view.routes)
        route = view.routes.find(asked)
        if route is None:
            request.fallback_response = Response(404, _TEXT, b"no route matches\n")
            return False
        key = found.get(b"idempotency-key")
        if key is not None and not 0 < len(key) <= MOST_KEY:
            raise RejectError(400, "Idempotency-Key is empty or too long")
        if head.method in (b"GET", b"HEAD") and head.has_body():
            raise RejectError(400, "a body where the method has none")
        number, effect = view.tables.classify(route.cls, head.method, key is not None)
        request.rules_revision = view.rules_revision
        refusal = None if self.gate is None else self.gate(effect)
        if refusal is None and view.class_overlap is not None:
            by = key if effect == Idempotency.KEYED and key is not None else None
            by = by or found.get(b"cookie") or found.get(b"req-id") or b""
            if not _agree(view.class_overlap, route, asked, effect, key, by):
                refusal = HELD_BACK
                self.held_back += 1
        if refusal is not None:
            request.fallback_response = refusal
            return False
        request.head_only = head.method == b"HEAD"
        request.tenant = view.tables.tenant(found.get(b"req-owner", b"").decode("latin-1"))
        request.repeat = found.get(b"req-retry") == b"1"
        self._name(request, found)
        request.head += b"Req-Kind: %s\r\n" % route.cls.encode()
        part = view.tables.class_part(route.cls)
        longest = part.deadline // 1000
        wait = found.get(b"req-deadline-ms")
        request.wait_ms = longest if wait is None else min(read_wait(wait), longest)
        if effect == Idempotency.KEYED and key is not None:
            pool = self._keyed_pool(route.pools, key, part.deadline + part.remembered())
        else:
            pool = view.pools[choose_pool(route.pools, found.get(b"cookie") or request.name)]
        if view.pools.get(pool.name) is not pool:
            # Another pool knows nothing of a first try that may have run in this one.
            request.fallback_response = Response(
                503, _TEXT, b"the pool that this key went to was removed\n"
            )
            return False
        request.pool = pool
        request.request_class = pool.settings.classes[number]
        return True

    def _asked(self, head: Head, found: dict[bytes, bytes], routes: Routes) -> RouteQuery:
        try:
            path = normal_path(head.url)
        except PathError as error:
            raise RejectError(400, str(error)) from None
        header: dict[str, str] = {}
        if routes.fields:
            for low, _, value in head.fields:
                name = low.decode("latin-1")
                if name in routes.fields:
                    header.setdefault(name, value.decode("latin-1"))
        cls = found.get(b"req-kind")
        tenant = found.get(b"req-owner")
        return RouteQuery(
            head.method.decode("latin-1"),
            path,
            bare_host(found.get(b"host", b"").decode("latin-1")),
            header,
            None if cls is None else cls.decode("latin-1"),
            None if tenant is None else tenant.decode("latin-1"),
        )

    def _name(self, request: RequestContext, found: dict[bytes, bytes]) -> None:
        name = found.get(b"req-id")
        if name is not None:
            request.name = read_name(name)
            return
        request.name = f"{self._prefix}-{next(self._count):x}".encode()
        request.head += b"Req-Id: %s\r\n" % request.name

    def _keyed_pool(self, pools: tuple[tuple[str, float], ...], key: bytes, keep: int) -> Pool:
        """Return the pool that a key went to within `keep`, else the one that the split gives it.

        For a key that has gone to a pool it is that one, also if it is gone or another has taken
        its name.
        """
        now = self.clock()
        pool = self.sticky.get(key, now) or self.view.pools[choose_pool(pools, key)]
        self.sticky.note(key, pool, now, now + keep)
        return pool


def _agree(
    also: RequestClassOverlap,
    route: Route,
    asked: RouteQuery,
    effect: str,
    key: bytes | None,
    by: bytes,
) -> bool:
    """Return whether a request may go as `route` says, by the other rules too.

    One that is safe by both goes as the first ones say. Any other goes only where both give it the
    same class and, by what it is chosen by, the same pool; what has no key, id or cookie is chosen
    for at random, so only a route with one and the same pool will do.
    """
    other = also.routes.find(asked)
    if effect == Idempotency.SAFE:
        if other is None:
            return True
        stated = also.stated_effects.get(other.cls)
        return (
            effect_of(stated, asked.method.encode("latin-1"), key is not None) == Idempotency.SAFE
        )
    if other is None or other.cls != route.cls:
        return False
    if route.pools == other.pools:
        return True
    if not by:
        return False
    return choose_pool(route.pools, by) == choose_pool(other.pools, by)
