"""Assigns nodes and agencies to cells, from the plan and the roster alone, so that every ingress agrees.

Uses weighted rendezvous hashing (highest random weight, Thaler and Ravishankar): a node that joins or leaves
changes only its own assignment, and a cell that is added or removed changes only what it gains or loses.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from fnmatch import fnmatchcase
from hashlib import blake2b
from heapq import nsmallest
from math import log

from fennelpoint.cells.plan import Plan

MAX_CACHED_AGENCIES = 20_000    # hashed agencies whose cell is cached; others are hashed again


@dataclass(frozen=True, slots=True)
class Node:
    """A booking node as listed in the roster."""

    id: str
    zone: str = ""


def uniform_hash(*key_parts: str) -> float:
    """Hash the key parts to a number strictly between 0 and 1, the same in every process."""
    data = "\0".join(key_parts).encode()
    return (int.from_bytes(blake2b(data, digest_size=7).digest(), "big") + 0.5) / (1 << 56)


def jump_hash(key: int, buckets: int) -> int:
    """Map a key to a bucket by jump consistent hash (Lamping, Veach).

    An added bucket takes an equal share of the keys; no other key moves.
    """
    bucket, next_bucket = -1, 0
    while next_bucket < buckets:
        bucket = next_bucket
        key = (key * 2862933555777941757 + 1) & ((1 << 64) - 1)
        next_bucket = int((bucket + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return bucket


def rendezvous_score(weight: float, *key_parts: str) -> float:
    """Score a candidate; the lowest wins.

    Scores are exponentially distributed, so candidates win in proportion to their weights.
    """
    return -log(uniform_hash(*key_parts)) / weight


class Assignment:
    """Applies a plan: `members` gives the nodes of each cell, `cell_of` the cell of an agency."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.salt = plan, plan.salt
        self.listed_agencies = {int(a, 16): cell.name for cell in plan.cells for a in cell.agencies}
        self.agency_weights = [(cell.name, cell.take) for cell in plan.cells if cell.take]
        if plan.shards is not None:
            self.agency_weights = [(f"shard-{i}", 1.0) for i in range(plan.shards.count)]
        self.node_weights = [(cell.name, cell.part) for cell in plan.cells if cell.part]
        self.hashed_agencies: dict[int, str] = {}

    @property
    def cell_names(self) -> list[str]:
        return [cell.name for cell in self.plan.cells] or [name for name, _ in self.agency_weights]

    def cell_of(self, customer: int) -> str:
        """Return the cell of an agency; the cells of hashed agencies are cached."""
        if (name := self.listed_agencies.get(customer)) is not None:
            return name
        if (name := self.hashed_agencies.get(customer)) is None:
            if len(self.hashed_agencies) >= MAX_CACHED_AGENCIES:
                del self.hashed_agencies[next(iter(self.hashed_agencies))]
            name = self.hashed_agencies[customer] = self._hash_to_cell(customer)
        return name

    def _hash_to_cell(self, customer: int) -> str:
        key = f"{customer:016x}"
        if self.plan.shards is not None:    # equal weights and up to hundreds of shards: avoids a hash per shard
            digest = blake2b(f"{self.salt}\0agency\0{key}".encode(), digest_size=8).digest()
            return f"shard-{jump_hash(int.from_bytes(digest, 'big'), self.plan.shards.count)}"
        return min(self.agency_weights,
                   key=lambda entry: rendezvous_score(entry[1], self.salt, "agency", key, entry[0]))[0]

    def explain(self, customer: int) -> str:
        """Describe why an agency is in its cell."""
        if customer in self.listed_agencies:
            return "the plan names it there"
        if self.plan.shards is not None:
            return f"by hash, one of {len(self.agency_weights)} shards"
        return f"by hash, one of {len(self.agency_weights)} cells that take agencies no cell names"

    def members(self, nodes: Iterable[Node]) -> dict[str, frozenset[str]]:
        """Return the ids of the nodes in each cell."""
        nodes = list(nodes)
        if self.plan.shards is not None:
            size = self.plan.shards.size
            return {name: frozenset(node.id for node in nsmallest(
                size, nodes,
                key=lambda node: (rendezvous_score(1.0, self.salt, name, node.id), node.id)))  # noqa: B023
                for name, _ in self.agency_weights}
        cells: dict[str, set[str]] = {cell.name: set() for cell in self.plan.cells}
        for node in nodes:
            if (name := self._cell_of_node(node)) is not None:
                cells[name].add(node.id)
        return {name: frozenset(members) for name, members in cells.items()}

    def _cell_of_node(self, node: Node) -> str | None:
        for cell in self.plan.cells:
            if node.zone in cell.zones or any(fnmatchcase(node.id, pattern) for pattern in cell.nodes):
                return cell.name
        if not self.node_weights:
            return None     # the node is in no cell and gets no traffic
        return min(self.node_weights,
                   key=lambda entry: rendezvous_score(entry[1], self.salt, "node", node.id, entry[0]))[0]


def overlap_histogram(members: Mapping[str, frozenset[str]]) -> dict[int, int]:
    """Count the pairs of cells by the number of nodes that they share."""
    names, pairs = sorted(members), {}
    for i, first in enumerate(names):
        for second in names[i + 1:]:
            shared = len(members[first] & members[second])
            pairs[shared] = pairs.get(shared, 0) + 1
    return pairs
