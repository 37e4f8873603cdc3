"""Streams without gRPC: both protocols, and a machine of proxies that connect, drop, swing, ACK and NACK."""

import pytest
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from fennelpoint import interface as api
from fennelpoint.xds.membership import Membership
from fennelpoint.xds.streams import CDS, EDS, LDS, LEDS, RDS, Misuse, Snapshot, Stream
from fennelpoint.xds.token_bucket import Budget
from fennelpoint.xds.version_labels import Label, Stand, read_label


def snapshot(before: Snapshot | None = None, revision: int = 1, **kinds: dict[str, bytes]) -> Snapshot:
    names = {"cds": CDS, "eds": EDS, "lds": LDS, "rds": RDS}
    return (before or Snapshot()).follow(Stand(0, revision), {names[k]: v for k, v in kinds.items()})


def names(response) -> list[str]:
    return [r.name for r in response.resources]


def test_label_is_read_as_it_is_written():
    label = Label(Stand(3, 41), "0123456789ab")
    assert read_label(str(label)) == label
    assert read_label("v1") is read_label("") is read_label("1.2.x") is None
    assert Stand(1, 0) > Stand(0, 99) > Stand(0, 5)


def test_world_is_sent_once_and_again_only_when_it_changes():
    s, one = Stream(False), snapshot(cds={"a": b"1"}, eds={"e": b"1"})
    s.request(CDS, "", "", [], None)
    first = s.pull(one)
    assert names(first) == ["a"] and s.pull(one) is None
    s.request(CDS, first.version, first.nonce, [], None)
    assert s.pull(one) is None and s.behind(one) == {}
    two = snapshot(one, 2, cds={"a": b"2", "b": b"1"}, eds={"e": b"1"})
    assert names(s.pull(two)) == ["a", "b"]


def test_stuck_stream_gets_the_newest_only():
    s, now = Stream(False), snapshot(eds={"e": b"0"})
    s.request(EDS, "", "", ["e"], None)
    first = s.pull(now)
    for revision in range(2, 50):
        now = snapshot(now, revision, eds={"e": b"%d" % revision})
        assert s.pull(now) is None
    s.request(EDS, first.version, first.nonce, ["e"], None)
    assert s.pull(now).resources[0].body == b"49" and s.pull(now) is None


def test_nack_is_kept_with_its_words_and_not_answered_with_the_same_again():
    s, one = Stream(False), snapshot(rds={"r": b"1"})
    s.request(RDS, "", "", ["r"], None)
    good = s.pull(one)
    s.request(RDS, good.version, good.nonce, ["r"], None)
    two = snapshot(one, 2, rds={"r": b"bad"})
    bad = s.pull(two)
    s.request(RDS, good.version, bad.nonce, ["r"], "no such cluster")
    kind = s.kinds[RDS]
    assert kind.error == "no such cluster" and kind.acked == {"r": good.resources[0].label.__str__()}
    assert s.pull(two) is None and s.behind(two) == {RDS: ["r"]}
    assert s.pull(snapshot(two, 3, rds={"r": b"3"})).resources[0].body == b"3"


def test_request_with_an_overtaken_nonce_is_nothing():
    s, one = Stream(False), snapshot(eds={"e": b"1", "f": b"1"})
    s.request(EDS, "", "", ["e"], None)
    s.pull(one)
    s.request(EDS, "", "none", ["f"], None)
    assert s.kinds[EDS].names == {"e"} and s.kinds[EDS].waiting


def test_clusters_are_made_before_routes_point_to_them_and_broken_after():
    s, one = Stream(False), snapshot(cds={"a": b""}, rds={"r": b"to a"})
    s.request(CDS, "", "", [], None)
    s.request(RDS, "", "", ["r"], None)
    cds = s.pull(one)
    assert cds.kind == CDS and s.pull(one) is None
    s.request(CDS, cds.version, cds.nonce, [], None)
    rds = s.pull(one)
    assert rds.kind == RDS
    s.request(RDS, rds.version, rds.nonce, ["r"], None)
    two = snapshot(one, 2, cds={"b": b""}, rds={"r": b"to b"})
    cds = s.pull(two)
    assert names(cds) == ["a", "b"] and s.pull(two) is None
    s.request(CDS, cds.version, cds.nonce, [], None)
    rds = s.pull(two)
    assert rds.kind == RDS and s.pull(two) is None
    s.request(RDS, rds.version, rds.nonce, ["r"], None)
    assert names(s.pull(two)) == ["b"]


def test_proxy_that_comes_back_keeps_the_clusters_that_its_routes_point_to():
    """It says a version, not which clusters: those that are gone are given until its routes are new."""
    one = snapshot(cds={"a": b""}, rds={"r": b"to a"})
    two = snapshot(one, 2, cds={"b": b""}, rds={"r": b"to b"})
    s = Stream(False)
    s.request(CDS, str(one.types[CDS]["a"].label), "", [], None)
    s.request(RDS, str(one.types[RDS]["r"].label), "", ["r"], None)
    cds = s.pull(two)
    assert names(cds) == ["a", "b"]
    s.request(CDS, cds.version, cds.nonce, [], None)
    rds = s.pull(two)
    s.request(RDS, rds.version, rds.nonce, ["r"], None)
    assert names(s.pull(two)) == ["b"]
    newcomer = Stream(False)
    newcomer.request(CDS, "", "", [], None)
    newcomer.request(RDS, "", "", ["r"], None)
    assert names(newcomer.pull(two)) == ["b"]


def test_incremental_sends_what_changed_and_says_what_is_gone():
    s, one = Stream(True), snapshot(eds={"a": b"1", "b": b"1"})
    s.delta(EDS, "", ["a", "b", "none"], [], {}, None)
    first = s.pull(one)
    assert names(first) == ["a", "b"] and first.removed == ("none",)
    s.delta(EDS, first.nonce, [], [], {}, None)
    two = snapshot(one, 2, eds={"a": b"2"})
    second = s.pull(two)
    assert names(second) == ["a"] and second.removed == ("b",)
    s.delta(EDS, second.nonce, [], ["a"], {}, None)
    assert s.pull(snapshot(two, 3, eds={"a": b"3"})) is None
    s.delta(EDS, "", ["a"], [], {}, None)
    assert names(s.pull(two)) == ["a"]


def test_reconnect_with_what_it_holds_is_sent_the_difference():
    s, one = Stream(True), snapshot(eds={"a": b"1", "b": b"1"})
    held = {n: str(r.label) for n, r in one.types[EDS].items()}
    two = snapshot(one, 2, eds={"a": b"1", "b": b"2"})
    s.delta(EDS, "", ["a", "b", "c"], [], held | {"c": "0.1.000000000000"}, None)
    response = s.pull(two)
    assert names(response) == ["b"] and response.removed == ("c",)


def test_proxy_is_never_given_a_roster_older_than_it_holds():
    new = Snapshot().follow(Stand(0, 9), {EDS: {"e": b"new"}})
    old = Snapshot().follow(Stand(0, 5), {EDS: {"e": b"old"}})
    for incremental in (False, True):
        s = Stream(incremental)
        if incremental:
            s.delta(EDS, "", ["e"], [], {"e": str(new.types[EDS]["e"].label)}, None)
        else:
            s.request(EDS, str(new.types[EDS]["e"].label), "", ["e"], None)
        assert s.pull(old) is None
        assert s.pull(old.follow(Stand(0, 10), {EDS: {"e": b"newer"}})).resources[0].body == b"newer"


def test_newcomer_is_given_nothing_stale():
    s, one = Stream(False), snapshot(eds={"e": b"1"})
    s.request(EDS, "", "", ["e"], None)
    assert s.pull(one, fresh=False) is None and s.pull(one, fresh=True) is not None


def test_status_of_each_resource():
    s, one = Stream(False), snapshot(eds={"a": b"1", "b": b"1"})
    s.request(EDS, "", "", ["a", "b", "c"], None)

    def states(now) -> list[str]:
        return [held.state for held in s.status(now)]

    assert states(one) == ["not sent", "not sent", "does not exist"]
    first = s.pull(one)
    s.request(EDS, first.version, first.nonce, ["a", "b", "c"], None)
    assert states(one) == ["synced", "synced", "does not exist"]
    two = snapshot(one, 2, eds={"a": b"2", "b": b"1"})
    assert states(two) == ["stale", "synced", "does not exist"]
    s.request(EDS, first.version, s.pull(two).nonce, ["a", "b", "c"], "no")
    assert states(two) == ["error", "synced", "does not exist"] and s.status(two)[0].error == "no"
    assert states(snapshot(two, 3, eds={"b": b"1"}))[0] in ("error", "stale")


def test_misuse_ends_the_stream():
    for request in (lambda s: s.request("x", "", "", [], None),
                    lambda s: s.request(EDS, "", "", map(str, range(20_000)), None)):
        with pytest.raises(Misuse):
            request(Stream(False))


UP, DRAIN, GONE = api.BackendState.READY, api.BackendState.DRAINING, api.BackendState.GONE


def told(m: Membership, now: float, revision: int, full: bool, *entries: tuple) -> None:
    m.answered(revision, now)
    roster = api.Roster(api.RosterKind.FULL if full else api.RosterKind.CHANGES, revision,
                        [api.BackendEntry(n, state, started) for n, state, started in entries])
    m.told(roster, {n: ("127.0.0.1", 1) for n, state, _ in entries if state is not GONE})


def up(m: Membership) -> list[str]:
    return [e.backend for e, _ in m.ready()]


def test_dead_id_stays_dead_until_a_newer_start():
    m = Membership(6.0)
    told(m, 1.0, 5, True, ("a", UP, 3.0), ("b", UP, 0.0))
    told(m, 2.0, 6, False, ("a", GONE, 0.0))
    told(m, 3.0, 7, True, ("a", UP, 3.0), ("b", UP, 0.0))
    assert up(m) == ["b"]
    told(m, 4.0, 8, False, ("a", UP, 4.0), ("b", DRAIN, 0.0))
    assert up(m) == ["a"]


def test_revision_that_goes_back_is_a_new_life_and_newer():
    m = Membership(6.0)
    told(m, 100.0, 50, True, ("a", UP, 0.0))
    before = m.stand
    told(m, 101.0, 2, True, ("a", UP, 0.0))
    assert m.stand > before and m.stand.revision == 2 and up(m) == ["a"]


def test_epoch_of_a_proxy_is_adopted_once_discovery_must_have_told_all():
    m = Membership(6.0)
    told(m, 100.0, 50, True, ("a", UP, 0.0))
    m.heard(Stand(99, 3), 101.0)
    for now in (102.0, 104.0, 106.0):
        m.answered(50, now)
    assert m.stand == Stand(0, 50)
    m.answered(50, 112.0)       # a gap: the count begins anew
    m.answered(50, 114.0)
    assert m.stand == Stand(0, 50)
    for now in (116.0, 118.0):
        m.answered(51, now)
    assert m.stand == Stand(99, 51)


class Proxies(RuleBasedStateMachine):
    """Two control services of different lag, restarting, and proxies that swing between them."""

    @initialize()
    def begin(self):
        self.now, self.revision, self.starts = 1000.0, 1, {f"s-{i}": 0.0 for i in range(3)}
        self.history = [(1, dict(self.starts))]     # what discovery has ever told, in order
        self.services = [{"m": Membership(0.0), "snap": Snapshot(), "at": -1} for _ in range(2)]
        self.proxies = [{"stream": None, "service": 0, "incremental": i % 2 == 1, "held": {}, "truth": -1,
                         "out": []} for i in range(3)]
        for service in self.services:
            self.catch_up(service, 0)

    def catch_up(self, service, to):
        """An agent's answer: its list as of some point of discovery's history, never an earlier one."""
        self.now += 0.1
        service["at"] = max(service["at"], to)
        revision, starts = self.history[service["at"]]
        told(service["m"], self.now, revision, True, *((n, UP, s) for n, s in starts.items()))
        body = ",".join(f"{e.backend}@{e.started_at:g}" for e, _ in service["m"].ready()).encode()
        service["snap"] = service["snap"].follow(service["m"].stand, {EDS: {"e": body}})

    @rule(name=st.sampled_from(["s-0", "s-1", "s-2", "s-3"]), alive=st.booleans())
    def roster_changes(self, name, alive):
        starts = dict(self.history[-1][1])
        self.now += 1.0
        if alive:
            starts[name] = self.now
        else:
            starts.pop(name, None)
        self.revision += 1
        self.history.append((self.revision, starts))

    @rule(which=st.integers(0, 1), data=st.data())
    def agent_answers(self, which, data):
        service = self.services[which]
        self.catch_up(service, data.draw(st.integers(max(0, service["at"]), len(self.history) - 1)))

    @rule(which=st.integers(0, 1))
    def service_restarts_with_an_empty_memory(self, which):
        self.services[which].update(m=Membership(0.0), snap=Snapshot())
        self.catch_up(self.services[which], self.services[which]["at"])
        for proxy in self.proxies:
            if proxy["service"] == which:
                proxy.update(stream=None, out=[])

    @rule(which=st.integers(0, 2), service=st.integers(0, 1))
    def connect(self, which, service):
        proxy = self.proxies[which]
        proxy.update(stream=Stream(proxy["incremental"]), service=service, out=[])
        held = proxy["held"]
        if proxy["incremental"]:
            proxy["stream"].delta(EDS, "", ["e"], [], {"e": held["version"]} if held else {}, None)
        else:
            proxy["stream"].request(EDS, held.get("version", ""), "", ["e"], None)

    @rule(which=st.integers(0, 2))
    def take(self, which):
        proxy = self.proxies[which]
        if proxy["stream"] is None:
            return
        service = self.services[proxy["service"]]
        if (response := proxy["stream"].pull(service["snap"])) is not None:
            proxy["out"].append((response, service["at"]))

    @precondition(lambda self: any(p["out"] for p in self.proxies))
    @rule(data=st.data(), accept=st.booleans())
    def answer(self, data, accept):
        proxy = data.draw(st.sampled_from([p for p in self.proxies if p["out"]]))
        response, at = proxy["out"].pop(0)
        error = None if accept else "no"
        if accept:
            (resource,) = response.resources
            # The body is one that discovery told, and not of an earlier time than the one before.
            # (A roster that came and went and came again is told alike: the latest such time counts.)
            assert self.latest(resource.body, at) >= proxy["truth"], "a roster older than the one it had"
            proxy["truth"] = max(proxy["truth"], self.earliest(resource.body))
            version = str(resource.label) if proxy["incremental"] else response.version
            proxy["held"] = {"version": version, "body": resource.body}
        if proxy["incremental"]:
            proxy["stream"].delta(EDS, response.nonce, [], [], {}, error)
        else:
            proxy["stream"].request(EDS, proxy["held"].get("version", ""), response.nonce, ["e"], error)

    def bodies(self):
        return [",".join(f"{n}@{s:g}" for n, s in sorted(starts.items())).encode()
                for _, starts in self.history]

    def latest(self, body, at):
        return max((i for i, b in enumerate(self.bodies()) if b == body and i <= at), default=-1)

    def earliest(self, body):
        return next(i for i, b in enumerate(self.bodies()) if b == body)

    @invariant()
    def no_floor_goes_back(self):
        for proxy in self.proxies:
            if proxy["stream"] is not None and proxy["held"]:
                label = read_label(proxy["held"]["version"])
                assert proxy["stream"].floor is None or proxy["stream"].floor >= label.stand

    @rule()
    def all_converge_once_all_is_told(self):
        for service in self.services:
            self.catch_up(service, len(self.history) - 1)
        for which, proxy in enumerate(self.proxies):
            self.connect(which, proxy["service"])
            service = self.services[proxy["service"]]
            response = proxy["stream"].pull(service["snap"])
            body = service["snap"].types[EDS]["e"].body
            if response is None:
                assert proxy["held"]["body"] == body
            else:
                assert response.resources[0].body == body
                proxy["out"].append((response, service["at"]))


TestProxies = Proxies.TestCase
TestProxies.settings = profile(max_examples=80, stateful_step_count=40, deadline=None)


def test_budget_is_spent_and_comes_back_with_time():
    now = [0.0]
    budget = Budget(lambda: now[0], rate=2.0, burst=3.0)
    for _ in range(3):
        budget.spend()
    with pytest.raises(Misuse, match="too many requests"):
        budget.spend()
    now[0] = 10.0
    for _ in range(3):
        budget.spend()
    with pytest.raises(Misuse):
        budget.spend()


class Kinds(RuleBasedStateMachine):
    """One proxy with all types, incremental or not: answers in any order, refusals, drops, skipped snapshots.

    Clusters are named as the routes that point to them; endpoints come as a list and by collection.
    """

    CLUSTERS, PLACE = ("a", "b", "c"), "x://e/"

    @initialize(incremental=st.booleans())
    def begin(self, incremental):
        self.incremental, self.revision, self.versions = incremental, 0, {}
        self.snap, self.held, self.out, self.refused = Snapshot(), {k: {} for k in self.kinds()}, [], set()
        self.change(["a"], 0, [0])
        self.connect()

    def kinds(self):
        return (CDS, EDS, RDS, LEDS) if self.incremental else (CDS, EDS, RDS)

    def connect(self):
        self.stream, self.out, self.refused = Stream(self.incremental), [], set()
        for kind in self.kinds():
            wanted = {EDS: ["e"], RDS: ["r"], LEDS: [self.PLACE + "*"]}.get(kind, [])
            if self.incremental:
                held = {n: v for n, (v, _) in self.held[kind].items()}
                self.stream.delta(kind, "", wanted, [], held, None)
            else:
                self.stream.request(kind, self.versions.get(kind, ""), "", wanted, None)

    @rule(clusters=st.lists(st.sampled_from(CLUSTERS), min_size=1, unique=True), points=st.integers(0, 2),
          ends=st.lists(st.integers(0, 5), unique=True))
    def change(self, clusters, points, ends):
        """A description or roster that is whole: routes point to a cluster that is there."""
        self.revision += 1
        to = clusters[points % len(clusters)]
        self.snap = self.snap.follow(Stand(0, self.revision), {
            CDS: {c: b"" for c in clusters}, RDS: {"r": to.encode()}, EDS: {"e": repr(sorted(ends)).encode()},
            LEDS: {f"{self.PLACE}{i}": b"%d" % i for i in ends}})

    @rule()
    def drop_and_come_back(self):
        self.connect()

    @precondition(lambda self: self.incremental)    # the other kind does not say what it has
    @rule()
    def service_restarts_and_it_comes_back(self):
        bodies = {kind: {n: r.body for n, r in named.items()} for kind, named in self.snap.types.items()}
        self.revision += 1
        self.snap = Snapshot().follow(Stand(0, self.revision), bodies)
        self.connect()

    @rule()
    def take(self):
        if (response := self.stream.pull(self.snap)) is not None:
            assert response.kind not in {r.kind for r in self.out}, "two are out of one type"
            self.out.append(response)

    @precondition(lambda self: self.out)
    @rule(data=st.data(), accept=st.booleans())
    def answer(self, data, accept):
        response = self.out.pop(data.draw(st.integers(0, len(self.out) - 1)))
        if accept:
            return self.accept(response)
        self.say(response.kind, response.nonce, "no")
        self.refused.add(response.kind)

    def accept(self, response):
        kind, news = response.kind, {r.name: (r.version, r.body) for r in response.resources}
        if self.incremental:
            self.held[kind].update(news)
            for name in response.removed:
                self.held[kind].pop(name, None)
        else:
            self.held[kind], self.versions = news, {**self.versions, kind: response.version}
        self.say(kind, response.nonce, None)
        self.refused.discard(kind)

    def say(self, kind, nonce, error):
        if self.incremental:
            self.stream.delta(kind, nonce, [], [], {}, error)
        else:
            wanted = {EDS: ["e"], RDS: ["r"]}.get(kind, [])
            self.stream.request(kind, self.versions.get(kind, ""), nonce, wanted, error)

    @invariant()
    def routes_point_to_a_cluster_that_is_held(self):
        for _, target in self.held[RDS].values():
            assert target.decode() in self.held[CDS], "a route was given or kept without its cluster"

    @rule()
    def left_alone_it_converges(self):
        """Whoever refuses nothing any more has all of the newest after one more change of everything."""
        for _ in range(4):
            while self.out:
                self.accept(self.out.pop(0))
                self.routes_point_to_a_cluster_that_is_held()
            while (response := self.stream.pull(self.snap)) is not None:
                self.out.append(response)
        if not self.refused:
            for kind in self.kinds():
                want = {n: r.body for n, r in self.snap.types[kind].items()}
                assert {n: b for n, (_, b) in self.held[kind].items()} == want, kind


TestKinds = Kinds.TestCase
TestKinds.settings = profile(max_examples=100, stateful_step_count=40, deadline=None)
