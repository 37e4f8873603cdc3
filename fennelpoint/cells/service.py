"""The plan in a running ingress: read, followed through roster changes and reloads, handed to the module."""

from __future__ import annotations

from collections.abc import Callable

from fennelpoint import interface as api
from fennelpoint.cells.assign import Assignment, Node
from fennelpoint.cells.plan import Plan, check_change, read_plan
from fennelpoint.faults import FaultyFile
from fennelpoint.net.notice import log


class CellsService:
    """Keeps the cells of one ingress.  `post` takes events for the module."""

    def __init__(self, path: str, plan: Plan, zones: list[str], post: Callable[[api.Event], None]) -> None:
        self.path, self.zones, self.post = path, zones, post
        self.assignment = Assignment(plan)
        self.nodes: dict[str, Node] = {}
        self.told: dict[str, frozenset[str]] = {}

    def cell_of(self, customer: int) -> str:
        return self.assignment.cell_of(customer)

    def follow(self, roster: api.Roster) -> None:
        """Take in a list or its changes, before the module does."""
        if roster.kind is not api.RosterKind.CHANGES:
            self.nodes = {}
        for entry in roster.entries:
            if entry.state is api.BackendState.GONE:
                self.nodes.pop(entry.backend, None)
            else:
                zone = self.zones[entry.zone] if entry.zone < len(self.zones) else ""
                self.nodes[entry.backend] = Node(entry.backend, zone)
        self._tell({})

    def _tell(self, moved: dict[int, str], anew: bool = False) -> None:
        members = self.assignment.members(self.nodes.values())
        if members == self.told and not anew:
            return
        self.told = members
        spill = {cell.name: (cell.spill_to, cell.spill_share) for cell in self.assignment.plan.cells}
        self.post(api.Cells({name: api.Cell(m, *spill.get(name, ("", 0.0))) for name, m in members.items()},
                            moved))

    def reload(self) -> None:
        """SIGHUP: go over to the plan that the file holds now; one that can't be used changes nothing."""
        try:
            plan = read_plan(self.path)
            check_change(self.path, self.assignment.plan, plan)
        except FaultyFile as error:
            return log.error("the cells stay as they are: %s", error.faults[0])
        if plan == self.assignment.plan:
            return
        before, self.assignment = self.assignment, Assignment(plan)
        # Those that neither plan names, too, where they asked lately: what waits of them goes along.
        customers = before.listed.keys() | self.assignment.listed.keys() | before.found.keys()
        moved = {c: cell for c in customers if (cell := self.assignment.cell_of(c)) != before.cell_of(c)}
        log.info("the cells go by version %d: %d agencies moved", plan.version, len(moved))
        self._tell(moved, anew=True)
