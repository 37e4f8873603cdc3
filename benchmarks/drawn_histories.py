"""Drawn histories of lending parts or of holding the duty, with seeds of their own: as many as asked for.

Usage:
    drawn_histories.py (parts | duty) [--first SEED] [--runs N] [--each N]

The state machines are those of tests/system; there they draw 150 histories by a fixed seed.  Prints a line for each
run that finds a fault, and how many were played.  Exits with 1 where one did.

Options:
    --first SEED  of the first run [default: 1]
    --runs N      each with the seed after the one before [default: 10]
    --each N      histories in each run [default: 1000]
"""

from __future__ import annotations

import sys
from importlib import import_module
from pathlib import Path

from docopt import docopt
from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

TESTS = Path(__file__).parent.parent / "tests" / "system"
MACHINES = {"parts": ("test_parts", "AllocationMachine"), "duty": ("test_leader_lease_histories", "LeaseMachine")}
STEPS = 40


def play(machine: type[RuleBasedStateMachine], first: int, histories: int) -> str:
    """What is wrong in the first history that finds a fault; empty where none does."""
    drawn = settings(
        max_examples=histories,
        stateful_step_count=STEPS,
        derandomize=False,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(seed(first)(machine), settings=drawn)
    except AssertionError as error:
        return str(error).partition("\n")[0] or repr(error)
    return ""


def main() -> int:
    """Number of the process's exit."""
    options = docopt(__doc__)
    sys.path.insert(0, str(TESTS))
    module, name = MACHINES["parts" if options["parts"] else "duty"]
    machine = getattr(import_module(module), name)
    first, runs, each = (int(options[name]) for name in ("--first", "--runs", "--each"))
    failed = 0
    for number in range(first, first + runs):
        if wrong := play(machine, number, each):
            failed += 1
            print(f"seed {number}: {wrong}", flush=True)
    print(f"{runs * each} histories of {name}, {failed} of {runs} runs found a fault")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
