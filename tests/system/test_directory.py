"""Where the directory leads clients: by what is known of the proxies of their region (incident HOME)."""

from pathlib import Path

import pytest

from fennelpoint.system.registry.directory import HomeRegions, home_regions_by_host
from fennelpoint.testing.core_simulation import World, play

SITE = (Path(__file__).parent / "scenarios" / "site").read_text() + "front fd zd ra\nboot fd\n"


def look_up(world: World, region: str, via: str, host: str = "h.example") -> list[str]:
    """Regions of the proxies that a client of that region is told."""
    world.do(["resolve", host, "of", region, "via", via])
    return world.named()


@pytest.mark.parametrize("homes, named", [("ra", ["ra"]), ("ra rb", ["ra", "rb"]), ("rb rc", ["ra", "rb"])])
def test_one_proxy_that_is_left_leads_nowhere_but_to_the_homes_of_a_host_with_homes(homes, named) -> None:
    world = play(f"{SITE}homes {homes}\nat 2 put 3 on 0 via a1\nat 8 kill fc fd\nat 13 expect lease fa yes")
    for _ in range(4):
        assert look_up(world, "ra", "a1") == named
    reply = world.replies[id(world.asked["resolve"][-1])]
    assert reply.value["ttl_s"] < 1.0  # so that others that come back are soon named


def test_one_proxy_that_is_left_comes_with_a_second_one_in_turn_for_a_host_without_homes() -> None:
    world = play(SITE + "at 2 put 3 on 0 via a1\nat 8 kill fd\nat 13 expect lease fa yes")
    assert [look_up(world, "ra", "a1") for _ in range(4)] == [["ra", "rc"], ["ra", "rb"]] * 2  # by address


def test_a_registry_that_has_just_started_leads_nobody_to_other_regions() -> None:
    world = play(SITE + "at 2 put 3 on 0 via a1\nat 8 restart roll c1")
    for step in range(1, 40):
        world.run(8.0 + 0.05 * step)
        assert look_up(world, "ra", "c1") in ([], ["ra"])


@pytest.mark.parametrize("homes, named", [("rb", ["rb"]), ("ra rb", ["rb"]), ("", ["rb", "rc"])])
def test_a_region_without_proxies_is_led_to_the_homes_of_the_host_if_it_has_any(homes, named) -> None:
    world = play(f"{SITE}homes {homes}\nat 2 put 3 on 0 via a1\nat 8 kill fa fd\nat 13 expect lease fb yes")
    assert look_up(world, "ra", "b1") == named


@pytest.mark.parametrize("seed, frozen, spans", [(1, 8.2, 1.1), (2, 8.4, 0.9), (2, 8.2, 1.5), (3, 8.0, 1.7)])
def test_a_registry_that_stood_still_learns_again_how_the_proxies_are(seed, frozen, spans) -> None:
    """What waited for it came at once: a later word that told of an older moment was dropped for good."""
    world = play(
        f"{SITE}at 2 put 3 on 0 via a1\nat 8 kill fd\nat {frozen} freeze c1\nat 8.45 boot fd\n"
        f"at {frozen + spans} thaw c1\nat {frozen + spans + 2.5} expect lease fd yes",
        seed,
    )
    known, truth = (world.cores[ip].desk.members.known["fd"] for ip in ("c1", "a2"))
    assert (
        (known.ready, known.version, known.incarnation) == (truth.ready, truth.version, truth.incarnation) == (True, 3, truth.incarnation)
    )


def test_a_word_about_a_proxy_that_never_came_is_asked_for() -> None:
    world = play(f"{SITE}at 2 put 3 on 0 via a1\nat 8 expect lease fd yes")
    for members in (world.cores[ip].desk.members for ip in ("b1", "c1")):
        members.known["fd"].ready = False  # as if the word that it is ready had been lost
        members.known.pop("fa")
    world.run(10.0)
    for members in (world.cores[ip].desk.members for ip in ("b1", "c1")):
        assert members.known["fd"].ready and members.known["fa"].ready


@pytest.mark.parametrize("host", ["H.Example", "h.example:8206", "H.EXAMPLE:80"])
def test_a_host_is_asked_for_in_any_spelling_that_a_request_for_it_may_have(host) -> None:
    """As routes are found: the case plays no part, nor does the port of a `Host` field."""
    world = play(SITE + "homes ra rb\nat 2 put 3 on 0 via a1\nat 8 kill fa fd\nat 13 expect lease fb yes")
    assert look_up(world, "ra", "b1", host) == ["rb"]


def test_homes_of_a_host_that_stands_twice_in_the_table_are_those_of_all_its_routes() -> None:
    def listener(host: str, *homes: list[str]) -> dict:
        return {"host": host, "rule_set": [{"route_action": {"home_regions": regions}} for regions in homes]}

    table = [listener("h.example", ["ra", "rb"]), listener("H.example", ["rb", "rc"], []), listener("other", [])]
    assert home_regions_by_host({"listener_table": table}) == {
        "h.example": HomeRegions(frozenset(["rb"]), frozenset(["ra", "rb", "rc"]))
    }
