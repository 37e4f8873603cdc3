"""The decider of the registry: calls from outside, news between core machines, lists and leases for fronts.

Events with the time in, actions out.  A call that has to wait (for a majority, for the store) is kept by a token.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

from fennelpoint.system import config_versions
from fennelpoint.system.actions import Note, Send
from fennelpoint.system.graceful_shutdown import Leaving, within
from fennelpoint.system.http_server import Asking, Reply
from fennelpoint.system.incarnation import first_number
from fennelpoint.system.mesh import ip_of, name
from fennelpoint.system.registry.allocation_leader import ALLOCATION_MESSAGES, AllocationLeader
from fennelpoint.system.registry.allocation_parameters import AllocationParameters, ColdBackends
from fennelpoint.system.registry.backend_table import DRAINING, GONE, LOST_AFTER, READY, SPOKE, Backends, Told
from fennelpoint.system.registry.directory import PROXY_FRESH_S, Directory, home_regions_by_host
from fennelpoint.system.registry.leader_lease import LEASE_S, LeaderLease
from fennelpoint.system.registry.membership import Membership
from fennelpoint.system.registry.operator_handlers import Office
from fennelpoint.system.registry.pending_calls import Answer, Held, Save, fault
from fennelpoint.system.registry.quorum_check import Contact
from fennelpoint.system.rendezvous_hashing import preference
from fennelpoint.system.settings import Bounds
from fennelpoint.system.throttle import Paced

TTL = 2.0           # s that clients may hold an answer
WAIT_DRAIN = 0.9    # s for a majority to hold a drain
COLD_TILL_HEARD = 1.6   # beats that a backend off the disk counts as cold at most
WHOLE_LIST_GOOD = 0.1   # s that the list for fronts that connect is used again: many come at once
LIST_PAUSE = 0.04   # s between two changes of the list that go out to fronts
GOSSIP = 0.6        # s between words on who was heard
CALLS_END = 0.7     # of the time that we have to leave in, for calls to end
WANT_AGAIN = 0.5    # s after which a content that has not come is asked for anew
WAITS = 4.0         # s that a word waits for a content: whoever asked asks anew
FORGET = 60.0       # s without a word after which a front is forgotten
READ_PAUSE = 0.15   # s between the beginnings of two reads for fronts, whose leases last for seconds
READ_AGAIN = 0.7    # s after which a read that got no answer is asked for anew
LATE = 1.7          # beats that nobody heard: the next one is told at once
DOUBT, DOUBT_AGAIN = 2.4, 0.7   # beats after which the others are asked who heard it; s until they are asked again


class Desk:
    """One core machine's part of the registry."""

    def __init__(self, me: str, zone: str, region: str, regions: dict[str, str], seeds: list[str], port: int,
                 bounds: Bounds, beat: float, life: int, first: bool, now: float) -> None:
        self.me, self.zone, self.region, self.regions, self.port = me, zone, region, regions, port
        self.bounds, self.beat, self.life, self.born = bounds, beat, life, now
        self.seeds = seeds
        self.store = name("writ", me)
        self.backends, self.members = Backends(), Membership()
        self.world: dict = {}
        self.contents: dict[str, bytes] = {}    # by digest, packed
        self.wants: dict[str, list[tuple[float, Callable[[], None]]]] = {}  # what waits for a content, and since when
        self.want_at = now      # when the newest content is asked for again, while it is not here
        self.fronts: dict[str, int] = {}        # that are connected, and the number each one has heard of
        self.number = 0         # of the newest change of the list
        self.changes = Paced(LIST_PAUSE)        # ids whose changes go out to fronts together
        self.whole_list: list = []      # for fronts that connect, as it was a moment ago
        self.whole_list_until = now
        self.calls: dict[int, Held] = {}
        self.tokens = first_number(life)
        self.helpers: dict[str, str] = {}       # fronts that are cut off from here, and who passes words on for them
        self.told_fronts: list[str] = []
        self.about: dict[str, dict] = {}        # what fronts that are connected said of themselves
        self.cold = ColdBackends(bounds, regions)
        # A first start: nothing was granted before.
        duty = LeaderLease(me, now if first else now + LEASE_S, first_number(life))
        self.allocation = AllocationLeader(self, duty, self.cold)
        self.read_at = -1e9     # when the newest read that ended began
        self.asks: list[tuple[str, float, float]] = []   # wait for the next read
        self.read_begun = -1e9
        self.reading: tuple[int, float, list] | None = None
        self.gossip_at = self.sweep_at = now
        self.news: set[str] = set()             # ids heard here since the last word to others
        self.doubted: set[str] = set()          # ids that a front counts as lost: it is told when one speaks
        self.links: set[str] = set()            # core machines whose registry is connected
        self.contact = Contact(me, now)
        self.whole_since: float | None = None   # since when we are in touch with a majority
        self.doubt_at = now
        self.out: list = []
        self.office = Office(self)
        self.directory = Directory(me, self.members, min(TTL, bounds.ttl_max_s), bounds.grace_period_s, now)
        self.leaving = Leaving(within(bounds.grace_period_s))

    def restore(self, rows: list[list], now: float) -> None:
        """What was on disk when this process started."""
        self.backends.restore(rows, COLD_TILL_HEARD * self.beat, now)

    # Events

    def heard(self, peer: str, message: list, now: float) -> list:
        self._woke(now)
        kind, *rest = message
        self.helpers.pop(peer, None)    # it speaks for itself
        do = (getattr(self.allocation, f"on_{kind}") if kind in ALLOCATION_MESSAGES
              else getattr(self, f"_on_{kind}", None))
        if do is not None:
            do(peer, now, *rest)
        return self._done()

    def leave(self, now: float) -> list:
        """SIGTERM: hand over what is known here alone, and the duty; calls that wait have a while to end in."""
        if not self.leaving:
            self.leaving.begin(now)
            self.out.append(Note("STOP", {"node": self.me}))
            for held in self.calls.values():
                held.until = min(held.until, now + CALLS_END * self.leaving.most)
            self.allocation.resign()
            self.allocation.tick(now, claims=False)
            self._gossip(now)
        return self._done()

    def gone(self, now: float) -> bool:
        """Whether nothing keeps this process any more."""
        if self.calls:
            self.leaving.busy(now)
        return self.leaving.over(now)

    def call(self, asking: Asking, now: float) -> list:
        if self.leaving:
            self.answer(asking, fault(503, "this machine leaves"))
            return self._done()
        self._woke(now)
        if self.contact.late(now) and asking.call.name != "status":
            self.answer(asking, fault(503, "this machine stood still, and the call may be old"))
            return self._done()
        place = self if asking.call.name in ("beat", "leave", "resolve") else self.office
        getattr(place, f"_call_{asking.call.name}")(asking, now)
        return self._done()

    def linked(self, peer: str, up: bool, now: float) -> list:
        """A connection to or from a peer came up or went down."""
        self._woke(now)
        if peer.startswith("roll@"):
            self.links.add(ip_of(peer)) if up else self.links.discard(ip_of(peer))
        if peer.startswith("roll@") and up:
            self.members.resend_all()
            self.send(peer, ["probe", int(now * 1000)])
            items = [b.now(now).pack() for b in self.backends.known.values()]
            if items:
                self.send(peer, ["backends", 0, items])
        elif peer.startswith("span@"):
            if not up:
                passed = [f for f, helper in self.helpers.items() if helper == peer]
                for front in passed if peer in self.helpers else [peer, *passed]:
                    self.fronts.pop(front, None)
                    self.about.pop(front, None)
                    self.helpers.pop(front, None)
        elif peer == self.store and up:
            self.allocation.store_restarted(now)
            if self.reading is not None:    # it did not hear of it: those that wait need not ask again
                self.asks, self.reading = self.reading[2] + self.asks, None
            self._read(now, own=self.allocation.allocator is not None)
        return self._done()

    def refused(self, peer: str, dialled_at: float, now: float) -> list:
        """A machine says that no process listens at a peer's address, to a connection dialled at that time."""
        if peer.startswith("roll@") and not self.contact.late(now):
            self.allocation.lease.handle_refused_connection(ip_of(peer), dialled_at, now)
        return self._done()

    def tick(self, now: float) -> list:
        self._woke(now)
        for token, held in list(self.calls.items()):
            if now >= held.until or held.asking.gone:
                del self.calls[token]
                if held.withdraw:
                    self.send(self.store, ["withdraw", token])
                self.answer(held.asking, fault(503, "no majority answers"))
        if self.reading is not None and now >= self.reading[1]:
            asks, self.reading = self.reading[2], None
            self.asks = [a for a in asks + self.asks if now - a[1] < 2.0]
            self._read(now)
        if now >= self.want_at and self.world and self.world["digest"] not in ("", *self.contents):
            self.want_at = now + WANT_AGAIN
            self.send(self.store, ["want", self.world["digest"]])
        self.allocation.tick(now, claims=not self.leaving)
        self._read(now)
        self._tell_fronts(self.changes.due(now), now)
        if now >= self.gossip_at:
            self.gossip_at = now + GOSSIP
            self._gossip(now)
        if now >= self.sweep_at:
            self.sweep_at = now + 0.25
            self._forget(now)
            self.out += self.directory.notes(now)
            # Guards against an outage made by ourselves: who hears no majority, or has just begun to, has not
            # heard of many that live.
            if not self.in_touch(now):
                if self.whole_since is not None:
                    self.out.append(Note("CUT_OFF", {"node": self.me}))
                self.whole_since = None
            elif self.whole_since is None:
                self.whole_since = now
                self.out.append(Note("IN_TOUCH", {"node": self.me}))
            elif now - self.whole_since > 4.0 * self.beat:
                self._doubt(now)
                lost, forgotten = self.backends.sweep(now, self.beat)
                self._push([b.told.id for b in lost], now)
                if lost:
                    self.out.append(Note("LOST", {"ids": ", ".join(b.told.id for b in lost)}))
                if forgotten:
                    self.doubted.difference_update(forgotten)
                    self.out.append(Save([], forgotten))
        return self._done()

    def _woke(self, now: float) -> None:
        """Guards against what is due or was asked before this process stood still: others have gone on without it."""
        if not self.contact.woke(now):
            return
        if self.whole_since is not None:
            self.out.append(Note("CUT_OFF", {"node": self.me}))
        self.whole_since = None
        self.news.clear()
        self.asks.clear()
        for held in self.calls.values():
            self.answer(held.asking, fault(503, "this machine stood still"))
        self.calls.clear()
        for peer in self.others:
            self.send(peer, ["probe", int(now * 1000)])

    def _forget(self, now: float) -> None:
        """Guards the memory: fronts that are no more, and words that wait for a content that nobody has any more."""
        for ip in [m.ip for m in self.members.known.values() if now - m.last_request_at > FORGET]:
            self.members.remove(ip)
        for digest, waits in list(self.wants.items()):
            self.wants[digest] = [one for one in waits if now - one[0] < WAITS]
            if not self.wants[digest]:
                del self.wants[digest]

    def _done(self) -> list:
        out, self.out = self.out, []
        return out

    def send(self, to: str, message: list) -> None:
        if (helper := self.helpers.get(to)) is not None:
            to, message = helper, ["passed", ip_of(to), message]
        self.out.append(Send(to, message))

    def answer(self, asking: Asking, reply: Reply) -> None:
        self.out.append(Answer(asking, reply))

    # Members of the core

    @property
    def core(self) -> dict[str, str]:
        """Core machines that are known, zones by IP address."""
        if not self.world:
            return {ip: "" for ip in self.seeds}
        return {**self.world["ready"], **self.world["voters"]}

    @property
    def others(self) -> list[str]:
        return [name("roll", ip) for ip in sorted(self.core) if ip != self.me]

    def majority(self, holders: set[str]) -> bool:
        voters = self.world["voters"] if self.world else {ip: "" for ip in self.seeds}
        return len(holders & voters.keys()) > len(voters) // 2

    # Contact

    def in_touch(self, now: float) -> bool:
        """Whether what is acknowledged here can be told to a majority."""
        return self.contact.in_touch(self.majority, now)

    def _on_probe(self, peer: str, now: float, stamp: int) -> None:
        self.send(peer, ["echo", stamp])

    def _on_echo(self, peer: str, now: float, stamp: int) -> None:
        self.contact.echo(ip_of(peer), stamp, now)

    def _told(self, item: list, now: float) -> Told:
        """News of a backend; it may have waited here."""
        told = Told(*item)
        told.age += self.contact.late(now)
        return told

    # Backends

    def _call_beat(self, asking: Asking, now: float) -> None:
        try:
            value = config_versions.json.loads(asking.body)
            info, status = value["information"], value["status"]
            told = Told(asking.segment, str(value["address"]), str(info["service"]),
                        str(info["availability_zone"]), int(info["free_slots"]), str(info.get("version", "")),
                        DRAINING if status["state"] == DRAINING else READY, int(status["sequence"]),
                        max(0.0, float(status.get("cold_remaining_s") or 0.0)))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return self.answer(asking, fault(400, f"the beat can't be read: {error!r}"))
        old = self.backends.known.get(told.id)
        missed = old is not None and now - old.heard > LATE * self.beat
        changed = self.backends.fold(told, now) or told.id in self.doubted
        self.news.add(told.id)
        body = {}
        if (nearest := self._nearest(told.id, told.zone, now)) is not None:
            body["heartbeat_address"] = f"{nearest}:{self.port}"
        if changed:
            self._push([told.id], now)
        if told.state == DRAINING:
            if changed:
                self.out.append(Note("DRAINS", {"id": told.id, "by": "itself"}))
            return self._spread(asking, [told.id], now, Reply(200, body))
        if changed or missed:
            self._share([told.id], now, 0)
        # What is true is told on, but nobody hears it for sure: the backend is to call where it is heard.
        self.answer(asking, Reply(200, body) if self.in_touch(now) else fault(503, "no majority hears this machine"))

    def _call_leave(self, asking: Asking, now: float) -> None:
        old = self.backends.known.get(asking.segment)
        told = old.now(now) if old is not None else Told(asking.segment, "", "", "", 0, "", GONE, 0, 0.0)
        told.state, told.seq, told.age = GONE, told.seq + 1, 0.0
        if self.backends.fold(told, now):
            self.out.append(Note("GONE", {"id": told.id}))
            self._push([told.id], now)
        self._spread(asking, [told.id], now, Reply(200, {}))

    def _nearest(self, backend: str, zone: str, now: float) -> str | None:
        """The core machine in touch that a backend of that zone does best to call; each has one of its own."""
        region = self.regions.get(zone)
        core = {ip: z for ip, z in self.core.items() if (
            self.in_touch(now) if ip == self.me else self.contact.believed(ip, now))}
        same = [ip for ip, z in core.items() if z == zone]
        near = [ip for ip, z in core.items() if self.regions.get(z) == region]
        return min(same or near, key=lambda ip: preference(backend, ip), default=None)

    def _spread(self, asking: Asking, ids: list[str], now: float, reply: Reply) -> None:
        """Answer once a majority of the core holds it: that is proof of contact by itself."""
        if not self.in_touch(now) and not self.majority({self.me, *self.links}):
            self._share(ids, now, 0)
            return self.answer(asking, fault(503, "no majority hears this machine"))
        self.tokens += 1
        token = self.tokens
        held = self.calls[token] = Held(asking, now + WAIT_DRAIN, {self.me})
        held.then = lambda _: self.answer(asking, reply)
        self._share(ids, now, token)
        self._held(token)

    def _held(self, token: int) -> None:
        if (held := self.calls.get(token)) is not None and self.majority(held.holders):
            del self.calls[token]
            held.then([])

    def _share(self, ids: list[str], now: float, token: int) -> None:
        items = [self.backends.known[id].now(now).pack() for id in ids if id in self.backends.known]
        for peer in self.others:
            self.send(peer, ["backends", token, items])

    def _on_backends(self, peer: str, now: float, token: int, items: list) -> None:
        changed = [item[0] for item in items if self.backends.fold(self._told(item, now), now)]
        if changed:
            self._push(changed, now)
        if token:
            self.send(peer, ["hold", token])

    def _on_hold(self, peer: str, now: float, token: int) -> None:
        if (held := self.calls.get(token)) is not None:
            held.holders.add(ip_of(peer))
            self._held(token)

    def _gossip(self, now: float) -> None:
        """Who was heard here: backends by id, fronts whole where something of them changed."""
        whole, brief = self.members.gossip(now, PROXY_FRESH_S)
        news, self.news = sorted(self.news), set()
        fronts = sorted(m.ip for m in self.members.ready(now, PROXY_FRESH_S))
        if fronts != self.told_fronts:
            self.told_fronts = fronts
            for front in self.fronts:
                self.send(front, ["fronts", fronts])
        sure = self.in_touch(now)
        # A newcomer that is connected hears it, too: until a change that names it is agreed nobody else knows of it.
        for peer in sorted({*self.others, *(name("roll", ip) for ip in self.links)}):
            self.send(peer, ["heard", news, whole, brief, self.contact.word(ip_of(peer), sure, now)])

    def _on_heard(self, peer: str, now: float, news: list, whole: list, brief: list, word: list) -> None:
        self.contact.heard(ip_of(peer), *word, now)
        late = self.contact.late(now)
        if unknown := [id for id in news if id not in self.backends.known]:
            self.send(peer, ["heard_of", unknown])  # its first word went out before we were known as a member
        revived = [id for id in news if self.backends.fresh(id, late, now) or id in self.doubted]
        if revived:
            self.out.append(Note("FOUND", {"ids": ", ".join(revived)}))
            self._push(revived, now)
        if unknown := self.members.merge(whole, brief, late, now):
            self.send(peer, ["fronts_of", unknown])

    def _on_fronts_of(self, peer: str, now: float, numbers: list) -> None:
        """What we told of these fronts was lost or dropped on its way."""
        self.members.resend(numbers)

    def _doubt(self, now: float) -> None:
        """Ask the others before one counts as lost: a machine that hears it may be cut off from us alone."""
        doubted = [id for id, b in self.backends.known.items()
                   if b.told.state != GONE and not b.lost and now - b.heard > DOUBT * self.beat]
        if doubted and now >= self.doubt_at:
            self.doubt_at = now + DOUBT_AGAIN
            for peer in self.others:
                self.send(peer, ["heard_of", doubted])

    def _on_heard_of(self, peer: str, now: float, ids: list) -> None:
        heard = [b.now(now).pack() for b in map(self.backends.known.get, ids)
                 if b is not None and now - b.heard < DOUBT * self.beat]
        if heard:
            self.send(peer, ["backends", 0, heard])

    # Fronts

    def _push(self, ids: list[str], now: float) -> None:
        """These have changed: keep them, and tell every front that is connected here, several at a time."""
        if not ids:
            return
        self.whole_list_until = now
        self.doubted.difference_update(id for id in ids if now - self.backends.known[id].spoke < SPOKE)
        self.out.append(Save([self.backends.known[id].now(now).pack() for id in ids], []))
        self._tell_fronts(self.changes.add(ids, now), now)

    def _tell_fronts(self, ids: list[str], now: float) -> None:
        """A numbered change of the list."""
        if not ids:
            return
        self.number += 1
        items = self._items(ids, now)
        for peer in self.fronts:
            self.send(peer, ["list", self.life, self.number, items, False])

    def _items(self, ids: list[str], now: float) -> list:
        out = []
        for id in ids:
            if (b := self.backends.known.get(id)) is not None:
                item = b.now(now).pack()
                silent = now - b.spoke > LOST_AFTER * self.beat
                lost = b.lost and self.whole_since is not None or None     # None: we can't tell
                item.append(lost if silent else b.lost)
                out.append(item)
        return out

    def _on_front(self, peer: str, now: float, about: dict, known: list) -> None:
        """A front connects: it tells what it is and knows, and gets all that there is."""
        self.about[peer] = about
        changed = [item[0] for item in known if self.backends.fold(self._told(item[:10], now), now)]
        self.doubted |= {item[0] for item in known if item[10:] == [True]
                         and now - self.backends.known[item[0]].spoke >= SPOKE}
        if changed:
            self._share(changed, now, 0)
            self._push(changed, now)
        self.fronts[peer] = 0
        if now >= self.whole_list_until:
            self.whole_list = self._items(list(self.backends.known), now)
            self.whole_list_until = now + WHOLE_LIST_GOOD
        self.send(peer, ["list", self.life, self.number, self.whole_list, True])
        self.send(peer, ["fronts", self.told_fronts])
        if self.world:
            self.send(peer, ["core", self.core, self.world["rev"]])
            self.send(peer, ["world", *self._brief()])

    def _on_pass(self, peer: str, now: float, ip: str, message: list) -> None:
        """A front that can't reach us speaks by way of another; the answers go back by the same way."""
        front = name("span", ip)
        self.helpers[front] = peer
        do = {"front": self._on_front, "ask": self._on_ask, "need": self._on_need,
              "draw": self.allocation.on_draw}.get(message[0])
        if do is not None:
            do(front, now, *message[1:])

    def _brief(self) -> list:
        w = self.world
        return [w["rev"], w["version"], w["digest"], w["evac"], w["term"]]

    def _on_ask(self, peer: str, now: float, number: int, ready: bool, heard: int, want: list, version: int) -> None:
        """A front's ask: for its lease, and by `want` for its parts; `heard` acknowledges changes of the list."""
        if self.contact.late(now):
            return      # it may be of long ago; a front asks twice a second
        if (about := self.about.get(peer)) is None:
            return self.send(peer, ["who"])
        self.members.update(ip_of(peer), about["address"], about["zone"], about["region"], about["life"], ready,
                          version, 0.0, now, True)
        self.fronts[peer] = heard
        self.asks.append((peer, now, number))
        self._read(now)
        if want:
            self.allocation.forward_request(now, [ip_of(peer), about["life"], about["region"], number, *want])

    def _take_figures(self) -> None:
        """Go by the configuration that is newest here, if it is here."""
        digest = self.world["digest"]
        if digest != self.allocation.parameters.digest and (data := self.contents.get(digest)) is not None:
            configuration = config_versions.json.loads(zlib.decompress(data))
            self.directory.homes = home_regions_by_host(configuration)
            self.allocation.parameters = AllocationParameters.from_configuration(digest, configuration)

    def read_for_itself(self, now: float) -> None:
        """A read that no front waits for."""
        self._read(now, own=True)

    def _read(self, now: float, own: bool = False) -> None:
        """One read of the newest at a time, paced; it serves all asks that came before it began.

        Each read asks a majority in other regions: with many fronts one would follow the other.
        """
        if self.reading is None and (own or self.asks and now - self.read_begun >= READ_PAUSE):
            self.tokens += 1
            asks, self.asks = self.asks, []
            self.read_begun = now
            self.reading = (self.tokens, now + READ_AGAIN, asks)
            self.send(self.store, ["read", self.tokens])

    def _on_newest(self, peer: str, now: float, token: int, world: dict | None) -> None:
        if world is not None:
            self._on_world(peer, now, world)
        if (held := self.calls.get(token)) is not None:
            del self.calls[token]
            held.then([world])
        if self.reading is None or self.reading[0] != token:
            return
        asks, began, self.reading = self.reading[2], self.reading[1] - READ_AGAIN, None
        if world is not None:
            self.read_at = max(self.read_at, began)
            for front, _, number in asks:
                self.send(front, ["lease", number, *self._brief()])
        self._read(now)

    def _on_world(self, peer: str, now: float, world: dict) -> None:
        if self.world and world["rev"] <= self.world["rev"]:
            return
        for zone in set(self.world["evac"] if self.world else ()) - set(world["evac"]):
            self.cold.restored_at[zone] = now
        was = self.world.get("digest", "")
        moved = not self.world or self.core != {**world["ready"], **world["voters"]}
        self.world = world
        self.allocation.on_world(world["term"], now)
        if was in ("", self.allocation.parameters.digest) and world["digest"] != self.allocation.parameters.digest:
            self.allocation.outdated_since = now
        if world["digest"] and world["digest"] not in self.contents:
            self.want_at = now + WANT_AGAIN
            self.send(self.store, ["want", world["digest"]])
        else:
            self._take_figures()
        for front in self.fronts:
            if moved:
                self.send(front, ["core", self.core, self.world["rev"]])
            self.send(front, ["world", *self._brief()])

    def _on_content(self, peer: str, now: float, digest: str, data: bytes) -> None:
        self.contents[digest] = data
        while len(self.contents) > 4:
            self.contents.pop(next(iter(self.contents)))
        if self.world and digest == self.world["digest"]:
            self._take_figures()
        for _, then in self.wants.pop(digest, ()):
            then()

    def with_content(self, digest: str, now: float, then: Callable[[], None]) -> None:
        if digest in self.contents:
            return then()
        self.wants.setdefault(digest, []).append((now, then))
        self.send(self.store, ["want", digest])

    def _on_need(self, peer: str, now: float, digest: str) -> None:
        """A front asks for a configuration."""
        self.with_content(digest, now, lambda: self.send(peer, ["content", digest, self.contents[digest]]))

    # Clients

    def _call_resolve(self, asking: Asking, now: float) -> None:
        zone = asking.query.get("availability_zone", "")
        region = asking.query.get("region") or self.regions.get(zone, "")
        told = self.directory.resolve(asking.query.get("name", ""), zone, region, self.whole_since, now)
        self.out += told.violations
        if not told.addresses:
            return self.answer(asking, fault(503, "no front is ready"))
        self.answer(asking, Reply(200, {"addresses": told.addresses, "ttl_s": told.ttl}))

    def _on_changed(self, peer: str, now: float, token: int, status: int, reason: str, world: dict | None) -> None:
        if world is not None:
            self._on_world(peer, now, world)
        if status not in (200, 503):
            self.out.append(Note("REFUSED", {"reason": reason}))
        if self.allocation.term_request is not None and token == self.allocation.term_request[0]:
            self.allocation.term_numbered(status, world, now)
            if status == 200:
                return
        self.allocation.enrollment.proposal_answered(token, status)
        if (held := self.calls.pop(token, None)) is not None:
            held.then([status, reason])
