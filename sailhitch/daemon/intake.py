"""Routes ordinary HTTP requests: finds the route, which gives the class, deadline and pool."""

from __future__ import annotations

import itertools
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from ..core.pool import Pool
from ..core.request_context import RequestContext
from ..core.response import Response
from ..net.intake import (
    GATEWAY_FIELDS,
    READY_PATH,
    Head,
    RejectError,
    parse_request_id,
    parse_wait_ms,
)
from ..settings import Idempotency
from .routes import (
    PathError,
    Route,
    RouteQuery,
    Routes,
    StickyPools,
    choose_pool,
    normalize_host,
    normalize_path,
)
from .schema import ClassSection
from .tables import Tables, request_idempotency

_TEXT: Final = [(b"content-type", b"Content-Type", b"text/plain")]
MAX_KEY_LENGTH: Final = 256  # bytes of an Idempotency-Key


def retry_soon_response(reason: bytes) -> Response:
    """Return a 503 for a condition that ends soon: retries after one second do no harm."""
    return Response(503, [*_TEXT, (b"retry-after", b"Retry-After", b"1")], reason)


ROUTE_CHANGE_PENDING: Final = retry_soon_response(b"a change of its route is under way\n")


@dataclass(frozen=True, slots=True)
class RoutingView:
    """Everything that reading a request depends on, as of one serial; replaced, never mutated."""

    routes: Routes
    pools: Mapping[str, Pool]
    tables: Tables
    class_overlap: RequestClassOverlap | None = None
    rules_revision: int = 0


@dataclass(frozen=True, slots=True)
class RequestClassOverlap:
    """Rules of a pending state, which requests that are not idempotent have to satisfy too."""

    routes: Routes
    stated_effects: Mapping[str, str | None]  # as the file states them, by class


Gate = Callable[[str], Response | None]  # takes an effect; the response that rejects, or None


class RoutedIntake:
    """Reads ordinary clients' requests and routes them.

    A client may send the platform's fields: `Req-Id` and `Req-Deadline-Ms` are accepted within the
    limits of the class, `Req-Kind` and `Req-Owner` are only used to choose a route. The route alone
    decides the class, which is sent to the node.
    """

    own = GATEWAY_FIELDS | {b"req-kind"}

    view: RoutingView  # set by the first switch, before clients are accepted
    gate: Gate | None = None  # called for each request, if set
    held_back = 0  # requests rejected because active and pending rules would route them differently

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.sticky: StickyPools[Pool] = StickyPools()
        self._prefix = secrets.token_hex(6)  # makes generated ids unique among processes
        self._count = itertools.count(1)

    def read(self, head: Head, found: dict[bytes, bytes], request: RequestContext) -> bool:
        """Fill in the request; return whether it is to be forwarded. Raises RejectError."""
        if head.url.partition(b"?")[0] == READY_PATH and b"req-id" not in found:
            return False
        view = self.view
        query = self._query(head, found, view.routes)
        route = view.routes.find(query)
        if route is None:
            request.fallback_response = Response(404, _TEXT, b"no route matches\n")
            return False
        key = found.get(b"idempotency-key")
        if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
            raise RejectError(400, "Idempotency-Key is empty or too long")
        if head.method in (b"GET", b"HEAD") and head.has_body():
            raise RejectError(400, "a body where the method has none")
        number, effect = view.tables.classify(route.cls, head.method, key is not None)
        request.rules_revision = view.rules_revision
        refusal = None if self.gate is None else self.gate(effect)
        if refusal is None and view.class_overlap is not None:
            split_key = key if effect == Idempotency.KEYED and key is not None else None
            split_key = split_key or found.get(b"cookie") or found.get(b"req-id") or b""
            if not _pending_rules_agree(view.class_overlap, route, query, effect, key, split_key):
                refusal = ROUTE_CHANGE_PENDING
                self.held_back += 1
        if refusal is not None:
            request.fallback_response = refusal
            return False
        part = view.tables.class_part(route.cls)
        self._fill_in(head, found, request, part)
        if effect == Idempotency.KEYED and key is not None:
            pool = self._keyed_pool(route.pools, key, part.deadline + part.dedup_window())
        else:
            pool = view.pools[choose_pool(route.pools, found.get(b"cookie") or request.name)]
        if view.pools.get(pool.name) is not pool:
            # A first attempt may have been made in the removed pool; no other pool knows of it.
            request.fallback_response = Response(
                503, _TEXT, b"the pool that this key went to was removed\n"
            )
            return False
        request.pool = pool
        request.request_class = pool.settings.classes[number]
        return True

    def _fill_in(
        self, head: Head, found: dict[bytes, bytes], request: RequestContext, part: ClassSection
    ) -> None:
        """Set the fields that do not depend on the pool: tenant, name, class and waiting time."""
        request.head_only = head.method == b"HEAD"
        request.tenant = self.view.tables.tenant(found.get(b"req-owner", b"").decode("latin-1"))
        request.is_retry = found.get(b"req-retry") == b"1"
        name = found.get(b"req-id")
        if name is None:
            request.name = f"{self._prefix}-{next(self._count):x}".encode()
            request.head += b"Req-Id: %s\r\n" % request.name
        else:
            request.name = parse_request_id(name)
        request.head += b"Req-Kind: %s\r\n" % part.name.encode()
        max_wait_ms = part.deadline // 1000
        wait = found.get(b"req-deadline-ms")
        request.wait_ms = max_wait_ms if wait is None else min(parse_wait_ms(wait), max_wait_ms)

    def _query(self, head: Head, found: dict[bytes, bytes], routes: Routes) -> RouteQuery:
        try:
            path = normalize_path(head.url)
        except PathError as error:
            raise RejectError(400, str(error)) from None
        header: dict[str, str] = {}
        if routes.fields:
            for lower_name, _, value in head.fields:
                name = lower_name.decode("latin-1")
                if name in routes.fields:
                    header.setdefault(name, value.decode("latin-1"))
        cls = found.get(b"req-kind")
        tenant = found.get(b"req-owner")
        return RouteQuery(
            head.method.decode("latin-1"),
            path,
            normalize_host(found.get(b"host", b"").decode("latin-1")),
            header,
            None if cls is None else cls.decode("latin-1"),
            None if tenant is None else tenant.decode("latin-1"),
        )

    def _keyed_pool(self, pools: tuple[tuple[str, float], ...], key: bytes, keep: int) -> Pool:
        """Return the pool that a key was sent to within the last `keep` us, else choose one.

        The former may have been removed meanwhile, or another pool may have its name now.
        """
        now = self.clock()
        pool = self.sticky.get(key, now) or self.view.pools[choose_pool(pools, key)]
        self.sticky.remember(key, pool, now, now + keep)
        return pool


def _pending_rules_agree(
    overlap: RequestClassOverlap,
    route: Route,
    query: RouteQuery,
    effect: str,
    key: bytes | None,
    split_key: bytes,
) -> bool:
    """Return whether the pending rules allow a request to take `route` too.

    A request that is safe under both sets of rules takes the active route. Any other must get the
    same class under both and, by its split key, the same pool. A request without a key, id or
    cookie is assigned a pool at random, so both routes must have the same pools.
    """
    other = overlap.routes.find(query)
    if effect == Idempotency.SAFE:
        if other is None:
            return True
        stated = overlap.stated_effects.get(other.cls)
        return (
            request_idempotency(stated, query.method.encode("latin-1"), key is not None)
            == Idempotency.SAFE
        )
    if other is None or other.cls != route.cls:
        return False
    if route.pools == other.pools:
        return True
    if not split_key:
        return False
    return choose_pool(route.pools, split_key) == choose_pool(other.pools, split_key)
