"""Where the directory leads clients: by what is known of the proxies of their region (incident HOME)."""

import pytest

from fennelpoint.system.registry.directory import Directory, HomeRegions
from fennelpoint.system.registry.membership import Membership

TTL, GRACE = 2.0, 6.0  # s
LONG_IN_TOUCH, NOW = 100.0, 200.0  # s
PLACES = {"fa": "ra", "fb": "rb", "fc": "rc", "fd": "ra"}  # regions by proxy


def directory(unready: set[str], homes: list[str], host: str = "h.example") -> Directory:
    """One that has just heard all proxies, of which some are not ready."""
    members = Membership()
    for proxy, region in PLACES.items():
        members.update(proxy, proxy, f"z{region}", region, 1, proxy not in unready, 3, 0.1, NOW)
    made = Directory("a1", members, TTL, GRACE, 0.0)
    made.homes = {host: HomeRegions(frozenset(homes), frozenset(homes))} if homes else {}
    return made


def named(made: Directory, region: str, host: str = "h.example") -> list[str]:
    """The proxies that a client of that region is told, by a registry that has long been in touch."""
    return made.resolve(host, f"z{region}", region, LONG_IN_TOUCH, NOW).addresses


@pytest.mark.parametrize("homes, told", [(["ra"], ["fa"]), (["ra", "rb"], ["fa", "fb"])])
def test_one_proxy_that_is_left_of_a_region_leads_nowhere_but_to_the_homes_of_the_host(
    homes: list[str], told: list[str]
) -> None:
    assert named(directory({"fd"}, homes), "ra") == told


def test_one_proxy_that_is_left_comes_with_a_second_one_in_turn_for_a_host_without_homes() -> None:
    made = directory({"fd"}, [])
    assert [named(made, "ra") for _ in range(4)] == [["fa", "fc"], ["fa", "fb"]] * 2


def test_a_registry_that_has_just_come_in_touch_leads_nobody_to_other_regions() -> None:
    made = directory({"fa", "fd"}, [])
    assert made.resolve("h.example", "zra", "ra", None, NOW).addresses == []
    assert made.resolve("h.example", "zra", "ra", NOW - 1.0, NOW).addresses == []
    assert named(made, "ra") == ["fb", "fc"]


@pytest.mark.parametrize("homes, told", [(["rb"], ["fb"]), (["ra", "rb"], ["fb"]), ([], ["fb", "fc"])])
def test_a_region_without_proxies_is_led_to_the_homes_of_the_host_if_it_has_any(
    homes: list[str], told: list[str]
) -> None:
    assert named(directory({"fa", "fd"}, homes), "ra") == told


@pytest.mark.parametrize("host", ["H.Example", "h.example:8206", "H.EXAMPLE:80"])
def test_a_host_is_asked_for_in_any_spelling_that_a_request_for_it_may_have(host: str) -> None:
    """As routes are found: the case plays no part, nor does the port of a `Host` field."""
    assert named(directory({"fa", "fd"}, ["ra", "rb"]), "ra", host) == ["fb"]


def test_a_registry_whose_state_of_a_proxy_differs_asks_for_the_whole() -> None:
    """A word that waited seems newer than the one after it, which was dropped; the old state stayed for good."""
    here, there = Membership(), Membership()
    there.update("fa", "fa", "za", "ra", 1, True, 3, 0.0, NOW, is_direct=True)
    whole, brief = there.gossip(NOW, 1.8)
    assert here.merge(whole, brief, 0.0, NOW) == []
    here.known["fa"].ready = False  # as an old word that was kept has it
    whole, brief = there.gossip(NOW + 0.6, 1.8)
    assert whole == [] and here.merge(whole, brief, 0.0, NOW + 0.6) == ["fa"]
    there.resend(["fa"])
    here.merge(*there.gossip(NOW + 1.2, 1.8), 0.0, NOW + 1.2)
    assert here.known["fa"].ready


class Roll:
    """All proxies of a region are restarted by plan while the directory is asked for a host whose home it is."""

    def __init__(self, homes: list[str]) -> None:
        self.made = directory(set(), homes)

    def say(self, proxy: str, ready: bool, at: float, life: int = 1) -> None:
        """One of the proxies asks at that time, and says how it is."""
        self.made.members.update(proxy, proxy, f"z{PLACES[proxy]}", PLACES[proxy], life, ready, 3, 0.0, at)

    def told(self, region: str, at: float) -> list[str]:
        """Whom a client of that region is sent to."""
        for proxy in set(PLACES) - {"fa", "fd"}:
            self.say(proxy, True, at)
        return self.made.resolve("h.example", f"z{region}", region, LONG_IN_TOUCH, at).addresses


@pytest.mark.parametrize("region", ["ra", "rb"])
def test_a_home_whose_proxies_are_all_restarted_by_plan_leads_nobody_beyond_it(region: str) -> None:
    """They said that they leave, and will be back: those that still serve are named, and nobody for a moment."""
    roll, own = Roll(["ra"]), ["fb"] if region == "rb" else []
    for proxy in ("fa", "fd"):
        roll.say(proxy, False, NOW + 1.0)
    assert roll.told(region, NOW + 1.5) == (own or ["fa", "fd"])
    assert roll.told(region, NOW + 4.0) == own
    for proxy in ("fa", "fd"):
        roll.say(proxy, False, NOW + 5.0, life=2)
    assert roll.told(region, NOW + 5.1) == own
    roll.say("fa", True, NOW + 6.0, life=2)
    assert roll.told(region, NOW + 6.1) == [*own, "fa"]


def test_a_home_that_is_lost_without_a_word_or_does_not_come_back_leads_to_all() -> None:
    roll = Roll(["ra"])
    assert roll.told("ra", NOW + 3.0) == ["fb", "fc"]  # they were ready, and are silent
    for proxy in ("fa", "fd"):
        roll.say(proxy, False, NOW + 4.0)
    assert roll.told("ra", NOW + 20.0) == ["fb", "fc"]


def test_a_host_whose_routes_share_no_home_leads_to_those_of_any_only_once_the_own_region_is_lost() -> None:
    made = directory({"fd"}, [])
    made.homes = {"h.example": HomeRegions(frozenset(), frozenset(["ra", "rb"]))}
    assert named(made, "ra") == ["fa"]  # a second one would be astray for some of the routes
    assert named(directory({"fa", "fd"}, []), "ra") == ["fb", "fc"]
    made.members.known["fa"].last_request_at = made.members.known["fd"].last_request_at = made.members.known["fd"].unready_since = 0.0
    assert named(made, "ra") == ["fb"]
