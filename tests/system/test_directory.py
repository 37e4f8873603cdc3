"""Which proxies the directory names to clients, by the known state of their region's proxies (incident HOME)."""

from pathlib import Path

import pytest

from fennelpoint.system.registry.directory import HomeRegions, home_regions_by_host
from fennelpoint.testing.core_simulation import CoreSimulation, run_scenario

SITE = (Path(__file__).parent / "scenarios" / "site").read_text() + "front fd zd ra\nboot fd\n"


def look_up(world: CoreSimulation, region: str, via: str, host: str = "h.example") -> list[str]:
    """Return the regions of the proxies named to a client of that region."""
    world.execute(["resolve", host, "of", region, "via", via])
    return world.resolved_regions()


@pytest.mark.parametrize("homes, regions", [("ra", ["ra"]), ("ra rb", ["ra", "rb"]), ("rb rc", ["ra", "rb"])])
def test_answer_with_the_last_proxy_of_a_region_names_no_region_but_home_regions_of_the_host(homes, regions) -> None:
    world = run_scenario(f"{SITE}homes {homes}\nat 2 put 3 on 0 via a1\nat 8 kill fc fd\nat 13 expect lease fa yes")
    for _ in range(4):
        assert look_up(world, "ra", "a1") == regions
    reply = world.replies[id(world.calls_by_label["resolve"][-1])]
    assert reply.value["ttl_s"] < 1.0  # so that proxies that return are soon named


def test_last_proxy_of_a_region_is_named_with_a_rotating_second_one_for_a_host_without_home_regions() -> None:
    world = run_scenario(SITE + "at 2 put 3 on 0 via a1\nat 8 kill fd\nat 13 expect lease fa yes")
    assert [look_up(world, "ra", "a1") for _ in range(4)] == [["ra", "rc"], ["ra", "rb"]] * 2  # by address


def test_registry_that_has_just_started_sends_no_client_to_other_regions() -> None:
    world = run_scenario(SITE + "at 2 put 3 on 0 via a1\nat 8 restart roll c1")
    for step in range(1, 40):
        world.run(8.0 + 0.05 * step)
        assert look_up(world, "ra", "c1") in ([], ["ra"])


@pytest.mark.parametrize("homes, regions", [("rb", ["rb"]), ("ra rb", ["rb"]), ("", ["rb", "rc"])])
def test_clients_of_a_region_without_proxies_are_sent_to_the_home_regions_of_the_host_if_any(homes, regions) -> None:
    world = run_scenario(f"{SITE}homes {homes}\nat 2 put 3 on 0 via a1\nat 8 kill fa fd\nat 13 expect lease fb yes")
    assert look_up(world, "ra", "b1") == regions


@pytest.mark.parametrize("seed, frozen_at, frozen_s", [(1, 8.2, 1.1), (2, 8.4, 0.9), (2, 8.2, 1.5), (3, 8.0, 1.7)])
def test_registry_that_was_frozen_relearns_the_state_of_the_proxies(seed, frozen_at, frozen_s) -> None:
    """Queued updates arrived at once: a later update with an older estimated time was dropped permanently."""
    world = run_scenario(
        f"{SITE}at 2 put 3 on 0 via a1\nat 8 kill fd\nat {frozen_at} freeze c1\nat 8.45 boot fd\n"
        f"at {frozen_at + frozen_s} thaw c1\nat {frozen_at + frozen_s + 2.5} expect lease fd yes",
        seed,
    )
    known, truth = (world.cores[ip].registry.members.known["fd"] for ip in ("c1", "a2"))
    assert (
        (known.ready, known.version, known.incarnation)
        == (truth.ready, truth.version, truth.incarnation)
        == (True, 3, truth.incarnation)
    )


def test_lost_update_about_a_proxy_is_requested_again() -> None:
    world = run_scenario(f"{SITE}at 2 put 3 on 0 via a1\nat 8 expect lease fd yes")
    for members in (world.cores[ip].registry.members for ip in ("b1", "c1")):
        members.known["fd"].ready = False  # as if the update that it is ready had been lost
        members.known.pop("fa")
    world.run(10.0)
    for members in (world.cores[ip].registry.members for ip in ("b1", "c1")):
        assert members.known["fd"].ready and members.known["fa"].ready


@pytest.mark.parametrize("host", ["H.Example", "h.example:8206", "H.EXAMPLE:80"])
def test_look_up_accepts_every_spelling_of_a_host_that_a_request_may_have(host) -> None:
    """As with routes, the case and the port of a `Host` field make no difference."""
    world = run_scenario(SITE + "homes ra rb\nat 2 put 3 on 0 via a1\nat 8 kill fa fd\nat 13 expect lease fb yes")
    assert look_up(world, "ra", "b1", host) == ["rb"]


def test_home_regions_of_a_host_with_two_table_entries_cover_all_its_routes() -> None:
    def listener(host: str, *homes: list[str]) -> dict:
        return {"host": host, "rule_set": [{"route_action": {"home_regions": regions}} for regions in homes]}

    table = [listener("h.example", ["ra", "rb"]), listener("H.example", ["rb", "rc"], []), listener("other", [])]
    assert home_regions_by_host({"listener_table": table}) == {
        "h.example": HomeRegions(frozenset(["rb"]), frozenset(["ra", "rb", "rc"]))
    }
