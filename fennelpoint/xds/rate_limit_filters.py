"""What a proxy is told so that it holds customers to their quotas: Envoy's RLQS and rate limit filters.

gRPC's clients know neither filter; their view has none.  A request that names no customer or plan matches no
route, so none passes uncounted.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from math import inf

from envoy.config.core.v3 import config_source_pb2, grpc_service_pb2
from envoy.config.route.v3 import route_components_pb2
from envoy.extensions.filters.http.rate_limit_quota.v3 import rate_limit_quota_pb2
from envoy.extensions.filters.http.ratelimit.v3 import rate_limit_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from envoy.type.matcher.v3 import http_inputs_pb2
from envoy.type.v3 import http_status_pb2, ratelimit_strategy_pb2, ratelimit_unit_pb2
from xds.type.matcher.v3 import matcher_pb2

from fennelpoint import interface as api
from fennelpoint.operator_config import Control
from fennelpoint.routes.table import Route
from fennelpoint.xds.protobuf import seconds

QUOTA_FILTER, LIMIT_FILTER = "envoy.filters.http.rate_limit_quota", "envoy.filters.http.ratelimit"
CALL_TIMEOUT = 0.25     # s that a proxy waits for ShouldRateLimit


@dataclass(frozen=True, slots=True)
class Limits:
    """How the proxies of one control service are held to quotas."""

    control: Control
    settings: api.Settings

    def add_filter(self, manager: http_connection_manager_pb2.HttpConnectionManager) -> None:
        """The filter, before the router."""
        if self.control.quotas == "leases":
            made = rate_limit_quota_pb2.RateLimitQuotaFilterConfig(
                domain=self.control.quota_domain, rlqs_server=self._service())
            made.bucket_matchers.CopyFrom(self._matcher("1", None))
            manager.http_filters.add(name=QUOTA_FILTER).typed_config.Pack(made)
            return
        limit = rate_limit_pb2.RateLimit(domain=self.control.quota_domain, failure_mode_deny=True)
        limit.timeout.CopyFrom(seconds(CALL_TIMEOUT))
        limit.status_on_error.code = http_status_pb2.ServiceUnavailable
        limit.rate_limit_service.grpc_service.CopyFrom(self._service())
        limit.rate_limit_service.transport_api_version = config_source_pb2.V3
        manager.http_filters.add(name=LIMIT_FILTER).typed_config.Pack(limit)

    def add_to(self, made: route_components_pb2.Route, route: Route) -> None:
        """What a route's requests take, and that they must say of whose quota."""
        control, cls = self.control, self.settings.classes[route.cls].name
        plans = "|".join(re.escape(p.name) for p in self.settings.plans)
        for name, text in ((control.customer_header, "[0-9a-f]{16}"), (control.plan_header, plans)):
            made.match.headers.add(name=name).string_match.safe_regex.regex = text
        units = f"{most_units(route, self.settings):.12g}"
        if control.quotas == "leases":
            own = rate_limit_quota_pb2.RateLimitQuotaOverride(domain=control.quota_domain)
            own.bucket_matchers.CopyFrom(self._matcher(units, cls))
            return made.typed_per_filter_config[QUOTA_FILTER].Pack(own)
        actions = made.route.rate_limits.add().actions
        for key, header in (("customer", control.customer_header), ("plan", control.plan_header)):
            action = actions.add().request_headers
            action.descriptor_key, action.header_name = key, header
        for key, value in (("class", cls), ("units", units)):
            action = actions.add().generic_key
            action.descriptor_key, action.descriptor_value = key, value

    def _service(self) -> grpc_service_pb2.GrpcService:
        made = grpc_service_pb2.GrpcService()
        made.envoy_grpc.cluster_name = self.control.quota_cluster
        return made

    def _matcher(self, units: str, cls: str | None) -> matcher_pb2.Matcher:
        """Every request is of the bucket of its customer, plan, class and units."""
        control = self.control
        made = rate_limit_quota_pb2.RateLimitQuotaBucketSettings()
        builder = made.bucket_id_builder.bucket_id_builder
        for key, header in (("customer", control.customer_header), ("plan", control.plan_header)):
            value = builder[key].custom_value
            value.name = f"envoy.matching.inputs.request_headers.{key}"
            value.typed_config.Pack(http_inputs_pb2.HttpRequestHeaderMatchInput(header_name=header))
        builder["units"].string_value = units
        if cls is not None:
            builder["class"].string_value = cls
        made.reporting_interval.CopyFrom(seconds(control.report_interval_s))
        for behavior in (made.no_assignment_behavior, made.expired_assignment_behavior):
            behavior.fallback_rate_limit.CopyFrom(self._fallback())
        made.deny_response_settings.http_status.code = http_status_pb2.TooManyRequests
        if self.settings.may_advise:
            header = made.deny_response_settings.response_headers_to_add.add().header
            header.key, header.value = "retry-after", f"{min(1.0, self.settings.max_advice):g}"
        matcher = matcher_pb2.Matcher()
        matcher.on_no_match.action.name = "bucket"
        matcher.on_no_match.action.typed_config.Pack(made)
        return matcher

    def _fallback(self) -> ratelimit_strategy_pb2.RateLimitStrategy:
        """What a proxy lets through where it has no lease, and when its lease is over and no other came."""
        made = ratelimit_strategy_pb2.RateLimitStrategy()
        if self.control.fallback_requests_s:
            made.requests_per_time_unit.requests_per_time_unit = self.control.fallback_requests_s
            made.requests_per_time_unit.time_unit = ratelimit_unit_pb2.SECOND
        else:
            made.blanket_rule = ratelimit_strategy_pb2.RateLimitStrategy.DENY_ALL
        return made


def most_units(route: Route, settings: api.Settings) -> float:
    """The units that a proxy counts for a request: those it may take at most, where a parameter says.

    Where nothing bounds them it is what a request without the parameter takes.
    """
    most = min(route.units.maximum, settings.most_units or inf)
    return route.units.amount if route.units.parameter is None or most == inf else most
