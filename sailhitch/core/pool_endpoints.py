"""Endpoints of a pool: passes list updates and maintenance to the module and the transport."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..policy_interface import Endpoint, EndpointState, WatchEventKind
from .endpoints import EndpointAddress, EndpointUpdate
from .maintenance import Maintenance, MaintenanceResult

if TYPE_CHECKING:
    from .pool import Pool


class PoolEndpoints:
    """The endpoint list of one pool, and which of its hosts are in maintenance."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self.by_name: dict[str, EndpointAddress] = {}  # as listed, regardless of maintenance
        self.maintenance = Maintenance()

    def apply_update(self, update: EndpointUpdate, event: WatchEventKind) -> None:
        """Apply an update, and pass it to the transport and the decision module."""
        removed = self._add_entries(update)
        self.maintenance.add_names(e.endpoint.name for e in update.entries)
        endpoints = [self._publish(entry) for entry in update.entries]
        if event in (WatchEventKind.SNAPSHOT, WatchEventKind.RESTORED):
            listed = {e.endpoint.name for e in update.entries} | update.invalid_names
            removed += [name for name in self.by_name if name not in listed]
            # A host whose entry is invalid keeps its last valid one.
            invalid = [self.by_name[n] for n in sorted(update.invalid_names) if n in self.by_name]
            endpoints += [self.maintenance.apply_to(entry.endpoint) for entry in invalid]
        for name in removed:
            self._remove(name)
        pool = self._pool
        now = pool.core.clock()
        from_source = event in (WatchEventKind.SNAPSHOT, WatchEventKind.CHANGES)
        valid_at = pool.list_valid_at if from_source else 0
        pool.notify_policy(
            None, lambda: pool.policy.on_watch_event(now, event, endpoints, valid_at)
        )

    def _add_entries(self, update: EndpointUpdate) -> list[str]:
        """Add or replace the listed hosts; return the names of those that are gone."""
        removed = []
        for entry in update.entries:
            name = entry.endpoint.name
            if entry.endpoint.state == EndpointState.GONE:
                removed.append(name)
            else:
                self.by_name[name] = entry
        return removed

    def _remove(self, name: str) -> None:
        self.by_name.pop(name, None)
        self._pool.failing.discard(name)
        self.maintenance.forget(name)
        self._pool.transport.drop_host(name)

    def _publish(self, entry: EndpointAddress) -> Endpoint:
        """Pass an entry to the transport; return it for the module. Maintenance applies to both."""
        endpoint = self.maintenance.apply_to(entry.endpoint)
        if endpoint.state != EndpointState.GONE:
            unchanged = endpoint is entry.endpoint
            effective = entry if unchanged else EndpointAddress(endpoint, entry.address)
            self._pool.transport.list_host(effective)
        return endpoint

    def enter_maintenance(self, name: str) -> MaintenanceResult:
        """Take a host out for maintenance; no new request is sent to it from now on."""
        result = self.maintenance.enter(name, self._pool.core.clock())
        self._republish_if_changed(name, result)
        return result

    def leave_maintenance(self, name: str) -> MaintenanceResult:
        """Put a host back; it is used from now on like one that has just started."""
        result = self.maintenance.leave(name, self._pool.core.clock())
        self._republish_if_changed(name, result)
        return result

    def _republish_if_changed(self, name: str, result: MaintenanceResult) -> None:
        if result is MaintenanceResult.CHANGED:
            self.republish([name])

    def republish(self, names: list[str]) -> None:
        """Pass hosts to transport and module again, as their maintenance has changed."""
        entries = tuple(self.by_name[name] for name in names if name in self.by_name)
        if entries:
            update = EndpointUpdate(0, False, entries, 0, frozenset())
            self._pool.apply_update(update, WatchEventKind.MAINTENANCE)

    def on_update(self, update: EndpointUpdate) -> None:
        """Apply an update from the source: the complete list, or changes to it."""
        event = WatchEventKind.SNAPSHOT if update.is_snapshot else WatchEventKind.CHANGES
        self._pool.apply_update(update, event)
        if update.entries:
            self._pool.core.logger.write_limited(
                "list",
                f"list {update.version}: {'whole' if update.is_snapshot else 'changes'}, "
                f"{len(update.entries)} entries, {len(self.by_name)} hosts",
            )
