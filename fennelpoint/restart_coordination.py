"""Coordination of the processes of one ingress during a restart: which run, which serve, how state is handed over.

Pure.  `net/hot_restart.py` tells which generations are alive (each holds a lock on its file) and which states they
have written; the steps that are due are returned.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass

STATE_TIMEOUT_S = 1.0   # for the predecessor's state, after which this process starts without it


@dataclass(frozen=True, slots=True)
class SetProcessCount:
    """This ingress consists of so many processes."""

    processes: int


@dataclass(frozen=True, slots=True)
class SendState:
    """Write the state for a newer process, with its share of the token buckets: one of so many."""

    generation: int
    processes: int


@dataclass(frozen=True, slots=True)
class ApplyState:
    """Continue from a predecessor's state, or apply the final one, which it wrote at its end."""

    generation: int
    is_final: bool = False


@dataclass(frozen=True, slots=True)
class StartServing:
    """Accept clients from now on."""


Step = SetProcessCount | SendState | ApplyState | StartServing


class RestartCoordinator:
    """One process's view of the others.  Call `due_steps` whenever something may have changed."""

    def __init__(self, generation: int, alive: Set[int], now: float) -> None:
        self.generation = generation
        self.others = frozenset(alive)      # the other generations that are alive
        older = [g for g in alive if g < generation]
        self.predecessor = max(older, default=None)
        self.wait_until = now + STATE_TIMEOUT_S if self.predecessor is not None else now
        self.has_state = self.has_final_state = False   # of the predecessor, applied
        self.state_sent_to: int | None = None
        self.is_serving = False
        self.processes = 1

    @property
    def successor(self) -> int | None:
        """The newest other process, if it is newer than this one."""
        newest = max(self.others, default=-1)
        return newest if newest > self.generation else None

    def due_steps(self, alive: Set[int], states: Set[int], final_states: Set[int], can_serve: bool,
                  now: float) -> list[Step]:
        """Return what is due.

        `states` and `final_states` name the predecessors that have written one for this process.
        """
        self.others, steps = frozenset(alive) - {self.generation}, []
        processes, successor_has_state = 1 + len(self.others), self.successor in (None, self.state_sent_to)
        if processes != self.processes and successor_has_state:
            self.processes = processes
            steps.append(SetProcessCount(processes))
        if not self.has_state and self.predecessor in states:
            # After the number of processes is set, as the state is scaled by it.
            self.has_state = True
            steps.append(ApplyState(self.predecessor))
        predecessor_ended = self.predecessor is not None and self.predecessor not in self.others
        if self.predecessor in final_states and predecessor_ended and not self.has_final_state:
            self.has_final_state = True
            steps.append(ApplyState(self.predecessor, is_final=True))
        if not self.is_serving and can_serve and (self.has_state or predecessor_ended or now >= self.wait_until):
            self.is_serving = True
            steps.append(StartServing())
        if (newer := self.successor) is not None and newer != self.state_sent_to:
            # The successor gets the share of one of the processes alive now; this one's falls to the same.
            self.state_sent_to, self.processes = newer, processes
            steps += [SendState(newer, processes), SetProcessCount(processes)]
        return steps
