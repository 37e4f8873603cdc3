"""All that is handed out keeps the rules that its protobufs declare (`validate.rules`)."""

from __future__ import annotations

import time

import pytest
from describing import GRADES, HEAD, PLANS
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from google.protobuf import any_pb2
from plays import HEAD_30, OTHER, PLAYS, described
from proxies import MESSAGES
from rules import RuleBroken, UnknownRule, _field, check
from validate import validate_pb2

from fennelpoint import interface as api
from fennelpoint.demo import EXAMPLE
from fennelpoint.routes.description import Site, load
from fennelpoint.routes.table import RouteTable
from fennelpoint.settings import from_json
from fennelpoint.standins import SETTINGS
from fennelpoint.xds.resources import endpoint_bodies, route_bodies

MADE = from_json({**SETTINGS, "grades": GRADES, "contracts": PLANS})


def check_all(message) -> int:
    """A listener holds its connection manager in an Any: that is checked, too."""
    count = check(message)
    if isinstance(message, listener_pb2.Listener):
        packed = [message.api_listener.api_listener] if message.HasField("api_listener") else [
            f.typed_config for chain in message.filter_chains for f in chain.filters]
        for one in packed:
            manager = http_connection_manager_pb2.HttpConnectionManager()
            assert one.Unpack(manager)
            count += check(manager)
    return count


def test_validator_finds_what_is_wrong():
    """It must be able to fail: a cluster without a name, a virtual host without domains."""
    empty_host = route_pb2.RouteConfiguration()
    empty_host.virtual_hosts.add(name="x")
    late = cluster_pb2.Cluster(name="x")
    late.connect_timeout.seconds = -1
    for wrong, says in ((cluster_pb2.Cluster(), "Cluster.name"), (empty_host, "VirtualHost.domains"),
                        (late, "connect_timeout"), (route_components_pb2.Route(), "none of action")):
        with pytest.raises(RuleBroken, match=says):
            check(wrong)


@pytest.mark.parametrize("rules, value", [
    (validate_pb2.FieldRules(timestamp=validate_pb2.TimestampRules(required=True)), 1),
    (validate_pb2.FieldRules(string=validate_pb2.StringRules(email=True)), "x")])
def test_rule_that_is_not_checked_does_not_pass_for_kept(rules, value):
    with pytest.raises(UnknownRule):
        _field(rules, value, True, False, "x", None)


@pytest.mark.parametrize("view", ["envoy", "grpc"])
@pytest.mark.parametrize("name", [*PLAYS, "the example"])
def test_every_resource_of_every_description_is_valid(tmp_path, name, view):
    path = EXAMPLE
    if name in PLAYS:
        path = tmp_path / "d.yaml"
        path.write_text(described(PLAYS[name][0], HEAD_30 if "3.0" in name else HEAD))
        (tmp_path / "other.yaml").write_text(OTHER)
    loaded = load(path, Site.of(MADE))
    assert not loaded.faults
    now = time.time()
    ready = [(api.BackendEntry(f"s-{i}", api.BackendState.READY, started), ("127.0.0.1", 9000 + i))
             for i, started in enumerate((0.0, 0.0, now - 1.0, now))]
    table = RouteTable(loaded.routes)
    made = route_bodies(view, ["booking.example.org"], ("127.0.0.1", 10_000), table, MADE)
    made |= endpoint_bodies(ready, MADE, now)
    assert sum(len(named) for named in made.values()) >= 4
    for kind, named in made.items():
        for body in named.values():
            message = MESSAGES[kind]()
            assert any_pb2.Any.FromString(body).Unpack(message)
            assert check_all(message) > 1
