"""Divides the process's descriptors between client connections and connections to hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..front import ConnectionSlot, Reason, Verdict

if TYPE_CHECKING:
    from .core import GatewayCore


class DescriptorManager:
    """Decides whether a connection may be opened, and closes others to make room for it."""

    def __init__(self, core: GatewayCore) -> None:
        self._core = core

    def upstream_count(self) -> int:
        """Return the descriptors held by connections to hosts."""
        return sum([pool.transport.size() for pool in self._core.pools])

    def free_descriptor(self) -> bool:
        """Return whether one more connection to a host may be opened; closes others if needed.

        Neither side may take all descriptors: many clients must not leave none for connections to
        hosts, nor the other way round. Each side has a reserved share, which stays unused while
        that side is idle. A descriptor closed here is free in the event loop's next iteration;
        RESERVED_DESCRIPTORS covers the few that are opened until then.
        """
        admission = self._core.admission
        descriptors = admission.descriptors()
        if admission.client_descriptors + self.upstream_count() < descriptors:
            return True
        if admission.client_descriptors > admission.budget.min_client_share * descriptors:
            now = self._core.clock()
            if self.release(admission.eviction_candidates(now), Reason.ROOM):
                return True
        return self._close_oldest_idle()

    def admission_verdict(self) -> Verdict:
        """Return whether one more client can be admitted; closes connections to make room."""
        core = self._core
        admission = core.admission
        if not admission.needs_eviction(self.upstream_count()):
            return Verdict.ADMIT
        if self.release(admission.eviction_candidates(core.clock()), Reason.ROOM):
            return Verdict.WAIT
        if (
            admission.client_descriptors < admission.budget.max_client_descriptors
            and self._close_oldest_idle()
        ):
            return Verdict.WAIT
        # Connections that are being accepted or closed are done within a few loop iterations.
        in_transition = bool(core.arriving) or any(c.is_closed() for c in core.clients)
        return Verdict.WAIT if in_transition else Verdict.REJECT

    def on_exhausted(self, own_limit: bool) -> None:
        """Handle a descriptor that the system refused although the settings allow it.

        `own_limit`: this process has reached its own limit (EMFILE), and assumes a lower one for a
        while. A shortage of the whole system does not tell how many this process may hold; a limit
        at its current number would make it close nearly all clients even after the shortage.
        """
        admission = self._core.admission
        now = self._core.clock()
        if own_limit:
            admission.on_descriptors_exhausted(now, self.upstream_count())
        if not self.release(admission.eviction_candidates(now), Reason.ROOM):
            self._close_oldest_idle()

    def release(self, slots: list[ConnectionSlot], reason: Reason) -> int:
        """Close connections, except those with unread bytes; return how many were closed."""
        closed = 0
        for slot in slots:
            if slot.owner is not None and slot.owner.close_unless_unread(reason):
                closed += 1
            else:
                self._core.admission.not_evicted(slot, self._core.clock())
        return closed

    def _close_oldest_idle(self) -> bool:
        """Close the longest idle connection to a host; return whether there was one."""
        pools = self._core.pools
        idle = [(since, i) for i, p in enumerate(pools) if (since := p.transport.oldest_idle())]
        return bool(idle) and pools[min(idle)[1]].transport.close_oldest_idle()
