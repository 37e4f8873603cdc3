"""Which proxies the directory names to clients, by the known state of their region's proxies (incident HOME)."""

import pytest

from fennelpoint.system.registry.directory import Directory, HomeRegions
from fennelpoint.system.registry.membership import Membership

TTL, GRACE = 2.0, 6.0  # s
LONG_IN_TOUCH, NOW = 100.0, 200.0  # s
REGIONS = {"fa": "ra", "fb": "rb", "fc": "rc", "fd": "ra"}  # regions by proxy


def directory(unready: set[str], homes: list[str], host: str = "h.example") -> Directory:
    """Return a directory with recent state of all proxies, some of them not ready."""
    members = Membership()
    for proxy, region in REGIONS.items():
        members.update(proxy, proxy, f"z{region}", region, 1, proxy not in unready, 3, 0.1, NOW)
    subject = Directory("a1", members, TTL, GRACE, 0.0)
    subject.homes = {host: HomeRegions(frozenset(homes), frozenset(homes))} if homes else {}
    return subject


def named(subject: Directory, region: str, host: str = "h.example") -> list[str]:
    """Return the proxies named to a client of that region by a registry that has long been in touch."""
    return subject.resolve(host, f"z{region}", region, LONG_IN_TOUCH, NOW).addresses


@pytest.mark.parametrize("homes, expected", [(["ra"], ["fa"]), (["ra", "rb"], ["fa", "fb"])])
def test_answer_with_the_last_proxy_of_a_region_names_no_region_but_home_regions_of_the_host(
    homes: list[str], expected: list[str]
) -> None:
    assert named(directory({"fd"}, homes), "ra") == expected


def test_last_proxy_of_a_region_is_named_with_a_rotating_second_one_for_a_host_without_home_regions() -> None:
    subject = directory({"fd"}, [])
    assert [named(subject, "ra") for _ in range(4)] == [["fa", "fc"], ["fa", "fb"]] * 2


def test_registry_that_has_just_come_in_touch_sends_no_client_to_other_regions() -> None:
    subject = directory({"fa", "fd"}, [])
    assert subject.resolve("h.example", "zra", "ra", None, NOW).addresses == []
    assert subject.resolve("h.example", "zra", "ra", NOW - 1.0, NOW).addresses == []
    assert named(subject, "ra") == ["fb", "fc"]


@pytest.mark.parametrize("homes, expected", [(["rb"], ["fb"]), (["ra", "rb"], ["fb"]), ([], ["fb", "fc"])])
def test_clients_of_a_region_without_proxies_are_sent_to_the_home_regions_of_the_host_if_any(
    homes: list[str], expected: list[str]
) -> None:
    assert named(directory({"fa", "fd"}, homes), "ra") == expected


@pytest.mark.parametrize("host", ["H.Example", "h.example:8206", "H.EXAMPLE:80"])
def test_look_up_accepts_every_spelling_of_a_host_that_a_request_may_have(host: str) -> None:
    """As with routes, the case and the port of a `Host` field make no difference."""
    assert named(directory({"fa", "fd"}, ["ra", "rb"]), "ra", host) == ["fb"]


def test_registry_with_a_different_state_of_a_proxy_requests_the_full_state() -> None:
    """A delayed update seems newer than the next one, which was dropped; the old state stayed permanently."""
    here, there = Membership(), Membership()
    there.update("fa", "fa", "za", "ra", 1, True, 3, 0.0, NOW, is_direct=True)
    full, brief = there.gossip(NOW, 1.8)
    assert here.merge(full, brief, 0.0, NOW) == []
    here.known["fa"].ready = False  # as in an old update that was applied last
    full, brief = there.gossip(NOW + 0.6, 1.8)
    assert full == [] and here.merge(full, brief, 0.0, NOW + 0.6) == ["fa"]
    there.resend(["fa"])
    here.merge(*there.gossip(NOW + 1.2, 1.8), 0.0, NOW + 1.2)
    assert here.known["fa"].ready


class RollingRestart:
    """A planned restart of all proxies of a region, with look-ups of a host whose home region it is."""

    def __init__(self, homes: list[str]) -> None:
        self.subject = directory(set(), homes)

    def report(self, proxy: str, ready: bool, at: float, incarnation: int = 1) -> None:
        """Apply a request of a proxy at that time, with its state."""
        self.subject.members.update(
            proxy, proxy, f"z{REGIONS[proxy]}", REGIONS[proxy], incarnation, ready, 3, 0.0, at
        )

    def resolve(self, region: str, at: float) -> list[str]:
        """Return the proxies named to a client of that region."""
        for proxy in set(REGIONS) - {"fa", "fd"}:
            self.report(proxy, True, at)
        return self.subject.resolve("h.example", f"z{region}", region, LONG_IN_TOUCH, at).addresses


@pytest.mark.parametrize("region", ["ra", "rb"])
def test_planned_restart_of_all_proxies_of_a_home_region_sends_no_client_beyond_it(region: str) -> None:
    """They reported that they shut down, and will return: those still serving are named, then none for a moment."""
    restart, local = RollingRestart(["ra"]), ["fb"] if region == "rb" else []
    for proxy in ("fa", "fd"):
        restart.report(proxy, False, NOW + 1.0)
    assert restart.resolve(region, NOW + 1.5) == (local or ["fa", "fd"])
    assert restart.resolve(region, NOW + 4.0) == local
    for proxy in ("fa", "fd"):
        restart.report(proxy, False, NOW + 5.0, incarnation=2)
    assert restart.resolve(region, NOW + 5.1) == local
    restart.report("fa", True, NOW + 6.0, incarnation=2)
    assert restart.resolve(region, NOW + 6.1) == [*local, "fa"]


def test_clients_are_sent_to_all_regions_if_a_home_region_fails_silently_or_does_not_return() -> None:
    restart = RollingRestart(["ra"])
    assert restart.resolve("ra", NOW + 3.0) == ["fb", "fc"]  # they were ready and have fallen silent
    for proxy in ("fa", "fd"):
        restart.report(proxy, False, NOW + 4.0)
    assert restart.resolve("ra", NOW + 20.0) == ["fb", "fc"]


def test_host_without_common_home_region_sends_clients_to_any_home_region_only_after_loss_of_their_own() -> None:
    subject = directory({"fd"}, [])
    subject.homes = {"h.example": HomeRegions(frozenset(), frozenset(["ra", "rb"]))}
    assert named(subject, "ra") == ["fa"]  # a second one would be outside the home regions of some routes
    assert named(directory({"fa", "fd"}, []), "ra") == ["fb", "fc"]
    subject.members.known["fa"].last_request_at = subject.members.known["fd"].last_request_at = subject.members.known[
        "fd"
    ].unready_since = 0.0
    assert named(subject, "ra") == ["fb"]
