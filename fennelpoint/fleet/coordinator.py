"""One keeper: a process that holds the record, gives licences by it and gathers the audit.

Thin: `register.py` and `consensus.py` agree, `rollout.py` decides which step is due, `state.py` what it does.  It
carries no request and no charge: with all keepers gone the ingresses go on as they were.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import secrets
import signal
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

import structlog

from fennelpoint.fleet import audit, logs, state, version_contents
from fennelpoint.fleet.consensus import (
    MAX_VALUE_BYTES,
    EmbeddedRegister,
    Register,
    VersionedValue,
    decode_message,
    encode_answer,
)
from fennelpoint.fleet.register import Acceptor, majority
from fennelpoint.fleet.rollout import Conductor, Step, Word
from fennelpoint.fleet.rpc import CallFailed, Line, Service, call_once
from fennelpoint.fleet.store import Store
from fennelpoint.operator_config import Keeper as Section
from fennelpoint.operator_config import address_of, read_operator
from fennelpoint.validation_errors import Fault, FaultyFile

LOOK = 0.1          # s between two reads of the record
GOSSIP = 0.25       # s between two words of the other keepers
IDLE = 10.0         # s without a call after which the record is read once a second
FLUSH = 0.5         # s that spans of the audit may wait for the disk
AGAIN = 0.5         # s between two tries to found a record, or to vote again
MOST_BEHIND = 8     # stragglers named in an answer: whoever hears of one tells it, too
TRIES = 6           # of a change that others came before
log = structlog.get_logger("larchwing.keeper")


def steady() -> float:
    """Seconds of a clock that counts while the process, or the machine, is stopped."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class Base:
    """The record as it was when a read of it began."""

    at: float
    revision: int
    fleet: state.Fleet
    value: dict


class KeeperService:
    """Answers ingresses, other keepers and people."""

    def __init__(self, section: Section, name: str, founding: state.Fleet | None = None,
                 register: Register | None = None) -> None:
        """`founding` begins a record.  Raises OSError where the folder can't be used."""
        self.name, self.section, self.founding = name, section, founding
        peers = dict(address_of(one) for one in section.keepers)
        self.address = peers.pop(name)
        self.store = Store(Path(section.folder), name)
        self.embedded = EmbeddedRegister(self.store, peers) if register is None else None
        self.register: Register = register or self.embedded
        if register is not None and not self.store.acceptor.incarnation:
            self.store.replace_state(Acceptor(name, 1, True, {}, {}))     # it holds contents and spans only
        self.peers = peers
        self.conductor = Conductor()
        self.base: Base | None = None
        self.joining: dict[str, state.Member] = {}
        self.refused: dict[str, str] = {}       # of joins
        self.trouble = "it has not read the record yet"
        self.called_at = 0.0
        self.spans_due: dict[tuple[str, str, int], str] = {}    # not on disk yet: for FLUSH at most
        self.flushed_at = 0.0
        self.late: tuple[float, list[str]] = (0.0, [])
        self.service = Service("keeper", self.handle)
        self.tasks: list[asyncio.Task] = []
        self.calls = {"renew": self.renew, "read": self.read, "publish": self.publish, "step": self.step,
                      "content": self.content, "keep_content": self.keep_content, "words": self.words,
                      "spans": self.spans, "status": self.status, "glance": self.glance, "get": self.get,
                      "set": self.set}

    async def start(self) -> tuple[str, int]:
        at = await self.service.listen(*self.address)
        self.tasks = [asyncio.ensure_future(loop) for loop in (self._look_on(), self._gossip_on())]
        return at

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.service.close()
        self._flush(steady())
        if self.embedded is not None:
            self.embedded.close()
        self.store.close()

    async def handle(self, call: dict) -> dict:
        if self.embedded is not None and (message := decode_message(call)) is not None:
            return encode_answer(self.embedded.handle_message(message))
        if (answer := self.calls.get(call["do"])) is None:
            raise ValueError(f"there is no call {call['do'][:40]!r}")
        return await answer(call)

    # What goes on by itself

    async def _look_on(self) -> None:
        while True:
            try:
                await self._look()
                self.trouble = ""
            except (CallFailed, state.Refused) as error:
                if str(error) != self.trouble:
                    log.warning("no record", keeper=self.name, why=str(error))
                self.trouble = str(error)
            quiet = steady() - self.called_at > IDLE and (self.base is None or self.base.fleet.coming is None)
            await asyncio.sleep(1.0 if quiet and not self.trouble else LOOK * random.uniform(0.8, 1.2))

    async def _look(self) -> None:
        if self.embedded is not None and not self.embedded.can_vote:
            why = await (self.embedded.rejoin() if self.founding is None else self.embedded.found_record())
            if why:
                await asyncio.sleep(AGAIN)
                raise CallFailed(f"keeper {self.name} has no vote: {why}")
        begun = steady()
        if self.spans_due and begun - self.flushed_at > FLUSH:
            self._flush(begun)
        held = await self.register.read(state.KEY)
        if held.revision == 0:
            if self.founding is None:
                raise CallFailed("there is no record yet: a keeper is to be started with --found")
            await self.register.change(state.KEY, 0, self.founding.value(), f"found {self.founding.record}")
            return
        self._take(held, begun)
        if self.joining:
            await self._join()
        fleet = self.base.fleet
        if (step := self.conductor.look(fleet, self.base.revision, steady())) is not None:
            await self._propose(step)

    def _take(self, held: VersionedValue, begun: float) -> None:
        if self.base is not None and held.revision == self.base.revision:
            self.base.at = max(self.base.at, begun)
        elif self.base is None or held.revision > self.base.revision:
            self.base = Base(begun, held.revision, state.read(held.data), held.data)

    def _flush(self, now: float) -> None:
        self.flushed_at, due, self.spans_due = now, self.spans_due, {}
        self.store.add_spans(due)

    async def _join(self) -> None:
        """Those that asked, in one change."""
        joining, self.joining = self.joining, {}

        def add(fleet: state.Fleet) -> state.Fleet:
            for name, member in sorted(joining.items()):
                try:
                    fleet = state.join(fleet, {name: member})
                    self.refused.pop(name, None)
                except state.Refused as error:
                    self.refused[name] = str(error)
                    log.warning("join refused", ingress=name, why=str(error))
            return fleet

        await self._change(add, secrets.token_hex(8))

    async def _propose(self, step: Step) -> None:
        take = {"close": lambda fleet: state.close(fleet, step.number),
                "enforce": lambda fleet: state.enforce(fleet, step.number),
                "halt": lambda fleet: state.halt(fleet, step.number, step.why), "level": state.level}[step.what]
        try:    # the same id at every keeper: whoever comes second finds it done
            await self._change(take, f"{step.what} {step.number}")
        except state.Refused:
            return      # another keeper took it
        log.info(step.what, keeper=self.name, version=step.number, **({"why": step.why} if step.why else {}))

    async def _change(self, step: Callable[[state.Fleet], state.Fleet], change_id: str) -> VersionedValue:
        """The record after the step; raises Refused where it can't be taken, CallFailed where nobody knows."""
        for _ in range(TRIES):
            begun = steady()
            held = await self.register.read(state.KEY)
            if held.revision == 0:
                raise CallFailed("there is no record yet")
            fleet = state.read(held.data)
            self._take(held, begun)
            if change_id in held.change_ids:
                return held     # made before, and the answer was lost
            value = step(fleet).value()
            if value == held.data:
                return held
            if len(json.dumps(value)) > MAX_VALUE_BYTES:
                raise state.Refused(f"the record would be larger than {MAX_VALUE_BYTES} bytes")
            revision = await self.register.change(state.KEY, held.revision, value, change_id)
            if revision is not None:
                made = VersionedValue(revision, value) if revision == held.revision + 1 else await self.register.read(
                    state.KEY)
                if revision == held.revision + 1:
                    self._take(made, steady())
                return made
        raise CallFailed(f"{TRIES} tries of a change, and others came before each")

    async def _gossip_on(self) -> None:
        """What the processes said to the other keepers, and contents and spans that these have."""
        lines = {name: Line(*address) for name, address in self.peers.items()}
        try:
            while True:
                busy = self.base is not None and self.base.fleet.coming is not None
                await asyncio.sleep(GOSSIP if busy else 4 * GOSSIP)
                for line in lines.values():
                    try:
                        self._take_words(await line.call("words", 0.5))
                    except (CallFailed, ValueError, KeyError, TypeError):
                        continue
                    await self._fetch_missing(line)
        finally:
            for line in lines.values():
                line.close()

    def _take_words(self, answer: Mapping) -> None:
        now = steady()
        if self.base is None:
            return
        for fields in answer["words"]:
            word = _word(fields, now - float(fields["age"]))
            self.conductor.heard(word, self.base.fleet.bounds.licence_s)

    async def _fetch_missing(self, line: Line) -> None:
        if self.base is None:
            return
        for digest in self._digests():
            if digest and self.store.content(digest) is None:
                try:
                    data = base64.b64decode((await line.call("content", 5.0, digest=digest))["data"])
                except (CallFailed, KeyError, ValueError):
                    continue
                if version_contents.digest_of(data) == digest:
                    self.store.add_content(digest, data, time.time(), self._digests())

    def _digests(self) -> set[str]:
        if self.base is None:
            return set()
        fleet = self.base.fleet
        return {v.digest for v in (fleet.version, fleet.coming, *fleet.history) if v is not None}

    # Calls of ingresses

    async def renew(self, call: dict) -> dict:
        """What a process says of itself; a licence, and the record where it has changed."""
        now = self.called_at = steady()
        word = _word(call, now)
        spans = call.get("spans", [])
        for text in spans:
            span = audit.span_of(text)
            self.spans_due[span.ingress, span.life, span.seq] = json.dumps(text)
        if self.base is None:
            raise CallFailed(self.trouble or "it has not read the record yet")
        fleet = self.base.fleet
        left = self.base.at + fleet.bounds.licence_s - now
        refused = self.conductor.heard(word, fleet.bounds.licence_s)
        for fields in call.get("relayed", []):
            self.conductor.heard(_word(fields, now - float(fields["age"])), fleet.bounds.licence_s)
        if not refused and fleet.members.get(word.name) != word.member:
            self.joining[word.name] = word.member
            refused = self.refused.get(word.name, "") or "it joins the fleet"
        if left <= 0.0:
            refused = refused or self.trouble or "it has not read the record for long"
        answer = {"keeper": self.name, "clock": time.time(), "revision": self.base.revision,
                  "left": 0.0 if refused else left, "refused": refused, "took": len(spans)}
        if fleet.coming is not None:
            answer["behind"] = self._late(fleet, now)
        if call.get("revision") != self.base.revision or call.get("record") != fleet.record:
            answer["fleet"] = self.base.value
        return answer

    async def content(self, call: dict) -> dict:
        data = self.store.content(str(call["digest"]))
        if data is None:
            raise CallFailed(f"keeper {self.name} does not have that content")
        return {"data": base64.b64encode(data).decode()}

    async def keep_content(self, call: dict) -> dict:
        data = base64.b64decode(call["data"])
        if version_contents.digest_of(data) != call["digest"] or len(data) > version_contents.MOST:
            raise ValueError("the content is not what its digest says, or too large")
        self.store.add_content(call["digest"], data, time.time(), self._digests())
        return {}

    def _late(self, fleet: state.Fleet, now: float) -> list[str]:
        """Some of those that are behind, reckoned anew a few times a second."""
        if now - self.late[0] > LOOK:
            late = self.conductor.unprepared(fleet, now) if fleet.coming.state == state.OFFERED else (
                self.conductor.behind(fleet, now, fleet.coming.number))
            self.late = now, sorted(late)[:MOST_BEHIND]
        return self.late[1]

    # Calls of other keepers and of people

    def _all_words(self) -> list[Word]:
        return [word for lives in self.conductor.words.values() for word in lives.values()]

    async def words(self, call: dict) -> dict:
        now = steady()
        return {"words": [{"name": w.name, "life": w.life, "origin": w.origin, "number": w.member.number,
                           "zone": w.member.zone, "address": w.member.address, "acting": w.acting,
                           "prepared": w.prepared, "fault": w.fault, "others": w.others, "phase": w.phase,
                           "revision": w.revision,
                           "age": now - w.at} for w in self._all_words()]}

    async def read(self, call: dict) -> dict:
        """The record, as it was not before this call."""
        begun = steady()
        held = await self.register.read(state.KEY)
        if held.revision:
            self._take(held, begun)
        return {"revision": held.revision, "fleet": held.data}

    async def get(self, call: dict) -> dict:
        """Any other key of the record, as it was not before this call."""
        held = await self.register.read(_key(call))
        return {"revision": held.revision, "data": held.data}

    async def set(self, call: dict) -> dict:
        """Change it on its revision: the revision that was made, or 0 where another came first."""
        if len(json.dumps(call["data"])) > MAX_VALUE_BYTES:
            raise ValueError(f"the value is larger than {MAX_VALUE_BYTES} bytes")
        made = await self.register.change(_key(call), int(call["expect"]), call["data"], str(call["change"]))
        return {"revision": made or 0}

    async def glance(self, call: dict) -> dict:
        held = self.register.read_local(state.KEY)
        return {"revision": held.revision, "fleet": held.data, "old": True}

    async def spans(self, call: dict) -> dict:
        ingress = call.get("ingress")
        self._flush(steady())
        return {"keeper": self.name, "spans": [json.loads(text) for text in self.store.spans(ingress)],
                "rolled": self.store.rolled(ingress)}

    async def publish(self, call: dict) -> dict:
        """Check a content, put it where a majority of keepers has it, offer it as the next version."""
        files, change_id = call["files"], str(call["change"])
        try:
            content = version_contents.check(files)
        except FaultyFile as error:
            raise ValueError(str(error)) from None
        data = version_contents.pack(files)
        if len(data) > version_contents.MOST:
            raise ValueError(f"the content is larger than {version_contents.MOST} bytes")
        held = await self.register.read(state.KEY)
        self._take(held, steady())
        if self.base is None:
            raise CallFailed("there is no record yet")
        digest = self.base.fleet.version.digest
        kind = call.get("kind") or (state.TIGHTENING if digest == state.LOST else version_contents.kind(
            None, await self._content_of(digest), content))
        if kind not in (state.LOOSENING, state.TIGHTENING):
            raise ValueError(f"{kind!r} is neither {state.LOOSENING} nor {state.TIGHTENING}")
        await self._spread(content.digest, data)
        made = await self._change(lambda fleet: state.offer(fleet, content.digest, kind, str(call["who"])[:80],
                                                            str(call["why"])[:200]), change_id)
        fleet = state.read(made.data)
        mine = next((v for v in (fleet.coming, fleet.version, *fleet.history)
                     if v is not None and v.digest == content.digest), None)
        log.info("offered", version=mine.number if mine else 0, kind=kind, who=call["who"], why=call["why"])
        return {"number": mine.number if mine is not None else 0, "digest": content.digest, "kind": kind,
                "revision": made.revision}

    async def _content_of(self, digest: str) -> version_contents.Content:
        if not digest:
            return version_contents.EMPTY
        data = self.store.content(digest)
        if data is None:
            raise CallFailed(f"keeper {self.name} has not caught up with the content in force")
        return version_contents.unpack(data, digest)

    async def _spread(self, digest: str, data: bytes) -> None:
        self.store.add_content(digest, data, time.time(), self._digests())
        text = base64.b64encode(data).decode()
        have, most = 1, 1 + len(self.peers)
        calls = [asyncio.ensure_future(call_once(address, "keep_content", 5.0, digest=digest, data=text))
                 for address in self.peers.values()]
        for call in calls:
            call.add_done_callback(lambda call: call.cancelled() or call.exception())
        for call in asyncio.as_completed(calls):
            if have >= majority(most):
                return      # the rest have it later, or fetch it
            try:
                await call
                have += 1
            except CallFailed:
                pass
        if have < majority(most):
            raise CallFailed(f"{have} of {most} keepers took the content: too few")

    async def step(self, call: dict) -> dict:
        """Halt a version, or forget a member, by a person's word."""
        what, why = call["what"], f"{call['who']}: {call['why']}"
        if what == "halt":
            made = await self._change(lambda fleet: state.halt(fleet, int(call["number"]), why),
                                      str(call["change"]))
        elif what == "forget":
            name, now = str(call["name"]), steady()
            licence_s = self.base.fleet.bounds.licence_s if self.base is not None else 3.0
            if self.conductor.lives(name, now, licence_s):
                raise ValueError(f"{name} still calls: end its process first")
            made = await self._change(lambda fleet: state.forget(fleet, name), str(call["change"]))
        else:
            raise ValueError(f"there is no step {what!r}: halt and forget are known")
        log.info(what, by=call["who"], why=call["why"])
        return {"revision": made.revision}

    async def status(self, call: dict) -> dict:
        now, base = steady(), self.base
        answer = {"keeper": self.name, "votes": self.embedded.can_vote if self.embedded is not None else True,
                  "life": self.store.acceptor.incarnation, "trouble": self.trouble, "clock": time.time(),
                  "taken": dict(self.conductor.taken), "refused": dict(self.refused),
                  **(await self.words(call))}
        for entry in answer["words"]:
            entry["since"] = now - self.conductor.words[entry["name"]][entry["life"]].since
        if base is not None:
            answer |= {"revision": base.revision, "age": now - base.at, "fleet": base.value,
                       "held": self.conductor.held(base.fleet, now)}
        return answer


def _key(call: Mapping) -> str:
    """The fleet's own state is changed by its steps alone."""
    key = str(call["key"])
    if not key.startswith("x/") or len(key) > 64:
        raise ValueError(f"{key[:70]!r} is no key of 64 characters at most that begins with x/")
    return key


def _word(fields: Mapping, at: float) -> Word:
    """Raises ValueError, KeyError or TypeError where the fields are not a process's."""
    member = state.Member(int(fields["number"]), str(fields["zone"])[:64], str(fields["address"])[:128])
    name, life = str(fields["name"]), str(fields["life"])
    if not 0 < len(name) <= 64 or not 0 < len(life) <= 64:
        raise ValueError("a name and a life have 1 to 64 characters")
    return Word(name, life, str(fields["origin"])[:64], member, int(fields["acting"]),
                str(fields["prepared"])[:64], str(fields["fault"])[:300], at, int(fields["revision"]),
                int(fields.get("others", 0)), str(fields.get("phase", ""))[:16])


async def run(operator_file: str, name: str, founding: state.Fleet | None, say: Callable[[str], None]) -> None:
    """One keeper until SIGTERM.  Raises FaultyFile."""
    section = read_operator(operator_file).keeper
    if section is None:
        raise FaultyFile([Fault(operator_file, 0, "keeper", "the section is missing: it names the keepers")])
    names = [address_of(one)[0] for one in section.keepers]
    if name not in names:
        raise FaultyFile([Fault(operator_file, 0, "keeper.keepers",
                                f"there is no keeper {name!r}: {', '.join(names)} are named")])
    logs.configure()
    register = None
    if section.etcd:
        from fennelpoint.fleet.etcd import EtcdRegister

        register = EtcdRegister(section.etcd)
    try:
        keeper = KeeperService(section, name, founding, register)
        host, port = await keeper.start()
    except OSError as error:
        raise FaultyFile([Fault(operator_file, 0, "keeper", f"{error.filename or name}: {error.strerror}")]
                         ) from None
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    say(f"keeper {name} at {host}:{port}" + (f", founding {founding.record}" if founding else ""))
    await ended.wait()
    keeper.close()
