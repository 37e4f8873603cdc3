"""Envoy's clusters, endpoints and listeners from our classes and roster; `routing` writes the routes.

Pure, but it needs the published protobufs.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from functools import lru_cache

from envoy.config.cluster.v3 import circuit_breaker_pb2, cluster_pb2, outlier_detection_pb2
from envoy.config.core.v3 import config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2

from fennelpoint import interface as api
from fennelpoint.routes.table import RouteTable
from fennelpoint.slow_start import PROXY_CAUTION, capacity_share, cold_pick_probability
from fennelpoint.xds.membership import Address
from fennelpoint.xds.protobuf import packed, seconds
from fennelpoint.xds.rate_limit_filters import Limits
from fennelpoint.xds.routing import ROUTES, Weights, part_of
from fennelpoint.xds.streams import CDS, EDS, LDS, LEDS

ENDPOINTS = "backends"      # name of the one endpoint list
COLLECTIONS = f"xdstp://larchwing/envoy.config.endpoint.v3.LbEndpoint/{ENDPOINTS}"
WEIGHT, COLD_STEPS = 1000, 20   # of a warm backend of size 1; steps in which a cold one's weight grows
RETRY_BUDGET, LEAST_RETRIES = 10.0, 3   # % of what is out that may be retries; that many always

Bodies = dict[str, dict[str, bytes]]
Near = tuple[str, float]    # a proxy's own zone, and what its warm endpoints' weights are multiplied by


Parts = dict[str, list[tuple[api.BackendEntry, Address]]]


def parts(ready: Iterable[tuple[api.BackendEntry, Address]], part: str, settings: api.Settings) -> Parts:
    """The backends of each cell or zone, by a name like `cell.3`."""
    out: Parts = {}
    for entry, address in ready:
        value = entry.cell if part == "cell" else zone_name(entry, settings)
        out.setdefault(f"{part}.{value}", []).append((entry, address))
    return out


def zone_name(entry: api.BackendEntry, settings: api.Settings) -> str:
    return settings.zones[entry.zone] if entry.zone < len(settings.zones) else f"zone-{entry.zone}"


def cluster(cls: api.RequestClass, settings: api.Settings, part: str = "") -> cluster_pb2.Cluster:
    """A class's cluster: its own limits over the one list of endpoints, or over that of one cell or zone."""
    made = cluster_pb2.Cluster(
        name=f"class.{cls.name}.{part}" if part else f"class.{cls.name}",
        type=cluster_pb2.Cluster.EDS, lb_policy=cluster_pb2.Cluster.ROUND_ROBIN,
        connect_timeout=seconds(settings.connect_timeout or 0.25), ignore_health_on_host_removal=True)
    made.eds_cluster_config.service_name = f"{ENDPOINTS}.{part}" if part else ENDPOINTS
    made.eds_cluster_config.eds_config.resource_api_version = config_source_pb2.V3
    made.eds_cluster_config.eds_config.ads.SetInParent()
    made.common_lb_config.locality_weighted_lb_config.SetInParent()
    if settings.ramp_time > 0.0:
        slow = made.round_robin_lb_config.slow_start_config
        slow.slow_start_window.CopyFrom(seconds(settings.ramp_time))
        slow.min_weight_percent.value = 100.0 * settings.cold_share
    threshold = circuit_breaker_pb2.CircuitBreakers.Thresholds()
    threshold.retry_budget.budget_percent.value = RETRY_BUDGET
    threshold.retry_budget.min_retry_concurrency.value = LEAST_RETRIES
    threshold.max_requests.value = 1024
    made.circuit_breakers.thresholds.append(threshold)
    made.outlier_detection.CopyFrom(outlier_detection_pb2.OutlierDetection(
        interval=seconds(1.0), base_ejection_time=seconds(2.0)))
    made.outlier_detection.max_ejection_percent.value = 30
    made.outlier_detection.consecutive_5xx.value = 5
    return made


def endpoints(ready: Iterable[tuple[api.BackendEntry, Address]], settings: api.Settings,
              now: float, name: str = ENDPOINTS,
              near: Near = ("", 1.0)) -> endpoint_pb2.ClusterLoadAssignment:
    """The backends that may be sent to, as a proxy sees them that is `near` a zone.

    Warm ones stand in the locality of their zone.  A cold one has a locality of its own, whose weight follows
    its cold share: proxies that know no weights of endpoints (gRPC) keep those of localities.
    """
    made = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    zones: dict[str, endpoint_pb2.LocalityLbEndpoints] = {}
    for entry, (host, port) in ready:
        share = capacity_share(entry, settings, now)
        zone = zone_name(entry, settings)
        own = max(1, round(WEIGHT * max(entry.weight, 1e-3)))
        if share >= 1.0:
            locality = zones.get(zone)
            if locality is None:
                locality = zones[zone] = made.endpoints.add()
                locality.locality.zone = zone
            locality.load_balancing_weight.value += own
        else:
            step = max(1, int(share * COLD_STEPS)) / COLD_STEPS     # downwards: never more than its share
            locality = made.endpoints.add()
            locality.locality.zone, locality.locality.sub_zone = zone, f"cold-{entry.backend}"
            locality.load_balancing_weight.value = max(1, int(own * cold_pick_probability(step, PROXY_CAUTION)))
        endpoint = locality.lb_endpoints.add()
        endpoint.endpoint.address.socket_address.address = host
        endpoint.endpoint.address.socket_address.port_value = port
        endpoint.load_balancing_weight.value, endpoint.health_status = own, health_check_pb2.HEALTHY
    if near[0] in zones:    # only the warm: a cold one's weight is what all proxies together may send it
        zones[near[0]].load_balancing_weight.value = int(
            zones[near[0]].load_balancing_weight.value * near[1])
    return made


@lru_cache(4096)
def endpoint(host: str, port: int, weight: int) -> bytes:
    """One backend as a resource of its own (LbEndpoint), packed."""
    made = endpoint_components_pb2.LbEndpoint()
    made.endpoint.address.socket_address.address = host
    made.endpoint.address.socket_address.port_value = port
    made.load_balancing_weight.value, made.health_status = weight, health_check_pb2.HEALTHY
    return packed(made)


def collections(ready: Sequence[tuple[api.BackendEntry, Address]], settings: api.Settings,
                now: float, near: Near = ("", 1.0)) -> Bodies:
    """The same roster by collections (LEDS): localities with their weights, and each backend by itself.

    What one change sends grows with the localities, not with the endpoints.
    """
    made, single = endpoints(ready, settings, now, near=near), {}
    by_address = {address: entry for entry, address in ready}
    for locality in made.endpoints:
        place = f"{locality.locality.zone}/{locality.locality.sub_zone or 'warm'}"
        for one in locality.lb_endpoints:
            address = one.endpoint.address.socket_address
            entry = by_address[address.address, address.port_value]
            single[f"{COLLECTIONS}/{place}/{entry.backend}"] = endpoint(
                address.address, address.port_value, one.load_balancing_weight.value)
        del locality.lb_endpoints[:]
        leds = locality.leds_cluster_locality_config
        leds.leds_collection_name = f"{COLLECTIONS}/{place}/*"
        leds.leds_config.resource_api_version = config_source_pb2.V3
        leds.leds_config.ads.SetInParent()
    return {EDS: {ENDPOINTS: packed(made)}, LEDS: single}


def listener(name: str, settings: api.Settings, address: Address | None = None,
             limits: Limits | None = None) -> listener_pb2.Listener:
    """A listener whose routes come by ADS.

    With an address it is one that Envoy opens; without, the API listener that a gRPC client asks for by the
    name it dials (gRFC A27).
    """
    manager = http_connection_manager_pb2.HttpConnectionManager(stat_prefix=ROUTES)
    manager.rds.route_config_name = ROUTES
    manager.rds.config_source.resource_api_version = config_source_pb2.V3
    manager.rds.config_source.ads.SetInParent()
    manager.drain_timeout.CopyFrom(seconds(max(settings.drain_grace, settings.tick)))
    if limits is not None and address is not None:
        limits.add_filter(manager)
    filter_ = manager.http_filters.add(name="envoy.filters.http.router")
    filter_.typed_config.Pack(router_pb2.Router())
    made = listener_pb2.Listener(name=name)
    if address is None:
        made.api_listener.api_listener.Pack(manager)
    else:
        made.address.socket_address.address, made.address.socket_address.port_value = address
        chained = made.filter_chains.add().filters.add(name="envoy.filters.network.http_connection_manager")
        chained.typed_config.Pack(manager)
    return made


def endpoint_bodies(ready: Iterable[tuple[api.BackendEntry, Address]], settings: api.Settings,
                    now: float, near: Near = ("", 1.0)) -> Bodies:
    """What follows the roster, packed, the same in every view: all that its change makes anew."""
    return {EDS: {ENDPOINTS: packed(endpoints(ready, settings, now, near=near))}}


def part_bodies(ready: Sequence[tuple[api.BackendEntry, Address]], table: RouteTable, settings: api.Settings,
                now: float) -> tuple[Bodies, Weights]:
    """Clusters and endpoints of each cell or zone that the table's classes need, and the parts' weights."""
    clusters, lists, weights = {}, {}, {}
    for i in sorted({route.cls for route in table.routes}):
        cls = settings.classes[i]
        for name, own in sorted(parts(ready, part_of(cls), settings).items()) if part_of(cls) else ():
            made = endpoints(own, settings, now, f"{ENDPOINTS}.{name}")
            lists[made.cluster_name] = packed(made)
            weights[name] = sum(locality.load_balancing_weight.value for locality in made.endpoints)
            clusters[f"class.{cls.name}.{name}"] = packed(cluster(cls, settings, name))
    return ({CDS: clusters, EDS: lists} if clusters else {}), weights


def route_bodies(view: str, names: Iterable[str], envoy_listen: Address | None, table: RouteTable,
                 settings: api.Settings, limits: Limits | None = None) -> Bodies:
    """What follows the description, packed, but for the routes.  `names` are the listeners' for gRPC."""
    listeners = [listener(name, settings) for name in names] if view == "grpc" else (
        [listener(ROUTES, settings, envoy_listen, limits)] if envoy_listen is not None else [])
    classes = [settings.classes[i] for i in sorted({route.cls for route in table.routes})]
    return {CDS: {f"class.{cls.name}": packed(cluster(cls, settings)) for cls in classes},
            LDS: {made.name: packed(made) for made in listeners}}
