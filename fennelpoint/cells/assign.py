"""Which nodes a cell has, and which cell an agency is in: alike at every ingress, by plan and roster alone.

Weighted rendezvous hashing (highest random weight, Thaler and Ravishankar): a node that joins or leaves moves
only itself, and so does a cell with what it wins or loses.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from fnmatch import fnmatchcase
from hashlib import blake2b
from heapq import nsmallest
from math import log

from fennelpoint.cells.plan import Plan

MOST_REMEMBERED = 20_000    # agencies whose cell was looked up; the rest is computed again


@dataclass(frozen=True, slots=True)
class Node:
    """A booking node as the roster names it."""

    id: str
    zone: str = ""


def draw(*words: str) -> float:
    """A number over 0 and under 1 that is always the same for these words."""
    data = "\0".join(words).encode()
    return (int.from_bytes(blake2b(data, digest_size=7).digest(), "big") + 0.5) / (1 << 56)


def jump(key: int, buckets: int) -> int:
    """A bucket by jump consistent hash (Lamping, Veach): one more takes an even part, nothing else moves."""
    at, after = -1, 0
    while after < buckets:
        at = after
        key = (key * 2862933555777941757 + 1) & ((1 << 64) - 1)
        after = int((at + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return at


def rank(weight: float, *words: str) -> float:
    """The least wins: an exponential lot, won in proportion to the weights."""
    return -log(draw(*words)) / weight


class Assignment:
    """A plan applied.  `members` from a roster; `cell_of` an agency."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.salt = plan, plan.salt
        self.listed = {int(a, 16): cell.name for cell in plan.cells for a in cell.agencies}
        self.takers = [(cell.name, cell.take) for cell in plan.cells if cell.take]
        if plan.shards is not None:
            self.takers = [(f"shard-{i}", 1.0) for i in range(plan.shards.count)]
        self.parts = [(cell.name, cell.part) for cell in plan.cells if cell.part]
        self.found: dict[int, str] = {}

    @property
    def names(self) -> list[str]:
        return [cell.name for cell in self.plan.cells] or [name for name, _ in self.takers]

    def cell_of(self, customer: int) -> str:
        """The cell of an agency; a look-up for one that asked lately."""
        if (name := self.listed.get(customer)) is not None:
            return name
        if (name := self.found.get(customer)) is None:
            if len(self.found) >= MOST_REMEMBERED:
                del self.found[next(iter(self.found))]
            name = self.found[customer] = self._won(customer)
        return name

    def _won(self, customer: int) -> str:
        key = f"{customer:016x}"
        if self.plan.shards is not None:    # all alike, and may be hundreds: not one draw for each
            draws = blake2b(f"{self.salt}\0agency\0{key}".encode(), digest_size=8).digest()
            return f"shard-{jump(int.from_bytes(draws, 'big'), self.plan.shards.count)}"
        return min(self.takers, key=lambda taker: rank(taker[1], self.salt, "agency", key, taker[0]))[0]

    def why(self, customer: int) -> str:
        """Why an agency is in its cell, in words."""
        if customer in self.listed:
            return "the plan names it there"
        if self.plan.shards is not None:
            return f"by hash, one of {len(self.takers)} shards"
        return f"by hash, one of {len(self.takers)} cells that take agencies no cell names"

    def members(self, nodes: Iterable[Node]) -> dict[str, frozenset[str]]:
        """The nodes of every cell."""
        nodes = list(nodes)
        if self.plan.shards is not None:
            size = self.plan.shards.size
            return {name: frozenset(node.id for node in nsmallest(
                size, nodes, key=lambda node: (rank(1.0, self.salt, name, node.id), node.id)))  # noqa: B023
                for name, _ in self.takers}
        cells: dict[str, set[str]] = {cell.name: set() for cell in self.plan.cells}
        for node in nodes:
            if (name := self._cell_of_node(node)) is not None:
                cells[name].add(node.id)
        return {name: frozenset(members) for name, members in cells.items()}

    def _cell_of_node(self, node: Node) -> str | None:
        for cell in self.plan.cells:
            if node.zone in cell.zones or any(fnmatchcase(node.id, pattern) for pattern in cell.nodes):
                return cell.name
        if not self.parts:
            return None     # no cell's: it gets nothing
        return min(self.parts, key=lambda part: rank(part[1], self.salt, "node", node.id, part[0]))[0]


def overlap(members: Mapping[str, frozenset[str]]) -> dict[int, int]:
    """How many pairs of cells share so many nodes."""
    names, pairs = sorted(members), {}
    for i, one in enumerate(names):
        for other in names[i + 1:]:
            shared = len(members[one] & members[other])
            pairs[shared] = pairs.get(shared, 0) + 1
    return pairs
