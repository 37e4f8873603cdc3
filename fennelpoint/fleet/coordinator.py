"""A coordinator ("keeper" in commands and settings): holds the record, grants leases and collects the audit.

It only connects the modules that decide: `register.py` and `consensus.py` agree on the record, `rollout.py` selects
the step that is due, `state.py` applies it.  No client request and no quota passes through it: if all keepers fail,
the ingresses continue as they were.
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
from fennelpoint.fleet.rollout import ProcessReport, RolloutController, Step
from fennelpoint.fleet.rpc import CallFailed, RpcClient, RpcServer, call_once
from fennelpoint.fleet.store import Store
from fennelpoint.operator_config import Keeper as Section
from fennelpoint.operator_config import address_of, read_operator
from fennelpoint.validation_errors import Fault, FaultyFile

READ_INTERVAL_S = 0.1       # between reads of the record
GOSSIP_INTERVAL_S = 0.25    # between requests for the reports that the other keepers have
IDLE_AFTER_S = 10.0         # without a call; afterwards, the record is read once a second
FLUSH_INTERVAL_S = 0.5      # maximum delay until spans of the audit are on disk
REJOIN_RETRY_S = 0.5        # between attempts to found a record or to rejoin
MAX_NAMED_BEHIND = 8        # members behind that an answer names; the recipient passes the state on to some
MAX_CHANGE_ATTEMPTS = 6     # of a change, when other changes come first
log = structlog.get_logger("larchwing.keeper")


def boottime_s() -> float:
    """Returns the seconds of a clock that also counts while the process or the machine is stopped."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class RecordRead:
    """The record as it was when a read of it began."""

    read_at: float
    revision: int
    fleet: state.Fleet
    value: dict


class KeeperService:
    """Answers the calls of ingresses, other keepers and operators."""

    def __init__(self, section: Section, name: str, founding: state.Fleet | None = None,
                 register: Register | None = None) -> None:
        """`founding` is the first state if this keeper may found a record; `register` replaces the embedded one.

        Raises OSError if the folder cannot be used.
        """
        self.name, self.section, self.founding = name, section, founding
        peers = dict(address_of(entry) for entry in section.keepers)
        self.address = peers.pop(name)
        self.store = Store(Path(section.folder), name)
        self.embedded_register = EmbeddedRegister(self.store, peers) if register is None else None
        self.register: Register = register or self.embedded_register
        if register is not None and not self.store.acceptor.incarnation:
            # The store then holds contents and spans only.
            self.store.replace_state(Acceptor(name, 1, True, {}, {}))
        self.peers = peers
        self.rollout = RolloutController()
        self.latest: RecordRead | None = None
        self.joining: dict[str, state.Member] = {}
        self.join_refusals: dict[str, str] = {}   # by name: why a member could not join
        self.error = "it has not read the record yet"
        self.last_call_at = 0.0
        self.pending_spans: dict[tuple[str, str, int], str] = {}    # not on disk yet, for at most FLUSH_INTERVAL_S
        self.flushed_at = 0.0
        self.behind: tuple[float, list[str]] = (0.0, [])
        self.service = RpcServer("keeper", self.handle)
        self.tasks: list[asyncio.Task] = []
        self.calls = {"renew": self.renew, "read": self.read, "publish": self.publish, "step": self.step,
                      "content": self.content, "keep_content": self.keep_content, "words": self.words,
                      "spans": self.spans, "status": self.status, "glance": self.glance, "get": self.get,
                      "set": self.set}

    async def start(self) -> tuple[str, int]:
        """Opens the port, starts the background loops and returns the address."""
        address = await self.service.listen(*self.address)
        self.tasks = [asyncio.ensure_future(loop) for loop in (self._read_loop(), self._gossip_loop())]
        return address

    def close(self) -> None:
        """Stops the loops, writes pending spans and closes the port and the file."""
        for task in self.tasks:
            task.cancel()
        self.service.close()
        self._flush(boottime_s())
        if self.embedded_register is not None:
            self.embedded_register.close()
        self.store.close()

    async def handle(self, call: dict) -> dict:
        """Answers one call; raises ValueError if the call is unknown."""
        if self.embedded_register is not None and (message := decode_message(call)) is not None:
            return encode_answer(self.embedded_register.handle_message(message))
        if (method := self.calls.get(call["do"])) is None:
            raise ValueError(f"unknown call {call['do'][:40]!r}")
        return await method(call)

    # Background loops

    async def _read_loop(self) -> None:
        """Reads the record repeatedly and proposes the steps that are due."""
        while True:
            try:
                await self._read_record()
                self.error = ""
            except (CallFailed, state.StepRefused) as error:
                if str(error) != self.error:
                    log.warning("record not available", keeper=self.name, why=str(error))
                self.error = str(error)
            is_idle = boottime_s() - self.last_call_at > IDLE_AFTER_S and (
                self.latest is None or self.latest.fleet.coming is None)
            await asyncio.sleep(1.0 if is_idle and not self.error else READ_INTERVAL_S * random.uniform(0.8, 1.2))

    async def _read_record(self) -> None:
        if self.embedded_register is not None and not self.embedded_register.can_vote:
            reason = await (self.embedded_register.rejoin() if self.founding is None
                            else self.embedded_register.found_record())
            if reason:
                await asyncio.sleep(REJOIN_RETRY_S)
                raise CallFailed(f"keeper {self.name} cannot vote: {reason}")
        began_at = boottime_s()
        if self.pending_spans and began_at - self.flushed_at > FLUSH_INTERVAL_S:
            self._flush(began_at)
        current = await self.register.read(state.REGISTER_KEY)
        if current.revision == 0:
            if self.founding is None:
                raise CallFailed("there is no record yet: start the keepers with --found")
            await self.register.change(
                state.REGISTER_KEY, 0, self.founding.to_dict(), f"found {self.founding.record}")
            return
        self._update_latest(current, began_at)
        if self.joining:
            await self._add_joining()
        fleet = self.latest.fleet
        if (step := self.rollout.next_step(fleet, self.latest.revision, boottime_s())) is not None:
            await self._propose(step)

    def _update_latest(self, current: VersionedValue, began_at: float) -> None:
        if self.latest is not None and current.revision == self.latest.revision:
            self.latest.read_at = max(self.latest.read_at, began_at)
        elif self.latest is None or current.revision > self.latest.revision:
            self.latest = RecordRead(began_at, current.revision, state.parse(current.data), current.data)

    def _flush(self, now: float) -> None:
        self.flushed_at, pending, self.pending_spans = now, self.pending_spans, {}
        self.store.add_spans(pending)

    async def _add_joining(self) -> None:
        """Adds all members that asked to join, in one change."""
        joining, self.joining = self.joining, {}

        def add(fleet: state.Fleet) -> state.Fleet:
            for name, member in sorted(joining.items()):
                try:
                    fleet = state.join(fleet, {name: member})
                    self.join_refusals.pop(name, None)
                except state.StepRefused as error:
                    self.join_refusals[name] = str(error)
                    log.warning("join refused", ingress=name, why=str(error))
            return fleet

        await self._change(add, secrets.token_hex(8))

    async def _propose(self, step: Step) -> None:
        apply_step = {
            "close": lambda fleet: state.close(fleet, step.number),
            "enforce": lambda fleet: state.enforce(fleet, step.number),
            "halt": lambda fleet: state.halt(fleet, step.number, step.reason),
            "level": state.confirm_members}[step.kind]
        try:    # every keeper uses the same id: a second one finds the step taken
            await self._change(apply_step, f"{step.kind} {step.number}")
        except state.StepRefused:
            return      # another keeper took the step
        log.info(step.kind, keeper=self.name, version=step.number, **({"why": step.reason} if step.reason else {}))

    async def _change(self, step: Callable[[state.Fleet], state.Fleet], change_id: str) -> VersionedValue:
        """Applies a step to the record and returns the record after it.

        Raises StepRefused if the step cannot be taken, CallFailed if the outcome is unknown or other changes came
        first.
        """
        for _ in range(MAX_CHANGE_ATTEMPTS):
            began_at = boottime_s()
            current = await self.register.read(state.REGISTER_KEY)
            if current.revision == 0:
                raise CallFailed("there is no record yet")
            fleet = state.parse(current.data)
            self._update_latest(current, began_at)
            if change_id in current.change_ids:
                return current  # it was made in an earlier attempt whose answer was lost
            value = step(fleet).to_dict()
            if value == current.data:
                return current
            if len(json.dumps(value)) > MAX_VALUE_BYTES:
                raise state.StepRefused(f"the record would be larger than {MAX_VALUE_BYTES} bytes")
            revision = await self.register.change(state.REGISTER_KEY, current.revision, value, change_id)
            if revision is not None:
                updated = (VersionedValue(revision, value) if revision == current.revision + 1
                           else await self.register.read(state.REGISTER_KEY))
                if revision == current.revision + 1:
                    self._update_latest(updated, boottime_s())
                return updated
        raise CallFailed(f"{MAX_CHANGE_ATTEMPTS} attempts of a change failed: other changes came first")

    async def _gossip_loop(self) -> None:
        """Fetches from the other keepers their reports of processes, and contents that are missing here."""
        connections = {name: RpcClient(*address) for name, address in self.peers.items()}
        try:
            while True:
                is_rollout_active = self.latest is not None and self.latest.fleet.coming is not None
                await asyncio.sleep(GOSSIP_INTERVAL_S if is_rollout_active else 4 * GOSSIP_INTERVAL_S)
                for connection in connections.values():
                    try:
                        self._record_reports(await connection.call("words", 0.5))
                    except (CallFailed, ValueError, KeyError, TypeError):
                        continue
                    await self._fetch_missing(connection)
        finally:
            for connection in connections.values():
                connection.close()

    def _record_reports(self, answer: Mapping) -> None:
        now = boottime_s()
        if self.latest is None:
            return
        for fields in answer["words"]:
            report = _parse_report(fields, now - float(fields["age"]))
            self.rollout.reported(report, self.latest.fleet.bounds.licence_s)

    async def _fetch_missing(self, connection: RpcClient) -> None:
        """Fetches needed contents that this keeper lacks."""
        if self.latest is None:
            return
        for digest in self._needed_digests():
            if digest and self.store.content(digest) is None:
                try:
                    data = base64.b64decode((await connection.call("content", 5.0, digest=digest))["data"])
                except (CallFailed, KeyError, ValueError):
                    continue
                if version_contents.digest_of(data) == digest:
                    self.store.add_content(digest, data, time.time(), self._needed_digests())

    def _needed_digests(self) -> set[str]:
        if self.latest is None:
            return set()
        fleet = self.latest.fleet
        return {v.digest for v in (fleet.version, fleet.coming, *fleet.history) if v is not None}

    # Calls of ingresses

    async def renew(self, call: dict) -> dict:
        """Handles the report of a process; answers with a lease, and with the record if the process lacks it."""
        now = self.last_call_at = boottime_s()
        report = _parse_report(call, now)
        spans = call.get("spans", [])
        for value in spans:
            span = audit.parse_span(value)
            self.pending_spans[span.ingress, span.life, span.seq] = json.dumps(value)
        if self.latest is None:
            raise CallFailed(self.error or "it has not read the record yet")
        fleet = self.latest.fleet
        lease_left_s = self.latest.read_at + fleet.bounds.licence_s - now
        refusal = self.rollout.reported(report, fleet.bounds.licence_s)
        for fields in call.get("relayed", []):
            self.rollout.reported(_parse_report(fields, now - float(fields["age"])), fleet.bounds.licence_s)
        if not refusal and fleet.members.get(report.name) != report.member:
            self.joining[report.name] = report.member
            refusal = self.join_refusals.get(report.name, "") or "it is joining the fleet"
        if lease_left_s <= 0.0:
            refusal = refusal or self.error or "it has not read the record recently"
        answer = {"keeper": self.name, "clock": time.time(), "revision": self.latest.revision,
                  "left": 0.0 if refusal else lease_left_s, "refused": refusal, "took": len(spans)}
        if fleet.coming is not None:
            answer["behind"] = self._some_behind(fleet, now)
        if call.get("revision") != self.latest.revision or call.get("record") != fleet.record:
            answer["fleet"] = self.latest.value
        return answer

    async def content(self, call: dict) -> dict:
        """Returns a content by its digest."""
        data = self.store.content(str(call["digest"]))
        if data is None:
            raise CallFailed(f"keeper {self.name} does not have that content")
        return {"data": base64.b64encode(data).decode()}

    async def keep_content(self, call: dict) -> dict:
        """Stores a content that another keeper sends."""
        data = base64.b64decode(call["data"])
        if version_contents.digest_of(data) != call["digest"] or len(data) > version_contents.MAX_CONTENT_BYTES:
            raise ValueError("the content does not match its digest or is too large")
        self.store.add_content(call["digest"], data, time.time(), self._needed_digests())
        return {}

    def _some_behind(self, fleet: state.Fleet, now: float) -> list[str]:
        """Returns some of the members that are behind, updated once per READ_INTERVAL_S."""
        if now - self.behind[0] > READ_INTERVAL_S:
            names = self.rollout.unprepared_members(fleet, now) if fleet.coming.state == state.OFFERED else (
                self.rollout.members_behind(fleet, now, fleet.coming.number))
            self.behind = now, sorted(names)[:MAX_NAMED_BEHIND]
        return self.behind[1]

    # Calls of other keepers and of operators

    def _all_reports(self) -> list[ProcessReport]:
        return [report for processes in self.rollout.reports.values() for report in processes.values()]

    async def words(self, call: dict) -> dict:
        """Returns the latest report of each process, with its age."""
        now = boottime_s()
        return {"words": [{"name": report.name, "life": report.incarnation, "origin": report.origin,
                           "number": report.member.number, "zone": report.member.zone,
                           "address": report.member.address, "acting": report.active_version,
                           "prepared": report.prepared_digest, "fault": report.error,
                           "others": report.sibling_count, "phase": report.phase, "revision": report.revision,
                           "age": now - report.sent_at} for report in self._all_reports()]}

    async def read(self, call: dict) -> dict:
        """Returns the record, read from a majority after the call began."""
        began_at = boottime_s()
        current = await self.register.read(state.REGISTER_KEY)
        if current.revision:
            self._update_latest(current, began_at)
        return {"revision": current.revision, "fleet": current.data}

    async def get(self, call: dict) -> dict:
        """Returns the value of another key, read from a majority after the call began."""
        current = await self.register.read(_key(call))
        return {"revision": current.revision, "data": current.data}

    async def set(self, call: dict) -> dict:
        """Changes another key by compare-and-set; the revision is 0 if another change came first."""
        if len(json.dumps(call["data"])) > MAX_VALUE_BYTES:
            raise ValueError(f"the value is larger than {MAX_VALUE_BYTES} bytes")
        revision = await self.register.change(_key(call), int(call["expect"]), call["data"], str(call["change"]))
        return {"revision": revision or 0}

    async def glance(self, call: dict) -> dict:
        """Returns the locally known record, which may be outdated."""
        current = self.register.read_local(state.REGISTER_KEY)
        return {"revision": current.revision, "fleet": current.data, "old": True}

    async def spans(self, call: dict) -> dict:
        """Returns the audit of one ingress or of all."""
        ingress = call.get("ingress")
        self._flush(boottime_s())
        return {"keeper": self.name, "spans": [json.loads(text) for text in self.store.spans(ingress)],
                "rolled": self.store.rolled(ingress)}

    async def publish(self, call: dict) -> dict:
        """Validates a content, stores it at a majority of the keepers and offers it as the next version."""
        files, change_id = call["files"], str(call["change"])
        try:
            content = version_contents.parse_files(files)
        except FaultyFile as error:
            raise ValueError(str(error)) from None
        data = version_contents.pack(files)
        if len(data) > version_contents.MAX_CONTENT_BYTES:
            raise ValueError(f"the content is larger than {version_contents.MAX_CONTENT_BYTES} bytes")
        current = await self.register.read(state.REGISTER_KEY)
        self._update_latest(current, boottime_s())
        if self.latest is None:
            raise CallFailed("there is no record yet")
        digest = self.latest.fleet.version.digest
        kind = call.get("kind") or (state.TIGHTENING if digest == state.LOST_DIGEST else version_contents.change_kind(
            None, await self._stored_content(digest), content))
        if kind not in (state.LOOSENING, state.TIGHTENING):
            raise ValueError(f"{kind!r} is neither {state.LOOSENING} nor {state.TIGHTENING}")
        await self._replicate_content(content.digest, data)
        updated = await self._change(lambda fleet: state.offer(fleet, content.digest, kind, str(call["who"])[:80],
                                                               str(call["why"])[:200]), change_id)
        fleet = state.parse(updated.data)
        version = next((v for v in (fleet.coming, fleet.version, *fleet.history)
                     if v is not None and v.digest == content.digest), None)
        log.info("offered", version=version.number if version else 0, kind=kind, who=call["who"], why=call["why"])
        return {"number": version.number if version is not None else 0, "digest": content.digest, "kind": kind,
                "revision": updated.revision}

    async def _stored_content(self, digest: str) -> version_contents.Content:
        if not digest:
            return version_contents.EMPTY
        data = self.store.content(digest)
        if data is None:
            raise CallFailed(f"keeper {self.name} does not have the content in force yet")
        return version_contents.unpack(data, digest)

    async def _replicate_content(self, digest: str, data: bytes) -> None:
        self.store.add_content(digest, data, time.time(), self._needed_digests())
        text = base64.b64encode(data).decode()
        stored_count, keeper_count = 1, 1 + len(self.peers)
        calls = [asyncio.ensure_future(call_once(address, "keep_content", 5.0, digest=digest, data=text))
                 for address in self.peers.values()]
        for call in calls:
            call.add_done_callback(lambda call: call.cancelled() or call.exception())
        for call in asyncio.as_completed(calls):
            if stored_count >= majority(keeper_count):
                return      # the others store it later, or fetch it
            try:
                await call
                stored_count += 1
            except CallFailed:
                pass
        if stored_count < majority(keeper_count):
            raise CallFailed(f"{stored_count} of {keeper_count} keepers stored the content: a majority is needed")

    async def step(self, call: dict) -> dict:
        """Halts a version or removes a member, on behalf of an operator."""
        kind, reason = call["what"], f"{call['who']}: {call['why']}"
        if kind == "halt":
            updated = await self._change(lambda fleet: state.halt(fleet, int(call["number"]), reason),
                                         str(call["change"]))
        elif kind == "forget":
            name, now = str(call["name"]), boottime_s()
            licence_s = self.latest.fleet.bounds.licence_s if self.latest is not None else 3.0
            if self.rollout.live_processes(name, now, licence_s):
                raise ValueError(f"{name} still sends reports: end its process first")
            updated = await self._change(lambda fleet: state.forget(fleet, name), str(call["change"]))
        else:
            raise ValueError(f"unknown step {kind!r}: use halt or forget")
        log.info(kind, by=call["who"], why=call["why"])
        return {"revision": updated.revision}

    async def status(self, call: dict) -> dict:
        """Returns the state of this keeper and of the fleet, for operators."""
        now, latest = boottime_s(), self.latest
        answer = {"keeper": self.name,
                  "votes": self.embedded_register.can_vote if self.embedded_register is not None else True,
                  "life": self.store.acceptor.incarnation, "trouble": self.error, "clock": time.time(),
                  "taken": dict(self.rollout.name_conflicts), "refused": dict(self.join_refusals),
                  **(await self.words(call))}
        for entry in answer["words"]:
            entry["since"] = now - self.rollout.reports[entry["name"]][entry["life"]].active_since
        if latest is not None:
            answer |= {"revision": latest.revision, "age": now - latest.read_at, "fleet": latest.value,
                       "held": self.rollout.blocking_reason(latest.fleet, now)}
        return answer


def _key(call: Mapping) -> str:
    """Returns the key of a `get` or `set` call; raises ValueError if it is not allowed.

    These calls cannot reach the fleet's own state, which changes by its steps only.
    """
    key = str(call["key"])
    if not key.startswith("x/") or len(key) > 64:
        raise ValueError(f"{key[:70]!r} is not a valid key: it must begin with x/ and have at most 64 characters")
    return key


def _parse_report(fields: Mapping, sent_at: float) -> ProcessReport:
    """Parses the report of a process; raises ValueError, KeyError or TypeError if it is invalid."""
    member = state.Member(int(fields["number"]), str(fields["zone"])[:64], str(fields["address"])[:128])
    name, incarnation = str(fields["name"]), str(fields["life"])
    if not 0 < len(name) <= 64 or not 0 < len(incarnation) <= 64:
        raise ValueError("a name and a life must have 1 to 64 characters")
    return ProcessReport(name, incarnation, str(fields["origin"])[:64], member, int(fields["acting"]),
                         str(fields["prepared"])[:64], str(fields["fault"])[:300], sent_at, int(fields["revision"]),
                         int(fields.get("others", 0)), str(fields.get("phase", ""))[:16])


async def run(operator_file: str, name: str, founding: state.Fleet | None, write_line: Callable[[str], None]) -> None:
    """Runs one keeper until SIGTERM; raises FaultyFile if the operator file or the folder cannot be used."""
    section = read_operator(operator_file).keeper
    if section is None:
        raise FaultyFile([Fault(operator_file, 0, "keeper", "the section that names the keepers is missing")])
    names = [address_of(entry)[0] for entry in section.keepers]
    if name not in names:
        raise FaultyFile([Fault(operator_file, 0, "keeper.keepers",
                                f"there is no keeper {name!r}: {', '.join(names)} are the keepers")])
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
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    write_line(f"keeper {name} at {host}:{port}" + (f", founding {founding.record}" if founding else ""))
    await stop_requested.wait()
    keeper.close()
