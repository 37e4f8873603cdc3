"""Applies the cell plan in a running ingress and posts the cells to its controller."""

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
    """Maintains the cells of one ingress.  `post` passes events to the controller."""

    def __init__(self, path: str, plan: Plan, zones: list[str], post: Callable[[api.Event], None]) -> None:
        self.path, self.zones, self.post = path, zones, post
        self.assignment = Assignment(plan)
        self.nodes: dict[str, Node] = {}
        self.posted_members: dict[str, frozenset[str]] = {}
        self.poison_detector, self.moves = PoisonDetector(), MoveTracker()
        self.fleet_version = 0      # the fleet version that defines the plan; 0 if the plan file does

    def cell_of(self, customer: int) -> str:
        quarantine_cell = self.assignment.plan.quarantine
        if quarantine_cell and self.poison_detector.is_quarantined(customer, time.monotonic()):
            return quarantine_cell
        return self.moves.cell_of(customer, self.assignment.cell_of(customer))

    def attempt_sent(self, customer: int, node: str) -> None:
        self.moves.attempt_sent(customer, node)
        if self.assignment.plan.quarantine:
            self.poison_detector.attempt_sent(customer, node, time.monotonic())

    def attempt_ended(self, customer: int, node: str, status: api.Status) -> None:
        """Record the end of an attempt; a node that it killed shows as a reset, then as failed connections."""
        self.moves.attempt_ended(customer, node)
        if self.assignment.plan.quarantine:
            self._quarantine(self.poison_detector.attempt_ended(customer, node, status is api.Status.RESET,
                                                           status is api.Status.CONNECT_FAILED, time.monotonic()))

    def _quarantine(self, customers: list[int]) -> None:
        """Put agencies into quarantine, with their queued requests; it expires by itself."""
        if customers:
            quarantine_cell, now = self.assignment.plan.quarantine, time.monotonic()
            for customer in customers:
                log.warning("agency %016x is quarantined in %s: nodes died while serving it (%s)", customer,
                            quarantine_cell, self.poison_detector.explain(customer, now))
            self._post_cells(dict.fromkeys(customers, quarantine_cell), force=True)

    def follow(self, roster: api.Roster) -> None:
        """Apply a roster or its changes, before the controller does."""
        previous_nodes = set(self.nodes)
        if roster.kind is not api.RosterKind.CHANGES:
            self.nodes = {}
        for entry in roster.entries:
            if entry.state is api.BackendState.GONE:
                self.nodes.pop(entry.backend, None)
            else:
                zone = self.zones[entry.zone] if entry.zone < len(self.zones) else ""
                self.nodes[entry.backend] = Node(entry.backend, zone)
        if self.assignment.plan.quarantine:
            for node in previous_nodes - set(self.nodes):
                self._quarantine(self.poison_detector.node_removed(node, time.monotonic()))
        members = self.assignment.members(self.nodes.values()) if self.moves.open else {}
        if started := self.moves.update_members(members):
            log.info("nodes joined: %d planned moves start (%s)", len(started), self.moves.summary())
        self._post_cells(started, force=bool(started))

    def _post_cells(self, moved: dict[int, str], force: bool = False) -> None:
        members = self.assignment.members(self.nodes.values())
        if members == self.posted_members and not force:
            return
        self.posted_members = members
        spill = {cell.name: (cell.spill_to, cell.spill_share) for cell in self.assignment.plan.cells}
        self.post(api.Cells({name: api.Cell(m, *spill.get(name, ("", 0.0))) for name, m in members.items()},
                            moved))

    def reload(self) -> None:
        """Apply the plan file again on SIGHUP; an invalid plan changes nothing."""
        if self.fleet_version:
            return log.info("cell plan not reloaded: fleet version %d defines the plan", self.fleet_version)
        try:
            plan = read_plan(self.path)
            check_change(self.path, self.assignment.plan, plan)
        except FaultyFile as error:
            return log.error("cell plan not reloaded: %s", error.faults[0])
        self.apply(plan)

    def apply(self, plan: Plan) -> None:
        """Replace the plan by a validated one, and move the agencies whose cell changes."""
        if plan == self.assignment.plan:
            return
        previous, self.assignment = self.assignment, Assignment(plan)
        # Includes recently seen agencies that neither plan lists, as their queued requests must move with them.
        customers = (previous.listed_agencies.keys() | self.assignment.listed_agencies.keys()
                     | previous.hashed_agencies.keys() | self.moves.open.keys())
        changes = {c: (old, new) for c in customers
                   if (old := previous.cell_of(c)) != (new := self.assignment.cell_of(c))}
        moved = self.moves.apply_plan_changes(changes, plan.version, self.assignment.members(self.nodes.values()))
        log.info("applied cell plan version %d: %d agencies moved (%s)", plan.version, len(moved),
                 self.moves.summary())
        self._post_cells(moved, force=True)
