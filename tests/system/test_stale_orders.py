"""An order that a core machine carries out late must not undo a newer one.

Guards the rule EVAC: a machine that stood still while it took an evacuation back did so after the operator had
evacuated the zone again.
"""

from itertools import product
from math import inf

import pytest

from fennelpoint.system.store.replicated_state import evacuate, initial_state
from fennelpoint.testing.core_simulation import CoreSimulation, run_scenario

TOPOLOGY = """
core a1 za ra
core b1 zb rb
core c1 zc rc
front fa za ra
front fc zc rc
start
slow 0.02 a1 b1 fa from b1 c1 fc
"""
CALL_TIMEOUT_S, RETRY_S = 1.0, 0.1  # of the operator
# A change takes about 0.1 s in all: the pauses begin at each of its steps.
STEPS_S = [step * 0.006 for step in range(30)]
PAUSES_S = (0.1, 0.4, 1.2, 2.8, 4.0)


class Operator:
    """Sends orders, each one until it is acknowledged, while the machine `a1` may stand still."""

    def __init__(self) -> None:
        self.world: CoreSimulation = run_scenario(TOPOLOGY)
        self.world.run(3.0)
        self.world.execute(["put", "3", "on", "0", "via", "b1"])
        self.sent, self.thaw_at = 0, inf
        self.run(2.0)

    def run(self, seconds: float) -> None:
        """Let time pass; the machine goes on when it is time, whatever the operator waits for."""
        ends_at = self.world.now + seconds
        if self.thaw_at <= ends_at:
            self.world.run(self.thaw_at)
            self.world.execute(["thaw", "a1"])
            self.thaw_at = inf
        self.world.run(ends_at)

    def pause_machine(self, seconds: float) -> None:
        self.world.execute(["freeze", "a1"])
        self.thaw_at = self.world.now + seconds

    def send(self, order: str, machine: str) -> str:
        """Send an order once; returns the label of the call."""
        self.sent += 1
        label = f"{order} {self.sent}"
        self.world.call("POST" if order == "evacuate" else "DELETE", "/api/evacuation/za", None, machine, label)
        return label

    def is_acknowledged(self, label: str) -> bool:
        """Wait for the answer to a call; in the end the caller disconnects."""
        ends_at = self.world.now + CALL_TIMEOUT_S
        while not self.world.status(label) and self.world.now < ends_at:
            self.run(0.01)
        if not self.world.status(label):
            self.world.execute(["hang", "up", *label.split()])
        return self.world.status(label) == 200

    def order(self, order: str) -> None:
        """Send an order to the machines that work, until it is acknowledged."""
        for machine in ("b1", "c1") * 10:
            if self.is_acknowledged(self.send(order, machine)):
                return
            self.run(RETRY_S)
        raise AssertionError(f"{order} is not acknowledged")


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("is_sent_again", [True, False])
def test_order_of_a_machine_that_stood_still_does_not_undo_a_newer_one(pause_s: float, is_sent_again: bool) -> None:
    """The operator takes the evacuation back, hears nothing, and evacuates the zone after all."""
    operator = Operator()
    for step_s in STEPS_S:
        operator.order("evacuate")
        operator.run(1.0)
        taken_back = operator.send("restore", "a1")
        operator.run(step_s)
        operator.pause_machine(pause_s)
        if not operator.is_acknowledged(taken_back) and is_sent_again:
            operator.order("restore")
        operator.order("evacuate")
        operator.run(min(operator.thaw_at - operator.world.now, pause_s) + 3.0)
        for proxy in operator.world.proxies.values():
            assert proxy.session.evacuated_zones == {"za"}, step_s
        newest = max((core.store.state for core in operator.world.cores.values()), key=lambda state: state["rev"])
        assert newest["evac"] == ["za"], step_s


def test_order_takes_effect_only_if_no_other_one_came_before_it() -> None:
    state = initial_state({"a1": "za"})
    for first, second in product((True, False), repeat=2):
        numbered = evacuate("za", first, 0)(state)
        late = evacuate("za", second, 0)
        assert late(numbered) is numbered and late.outcome.status == 503
        newer = evacuate("za", second, 1)
        assert ("za" in newer(numbered)["evac"]) is second and newer.outcome.status == 200
    other_zone = evacuate("zb", True, 0)
    assert other_zone(evacuate("za", True, 0)(state))["evac"] == ["za", "zb"] and other_zone.outcome.status == 200
