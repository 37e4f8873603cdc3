"""The fleet component of a running ingress: calls keepers and peers, and executes the actions of `version_lease.py`.

Loaded only if the operator file has a `fleet` section.  It decides nothing itself.  The gate that the host calls
before each send only compares a clock.
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
from fennelpoint.fleet.disk_ring_buffer import DiskRingBuffer
from fennelpoint.fleet.rpc import CallFailed, RpcClient, RpcServer
from fennelpoint.fleet.version_lease import (
    Action,
    ActivateVersion,
    FetchContent,
    LogLine,
    PeerReport,
    StartServing,
    StopServing,
    VersionLease,
)
from fennelpoint.lifecycle import Event
from fennelpoint.operator_config import FleetSection, address_of
from fennelpoint.validation_errors import Fault, FaultyFile

if TYPE_CHECKING:
    from fennelpoint.routes.table import RouteTable

INITIAL_CALL_INTERVAL_S = 0.3   # between calls until the term of a lease is known; then a quarter of the term
SUSPECT_S = 2.0                 # during which a keeper that did not answer is called after the others
AUDIT_MARK_INTERVAL_S = 0.5     # between marks of the audit; a kill loses at most this much of it
REFETCH_DELAY_S = 0.5           # until a content that could not be fetched is requested again
MAX_PEER_CALLS = 64             # concurrent calls to peers, and reports of peers relayed in one call
MAX_NOTIFIED_PEERS = 1          # peers behind that are notified after one answer of a keeper
log = structlog.get_logger("larchwing.fleet")


def boottime_s() -> float:
    """Returns the seconds of a clock that also counts while the process or the machine is stopped."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class PreparedContent:
    """A validated content that can be activated at once."""

    content: version_contents.Content
    data: bytes
    plans: list[api.Plan]
    table: RouteTable | None = None


class FleetComponent(Component):
    """One process of an ingress in its fleet."""

    def __init__(self, ingress: IngressContext, section: FleetSection) -> None:
        logs.configure()
        config, settings = ingress.config, ingress.config.settings
        self.ingress, self.section, self.name, self.loop = ingress, section, config.name, ingress.loop
        self.incarnation = secrets.token_hex(6)
        zone = settings.zones[settings.zone] if settings.zone < len(settings.zones) else str(settings.zone)
        self.member = state.Member(settings.me, zone, section.advertise or section.listen)
        self.lease = VersionLease(self.name)
        self.configured_plans, self.configured_table = list(settings.plans), None
        self.plans, self.stamp, self.is_mixed = self.configured_plans, 0, False
        # When totals of the external counter count again after a change of limits; 0: not scheduled.
        self.unmixed_at = 0.0
        plan_parameters.register_handler(ingress.host.controller)
        self.prepared: dict[str, PreparedContent] = {
            "": PreparedContent(version_contents.EMPTY, b"", self.configured_plans)}
        self.active: PreparedContent = self.prepared[""]
        self.keeper_connections = {name: RpcClient(*address) for name, address in map(address_of, section.keepers)}
        self.suspected_until: dict[str, float] = {}
        self.configured_peers = dict(map(address_of, section.peers))
        self.peer_connections: dict[str, RpcClient] = {}
        self.keeper_turn = random.randrange(1 << 20)
        # By peer that reaches no keeper: time of receipt and report.
        self.relayed_reports: dict[str, tuple[float, dict]] = {}
        self.renew_now = asyncio.Event()
        self.service = RpcServer("fleet", self.handle)
        self.tasks: list[asyncio.Task] = []
        self.fleet_time = audit.CoordinatorClock()
        self.audit_book = audit.SpanLog(self.name, self.incarnation, self.member.number, zone)
        self.previous_spans: list[audit.Span] = []      # of previous incarnations, from the ring file
        self.audit_ring: DiskRingBuffer | None = None
        self.folder = Path(section.folder) if section.folder else None
        self.origin = "{}/{}:{}".format(_boot_id(), *config.listen)
        self.saved_revision = 0     # the revision of the fleet state on disk
        self.last_renewed_at, self.error, self.refusal = 0.0, "", ""
        self.cells = ingress.host.cells
        ingress.life_cycle.handle(Event.BAR, time.monotonic())
        ingress.host.may_send = self.may_send
        ingress.host.post(api.Barred(True))
        self.calls: dict[str, Callable] = {
            "peer": self._on_peer, "content": self._on_content, "tell": self._on_tell, "status": self._on_status,
            "spans": self._on_spans}

    def may_send(self) -> bool:
        """Whether a request may be sent now; the gate of each send.

        It reads a clock that also counts while the process is stopped.
        """
        if self.lease.is_valid(now := boottime_s()):
            return True
        self._execute(self.lease.update(now))
        return False

    # Start and end

    async def start(self) -> None:
        """Restores the state from disk, opens the port and starts the background loops."""
        if self.folder is not None:
            self._restore()
        reader = self.ingress.server.reader
        self.configured_table = getattr(reader, "table", None)
        _, (host, port) = address_of("=" + self.section.listen)
        await self.service.listen(host, port, reuse_port=self.ingress.config.inherited_socket is not None)
        self.tasks = [asyncio.ensure_future(loop) for loop in (self._renew_loop(), self._mark_loop())]

    def close(self) -> None:
        """Ends the audit and closes every task, socket and file."""
        self.audit_book.end_span("the process ends", self.fleet_time.estimate(boottime_s()))
        self._save_spans()
        for task in self.tasks:
            task.cancel()
        self.service.close()
        for connection in (*self.keeper_connections.values(), *self.peer_connections.values()):
            connection.close()
        if self.audit_ring is not None:
            self.audit_ring.close()

    @property
    def sibling_count(self) -> int:
        """The number of further live processes of this ingress."""
        twins = self.ingress.components.get("twins")
        return len(twins.registry.live_generations()) if twins is not None else 0

    def _restore(self) -> None:
        """Restores the state that the previous process left; an unusable file is set aside with one log line."""
        try:
            (self.folder / "contents").mkdir(parents=True, exist_ok=True)
        except OSError as error:
            log.error("no folder", ingress=self.name, why=f"{self.folder}: {error.strerror}")
            self.folder = None
            return
        self.audit_ring = DiskRingBuffer(self.folder / f"{self.name}.audit")
        lines, gap = self.audit_ring.read()
        if gap:
            log.error("gap in the audit", ingress=self.name, why=gap)
        spans = []
        for line in lines:
            try:
                spans.append(audit.parse_span(json.loads(line)))
            except ValueError:
                continue
        self.previous_spans = audit.latest_spans(spans)[-100:]
        path = self.folder / f"{self.name}.state"
        try:
            check, _, text = path.read_bytes().partition(b" ")
            if check != b"%08x" % crc32(text):
                raise ValueError("it is damaged")
            value = json.loads(text)
            if value["name"] != self.name:
                raise ValueError(f"it belongs to {value['name']!r}")
            fleet = state.parse(value["fleet"])
            is_same_boot = value["boot"] == _boot_id()
            self.lease.restore(fleet, int(value["revision"]), int(value["acting"]), is_same_boot)
        except FileNotFoundError:
            return
        except (OSError, ValueError, KeyError, TypeError) as error:
            log.error("state set aside", ingress=self.name, file=str(path), why=str(error))
            _ignore_os_errors(lambda: path.rename(path.with_suffix(".bad")))
            return
        for digest in {fleet.target.digest, fleet.version.digest, str(value.get("digest", ""))}:
            if digest:
                self._prepare(digest, self._content_on_disk(digest))

    def _content_on_disk(self, digest: str) -> bytes | None:
        """Returns a content from disk, or None."""
        try:
            return (self.folder / "contents" / digest).read_bytes() if self.folder is not None else None
        except OSError:
            return None

    def _write_file(self, path: Path, data: bytes) -> bool:
        """Writes a file atomically; a full disk is logged and changes nothing.

        The file is not synced, since it only has to survive a kill of the process: after a crash of the machine
        nothing relies on it, because it contains the boot id.  So the event loop never waits for a disk.
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

    def _save_state(self) -> None:
        if self.folder is not None and self.lease.fleet is not None:
            lease = self.lease
            text = json.dumps({"name": self.name, "boot": _boot_id(), "acting": lease.active_version,
                               "revision": lease.revision,
                               "digest": lease.active_digest, "fleet": lease.fleet.to_dict()}).encode()
            self.saved_revision = self.lease.revision
            path = self.folder / f"{self.name}.state"
            if not self._write_file(path, b"%08x %b" % (crc32(text), text)):
                # After a restart, a state older than the latest report must not be used.
                _ignore_os_errors(path.unlink)

    # Calls to keepers and peers

    def _lease_term_s(self) -> float:
        fleet = self.lease.fleet
        return fleet.bounds.licence_s if fleet is not None else 4 * INITIAL_CALL_INTERVAL_S

    async def _renew_loop(self) -> None:
        while True:
            try:
                if not await self._renew():
                    await self._query_peers()
            except Exception as error:  # guards the loop without which this process would stop serving
                log.error("renewing failed", ingress=self.name, why=repr(error))
            now, interval_s = boottime_s(), self._lease_term_s() / 4
            self._execute(self.lease.update(now))
            delay_s = min(interval_s, max(0.02, self.lease.expires_at - now)) * random.uniform(0.7, 1.0)
            self.renew_now.clear()
            try:
                await asyncio.wait_for(self.renew_now.wait(), delay_s if self.lease.is_valid(now) else interval_s / 2)
            except TimeoutError:
                pass

    async def _renew(self) -> bool:
        """Renews the lease at one keeper, in rotation; keepers that did not answer recently come last."""
        names, now = list(self.keeper_connections), boottime_s()
        self.keeper_turn += 1
        order = sorted(names, key=lambda name: (self.suspected_until.get(name, 0.0) > now,
                                             (names.index(name) - self.keeper_turn) % len(names)))
        for name in order:
            if await self._renew_at(name):
                return True
        return False

    def _report(self) -> dict:
        fleet, lease = self.lease.fleet, self.lease
        coming = fleet.coming.digest if fleet is not None and fleet.coming is not None else ""
        return {"name": self.name, "life": self.incarnation, "origin": self.origin, "number": self.member.number,
                "zone": self.member.zone, "address": self.member.address, "others": self.sibling_count,
                "acting": lease.active_version, "prepared": coming if coming in lease.ready_contents else "",
                "fault": lease.fetch_error, "phase": self.ingress.life_cycle.phase.value, "revision": lease.revision,
                "record": fleet.record if fleet is not None else ""}

    def _reports_to_relay(self) -> list[dict]:
        """Returns the reports of peers that reach no keeper, each with an upper bound of its age."""
        now, term_s = boottime_s(), self._lease_term_s()
        self.relayed_reports = {
            name: (received_at, report) for name, (received_at, report) in self.relayed_reports.items()
            if now - received_at < term_s}
        return [{**report, "age": now - received_at + term_s / 6}
                for received_at, report in list(self.relayed_reports.values())[:MAX_PEER_CALLS]]

    async def _renew_at(self, name: str) -> bool:
        spans = [*self.previous_spans[:50], *self.audit_book.undelivered(name)]
        requested_at = boottime_s()
        try:
            answer = await self.keeper_connections[name].call(
                "renew", max(0.1, self._lease_term_s() / 6), **self._report(),
                spans=[span.value() for span in spans], relayed=self._reports_to_relay())
            received_at = boottime_s()
            fleet = state.parse(answer["fleet"]) if "fleet" in answer else self.lease.fleet
            term_s, revision, keeper_time = float(answer["left"]), int(answer["revision"]), float(answer["clock"])
        except (CallFailed, state.StepRefused, ValueError, KeyError, TypeError) as error:
            self.suspected_until[name] = boottime_s() + SUSPECT_S
            self.error = f"keeper {name}: {error}"
            return False
        self.suspected_until.pop(name, None)
        self.fleet_time.add_reading(requested_at, keeper_time, received_at)
        self.audit_book.mark_delivered(name, [span for span in spans if span.life == self.incarnation])
        if self.refusal != answer["refused"]:
            self.refusal = answer["refused"]
            if self.refusal:
                log.warning("no lease", ingress=self.name, keeper=name, why=self.refusal)
        self._execute(self.lease.granted(name, fleet, revision, term_s, requested_at, received_at))
        if self.lease.revision != self.saved_revision:  # before the next report claims to know this revision
            self._save_state()
        if self.lease.expires_at > received_at:  # else it was for another record or an unprepared version
            self.last_renewed_at, self.error = received_at, ""
        behind = [other for other in answer.get("behind", []) if other != self.name]
        for peer in random.sample(behind, min(MAX_NOTIFIED_PEERS, len(behind))):
            self.tasks.append(asyncio.ensure_future(self._notify_peer(peer)))
        return self.lease.expires_at - received_at > self._lease_term_s() / 2

    def _update_peer_connections(self) -> dict[str, RpcClient]:
        fleet = self.lease.fleet
        known = {name: address_of("=" + m.address)[1] for name, m in fleet.members.items()} if fleet else {}
        for name, address in {**known, **self.configured_peers}.items():
            connection = self.peer_connections.get(name)
            if name != self.name and (connection is None or connection.address != address):
                if connection is not None:
                    connection.close()
                self.peer_connections[name] = RpcClient(*address)
        for name in set(self.peer_connections) - set(known) - set(self.configured_peers):
            self.peer_connections.pop(name).close()
        return self.peer_connections

    async def _query_peers(self) -> None:
        """Asks all peers for their state and the rest of their leases."""
        connections = self._update_peer_connections()
        names = random.sample(sorted(connections), len(connections))
        for start in range(0, len(names), MAX_PEER_CALLS):
            await asyncio.gather(*(self._query_peer(name, connections[name])
                                   for name in names[start:start + MAX_PEER_CALLS]))

    async def _query_peer(self, name: str, connection: RpcClient) -> None:
        requested_at, fleet = boottime_s(), self.lease.fleet
        try:
            answer = await connection.call("peer", max(0.1, self._lease_term_s() / 6), **self._report())
            newer = state.parse(answer["fleet"]) if "fleet" in answer else None
            report = PeerReport(str(answer["name"]), int(answer["acting"]), float(answer["left"]),
                                answer["firm"] is True, int(answer["revision"]), newer)
            if report.name != name:
                raise ValueError(f"{report.name} answers in place of {name}")
        except (CallFailed, state.StepRefused, ValueError, KeyError, TypeError):
            return
        if newer is None and (fleet is None or answer["record"] != fleet.record):
            return
        self._execute(self.lease.peer_reported(report, requested_at, boottime_s()))

    async def _notify_peer(self, name: str) -> None:
        """Passes the state on to a peer that is behind according to a keeper."""
        connection, fleet = self._update_peer_connections().get(name), self.lease.fleet
        if connection is None or fleet is None:
            return
        try:
            await connection.call("tell", 1.0, revision=self.lease.revision, fleet=fleet.to_dict(), name=self.name)
        except CallFailed:
            pass

    async def _fetch_or_report(self, digest: str) -> None:
        """Fetches and prepares a content; on failure, reports why after a delay, which leads to a retry."""
        try:
            failure = await self._fetch_content(digest)
        except Exception as error:  # guards the coming version: without a result, no retry would follow
            failure = repr(error)
        if failure:
            await asyncio.sleep(REFETCH_DELAY_S)
            self._execute(self.lease.fetch_failed(digest, failure, boottime_s()))

    async def _fetch_content(self, digest: str) -> str:
        """Fetches a content from the disk, any keeper or any peer, and prepares it.

        Returns the reason of a failure, or an empty string on success.
        """
        data = self._content_on_disk(digest)
        connections = [*self.keeper_connections.values(),
                       *random.sample(list(self._update_peer_connections().values()), len(self.peer_connections))]
        failure = "no keeper or peer that was asked has it"
        for connection in connections if data is None else ():
            try:
                answer = await connection.call("content", max(0.5, self._lease_term_s() / 3), digest=digest)
                data = base64.b64decode(answer["data"])
                break
            except (CallFailed, ValueError, KeyError, TypeError) as error:
                failure = str(error)
        if data is None:
            return failure
        table = None
        try:
            content = version_contents.unpack(data, digest)
            if content.routes:
                table = await self._parse_routes(content)
        except FaultyFile as error:
            return str(error.faults[0])
        return self._prepare(digest, data, table)

    async def _parse_routes(self, content: version_contents.Content) -> RouteTable:
        """Parses the OpenAPI description in a process of its own; raises FaultyFile."""
        routes = self.ingress.components.get("routes")
        if routes is None:
            raise FaultyFile([
                Fault(version_contents.ROUTES, 0, "", "routes are disabled: the operator file has no section")])
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
            result = worker.outcome(version_contents.ROUTES, process.returncode, output, errors)
        except OSError as error:
            raise FaultyFile([
                Fault(version_contents.ROUTES, 0, "", f"it cannot be read here: {error.strerror}")]) from None
        finally:
            path.unlink(missing_ok=True)
        if result.faults:
            raise FaultyFile(list(result.faults))
        table = RouteTable()
        for chunk in result.chunks:
            table.add(pickle.loads(chunk))
            await asyncio.sleep(0)
        return table

    def _prepare(self, digest: str, data: bytes | None, table: RouteTable | None = None) -> str:
        """Validates a content and prepares its activation; returns what is wrong with it, or an empty string."""
        if data is None:
            return "it is not on disk"
        try:
            content = version_contents.unpack(data, digest)
            if content.cells is not None and self.cells is None:
                raise FaultyFile([
                    Fault(version_contents.CELLS, 0, "", "cells are disabled: the operator file has no section")])
            if content.routes and table is None:
                return ""   # from disk at the start: parsed as usual once the version is needed
            plans = version_contents.apply_limits(self.configured_plans, content)
        except FaultyFile as error:
            return str(error.faults[0])
        self.prepared[digest] = PreparedContent(content, data, plans, table)
        if self.folder is not None:
            self._write_file(self.folder / "contents" / digest, data)
        self._execute(self.lease.content_ready(digest, boottime_s()))
        self.renew_now.set()
        return ""

    # Execution of actions

    def _execute(self, actions: list[Action]) -> None:
        """Executes actions of the lease, in order."""
        for action in actions:
            match action:
                case FetchContent():
                    self.tasks = [task for task in self.tasks if not task.done()]
                    self.tasks.append(asyncio.ensure_future(self._fetch_or_report(action.digest)))
                case ActivateVersion():
                    self._activate(action)
                case StopServing():
                    self.ingress.life_cycle.handle(Event.BAR, time.monotonic())
                    self.ingress.host.post(api.Barred(True))
                    self._begin_span(audit.NO_VERSION, action.reason)
                    log.error("shut out", ingress=self.name, why=action.reason)
                    self.ingress.check_shutdown()
                case StartServing():
                    self.ingress.life_cycle.handle(Event.ADMIT, time.monotonic())
                    self.ingress.host.post(api.Barred(False))
                    self._begin_span(self.lease.active_version, f"licensed by {action.reason}")
                    log.info("admitted", ingress=self.name, version=self.lease.active_version, by=action.reason)
                case LogLine():
                    (log.error if action.is_error else log.info)("fleet", ingress=self.name, why=action.text)

    def _activate(self, action: ActivateVersion) -> None:
        """Activates a version, all of it between two requests."""
        new, previous = self.prepared[action.digest], self.active
        if self.cells is not None and new is not previous:
            plan = new.content.cells
            self.cells.fleet_version = action.number if plan is not None else 0
            self.cells.apply(replace(plan, version=action.number) if plan is not None
                             else self.ingress.config.cell_plan)
        routes = self.ingress.components.get("routes")
        if routes is not None and new is not previous:
            self.ingress.server.reader.take(new.table if new.table is not None else self.configured_table)
            routes.is_fleet_managed = new.table is not None
        # While the previous version may still be acted on, the smaller of both limits applies.
        old = self.prepared.get(self.lease.fleet.version.digest) if action.is_mixed else new
        self._apply_plans(version_contents.minimum_limits(old.plans, new.plans) if old is not None else new.plans,
                          action.is_mixed)
        self.active = new
        for digest in [d for d in self.prepared if d and d not in self.lease.ready_contents]:
            del self.prepared[digest]
        if self.lease.is_serving and (
            self.audit_book.open_span is None or self.audit_book.open_span.version != action.number
        ):
            self._begin_span(action.number, action.reason)
        self._save_state()
        log.info("acts", ingress=self.name, version=action.number, why=action.reason)
        self.renew_now.set()

    def _apply_plans(self, plans: list[api.Plan], is_mixed: bool) -> None:
        """Applies limits of plans.

        Totals of the external counter are ignored while other processes may apply other limits.
        """
        if plans != self.plans:
            stamp = 0 if plans == self.configured_plans else 1 + crc32(repr(plans).encode()) % 1000
            self.plans, self.stamp, self.is_mixed = plans, stamp, True
            if not is_mixed:   # in force: processes that do not know it yet apply the others for one lease term
                self.unmixed_at = boottime_s() + 1.05 * self._lease_term_s()
        elif self.is_mixed and not is_mixed and not self.unmixed_at:
            self.is_mixed = False
        else:
            return
        self.ingress.host.post(api.PlansChanged(self.plans, self.stamp, self.is_mixed))

    def sweep(self) -> None:
        """Ends a mixed period that is over and checks the lease, several times a second."""
        if self.unmixed_at and boottime_s() >= self.unmixed_at:
            self.unmixed_at, self.is_mixed = 0.0, False
            self.ingress.host.post(api.PlansChanged(self.plans, self.stamp, False))
        if self.lease.is_serving:
            self.may_send()

    # The audit

    def _begin_span(self, version: int, reason: str) -> None:
        self.audit_book.is_alone = self.sibling_count == 0
        self.audit_book.begin_span(version, reason, self.fleet_time.estimate(boottime_s()))
        self._save_spans()

    def _save_spans(self) -> None:
        if self.audit_ring is not None:
            for span in list(self.audit_book.spans.values())[-2:]:
                self.audit_ring.append(json.dumps(span.value()).encode())

    async def _mark_loop(self) -> None:
        while True:
            await asyncio.sleep(AUDIT_MARK_INTERVAL_S)
            if (span := self.audit_book.update_mark(self.fleet_time.estimate(boottime_s()))) is not None and (
                    self.audit_ring is not None):
                self.audit_ring.append(json.dumps(span.value()).encode())

    # Calls of peers and operators

    async def handle(self, call: dict) -> dict:
        """Answers one call; raises ValueError if the call is unknown."""
        if (answer := self.calls.get(call["do"])) is None:
            raise ValueError(f"unknown call {call['do'][:40]!r}")
        return answer(call)

    def _on_peer(self, call: dict) -> dict:
        """Answers a peer that reaches no keeper with the state here, and keeps its report for the keepers."""
        lease, fleet, now = self.lease, self.lease.fleet, boottime_s()
        if fleet is not None and call["name"] in fleet.members:
            previous = self.relayed_reports.get(call["name"])
            self.relayed_reports[call["name"]] = now, {
                field: value for field, value in call.items() if field not in ("do", "id")}
            if previous is None or any(previous[1][field] != call[field] for field in ("acting", "prepared")):
                self.renew_now.set()     # a rollout may wait for this report
        answer = {"name": self.name, "acting": lease.active_version, "left": lease.expires_at - now,
                  "firm": lease.is_history_known, "revision": lease.revision, "record": fleet.record if fleet else ""}
        if fleet is not None and (call["record"] != fleet.record or call["revision"] < lease.revision):
            answer["fleet"] = fleet.to_dict()
        return answer

    def _on_content(self, call: dict) -> dict:
        """Returns a prepared content."""
        prepared = self.prepared.get(str(call["digest"]))
        if prepared is None or not prepared.data:
            raise ValueError(f"{self.name} does not have that content")
        return {"data": base64.b64encode(prepared.data).decode()}

    def _on_tell(self, call: dict) -> dict:
        """Adopts a peer's state and renews the lease at once."""
        report = PeerReport(str(call["name"]), -1, 0.0, False, int(call["revision"]), state.parse(call["fleet"]))
        self._execute(self.lease.peer_reported(report, boottime_s(), boottime_s()))
        self.renew_now.set()
        return {}

    def _on_status(self, call: dict) -> dict:
        """Returns the state of this process, for operators."""
        lease, now = self.lease, boottime_s()
        return {**self._report(), "open": lease.is_serving, "left": lease.expires_at - now,
                "static_left": lease.static_expires_at - now, "source": lease.source, "trouble": self.error,
                "refused": self.refusal, "foreign": lease.foreign_record, "reason": lease.reason_without_lease(now),
                "renewed": now - self.last_renewed_at if self.last_renewed_at else -1.0, "mixed": lease.is_mixed,
                "roster": len(self.ingress.discovery.known_addresses), "figures_mixed": self.is_mixed}

    def _on_spans(self, call: dict) -> dict:
        """Returns the spans of the audit that this process has."""
        return {"spans": [span.value() for span in (*self.previous_spans, *self.audit_book.spans.values())]}


def _boot_id() -> str:
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return "unknown"


def _ignore_os_errors(function: Callable[[], object]) -> None:
    """Runs a function and ignores its OSError."""
    try:
        function()
    except OSError:
        pass
