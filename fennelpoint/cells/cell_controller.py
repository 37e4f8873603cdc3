"""The module with tries confined to cells of backends: a choice inside them, and spill where one has nothing left."""

from __future__ import annotations

from fennelpoint import interface as api
from fennelpoint.control import Controller
from fennelpoint.selection import Selection
from fennelpoint.state import Crowd, Try

SPARE = 0.25    # of a window, that tries of other cells leave free


class Confined(Selection):
    """The backends of one ingress, by cells."""

    def confine(self, event: api.Cells, now: float) -> None:
        """New cells: what is out stays where it is, what waits goes with its customer."""
        before, self.cells = self.cells, {}
        for name, cell in event.cells.items():
            crowd = self.cells[name] = before.get(name) or Crowd(now, now)
            crowd.members, crowd.ready = cell.members, None
            crowd.spill_to, crowd.spill_share = cell.spill_to, cell.spill_share
        self.first_windows()
        for t in self.line.held.values():
            if t.ran_at is None:    # else it is tried again where it may have run, or nowhere
                t.ask.cell = event.moved.get(t.customer.key, t.ask.cell)

    def lost(self, crowd: Crowd, now: float) -> bool:
        """Whether none of a cell's backends is listed, or each one failed and rests."""
        return all(b.fails and now < b.rest_until for b in self.ready(crowd))

    def route(self, t: Try, now: float) -> bool:
        """Whether a try's cell, or for a few the one that this spills to, may serve it."""
        if not self.cells or t.ran_at is not None:
            return True     # where it may have run, or nowhere
        home = self.cells.get(t.ask.cell, self.crowd)
        lost = self.lost(home, now)
        t.spills = lost and self._spills(home, now)
        crowd = self.cells[home.spill_to] if t.spills else home
        if crowd is not t.crowd:
            t.crowd, t.picked = crowd, None     # those picked were probed in the other cell
        return t.spills or not lost

    def _spills(self, home: Crowd, now: float) -> bool:
        """Whether the cell that a lost one spills to takes one more: after its own, with room to spare."""
        if (other := self.cells.get(home.spill_to)) is None or self.lost(other, now):
            return False
        return (other.quiet() + 1 <= max(1.0, (1.0 - SPARE) * other.window)
                and other.spilt + 1 <= max(1.0, home.spill_share * other.window))


class CelledController(Controller):
    """The decisions of one ingress whose backends are parted into cells."""

    SELECTION = Confined

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.on[api.Cells] = self._cells

    def _cells(self, event: api.Cells, now: float) -> None:
        self.selection.confine(event, now)
        self.waiting.pump(now)
