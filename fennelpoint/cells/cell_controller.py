"""The controller with requests confined to cells of backends, and spill from a cell without usable backends."""

from __future__ import annotations

from fennelpoint import interface as api
from fennelpoint.control import Controller
from fennelpoint.selection import Selection
from fennelpoint.state import ConcurrencyLimiter, PendingRequest

SPILL_HEADROOM = 0.25   # fraction of a cell's in-flight limit that requests of other cells leave free


class CellSelection(Selection):
    """Selects backends within the cell of each request."""

    def update_cells(self, event: api.Cells, now: float) -> None:
        """Replace the cells: attempts in flight stay where they are, queued requests move with their customer."""
        previous_cells, self.cells = self.cells, {}
        for name, cell in event.cells.items():
            limiter = self.cells[name] = previous_cells.get(name) or ConcurrencyLimiter(now, now)
            limiter.members, limiter.ready = cell.members, None
            limiter.spill_to, limiter.spill_share = cell.spill_to, cell.spill_share
        self.init_windows()
        for req in self.requests.waiting.values():
            if req.ran_at is None:    # else it is retried only where it may have run
                req.request.cell = event.moved.get(req.customer.key, req.request.cell)

    def is_unavailable(self, limiter: ConcurrencyLimiter, now: float) -> bool:
        """Return whether a cell has no ready backend, or all of them failed and are in backoff."""
        return all(b.fails and now < b.rest_until for b in self.ready(limiter))

    def route(self, req: PendingRequest, now: float) -> bool:
        """Assign a request to its cell, or to the spill target; return whether that cell may serve it."""
        if not self.cells or req.ran_at is not None:
            return True     # without cells, or retried only where it may have run
        home = self.cells.get(req.request.cell, self.limiter)
        unavailable = self.is_unavailable(home, now)
        req.is_spilling = unavailable and self._may_spill(home, now)
        limiter = self.cells[home.spill_to] if req.is_spilling else home
        if limiter is not req.limiter:
            req.limiter, req.probed = limiter, None     # the probed backends are in the other cell
        return req.is_spilling or not unavailable

    def _may_spill(self, home: ConcurrencyLimiter, now: float) -> bool:
        """Return whether the spill target may take one more request of an unavailable cell.

        Spilled requests leave headroom for the target's own and stay within the spill share.
        """
        if (target := self.cells.get(home.spill_to)) is None or self.is_unavailable(target, now):
            return False
        return (target.live_in_flight() + 1 <= max(1.0, (1.0 - SPILL_HEADROOM) * target.window)
                and target.spilled_in + 1 <= max(1.0, home.spill_share * target.window))


class CellController(Controller):
    """Makes the decisions of one ingress whose backends are divided into cells."""

    SELECTION = CellSelection

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.handlers[api.Cells] = self._update_cells

    def _update_cells(self, event: api.Cells, now: float) -> None:
        self.selection.update_cells(event, now)
        self.wait_queue.dispatch(now)
