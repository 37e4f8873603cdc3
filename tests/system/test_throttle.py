"""Many changes at once cost fronts and registries a few messages, and a single one none of its speed."""

from __future__ import annotations

from fennelpoint.system.actions import Send
from fennelpoint.system.registry.backend_table import READY, BackendReport
from fennelpoint.system.registry.state_machine import RegistryStateMachine
from fennelpoint.system.settings import Bounds
from fennelpoint.system.throttle import Paced


def test_the_first_goes_at_once_and_what_follows_together() -> None:
    paced = Paced(0.04)
    assert paced.add(["a"], 1.0) == ["a"]
    assert paced.add(["b"], 1.01) == [] == paced.add(["c", "b"], 1.02)
    assert paced.wait(1.02) > 0.0 and paced.due(1.03) == []
    assert paced.due(1.05) == ["b", "c"] and paced.due(1.2) == []
    assert paced.add(["d"], 1.2) == ["d"]
    paced.add(["e"], 1.21)
    assert paced.take(1.21) == ["e"] and paced.due(2.0) == []


def test_hundreds_of_backends_that_come_back_at_once_are_told_to_a_front_in_a_few_messages() -> None:
    """One message for each of them and each front kept registries busy for a minute where all had come back."""
    zones = {"za": "ra", "zb": "rb"}
    registry = RegistryStateMachine("a", "za", "ra", zones, ["a", "b"], 7000, Bounds(), 1.5, 1, True, 0.0)
    registry.on_message("span@f", ["front", {"address": "f:1", "zone": "za", "region": "ra", "life": 1}, []], 0.1)
    told: list[list] = []

    def keep(actions: list) -> None:
        told.extend(a.message for a in actions if isinstance(a, Send) and a.message[0] == "list")

    now = 1.0
    for number in range(200):
        backend = BackendReport(f"i-{number}", f"10.9.0.{number}:80", "svc", "zb", 4, "v1", READY, 1, 0.0, 0.0)
        keep(registry.on_message("roll@b", ["backends", 0, [backend.pack()]], now))
        now += 0.005
        if number % 10 == 0:
            keep(registry.tick(now))
    keep(registry.tick(now + 0.05))
    assert len(told) <= 30
    assert [message[2] for message in told] == list(range(told[0][2], told[0][2] + len(told)))
    assert {item[0] for message in told for item in message[3]} == {f"i-{n}" for n in range(200)}
