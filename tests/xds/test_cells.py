"""Keyed classes whose repeats only their cell or zone drops: clusters of their own, and what leaves them."""

from __future__ import annotations

import asyncio

from proxies import control, run
from rules import check

from fennelpoint.demo import EXAMPLE, SETTINGS
from fennelpoint.settings import from_json
from fennelpoint.testing import List, member, until
from fennelpoint.testing.proxies import Front
from fennelpoint.xds.streams import CDS, EDS, RDS

HOLD = ("PUT", "/v1/slots/7/hold")


def made(**changes: object):
    hold = {**SETTINGS["grades"][1], **changes}
    return from_json({**SETTINGS, "grades": [SETTINGS["grades"][0], hold, SETTINGS["grades"][2]]})


def in_cell(number: int, cell: int, phase: str = "up") -> dict:
    return {**member(f"s-{number}", f"127.0.0.1:{9001 + number}", phase=phase), "cell": cell}


def play(coroutine, **changes: object) -> None:
    async def inner() -> None:
        discovery = List([in_cell(0, 1), in_cell(1, 1), in_cell(2, 2)])
        await discovery.start()
        async with control(discovery, EXAMPLE, made(**changes)) as server:
            front = Front(server.port, "proxy-1")
            front.connect()
            await until(lambda: RDS in front.view and EDS in front.view)
            await coroutine(discovery, server, front)
            await front.drop()
        discovery.stop()

    run(inner())


def test_class_that_is_keyed_by_cell_is_repeated_within_its_cell_alone():
    async def test(discovery, server, front) -> None:
        await until(lambda: "backends.cell.2" in front.view[EDS])
        route = front.route(*HOLD, {})
        shares = {c.name: c.weight.value for c in route.route.weighted_clusters.clusters}
        assert shares == {"class.hold.cell.1": 2000, "class.hold.cell.2": 1000}
        assert route.route.retry_policy.num_retries.value > 0
        ports = {n: sorted(p for (_, p), _ in front.endpoints(f"backends.{n}")) for n in ("cell.1", "cell.2")}
        assert ports == {"cell.1": [9001, 9002], "cell.2": [9003]}
        for kind in (CDS, EDS, RDS):
            assert all(check(message) > 1 for message in front.view[kind].values())
        other = front.route("GET", "/v1/slots", {}).route
        assert other.cluster == "class.look" and not other.HasField("weighted_clusters")

    play(test, group="cell")


def test_cell_that_is_empty_is_left_by_routes_and_then_by_clusters():
    async def test(discovery, server, front) -> None:
        await until(lambda: "backends.cell.2" in front.view[EDS])
        discovery.tell(in_cell(2, 2, phase="draining"))
        await until(lambda: "class.hold.cell.2" not in front.view[CDS])
        (share,) = front.route(*HOLD, {}).route.weighted_clusters.clusters
        assert share.name == "class.hold.cell.1"
        kinds = [r.type_url for r in front.responses]
        last_routes = len(kinds) - 1 - kinds[::-1].index(RDS)
        last_clusters = len(kinds) - 1 - kinds[::-1].index(CDS)
        assert last_routes < last_clusters      # no route ever pointed to a cluster that is gone
        discovery.tell(in_cell(3, 5))
        await until(lambda: any(c.name == "class.hold.cell.5"
                                for c in front.route(*HOLD, {}).route.weighted_clusters.clusters))
        assert "class.hold.cell.5" in front.view[CDS]
        await until(lambda: front.endpoints("backends.cell.5"))

    play(test, group="cell")


def test_all_backends_and_short_windows_have_the_one_cluster():
    async def test(discovery, server, front) -> None:
        route = front.route(*HOLD, {}).route
        assert route.cluster == "class.hold" and route.retry_policy.num_retries.value == 0
        await asyncio.sleep(0)

    play(test, group="cell", window_s=1.0)      # shorter than a request may last: no repeat is safe


def test_zones_part_a_class_alike():
    async def test(discovery, server, front) -> None:
        await until(lambda: "backends.zone.room" in front.view[EDS])
        (share,) = front.route(*HOLD, {}).route.weighted_clusters.clusters
        assert (share.name, share.weight.value) == ("class.hold.zone.room", 3000)

    play(test, group="zone")
