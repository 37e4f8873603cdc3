"""Invalid configurations among valid ones, at the size of large deployments, are refused and change nothing."""

import json
from collections.abc import Callable
from copy import deepcopy

import pytest

from fennelpoint.testing.core_simulation import CoreSimulation, run_scenario

TENANTS, SERVICES, HOSTS, ROUTES = 140, 3, 20, 3
TOPOLOGY = """
core a1 za ra
core b1 zb rb
core c1 zc rc
front fa za ra
front fb zb rb
start
"""
RESPONSE_LIMIT_S = 0.5  # within which an invalid configuration must be refused


def full_configuration(version: int, base: int) -> dict:
    """A configuration of that size: 60 routes on 20 hosts."""

    def rule(host: int, number: int) -> dict:
        action = {"service": f"service{number % SERVICES}", "request_timeout_s": 1.5, "max_attempts": 2}
        return {"name": f"r{host}.{number}", "kind": "idempotent", "target_latency_s": 0.4, "route_priority": 2,
                "match_criteria": {"path_prefix": f"/p{number}/"}, "route_action": action}  # fmt: skip

    return {
        "version": version,
        "base_version": base,
        "listener_table": [
            {"host": f"h{host}.example", "rule_set": [rule(host, number) for number in range(ROUTES)]}
            for host in range(HOSTS)
        ],
        "tenants": [
            {"name": f"t{number}", "api_keys": [f"key{number}a", f"key{number}b"], "rate_per_s": 5, "burst_size": 5}
            for number in range(TENANTS)
        ],
        "clusters": [{"name": f"service{number}", "cold_start_s": 3, "cold_rate_s": 5} for number in range(SERVICES)],
    }


def last_rule(value: dict) -> dict:
    """The fault is in the last rule, so that all before it is read first."""
    return value["listener_table"][-1]["rule_set"][-1]


def unknown_service(value: dict) -> None:
    last_rule(value)["route_action"]["service"] = "nobody"


def split_to_unknown_service(value: dict) -> None:
    last_rule(value)["route_action"]["traffic_split"] = [
        {"service": "service0", "traffic_weight": 90},
        {"service": "nobody", "traffic_weight": 10},
    ]


def without_host(value: dict) -> None:
    value["listener_table"][-1]["host"] = ""


def without_timeout(value: dict) -> None:
    last_rule(value)["route_action"]["request_timeout_s"] = 0


def relative_prefix(value: dict) -> None:
    last_rule(value)["match_criteria"]["path_prefix"] = "p/"


def shared_key(value: dict) -> None:
    value["tenants"][-1]["api_keys"].append("key0a")


def old_version(value: dict) -> None:
    value["version"] = value["base_version"]


def stale_base(value: dict) -> None:
    value["base_version"] -= 1


INVALID: dict[Callable[[dict], None], str] = {
    unknown_service: "r19.2: no service nobody",
    split_to_unknown_service: "r19.2: no service nobody",
    without_host: "listener_table.19.host",
    without_timeout: "listener_table.19.rule_set.2.route_action.request_timeout_s",
    relative_prefix: "listener_table.19.rule_set.2.match_criteria.path_prefix",
    shared_key: "tenants t0 and t139 share a key",
    old_version: "",
    stale_base: "",
}


class Operator:
    """Sends configurations one after the other, each to the next core machine."""

    def __init__(self) -> None:
        self.world: CoreSimulation = run_scenario(TOPOLOGY)
        self.world.run(3.0)
        self.version = 0
        self.send(full_configuration(10, 0))
        self.version = 10

    def send(self, value: dict | bytes) -> tuple[int, str]:
        """Returns status and text of the response; (0, "") without one in time."""
        world = self.world
        label = f"call {len(world.calls_by_label)}"
        world.call("PUT", "/api/configuration", value, list(world.cores)[len(world.calls_by_label) % 3], label)
        deadline = world.now + RESPONSE_LIMIT_S
        while not world.status(label) and world.now < deadline:
            world.run(world.now + 0.02)
        reply = world.replies.get(id(world.calls_by_label[label][-1]))
        return (0, "") if reply is None else (reply.status, json.dumps(reply.value))

    def next_configuration(self) -> dict:
        return full_configuration(self.version + 7, self.version)  # versions need not be consecutive

    def apply_next(self) -> None:
        """Sends a valid configuration twice: it is accepted, and a repeated request gets the same answer."""
        value = self.next_configuration()
        assert self.send(value)[0] == 200
        assert self.send(value)[0] == 200
        self.version = value["version"]

    def check_in_force(self) -> None:
        self.world.run(self.world.now + 1.0)
        assert {front.version for front in self.world.proxies.values()} == {self.version}
        assert all(self.world.may_send_requests(front) for front in self.world.proxies.values())


@pytest.mark.parametrize("invalidate", INVALID, ids=lambda invalidate: invalidate.__name__)
def test_an_invalid_configuration_is_refused_with_its_field_and_changes_nothing(invalidate: Callable) -> None:
    operator = Operator()
    for _ in range(2):
        operator.apply_next()
        value = deepcopy(operator.next_configuration())
        invalidate(value)
        status, text = operator.send(value)
        assert 400 <= status < 500 and status not in (408, 429)
        assert INVALID[invalidate] in text and "\\n" not in text
        operator.check_in_force()


@pytest.mark.parametrize("fraction", [0.1, 0.5, 0.999])
def test_a_truncated_configuration_is_refused_and_changes_nothing(fraction: float) -> None:
    operator = Operator()
    data = json.dumps(operator.next_configuration()).encode()
    status, text = operator.send(data[: int(fraction * len(data))])
    assert status == 400 and "invalid JSON" in text
    operator.check_in_force()
    operator.apply_next()
    operator.check_in_force()


def test_all_machines_refuse_an_invalid_configuration_and_accept_a_valid_one_at_the_same_time() -> None:
    operator = Operator()
    invalid, valid = operator.next_configuration(), operator.next_configuration()
    without_timeout(invalid)
    for ip in operator.world.cores:
        operator.world.call("PUT", "/api/configuration", invalid, ip, "invalid")
        operator.world.call("PUT", "/api/configuration", valid, ip, "valid")
    operator.world.run(operator.world.now + 2.0)
    replies = {label: {operator.world.replies[id(request)].status for request in operator.world.calls_by_label[label]}
               for label in ("invalid", "valid")}  # fmt: skip
    assert replies == {"invalid": {400}, "valid": {200}}
    operator.version = valid["version"]
    operator.check_in_force()
