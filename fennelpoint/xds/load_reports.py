"""Load reports (LRS) of proxies: taken in, bounded, and shown; nothing is decided by them.

`Loads` is pure.  docs/design/xds.md says why weights and slices don't follow them.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import count

import grpc
from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc

from fennelpoint.xds.protobuf import seconds
from fennelpoint.xds.streams import Misuse
from fennelpoint.xds.token_bucket import Budget

INTERVAL = 5.0          # s between two reports that a proxy is asked for
MOST_CLUSTERS = 1000    # of one proxy


@dataclass(slots=True)
class Load:
    """One cluster as one proxy told of it: totals since its stream began, and a second's figures."""

    served: int = 0
    errors: int = 0
    dropped: int = 0
    in_progress: int = 0    # at the last report
    rate: float = 0.0       # requests issued a second, over the last report


class Loads:
    """By stream, whose it is and what it told since it began."""

    def __init__(self) -> None:
        self.streams: dict[int, tuple[str, dict[str, Load]]] = {}

    def of(self, node: str) -> dict[str, Load]:
        """What a proxy told; of several streams the newest."""
        return next((told for name, told in reversed(self.streams.values()) if name == node), {})

    def take(self, stream: int, node: str, stats: Iterable[load_report_pb2.ClusterStats]) -> None:
        """One report; raises Misuse."""
        _, known = self.streams.setdefault(stream, (node, {}))
        for one in stats:
            if one.cluster_name not in known and len(known) >= MOST_CLUSTERS:
                raise Misuse(f"more than {MOST_CLUSTERS} clusters in load reports")
            load, parts = known.setdefault(one.cluster_name, Load()), one.upstream_locality_stats
            load.served += sum(p.total_successful_requests for p in parts)
            load.errors += sum(p.total_error_requests for p in parts)
            load.dropped += one.total_dropped_requests
            load.in_progress = sum(p.total_requests_in_progress for p in parts)
            span = one.load_report_interval.seconds + one.load_report_interval.nanos * 1e-9
            issued = sum(p.total_issued_requests for p in parts)
            load.rate = issued / span if span > 0.0 and math.isfinite(span) else 0.0

    def forget(self, stream: int) -> None:
        self.streams.pop(stream, None)


class LoadService(lrs_pb2_grpc.LoadReportingServiceServicer):
    """LRS (envoyproxy.io, "load reporting service"): every proxy is asked to report all its clusters."""

    def __init__(self, loads: Loads, most_streams: int, admit) -> None:
        """`admit(node)` raises PermissionError for one that is not served here."""
        self.loads, self.most_streams, self.admit = loads, most_streams, admit
        self.numbers, self.open = count(1), 0

    async def StreamLoadStats(self, request_iterator, context):  # noqa: N802, the service's own name
        if self.open >= self.most_streams:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many streams")
        node, stream, budget, self.open = "", next(self.numbers), Budget(), self.open + 1
        try:
            async for request in request_iterator:
                budget.spend()
                if not node:
                    self.admit(request.node)
                    node = request.node.id
                    yield lrs_pb2.LoadStatsResponse(send_all_clusters=True,
                                                    load_reporting_interval=seconds(INTERVAL))
                self.loads.take(stream, node, request.cluster_stats)
        except Misuse as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        except PermissionError as error:
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, str(error))
        finally:
            self.open -= 1
            self.loads.forget(stream)
