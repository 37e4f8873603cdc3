"""Whom one poison agency harms, and what a node's change moves, by plan: `python benchmarks/cell_plans.py`.

60 nodes, 10,000 agencies, by arithmetic on the assignment (the same at every ingress, be there 3 or 40).
A poison agency kills every node that it reaches; harmed is who has no node left, and hurt who has lost some.
Then the agencies whose nodes change when one node joins, and the cost of looking a cell up.
"""

from __future__ import annotations

import statistics
import time

from fennelpoint.cells.assign import Assignment, Node
from fennelpoint.cells.plan import CellSpec, Plan, Shards

NODES = [Node(f"n{i}") for i in range(60)]
AGENCIES, POISONS, ROUNDS = range(10_000), range(0, 10_000, 500), 5
PLANS = {
    "no cells": Plan(1, cells=[CellSpec("all", part=1.0, take=1.0)]),
    "10 fixed cells of about 6": Plan(1, cells=[CellSpec(f"c{i}", part=1.0, take=1.0) for i in range(10)]),
    "64 shards of 4": Plan(1, shards=Shards(64, 4)),
    "512 shards of 4": Plan(1, shards=Shards(512, 4)),
}


def harm(plan: Plan) -> tuple[float, float, float]:
    """Shares of the other agencies harmed and hurt, and of agencies whose nodes change when a node joins."""
    made = Assignment(plan)
    members = made.members(NODES)
    homes = [made.cell_of(agency) for agency in AGENCIES]
    lost, hurt = [], []
    for poison in POISONS:
        dead = members[homes[poison]]
        lost.append(sum(members[home] <= dead for home in homes) / len(homes))
        hurt.append(sum(bool(members[home] & dead) for home in homes) / len(homes))
    after = made.members([*NODES, Node("new")])
    changed = sum(members[home] != after[home] for home in homes) / len(homes)
    return statistics.mean(lost), statistics.mean(hurt), changed


def cost(plan: Plan) -> tuple[float, float]:
    """Microseconds for an agency that asked lately, and for one that is new; the best of some rounds."""
    again, first = [], []
    for _ in range(ROUNDS):
        made = Assignment(plan)
        for seen in (first, again):
            began = time.perf_counter()
            for agency in AGENCIES:
                made.cell_of(agency)
            seen.append((time.perf_counter() - began) / len(AGENCIES) * 1e6)
    return min(again), min(first)


if __name__ == "__main__":
    print(f"{len(NODES)} nodes, {len(AGENCIES)} agencies, {len(POISONS)} poison agencies one at a time")
    print(f"{'':<28}{'harmed':>10}{'hurt':>10}{'one joins':>12}{'look-up us':>12}{'first us':>10}"
          f"{'ratio':>8}")
    for name, plan in PLANS.items():
        lost, hurt, changed = harm(plan)
        again, first = cost(plan)
        print(f"{name:<28}{lost:>10.4f}{hurt:>10.4f}{changed:>12.4f}{again:>12.2f}{first:>10.1f}"
              f"{first / again:>8.0f}")
