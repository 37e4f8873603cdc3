"""Cells: confine each agency to a subset of the booking nodes (docs/cells.md)."""

from fennelpoint.cells.assign import Assignment, Node
from fennelpoint.cells.plan import Plan, read_plan

__all__ = ["Assignment", "Node", "Plan", "read_plan"]
