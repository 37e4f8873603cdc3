"""Many changes at once are sent to proxies in a few messages; a single change is sent without delay."""

from __future__ import annotations

from fennelpoint.system.actions import Send
from fennelpoint.system.registry.backend_table import READY, BackendReport
from fennelpoint.system.registry.state_machine import RegistryStateMachine
from fennelpoint.system.settings import Bounds
from fennelpoint.system.throttle import Throttle


def test_the_first_key_is_due_at_once_and_later_ones_together() -> None:
    throttle = Throttle(0.04)
    assert throttle.add(["a"], 1.0) == ["a"]
    assert throttle.add(["b"], 1.01) == [] == throttle.add(["c", "b"], 1.02)
    assert throttle.delay(1.02) > 0.0 and throttle.take_due(1.03) == []
    assert throttle.take_due(1.05) == ["b", "c"] and throttle.take_due(1.2) == []
    assert throttle.add(["d"], 1.2) == ["d"]
    throttle.add(["e"], 1.21)
    assert throttle.take_all(1.21) == ["e"] and throttle.take_due(2.0) == []


def test_hundreds_of_backends_that_return_at_once_are_sent_to_a_proxy_in_a_few_messages() -> None:
    """With one message for each backend and proxy, registries were busy for a minute after all backends returned."""
    zones = {"za": "ra", "zb": "rb"}
    registry = RegistryStateMachine("a", "za", "ra", zones, ["a", "b"], 7000, Bounds(), 1.5, 1, True, 0.0)
    registry.on_message("span@f", ["front", {"address": "f:1", "zone": "za", "region": "ra", "life": 1}, []], 0.1)
    messages: list[list] = []

    def collect(actions: list) -> None:
        messages.extend(a.message for a in actions if isinstance(a, Send) and a.message[0] == "list")

    now = 1.0
    for number in range(200):
        backend = BackendReport(f"i-{number}", f"10.9.0.{number}:80", "svc", "zb", 4, "v1", READY, 1, 0.0, 0.0)
        collect(registry.on_message("roll@b", ["backends", 0, [backend.pack()]], now))
        now += 0.005
        if number % 10 == 0:
            collect(registry.tick(now))
    collect(registry.tick(now + 0.05))
    assert len(messages) <= 30
    assert [message[2] for message in messages] == list(range(messages[0][2], messages[0][2] + len(messages)))
    assert {item[0] for message in messages for item in message[3]} == {f"i-{n}" for n in range(200)}
