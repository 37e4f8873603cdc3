"""The plan in a running ingress: read, followed through roster changes and reloads, handed to the module."""

from __future__ import annotations

import time
from collections.abc import Callable

from fennelpoint import interface as api
from fennelpoint.cells.assign import Assignment, Node
from fennelpoint.cells.moves import MoveTracker
from fennelpoint.cells.plan import Plan, check_change, read_plan
from fennelpoint.cells.quarantine import PoisonDetector
from fennelpoint.component import Component
from fennelpoint.rate_limited_log import log
from fennelpoint.validation_errors import FaultyFile


class CellsService(Component):
    """Keeps the cells of one ingress.  `post` takes events for the module."""

    def __init__(self, path: str, plan: Plan, zones: list[str], post: Callable[[api.Event], None]) -> None:
        self.path, self.zones, self.post = path, zones, post
        self.assignment = Assignment(plan)
        self.nodes: dict[str, Node] = {}
        self.told: dict[str, frozenset[str]] = {}
        self.poison_detector, self.moves = PoisonDetector(), MoveTracker()
        self.ruled = 0      # the fleet's version that holds the plan; 0: its file does

    def cell_of(self, customer: int) -> str:
        jail = self.assignment.plan.quarantine
        if jail and self.poison_detector.is_quarantined(customer, time.monotonic()):
            return jail
        return self.moves.cell_of(customer, self.assignment.cell_of(customer))

    def sent(self, customer: int, node: str) -> None:
        self.moves.attempt_sent(customer, node)
        if self.assignment.plan.quarantine:
            self.poison_detector.attempt_sent(customer, node, time.monotonic())

    def ended(self, customer: int, node: str, status: api.Status) -> None:
        """An attempt's end: a node that dies of it shows by a break, and by connects that fail."""
        self.moves.attempt_ended(customer, node)
        if self.assignment.plan.quarantine:
            self._accuse(self.poison_detector.attempt_ended(customer, node, status is api.Status.RESET,
                                                           status is api.Status.CONNECT_FAILED, time.monotonic()))

    def _accuse(self, customers: list[int]) -> None:
        """Into quarantine, with what waits of them; it ends by itself."""
        if customers:
            jail, now = self.assignment.plan.quarantine, time.monotonic()
            for customer in customers:
                log.warning("agency %016x is kept in %s: nodes died with its requests (%s)", customer, jail,
                            self.poison_detector.explain(customer, now))
            self._tell(dict.fromkeys(customers, jail), anew=True)

    def follow(self, roster: api.Roster) -> None:
        """Take in a list or its changes, before the module does."""
        before = set(self.nodes)
        if roster.kind is not api.RosterKind.CHANGES:
            self.nodes = {}
        for entry in roster.entries:
            if entry.state is api.BackendState.GONE:
                self.nodes.pop(entry.backend, None)
            else:
                zone = self.zones[entry.zone] if entry.zone < len(self.zones) else ""
                self.nodes[entry.backend] = Node(entry.backend, zone)
        if self.assignment.plan.quarantine:
            for node in before - set(self.nodes):
                self._accuse(self.poison_detector.node_removed(node, time.monotonic()))
        members = self.assignment.members(self.nodes.values()) if self.moves.open else {}
        if begun := self.moves.update_members(members):
            log.info("nodes came: %d planned moves begin (%s)", len(begun), self.moves.summary())
        self._tell(begun, anew=bool(begun))

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
        if self.ruled:
            return log.info("the cells stay as they are: the fleet's version %d has a plan", self.ruled)
        try:
            plan = read_plan(self.path)
            check_change(self.path, self.assignment.plan, plan)
        except FaultyFile as error:
            return log.error("the cells stay as they are: %s", error.faults[0])
        self.take(plan)

    def take(self, plan: Plan) -> None:
        """Go over to a plan that was checked."""
        if plan == self.assignment.plan:
            return
        before, self.assignment = self.assignment, Assignment(plan)
        # Those that neither plan names, too, where they asked lately: what waits of them goes along.
        customers = (before.listed_agencies.keys() | self.assignment.listed_agencies.keys()
                     | before.hashed_agencies.keys() | self.moves.open.keys())
        changes = {c: (old, new) for c in customers
                   if (old := before.cell_of(c)) != (new := self.assignment.cell_of(c))}
        now = self.moves.apply_plan_changes(changes, plan.version, self.assignment.members(self.nodes.values()))
        log.info("the cells go by version %d: %d agencies moved (%s)", plan.version, len(now),
                 self.moves.summary())
        self._tell(now, anew=True)
