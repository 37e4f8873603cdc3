"""The fleet's part of a running ingress: asks keepers and peers, carries out what `version_lease.py` says.

Loaded only where the operator file has a `fleet` section.  Nothing is decided here.  The gate that the host asks
before each send is a look at one clock.
"""

from __future__ import annotations

import asyncio
import base64
import json
import pickle
import random
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING
from zlib import crc32

import structlog

from fennelpoint import interface as api
from fennelpoint.component import Component, IngressContext
from fennelpoint.fleet import audit, logs, plan_parameters, state, version_contents
from fennelpoint.fleet.disk_ring_buffer import Ring
from fennelpoint.fleet.rpc import CallFailed, Line, Service
from fennelpoint.fleet.version_lease import Act, Action, Admit, Fetch, Licence, PeerWord, Shut, Told
from fennelpoint.lifecycle import Event
from fennelpoint.operator_config import FleetSection, address_of
from fennelpoint.validation_errors import Fault, FaultyFile

if TYPE_CHECKING:
    from fennelpoint.routes.table import RouteTable

FIRST = 0.3         # s between calls until a licence's life is known; then a quarter of that
SUSPECT = 2.0       # s that a keeper which did not answer is asked after the others
MARK = 0.5          # s between two marks of the audit: what a kill may lose of it
REFETCH = 0.5       # s until a content that could not be had is asked for again
MOST_PEERS = 64     # calls to peers at a time
TELL = 1            # peers that are behind, told at a time
log = structlog.get_logger("larchwing.fleet")


def steady() -> float:
    """Seconds of a clock that counts while the process, or the machine, is stopped."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class Ready:
    """A content that was checked and can be gone over to at once."""

    content: version_contents.Content
    data: bytes
    plans: list[api.Plan]
    table: RouteTable | None = None


class FleetPart(Component):
    """One process of an ingress in its fleet."""

    def __init__(self, ingress: IngressContext, section: FleetSection) -> None:
        logs.configure()
        config, settings = ingress.config, ingress.config.settings
        self.ingress, self.section, self.name, self.loop = ingress, section, config.name, ingress.loop
        self.life = secrets.token_hex(6)
        zone = settings.zones[settings.zone] if settings.zone < len(settings.zones) else str(settings.zone)
        self.member = state.Member(settings.me, zone, section.advertise or section.listen)
        self.licence = Licence(self.name)
        self.own_plans, self.own_table = list(settings.plans), None
        self.plans, self.stamp, self.mixed = self.own_plans, 0, False
        self.calm_at = 0.0      # when the counter's word counts again after other figures came
        plan_parameters.attach(ingress.host.controller)
        self.ready: dict[str, Ready] = {"": Ready(version_contents.EMPTY, b"", self.own_plans)}
        self.acting: Ready = self.ready[""]
        self.keepers = {name: Line(*address) for name, address in map(address_of, section.keepers)}
        self.suspect: dict[str, float] = {}
        self.given = dict(map(address_of, section.peers))
        self.peers: dict[str, Line] = {}
        self.turn = random.randrange(1 << 20)
        self.passing: dict[str, tuple[float, dict]] = {}    # words of peers that hear no keeper, and when they came
        self.soon = asyncio.Event()
        self.service = Service("fleet", self.handle)
        self.tasks: list[asyncio.Task] = []
        self.time = audit.FleetTime()
        self.book = audit.Book(self.name, self.life, self.member.number, zone)
        self.before: list[audit.Span] = []      # of the life before, from its ring
        self.ring: Ring | None = None
        self.folder = Path(section.folder) if section.folder else None
        self.origin = "{}/{}:{}".format(_boot_id(), *config.listen)
        self.kept = 0           # the revision that is on disk
        self.last_renewed, self.trouble, self.refused = 0.0, "", ""
        self.cells = ingress.host.cells
        ingress.life_cycle.handle(Event.BAR, time.monotonic())
        ingress.host.may_send = self.may_send
        ingress.host.post(api.Barred(True))
        self.peer_calls: dict[str, Callable] = {
            "peer": self._say, "content": self._content, "tell": self._told, "status": self._status,
            "spans": self._spans}

    def may_send(self) -> bool:
        """The gate: right before each send, by a clock that counts while we are stopped."""
        if self.licence.valid(now := steady()):
            return True
        self._do(self.licence.look(now))
        return False

    # Beginning and end

    async def start(self) -> None:
        if self.folder is not None:
            self._restore()
        reader = self.ingress.server.reader
        self.own_table = getattr(reader, "table", None)
        _, (host, port) = address_of("=" + self.section.listen)
        await self.service.listen(host, port, reuse_port=self.ingress.config.inherited_socket is not None)
        self.tasks = [asyncio.ensure_future(loop) for loop in (self._renew_on(), self._mark_on())]

    def close(self) -> None:
        self.book.end("the process ends", self.time.at(steady()))
        self._note()
        for task in self.tasks:
            task.cancel()
        self.service.close()
        for line in (*self.keepers.values(), *self.peers.values()):
            line.close()
        if self.ring is not None:
            self.ring.close()

    @property
    def others(self) -> int:
        """Further processes of this ingress that live."""
        twins = self.ingress.components.get("twins")
        return len(twins.registry.live_generations()) if twins is not None else 0

    def _restore(self) -> None:
        """What the life before left; what can't be used is set aside with one line."""
        try:
            (self.folder / "contents").mkdir(parents=True, exist_ok=True)
        except OSError as error:
            log.error("no folder", ingress=self.name, why=f"{self.folder}: {error.strerror}")
            self.folder = None
            return
        self.ring = Ring(self.folder / f"{self.name}.audit")
        lines, gap = self.ring.read()
        if gap:
            log.error("gap in the audit", ingress=self.name, why=gap)
        spans = []
        for line in lines:
            try:
                spans.append(audit.span_of(json.loads(line)))
            except ValueError:
                continue
        self.before = audit.newest(spans)[-100:]
        path = self.folder / f"{self.name}.state"
        try:
            check, _, text = path.read_bytes().partition(b" ")
            if check != b"%08x" % crc32(text):
                raise ValueError("it is torn")
            value = json.loads(text)
            if value["name"] != self.name:
                raise ValueError(f"it is of {value['name']!r}")
            fleet = state.read(value["fleet"])
            same_boot = value["boot"] == _boot_id()
            self.licence.restored(fleet, int(value["revision"]), int(value["acting"]), same_boot)
        except FileNotFoundError:
            return
        except (OSError, ValueError, KeyError, TypeError) as error:
            log.error("state set aside", ingress=self.name, file=str(path), why=str(error))
            _quietly(lambda: path.rename(path.with_suffix(".bad")))
            return
        for digest in {fleet.target.digest, fleet.version.digest, str(value.get("digest", ""))}:
            if digest:
                self._take_data(digest, self._on_disk(digest))

    def _on_disk(self, digest: str) -> bytes | None:
        try:
            return (self.folder / "contents" / digest).read_bytes() if self.folder is not None else None
        except OSError:
            return None

    def _write(self, path: Path, data: bytes) -> bool:
        """Whole or not at all; a full disk is told, and changes nothing.

        Not synced: this is for a process that is killed.  After a crash of the machine nothing rests on it, as
        the boot's id is in it, and our loop never waits for a disk.
        """
        draft = path.with_suffix(".draft")
        try:
            with draft.open("wb") as file:
                file.write(data)
            draft.rename(path)
            return True
        except OSError as error:
            log.error("not written", ingress=self.name, file=str(path), why=error.strerror)
            return False

    def _keep_state(self) -> None:
        if self.folder is not None and self.licence.fleet is not None:
            licence = self.licence
            text = json.dumps({"name": self.name, "boot": _boot_id(), "acting": licence.acting,
                               "revision": licence.revision,
                               "digest": licence.digest, "fleet": licence.fleet.value()}).encode()
            self.kept = self.licence.revision
            path = self.folder / f"{self.name}.state"
            if not self._write(path, b"%08x %b" % (crc32(text), text)):
                _quietly(path.unlink)   # what is older than our word must not be gone by after a restart

    # Asking

    def _life_s(self) -> float:
        fleet = self.licence.fleet
        return fleet.bounds.licence_s if fleet is not None else 4 * FIRST

    async def _renew_on(self) -> None:
        while True:
            try:
                if not await self._renew():
                    await self._ask_peers()
            except Exception as error:  # guards the one loop that keeps us in service
                log.error("renewing failed", ingress=self.name, why=repr(error))
            now, every = steady(), self._life_s() / 4
            self._do(self.licence.look(now))
            wait = min(every, max(0.02, self.licence.until - now)) * random.uniform(0.7, 1.0)
            self.soon.clear()
            try:
                await asyncio.wait_for(self.soon.wait(), wait if self.licence.valid(now) else every / 2)
            except TimeoutError:
                pass

    async def _renew(self) -> bool:
        """One keeper's answer, each keeper in turn, those that did not answer lately last."""
        names, now = list(self.keepers), steady()
        self.turn += 1
        order = sorted(names, key=lambda n: (self.suspect.get(n, 0.0) > now,
                                             (names.index(n) - self.turn) % len(names)))
        for name in order:
            if await self._renew_by(name):
                return True
        return False

    def _word(self) -> dict:
        fleet, licence = self.licence.fleet, self.licence
        coming = fleet.coming.digest if fleet is not None and fleet.coming is not None else ""
        return {"name": self.name, "life": self.life, "origin": self.origin, "number": self.member.number,
                "zone": self.member.zone, "address": self.member.address, "others": self.others,
                "acting": licence.acting, "prepared": coming if coming in licence.ready else "",
                "fault": licence.fault, "phase": self.ingress.life_cycle.phase.value, "revision": licence.revision,
                "record": fleet.record if fleet is not None else ""}

    def _relayed(self) -> list[dict]:
        """What peers that hear no keeper said to us, each with the most time that may have passed since."""
        now, life = steady(), self._life_s()
        self.passing = {n: (at, word) for n, (at, word) in self.passing.items() if now - at < life}
        return [{**word, "age": now - at + life / 6} for at, word in list(self.passing.values())[:MOST_PEERS]]

    async def _renew_by(self, name: str) -> bool:
        spans = [*self.before[:50], *self.book.due(name)]
        asked = steady()
        try:
            answer = await self.keepers[name].call("renew", max(0.1, self._life_s() / 6), **self._word(),
                                                   spans=[s.value() for s in spans], relayed=self._relayed())
            heard = steady()
            fleet = state.read(answer["fleet"]) if "fleet" in answer else self.licence.fleet
            left, revision, clock = float(answer["left"]), int(answer["revision"]), float(answer["clock"])
        except (CallFailed, state.Refused, ValueError, KeyError, TypeError) as error:
            self.suspect[name] = steady() + SUSPECT
            self.trouble = f"keeper {name}: {error}"
            return False
        self.suspect.pop(name, None)
        self.time.read(asked, clock, heard)
        self.book.took(name, [s for s in spans if s.life == self.life])
        if self.refused != answer["refused"]:
            self.refused = answer["refused"]
            if self.refused:
                log.warning("no licence", ingress=self.name, keeper=name, why=self.refused)
        self._do(self.licence.granted(name, fleet, revision, left, asked, heard))
        if self.licence.revision != self.kept:  # before the next word says that we know it
            self._keep_state()
        if self.licence.until > heard:  # else it was for another record, or for a version that we don't have
            self.last_renewed, self.trouble = heard, ""
        behind = [n for n in answer.get("behind", []) if n != self.name]
        for peer in random.sample(behind, min(TELL, len(behind))):
            self.tasks.append(asyncio.ensure_future(self._tell(peer)))
        return self.licence.until - heard > self._life_s() / 2

    def _peer_lines(self) -> dict[str, Line]:
        fleet = self.licence.fleet
        known = {name: address_of("=" + m.address)[1] for name, m in fleet.members.items()} if fleet else {}
        for name, address in {**known, **self.given}.items():
            line = self.peers.get(name)
            if name != self.name and (line is None or line.address != address):
                if line is not None:
                    line.close()
                self.peers[name] = Line(*address)
        for name in set(self.peers) - set(known) - set(self.given):
            self.peers.pop(name).close()
        return self.peers

    async def _ask_peers(self) -> None:
        """All peers at once: what they go by, and what is left of their licences."""
        lines = self._peer_lines()
        names = random.sample(sorted(lines), len(lines))
        for at in range(0, len(names), MOST_PEERS):
            await asyncio.gather(*(self._ask_peer(name, lines[name]) for name in names[at:at + MOST_PEERS]))

    async def _ask_peer(self, name: str, line: Line) -> None:
        asked, fleet = steady(), self.licence.fleet
        try:
            answer = await line.call("peer", max(0.1, self._life_s() / 6), **self._word())
            newer = state.read(answer["fleet"]) if "fleet" in answer else None
            word = PeerWord(str(answer["name"]), int(answer["acting"]), float(answer["left"]),
                            answer["firm"] is True, int(answer["revision"]), newer)
            if word.name != name:
                raise ValueError(f"{word.name} answers in place of {name}")
        except (CallFailed, state.Refused, ValueError, KeyError, TypeError):
            return
        if newer is None and (fleet is None or answer["record"] != fleet.record):
            return
        self._do(self.licence.heard(word, asked, steady()))

    async def _tell(self, name: str) -> None:
        """One that keepers say is behind, by way of us."""
        line, fleet = self._peer_lines().get(name), self.licence.fleet
        if line is None or fleet is None:
            return
        try:
            await line.call("tell", 1.0, revision=self.licence.revision, fleet=fleet.value(), name=self.name)
        except CallFailed:
            pass

    async def _fetch(self, digest: str) -> None:
        """A content, or why there is none: then it is asked for again after a while."""
        try:
            fault = await self._get(digest)
        except Exception as error:  # guards the version that is coming: a fetch that is lost would end it here
            fault = repr(error)
        if fault:
            await asyncio.sleep(REFETCH)
            self._do(self.licence.failed(digest, fault, steady()))

    async def _get(self, digest: str) -> str:
        """From any keeper, else from any peer; checked whole.  Empty once it is at hand."""
        data = self._on_disk(digest)
        lines = [*self.keepers.values(), *random.sample(list(self._peer_lines().values()), len(self.peers))]
        fault = "nobody who was asked has it"
        for line in lines if data is None else ():
            try:
                answer = await line.call("content", max(0.5, self._life_s() / 3), digest=digest)
                data = base64.b64decode(answer["data"])
                break
            except (CallFailed, ValueError, KeyError, TypeError) as error:
                fault = str(error)
        if data is None:
            return fault
        table = None
        try:
            content = version_contents.unpack(data, digest)
            if content.routes:
                table = await self._read_routes(content)
        except FaultyFile as error:
            return str(error.faults[0])
        return self._take_data(digest, data, table)

    async def _read_routes(self, content: version_contents.Content) -> RouteTable:
        """The description, read by a process of its own; raises FaultyFile."""
        routes = self.ingress.components.get("routes")
        if routes is None:
            raise FaultyFile([
                Fault(version_contents.ROUTES, 0, "", "routes are off here: the operator file has none")])
        from fennelpoint.routes import worker
        from fennelpoint.routes.table import RouteTable

        pipe, section = asyncio.subprocess.PIPE, routes.routes
        path = Path(section.description).with_name(f".fleet-{content.digest[:12]}.yaml")
        try:
            path.write_text(content.routes, encoding="utf-8")
            process = await asyncio.create_subprocess_exec(
                *worker.command(str(path), section.load_memory_mb, section.load_timeout_s), stdin=pipe,
                stdout=pipe, stderr=pipe, start_new_session=True)
            output, errors = await process.communicate(pickle.dumps(self.ingress.config.settings))
            end = worker.outcome(version_contents.ROUTES, process.returncode, output, errors)
        except OSError as error:
            raise FaultyFile([
                Fault(version_contents.ROUTES, 0, "", f"it can't be read here: {error.strerror}")]) from None
        finally:
            path.unlink(missing_ok=True)
        if end.faults:
            raise FaultyFile(list(end.faults))
        table = RouteTable()
        for chunk in end.chunks:
            table.add(pickle.loads(chunk))
            await asyncio.sleep(0)
        return table

    def _take_data(self, digest: str, data: bytes | None, table: RouteTable | None = None) -> str:
        """A content that may be gone over to; what is wrong with it, and nothing changes."""
        if data is None:
            return "it is not on disk"
        try:
            content = version_contents.unpack(data, digest)
            if content.cells is not None and self.cells is None:
                raise FaultyFile([
                    Fault(version_contents.CELLS, 0, "", "cells are off here: the operator file has none")])
            if content.routes and table is None:
                return ""   # from disk: read by the usual way once it is wanted
            plans = version_contents.figures(self.own_plans, content)
        except FaultyFile as error:
            return str(error.faults[0])
        self.ready[digest] = Ready(content, data, plans, table)
        if self.folder is not None:
            self._write(self.folder / "contents" / digest, data)
        self._do(self.licence.prepared(digest, steady()))
        self.soon.set()
        return ""

    # Carrying out

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Fetch():
                    self.tasks = [task for task in self.tasks if not task.done()]
                    self.tasks.append(asyncio.ensure_future(self._fetch(action.digest)))
                case Act():
                    self._act(action)
                case Shut():
                    self.ingress.life_cycle.handle(Event.BAR, time.monotonic())
                    self.ingress.host.post(api.Barred(True))
                    self._turn(audit.OUT, action.why)
                    log.error("shut out", ingress=self.name, why=action.why)
                    self.ingress.check_shutdown()
                case Admit():
                    self.ingress.life_cycle.handle(Event.ADMIT, time.monotonic())
                    self.ingress.host.post(api.Barred(False))
                    self._turn(self.licence.acting, f"licensed by {action.why}")
                    log.info("admitted", ingress=self.name, version=self.licence.acting, by=action.why)
                case Told():
                    (log.error if action.loud else log.info)("fleet", ingress=self.name, why=action.text)

    def _act(self, act: Act) -> None:
        """Go over to a version, whole, between two requests."""
        new, before = self.ready[act.digest], self.acting
        if self.cells is not None and new is not before:
            plan = new.content.cells
            self.cells.fleet_version = act.number if plan is not None else 0
            self.cells.apply(replace(plan, version=act.number) if plan is not None else self.ingress.config.cell_plan)
        routes = self.ingress.components.get("routes")
        if routes is not None and new is not before:
            self.ingress.server.reader.take(new.table if new.table is not None else self.own_table)
            routes.is_fleet_managed = new.table is not None
        # While the version before may still be acted on, the smaller of both figures holds.
        old = self.ready.get(self.licence.fleet.version.digest) if act.mixed else new
        self._go_by(version_contents.least(old.plans, new.plans) if old is not None else new.plans, act.mixed)
        self.acting = new
        for digest in [d for d in self.ready if d and d not in self.licence.ready]:
            del self.ready[digest]
        if self.licence.open and (self.book.open is None or self.book.open.version != act.number):
            self._turn(act.number, act.why)
        self._keep_state()
        log.info("acts", ingress=self.name, version=act.number, why=act.why)
        self.soon.set()

    def _go_by(self, plans: list[api.Plan], mixed: bool) -> None:
        """These figures; the counter's word counts once nobody can go by others."""
        if plans != self.plans:
            stamp = 0 if plans == self.own_plans else 1 + crc32(repr(plans).encode()) % 1000
            self.plans, self.stamp, self.mixed = plans, stamp, True
            if not mixed:   # in force: those that have not heard of it go by the others for a licence's life
                self.calm_at = steady() + 1.05 * self._life_s()
        elif self.mixed and not mixed and not self.calm_at:
            self.mixed = False
        else:
            return
        self.ingress.host.post(api.PlansChanged(self.plans, self.stamp, self.mixed))

    def sweep(self) -> None:
        if self.calm_at and steady() >= self.calm_at:
            self.calm_at, self.mixed = 0.0, False
            self.ingress.host.post(api.PlansChanged(self.plans, self.stamp, False))
        if self.licence.open:
            self.may_send()

    # The audit

    def _turn(self, version: int, why: str) -> None:
        self.book.alone = self.others == 0
        self.book.turn(version, why, self.time.at(steady()))
        self._note()

    def _note(self) -> None:
        if self.ring is not None:
            for span in list(self.book.spans.values())[-2:]:
                self.ring.add(json.dumps(span.value()).encode())

    async def _mark_on(self) -> None:
        while True:
            await asyncio.sleep(MARK)
            if (span := self.book.mark(self.time.at(steady()))) is not None and self.ring is not None:
                self.ring.add(json.dumps(span.value()).encode())

    # Calls of peers and of people

    async def handle(self, call: dict) -> dict:
        if (answer := self.peer_calls.get(call["do"])) is None:
            raise ValueError(f"there is no call {call['do'][:40]!r}")
        return answer(call)

    def _say(self, call: dict) -> dict:
        licence, fleet, now = self.licence, self.licence.fleet, steady()
        if fleet is not None and call["name"] in fleet.members:
            before = self.passing.get(call["name"])
            self.passing[call["name"]] = now, {k: v for k, v in call.items() if k not in ("do", "id")}
            if before is None or any(before[1][k] != call[k] for k in ("acting", "prepared")):
                self.soon.set()     # keepers wait for just that
        answer = {"name": self.name, "acting": licence.acting, "left": licence.until - now,
                  "firm": licence.firm, "revision": licence.revision, "record": fleet.record if fleet else ""}
        if fleet is not None and (call["record"] != fleet.record or call["revision"] < licence.revision):
            answer["fleet"] = fleet.value()
        return answer

    def _content(self, call: dict) -> dict:
        ready = self.ready.get(str(call["digest"]))
        if ready is None or not ready.data:
            raise ValueError(f"{self.name} does not have that content")
        return {"data": base64.b64encode(ready.data).decode()}

    def _told(self, call: dict) -> dict:
        """A peer tells us what is agreed: we ask for a licence at once."""
        word = PeerWord(str(call["name"]), -1, 0.0, False, int(call["revision"]), state.read(call["fleet"]))
        self._do(self.licence.heard(word, steady(), steady()))
        self.soon.set()
        return {}

    def _status(self, call: dict) -> dict:
        licence, now = self.licence, steady()
        return {**self._word(), "open": licence.open, "left": licence.until - now,
                "static_left": licence.static_until - now, "source": licence.source, "trouble": self.trouble,
                "refused": self.refused, "foreign": licence.foreign, "reason": licence.reason(now),
                "renewed": now - self.last_renewed if self.last_renewed else -1.0, "mixed": licence.mixed,
                "roster": len(self.ingress.discovery.known_addresses), "figures_mixed": self.mixed}

    def _spans(self, call: dict) -> dict:
        return {"spans": [s.value() for s in (*self.before, *self.book.spans.values())]}


def _boot_id() -> str:
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return "unknown"


def _quietly(act: Callable[[], object]) -> None:
    try:
        act()
    except OSError:
        pass
