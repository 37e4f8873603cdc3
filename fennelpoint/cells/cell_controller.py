"""The module with tries confined to cells of backends: a choice inside them, and spill where one has nothing left."""

from __future__ import annotations

from fennelpoint import interface as api
from fennelpoint.control import Controller
from fennelpoint.selection import Selection
from fennelpoint.state import ConcurrencyLimiter, PendingRequest

SPARE = 0.25    # of a window, that tries of other cells leave free


class Confined(Selection):
    """The backends of one ingress, by cells."""

    def confine(self, event: api.Cells, now: float) -> None:
        """New cells: what is out stays where it is, what waits goes with its customer."""
        before, self.cells = self.cells, {}
        for name, cell in event.cells.items():
            limiter = self.cells[name] = before.get(name) or ConcurrencyLimiter(now, now)
            limiter.members, limiter.ready = cell.members, None
            limiter.spill_to, limiter.spill_share = cell.spill_to, cell.spill_share
        self.init_windows()
        for req in self.requests.waiting.values():
            if req.ran_at is None:    # else it is tried again where it may have run, or nowhere
                req.request.cell = event.moved.get(req.customer.key, req.request.cell)

    def lost(self, limiter: ConcurrencyLimiter, now: float) -> bool:
        """Whether none of a cell's backends is listed, or each one failed and rests."""
        return all(b.fails and now < b.rest_until for b in self.ready(limiter))

    def route(self, req: PendingRequest, now: float) -> bool:
        """Whether a try's cell, or for a few the one that this spills to, may serve it."""
        if not self.cells or req.ran_at is not None:
            return True     # where it may have run, or nowhere
        home = self.cells.get(req.request.cell, self.limiter)
        lost = self.lost(home, now)
        req.is_spilling = lost and self._spills(home, now)
        limiter = self.cells[home.spill_to] if req.is_spilling else home
        if limiter is not req.limiter:
            req.limiter, req.probed = limiter, None     # those picked were probed in the other cell
        return req.is_spilling or not lost

    def _spills(self, home: ConcurrencyLimiter, now: float) -> bool:
        """Whether the cell that a lost one spills to takes one more: after its own, with room to spare."""
        if (other := self.cells.get(home.spill_to)) is None or self.lost(other, now):
            return False
        return (other.live_in_flight() + 1 <= max(1.0, (1.0 - SPARE) * other.window)
                and other.spilled_in + 1 <= max(1.0, home.spill_share * other.window))


class CelledController(Controller):
    """The decisions of one ingress whose backends are parted into cells."""

    SELECTION = Confined

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.handlers[api.Cells] = self._cells

    def _cells(self, event: api.Cells, now: float) -> None:
        self.selection.confine(event, now)
        self.wait_queue.dispatch(now)
