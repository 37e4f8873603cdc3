"""All that is handed out keeps the rules that its protobufs declare (`validate.rules`)."""

from __future__ import annotations

import time

import pytest
from describing import GRADES, HEAD, PLANS
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from google.protobuf import any_pb2
from plays import HEAD_30, OTHER, PLAYS, described
from proxies import MESSAGES
from rules import RuleBroken, UnknownRule, _field, check
from validate import validate_pb2

from fennelpoint import interface as api
from fennelpoint.demo import EXAMPLE
from fennelpoint.operator_config import Control
from fennelpoint.routes.description import Site, load
from fennelpoint.routes.table import RouteTable
from fennelpoint.settings import from_json
from fennelpoint.testing import SETTINGS
from fennelpoint.xds.rate_limit_filters import LIMIT_FILTER, QUOTA_FILTER, Limits
from fennelpoint.xds.resources import endpoint_bodies, route_bodies
from fennelpoint.xds.routing import Routing
from fennelpoint.xds.streams import LDS, RDS

MADE = from_json({**SETTINGS, "grades": GRADES, "contracts": PLANS})


def test_validator_looks_into_what_an_any_holds():
    late = cluster_pb2.Cluster(name="x")
    late.connect_timeout.seconds = -1
    wrapped = any_pb2.Any()
    wrapped.Pack(late)
    with pytest.raises(RuleBroken, match="connect_timeout"):
        check(wrapped)


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


@pytest.mark.parametrize("quotas", ["off", "calls", "leases"])
@pytest.mark.parametrize("view", ["envoy", "grpc"])
@pytest.mark.parametrize("name", [*PLAYS, "the example"])
def test_every_resource_of_every_description_is_valid(tmp_path, name, view, quotas):
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
    limits = None if quotas == "off" else Limits(Control(settings="", quotas=quotas), MADE)
    routing = Routing(table, MADE, view, limits)
    list(routing.write())
    made = route_bodies(view, ["booking.example.org"], ("127.0.0.1", 10_000), table, MADE, limits)
    made[RDS] = {"larchwing": routing.body({})}
    made |= endpoint_bodies(ready, MADE, now)
    assert sum(len(named) for named in made.values()) >= 4
    for kind, named in made.items():
        for body in named.values():
            message = MESSAGES[kind]()
            assert any_pb2.Any.FromString(body).Unpack(message)
            assert check(message) > 1
            if kind == RDS and view == "envoy":
                routes = message.virtual_hosts[0].routes
                assert all((QUOTA_FILTER in r.typed_per_filter_config) == (quotas == "leases")
                           for r in routes)
                assert all(bool(r.route.rate_limits) == (quotas == "calls") for r in routes)
            if kind == LDS:
                wanted = {"calls": LIMIT_FILTER, "leases": QUOTA_FILTER}.get(quotas)
                assert (wanted or "x").encode() in body or view == "grpc" or wanted is None
