"""A program that is broken on purpose: `python -m fennelpoint.testing.fault_injection FAULT MODULE [ARGUMENTS]`.

Checks that are to find something are first shown to find this.
"""

from __future__ import annotations

import runpy
import sys


def gate() -> None:
    """Nothing is asked before a send."""
    from fennelpoint.fleet.component import FleetComponent

    FleetComponent.may_send = lambda self: True


def licence() -> None:
    """A licence never ends."""
    from fennelpoint.fleet.version_lease import VersionLease

    VersionLease.is_valid = lambda self, now: True


def eager() -> None:
    """A version is in force as soon as one has gone over to it."""
    from fennelpoint.fleet import rollout

    rollout.outage_violation, rollout.MAX_CLOCK_DRIFT = (
        lambda fleet, out: "" if len(out) < len(fleet.members) else "all", -0.5)


def backward() -> None:
    """Whatever a keeper says is gone by, older or not."""
    from fennelpoint.fleet.version_lease import ActivateVersion, VersionLease

    def act(self, number, digest, mixed):
        if (number, mixed) == (self.active_version, self.is_mixed):
            return []
        self.active_version, self.active_digest, self.is_mixed = number, digest, mixed
        return [ActivateVersion(number, digest, mixed, "broken")]

    VersionLease._activate = act
    VersionLease._adopt_state = lambda self, fleet, revision, whom: (
        setattr(self, "fleet", fleet) or setattr(self, "revision", revision) or [])


def figures() -> None:
    """Other figures of plans are not gone by."""
    from fennelpoint.fleet.component import FleetComponent

    FleetComponent._apply_plans = lambda self, plans, mixed: None


def stale() -> None:
    """A keeper's read is what it has at hand."""
    from fennelpoint.fleet.consensus import EmbeddedRegister

    async def read(self, key):
        return self.read_local(key)

    EmbeddedRegister.read = read


FAULTS = {f.__name__: f for f in (gate, licence, eager, backward, figures, stale)}


def main() -> None:
    name, module = sys.argv[1], sys.argv[2]
    FAULTS[name]()
    sys.argv = [module, *sys.argv[3:]]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
