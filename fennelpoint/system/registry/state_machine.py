"""The registry's state machine: heartbeats, operator calls, gossip, and lists and leases for proxies.

It performs no I/O: each event comes with the current time and returns the actions to carry out.  A call that has to
wait, for a majority of the core or for the local store, is kept under a token until its result arrives.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

from fennelpoint.system import config_versions
from fennelpoint.system.actions import LogEvent, Send
from fennelpoint.system.graceful_shutdown import GracefulShutdown, shutdown_timeout
from fennelpoint.system.http_server import ApiRequest, Reply
from fennelpoint.system.incarnation import first_number
from fennelpoint.system.mesh import ip_of, peer_name
from fennelpoint.system.registry.allocation_leader import ALLOCATION_MESSAGES, AllocationLeader
from fennelpoint.system.registry.allocation_parameters import AllocationParameters, ColdBackends
from fennelpoint.system.registry.backend_table import (
    DRAINING,
    GONE,
    LOST_AFTER_HEARTBEATS,
    READY,
    REVIVAL_MAX_AGE_S,
    BackendReport,
    BackendTable,
)
from fennelpoint.system.registry.directory import PROXY_FRESH_S, Directory, home_regions_by_host
from fennelpoint.system.registry.leader_lease import LEASE_S, LeaderLease
from fennelpoint.system.registry.membership import Membership
from fennelpoint.system.registry.operator_handlers import OperatorHandlers
from fennelpoint.system.registry.pending_calls import Answer, PendingCall, Save, error_reply
from fennelpoint.system.registry.quorum_check import QuorumCheck
from fennelpoint.system.rendezvous_hashing import preference
from fennelpoint.system.settings import Bounds
from fennelpoint.system.throttle import Throttle

DIRECTORY_TTL_S = 2.0           # how long clients may cache an answer of the directory
DRAIN_ACK_TIMEOUT_S = 0.9       # for a majority to store a drain
RESTORED_COLD_HEARTBEATS = 1.6  # for how long a backend that was restored from disk counts as cold at most
FULL_LIST_CACHE_S = 0.1         # the list for new proxies is reused for so long: many connect at the same time
LIST_UPDATE_INTERVAL_S = 0.04   # between two list updates to proxies
GOSSIP_INTERVAL_S = 0.6
PENDING_CALLS_SHUTDOWN_RATIO = 0.7  # of the time for the shutdown, for pending calls to complete
CONTENT_RETRY_S = 0.5           # after which a configuration that has not arrived is requested again
CONTENT_WAIT_S = 4.0            # for which a callback waits for a configuration: its requester asks again by itself
PROXY_RETENTION_S = 60.0        # after which a proxy that has not been heard from is forgotten
READ_INTERVAL_S = 0.15          # between the starts of two reads for proxies, whose leases last for seconds
READ_TIMEOUT_S = 0.7            # after which an unanswered read is started again
LATE_HEARTBEATS = 1.7           # a heartbeat after a gap of this many intervals is replicated at once
# A backend is suspect after so many silent intervals: the other registries are asked whether they have heard from it.
SUSPECT_HEARTBEATS, SUSPECT_QUERY_INTERVAL_S = 2.4, 0.7


class RegistryStateMachine:
    """The registry of one core machine.

    Times are seconds on its steady clock.  `region_of_zone` maps zones to regions; `seeds` are the IP addresses of
    the initial core machines; `heartbeat_s` is the heartbeat interval of backends.
    """

    def __init__(self, node_ip: str, zone: str, region: str, region_of_zone: dict[str, str], seeds: list[str],
                 port: int, bounds: Bounds, heartbeat_s: float, incarnation: int, is_first_start: bool,
                 now: float) -> None:
        self.node_ip, self.zone, self.region, self.region_of_zone, self.port = (
            node_ip, zone, region, region_of_zone, port)
        self.bounds, self.heartbeat_s, self.incarnation, self.started_at = bounds, heartbeat_s, incarnation, now
        self.seeds = seeds
        self.store_peer = peer_name("writ", node_ip)
        self.backends, self.members = BackendTable(), Membership()
        self.cluster_state: dict = {}           # the newest agreed value that is known here
        self.contents: dict[str, bytes] = {}    # compressed configurations by digest
        # Callbacks that wait for a configuration, by its digest, each with the time when it was added.
        self.content_waiters: dict[str, list[tuple[float, Callable[[], None]]]] = {}
        self.next_content_request_at = now      # while the newest configuration is missing here
        self.connected_proxies: dict[str, int] = {}     # with the list number that each has acknowledged
        self.list_number = 0                    # of the newest list update
        self.pending_changes = Throttle(LIST_UPDATE_INTERVAL_S)    # ids whose changes go out in one list update
        self.full_list: list = []               # cached for proxies that connect
        self.full_list_valid_until = now
        self.pending_calls: dict[int, PendingCall] = {}     # by token
        self.last_token = first_number(incarnation)
        self.relays: dict[str, str] = {}        # for proxies that can't reach this machine: the peer that relays
        self.announced_proxies: list[str] = []  # the ready proxies, as last sent to proxies
        self.proxy_info: dict[str, dict] = {}   # of connected proxies, as they described themselves
        self.cold_backends = ColdBackends(bounds, region_of_zone)
        # On the very first start of the system no earlier process can hold a grant, so there is no lease to wait out.
        duty = LeaderLease(node_ip, now if is_first_start else now + LEASE_S, first_number(incarnation))
        self.allocation = AllocationLeader(self, duty, self.cold_backends)
        self.state_confirmed_at = -1e9          # start of the newest read that completed
        self.lease_requests: list[tuple[str, float, int]] = []  # proxy, arrival and number; served by the next read
        self.last_read_started_at = -1e9
        self.current_read: tuple[int, float, list] | None = None    # token, deadline and the requests that it serves
        self.next_gossip_at = self.next_sweep_at = now
        self.recently_heard_ids: set[str] = set()   # backends that sent heartbeats here since the last gossip
        # Backends that some proxy counts as lost: proxies need an update at the next heartbeat of one of these.
        self.reported_lost_ids: set[str] = set()
        self.linked_registries: set[str] = set()    # IP addresses of core machines whose registry is connected
        self.quorum_check = QuorumCheck(node_ip, now)
        self.quorum_since: float | None = None  # since when there is contact with a majority; None: there is none
        self.next_suspect_query_at = now
        self.actions: list = []
        self.operator_handlers = OperatorHandlers(self)
        self.directory = Directory(node_ip, self.members, min(DIRECTORY_TTL_S, bounds.ttl_max_s),
                                   bounds.grace_period_s, now)
        self.leaving = GracefulShutdown(shutdown_timeout(bounds.grace_period_s))

    def restore(self, rows: list[list], now: float) -> None:
        """Load the backends that were on disk when this process started."""
        self.backends.restore(rows, RESTORED_COLD_HEARTBEATS * self.heartbeat_s, now)

    # Events

    def on_message(self, peer: str, message: list, now: float) -> list:
        """Handle a message from a peer; messages of unknown kinds are ignored."""
        self._check_for_pause(now)
        kind, *rest = message
        self.relays.pop(peer, None)  # it reaches this machine directly again
        handler = (
            getattr(self.allocation, f"on_{kind}")
            if kind in ALLOCATION_MESSAGES
            else getattr(self, f"_on_{kind}", None)
        )
        if handler is not None:
            handler(peer, now, *rest)
        return self._take_actions()

    def begin_shutdown(self, now: float) -> list:
        """On SIGTERM: gossip what only this machine knows and resign from allocation; pending calls may complete."""
        if not self.leaving:
            self.leaving.begin(now)
            self.actions.append(LogEvent("STOP", {"node": self.node_ip}))
            for pending in self.pending_calls.values():
                pending.deadline = min(pending.deadline, now + PENDING_CALLS_SHUTDOWN_RATIO * self.leaving.timeout_s)
            self.allocation.resign()
            self.allocation.tick(now, claims=False)
            self._gossip(now)
        return self._take_actions()

    def is_shutdown_complete(self, now: float) -> bool:
        """Whether the process may exit now."""
        if self.pending_calls:
            self.leaving.mark_busy(now)
        return self.leaving.is_complete(now)

    def on_call(self, request: ApiRequest, now: float) -> list:
        """Handle an HTTP call; the reply may come at any later time."""
        if self.leaving:
            self.answer(request, error_reply(503, "this machine is shutting down"))
            return self._take_actions()
        self._check_for_pause(now)
        if self.quorum_check.possible_delay_s(now) and request.call.name != "status":
            self.answer(request, error_reply(503, "this machine was paused, and the call may be stale"))
            return self._take_actions()
        handlers = self if request.call.name in ("beat", "leave", "resolve") else self.operator_handlers
        getattr(handlers, f"_call_{request.call.name}")(request, now)
        return self._take_actions()

    def on_link(self, peer: str, up: bool, now: float) -> list:
        """Handle a connection to or from a peer that came up or went down."""
        self._check_for_pause(now)
        if peer.startswith("roll@"):
            self.linked_registries.add(ip_of(peer)) if up else self.linked_registries.discard(ip_of(peer))
        if peer.startswith("roll@") and up:
            self.members.resend_all()
            self.send(peer, ["probe", int(now * 1000)])
            items = [b.current_report(now).pack() for b in self.backends.by_id.values()]
            if items:
                self.send(peer, ["backends", 0, items])
        elif peer.startswith("span@"):
            if not up:
                relayed = [proxy for proxy, relay in self.relays.items() if relay == peer]
                for proxy in relayed if peer in self.relays else [peer, *relayed]:
                    self.connected_proxies.pop(proxy, None)
                    self.proxy_info.pop(proxy, None)
                    self.relays.pop(proxy, None)
        elif peer == self.store_peer and up:
            self.allocation.store_restarted(now)
            # The restarted store has lost the read: start it anew, so that proxies need not repeat their requests.
            if self.current_read is not None:
                self.lease_requests, self.current_read = self.current_read[2] + self.lease_requests, None
            self._start_read(now, unpaced=self.allocation.allocator is not None)
        return self._take_actions()

    def on_connection_refused(self, peer: str, dialled_at: float, now: float) -> list:
        """Handle a refused connection, dialled at `dialled_at`: no process listens at the peer's address."""
        if peer.startswith("roll@") and not self.quorum_check.possible_delay_s(now):
            self.allocation.lease.handle_refused_connection(ip_of(peer), dialled_at, now)
        return self._take_actions()

    def tick(self, now: float) -> list:
        """Run all timers that have expired; to be called several times a second."""
        self._check_for_pause(now)
        for token, pending in list(self.pending_calls.items()):
            if now >= pending.deadline or pending.request.is_abandoned:
                del self.pending_calls[token]
                if pending.withdraw_if_abandoned:
                    self.send(self.store_peer, ["withdraw", token])
                self.answer(pending.request, error_reply(503, "no majority answered in time"))
        if self.current_read is not None and now >= self.current_read[1]:
            lease_requests, self.current_read = self.current_read[2], None
            self.lease_requests = [
                waiting for waiting in lease_requests + self.lease_requests if now - waiting[1] < 2.0]
            self._start_read(now)
        if (now >= self.next_content_request_at and self.cluster_state
                and self.cluster_state["digest"] not in ("", *self.contents)):
            self.next_content_request_at = now + CONTENT_RETRY_S
            self.send(self.store_peer, ["want", self.cluster_state["digest"]])
        self.allocation.tick(now, claims=not self.leaving)
        self._start_read(now)
        self._send_changes(self.pending_changes.take_due(now), now)
        if now >= self.next_gossip_at:
            self.next_gossip_at = now + GOSSIP_INTERVAL_S
            self._gossip(now)
        if now >= self.next_sweep_at:
            self.next_sweep_at = now + 0.25
            self._expire(now)
            self.actions += self.directory.notes(now)
            # No backend is declared lost without a majority, or just after contact with one is regained: gossip about
            # many live backends has not arrived by then, and marking them as lost would cause an outage.
            if not self.has_quorum(now):
                if self.quorum_since is not None:
                    self.actions.append(LogEvent("CUT_OFF", {"node": self.node_ip}))
                self.quorum_since = None
            elif self.quorum_since is None:
                self.quorum_since = now
                self.actions.append(LogEvent("IN_TOUCH", {"node": self.node_ip}))
            elif now - self.quorum_since > 4.0 * self.heartbeat_s:
                self._query_suspects(now)
                lost, forgotten = self.backends.sweep(now, self.heartbeat_s)
                self._publish([b.report.id for b in lost], now)
                if lost:
                    self.actions.append(LogEvent("LOST", {"ids": ", ".join(b.report.id for b in lost)}))
                if forgotten:
                    self.reported_lost_ids.difference_update(forgotten)
                    self.actions.append(Save([], forgotten))
        return self._take_actions()

    def _check_for_pause(self, now: float) -> None:
        """After a pause of this process, drop calls and requests from before it: others have moved on meanwhile."""
        if not self.quorum_check.detect_pause(now):
            return
        if self.quorum_since is not None:
            self.actions.append(LogEvent("CUT_OFF", {"node": self.node_ip}))
        self.quorum_since = None
        self.recently_heard_ids.clear()
        self.lease_requests.clear()
        for pending in self.pending_calls.values():
            self.answer(pending.request, error_reply(503, "this machine was paused"))
        self.pending_calls.clear()
        for peer in self.other_registries:
            self.send(peer, ["probe", int(now * 1000)])

    def _expire(self, now: float) -> None:
        """Bound memory: forget silent proxies, and callbacks for configurations that no machine has any more."""
        for ip in [m.ip for m in self.members.known.values() if now - m.last_request_at > PROXY_RETENTION_S]:
            self.members.remove(ip)
        for digest, waiters in list(self.content_waiters.items()):
            self.content_waiters[digest] = [waiter for waiter in waiters if now - waiter[0] < CONTENT_WAIT_S]
            if not self.content_waiters[digest]:
                del self.content_waiters[digest]

    def _take_actions(self) -> list:
        actions, self.actions = self.actions, []
        return actions

    def send(self, to: str, message: list) -> None:
        """Send a message to a peer, by its relay if it has one."""
        if (relay := self.relays.get(to)) is not None:
            to, message = relay, ["passed", ip_of(to), message]
        self.actions.append(Send(to, message))

    def answer(self, request: ApiRequest, reply: Reply) -> None:
        self.actions.append(Answer(request, reply))

    # Core membership

    @property
    def core_zones(self) -> dict[str, str]:
        """Zones of the known core machines, by IP address."""
        if not self.cluster_state:
            return {ip: "" for ip in self.seeds}
        return {**self.cluster_state["ready"], **self.cluster_state["voters"]}

    @property
    def other_registries(self) -> list[str]:
        """Peer names of the registries of all other core machines."""
        return [peer_name("roll", ip) for ip in sorted(self.core_zones) if ip != self.node_ip]

    def is_majority(self, holders: set[str]) -> bool:
        """Whether these IP addresses include a majority of the voters."""
        voters = self.cluster_state["voters"] if self.cluster_state else {ip: "" for ip in self.seeds}
        return len(holders & voters.keys()) > len(voters) // 2

    # Quorum

    def has_quorum(self, now: float) -> bool:
        """Whether a change that is acknowledged here can reach a majority of the voters."""
        return self.quorum_check.has_quorum(self.is_majority, now)

    def _on_probe(self, peer: str, now: float, stamp_ms: int) -> None:
        self.send(peer, ["echo", stamp_ms])

    def _on_echo(self, peer: str, now: float, stamp_ms: int) -> None:
        self.quorum_check.on_echo(ip_of(peer), stamp_ms, now)

    def _unpack_report(self, item: list, now: float) -> BackendReport:
        """Decode a report on a backend; the time that it may have waited in receive buffers adds to its age."""
        report = BackendReport(*item)
        report.age_s += self.quorum_check.possible_delay_s(now)
        return report

    # Backends

    def _call_beat(self, request: ApiRequest, now: float) -> None:
        try:
            value = config_versions.json.loads(request.body)
            info, status = value["information"], value["status"]
            report = BackendReport(
                request.segment, str(value["address"]), str(info["service"]), str(info["availability_zone"]),
                int(info["free_slots"]), str(info.get("version", "")),
                DRAINING if status["state"] == DRAINING else READY, int(status["sequence"]),
                max(0.0, float(status.get("cold_remaining_s") or 0.0)))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return self.answer(request, error_reply(400, f"invalid heartbeat: {error!r}"))
        old = self.backends.by_id.get(report.id)
        was_silent = old is not None and now - old.heard_at > LATE_HEARTBEATS * self.heartbeat_s
        changed = self.backends.merge(report, now) or report.id in self.reported_lost_ids
        self.recently_heard_ids.add(report.id)
        body = {}
        if (nearest_ip := self._nearest_core_machine(report.id, report.zone, now)) is not None:
            body["heartbeat_address"] = f"{nearest_ip}:{self.port}"
        if changed:
            self._publish([report.id], now)
        if report.state == DRAINING:
            if changed:
                self.actions.append(LogEvent("DRAINS", {"id": report.id, "by": "itself"}))
            return self._answer_after_majority(request, [report.id], now, Reply(200, body))
        if changed or was_silent:
            self._replicate([report.id], now, 0)
        # Without a majority the report is replicated all the same, but may not reach any machine: 503 sends the
        # backend to another core machine.
        self.answer(request, Reply(200, body) if self.has_quorum(now) else
                    error_reply(503, "this machine has no contact with a majority"))

    def _call_leave(self, request: ApiRequest, now: float) -> None:
        old = self.backends.by_id.get(request.segment)
        report = old.current_report(now) if old is not None else BackendReport(
            request.segment, "", "", "", 0, "", GONE, 0, 0.0)
        report.state, report.sequence, report.age_s = GONE, report.sequence + 1, 0.0
        if self.backends.merge(report, now):
            self.actions.append(LogEvent("GONE", {"id": report.id}))
            self._publish([report.id], now)
        self._answer_after_majority(request, [report.id], now, Reply(200, {}))

    def _nearest_core_machine(self, backend: str, zone: str, now: float) -> str | None:
        """The IP address of the core machine with a quorum that is best for a backend of that zone.

        Rendezvous hashing spreads the backends of a zone over its core machines.
        """
        region = self.region_of_zone.get(zone)
        candidates = {ip: z for ip, z in self.core_zones.items() if (
            self.has_quorum(now) if ip == self.node_ip else self.quorum_check.is_trusted(ip, now))}
        same_zone = [ip for ip, z in candidates.items() if z == zone]
        same_region = [ip for ip, z in candidates.items() if self.region_of_zone.get(z) == region]
        return min(same_zone or same_region, key=lambda ip: preference(backend, ip), default=None)

    def _answer_after_majority(self, request: ApiRequest, ids: list[str], now: float, reply: Reply) -> None:
        """Replicate these backends, and reply once a majority has stored them, which itself proves a quorum."""
        if not self.has_quorum(now) and not self.is_majority({self.node_ip, *self.linked_registries}):
            self._replicate(ids, now, 0)
            return self.answer(request, error_reply(503, "this machine has no contact with a majority"))
        self.last_token += 1
        token = self.last_token
        pending = self.pending_calls[token] = PendingCall(request, now + DRAIN_ACK_TIMEOUT_S, {self.node_ip})
        pending.on_result = lambda _: self.answer(request, reply)
        self._replicate(ids, now, token)
        self._finish_if_majority(token)

    def _finish_if_majority(self, token: int) -> None:
        if (pending := self.pending_calls.get(token)) is not None and self.is_majority(pending.holders):
            del self.pending_calls[token]
            pending.on_result([])

    def _replicate(self, ids: list[str], now: float, token: int) -> None:
        items = [self.backends.by_id[id].current_report(now).pack() for id in ids if id in self.backends.by_id]
        for peer in self.other_registries:
            self.send(peer, ["backends", token, items])

    def _on_backends(self, peer: str, now: float, token: int, items: list) -> None:
        changed = [item[0] for item in items if self.backends.merge(self._unpack_report(item, now), now)]
        if changed:
            self._publish(changed, now)
        if token:
            self.send(peer, ["hold", token])

    def _on_hold(self, peer: str, now: float, token: int) -> None:
        if (pending := self.pending_calls.get(token)) is not None:
            pending.holders.add(ip_of(peer))
            self._finish_if_majority(token)

    def _gossip(self, now: float) -> None:
        """Send the other registries the ids of backends heard here, and proxies: in full where their state is new."""
        full, digests = self.members.gossip(now, PROXY_FRESH_S)
        heard_ids, self.recently_heard_ids = sorted(self.recently_heard_ids), set()
        ready_proxies = sorted(m.ip for m in self.members.ready(now, PROXY_FRESH_S))
        if ready_proxies != self.announced_proxies:
            self.announced_proxies = ready_proxies
            for proxy in self.connected_proxies:
                self.send(proxy, ["fronts", ready_proxies])
        in_quorum = self.has_quorum(now)
        # Includes connected registries that are not members yet: until the change that adds one is agreed, only the
        # machines that are connected to it know of it.
        for peer in sorted({*self.other_registries, *(peer_name("roll", ip) for ip in self.linked_registries)}):
            self.send(peer, ["heard", heard_ids, full, digests,
                             self.quorum_check.gossip_header(ip_of(peer), in_quorum, now)])

    def _on_heard(self, peer: str, now: float, heard_ids: list, full: list, digests: list, header: list) -> None:
        self.quorum_check.on_gossip(ip_of(peer), *header, now)
        delay_s = self.quorum_check.possible_delay_s(now)
        if unknown := [id for id in heard_ids if id not in self.backends.by_id]:
            # The first report on it was sent before the sender knew this machine as a member.
            self.send(peer, ["heard_of", unknown])
        revived = [id for id in heard_ids if self.backends.refresh(id, delay_s, now) or id in self.reported_lost_ids]
        if revived:
            self.actions.append(LogEvent("FOUND", {"ids": ", ".join(revived)}))
            self._publish(revived, now)
        if unknown := self.members.merge(full, digests, delay_s, now):
            self.send(peer, ["fronts_of", unknown])

    def _on_fronts_of(self, peer: str, now: float, numbers: list) -> None:
        """Gossip the full state of these proxies again: the peer has missed it."""
        self.members.resend(numbers)

    def _query_suspects(self, now: float) -> None:
        """Ask the others about silent backends before these count as lost.

        A registry that still hears from one may have lost contact with this machine alone.
        """
        suspects = [id for id, b in self.backends.by_id.items()
                    if b.report.state != GONE and not b.is_lost
                    and now - b.heard_at > SUSPECT_HEARTBEATS * self.heartbeat_s]
        if suspects and now >= self.next_suspect_query_at:
            self.next_suspect_query_at = now + SUSPECT_QUERY_INTERVAL_S
            for peer in self.other_registries:
                self.send(peer, ["heard_of", suspects])

    def _on_heard_of(self, peer: str, now: float, ids: list) -> None:
        recent = [b.current_report(now).pack() for b in map(self.backends.by_id.get, ids)
                  if b is not None and now - b.heard_at < SUSPECT_HEARTBEATS * self.heartbeat_s]
        if recent:
            self.send(peer, ["backends", 0, recent])

    # Proxies

    def _publish(self, ids: list[str], now: float) -> None:
        """Save changed backends, and send them to the connected proxies, batched."""
        if not ids:
            return
        self.full_list_valid_until = now
        self.reported_lost_ids.difference_update(
            id for id in ids if now - self.backends.by_id[id].confirmed_at < REVIVAL_MAX_AGE_S)
        self.actions.append(Save([self.backends.by_id[id].current_report(now).pack() for id in ids], []))
        self._send_changes(self.pending_changes.add(ids, now), now)

    def _send_changes(self, ids: list[str], now: float) -> None:
        """Send a numbered list update with these backends to all connected proxies."""
        if not ids:
            return
        self.list_number += 1
        items = self._list_entries(ids, now)
        for peer in self.connected_proxies:
            self.send(peer, ["list", self.incarnation, self.list_number, items, False])

    def _list_entries(self, ids: list[str], now: float) -> list:
        """Packed reports on these backends, each with whether it is lost, or None where that is not known."""
        entries = []
        for id in ids:
            if (b := self.backends.by_id.get(id)) is not None:
                item = b.current_report(now).pack()
                silent = now - b.confirmed_at > LOST_AFTER_HEARTBEATS * self.heartbeat_s
                lost = b.is_lost and self.quorum_since is not None or None     # None: unknown without a quorum
                item.append(lost if silent else b.is_lost)
                entries.append(item)
        return entries

    def _on_front(self, peer: str, now: float, info: dict, known: list) -> None:
        """A proxy has connected: take in the backends that it knows, and send it the full list and the state."""
        self.proxy_info[peer] = info
        changed = [item[0] for item in known if self.backends.merge(self._unpack_report(item[:10], now), now)]
        self.reported_lost_ids |= {item[0] for item in known if item[10:] == [True]
                                   and now - self.backends.by_id[item[0]].confirmed_at >= REVIVAL_MAX_AGE_S}
        if changed:
            self._replicate(changed, now, 0)
            self._publish(changed, now)
        self.connected_proxies[peer] = 0
        if now >= self.full_list_valid_until:
            self.full_list = self._list_entries(list(self.backends.by_id), now)
            self.full_list_valid_until = now + FULL_LIST_CACHE_S
        self.send(peer, ["list", self.incarnation, self.list_number, self.full_list, True])
        self.send(peer, ["fronts", self.announced_proxies])
        if self.cluster_state:
            self.send(peer, ["core", self.core_zones, self.cluster_state["rev"]])
            self.send(peer, ["world", *self._state_summary()])

    def _on_pass(self, peer: str, now: float, ip: str, message: list) -> None:
        """Handle a message from a proxy that can't reach this machine; the relay passes the answers back, too."""
        proxy = peer_name("span", ip)
        self.relays[proxy] = peer
        handler = {"front": self._on_front, "ask": self._on_ask, "need": self._on_need,
                   "draw": self.allocation.on_draw}.get(message[0])
        if handler is not None:
            handler(proxy, now, *message[1:])

    def _state_summary(self) -> list:
        state = self.cluster_state
        return [state["rev"], state["version"], state["digest"], state["evac"], state["term"]]

    def _on_ask(self, peer: str, now: float, request_number: int, ready: bool, acknowledged: int,
                share_request: list, version: int) -> None:
        """A proxy requests its lease, and its quota shares if `share_request` is given.

        `acknowledged` is the number of the newest list update that it has received; `version` that of the
        configuration in force there.
        """
        if self.quorum_check.possible_delay_s(now):
            return      # it may be stale; a proxy repeats it twice a second
        if (info := self.proxy_info.get(peer)) is None:
            return self.send(peer, ["who"])
        self.members.update(ip_of(peer), info["address"], info["zone"], info["region"], info["life"], ready,
                          version, 0.0, now, True)
        self.connected_proxies[peer] = acknowledged
        self.lease_requests.append((peer, now, request_number))
        self._start_read(now)
        if share_request:
            self.allocation.forward_request(
                now, [ip_of(peer), info["life"], info["region"], request_number, *share_request]
            )

    def _load_configuration(self) -> None:
        """Apply the newest configuration that is known, if its content has arrived."""
        digest = self.cluster_state["digest"]
        if digest != self.allocation.parameters.digest and (data := self.contents.get(digest)) is not None:
            configuration = config_versions.json.loads(zlib.decompress(data))
            self.directory.homes = home_regions_by_host(configuration)
            self.allocation.parameters = AllocationParameters.from_configuration(digest, configuration)

    def request_read(self, now: float) -> None:
        """Start a read of the agreed state for this machine itself, not on behalf of a proxy."""
        self._start_read(now, unpaced=True)

    def _start_read(self, now: float, unpaced: bool = False) -> None:
        """Read the newest agreed state, one read at a time and paced; it serves all requests that came before it.

        Each read queries a majority, in other regions too: with many proxies, reads without pacing would follow each
        other at once.  An unpaced read does not wait for the interval.
        """
        if self.current_read is None and (
                unpaced or self.lease_requests and now - self.last_read_started_at >= READ_INTERVAL_S):
            self.last_token += 1
            lease_requests, self.lease_requests = self.lease_requests, []
            self.last_read_started_at = now
            self.current_read = (self.last_token, now + READ_TIMEOUT_S, lease_requests)
            self.send(self.store_peer, ["read", self.last_token])

    def _on_newest(self, peer: str, now: float, token: int, cluster_state: dict | None) -> None:
        if cluster_state is not None:
            self._on_world(peer, now, cluster_state)
        if (pending := self.pending_calls.get(token)) is not None:
            del self.pending_calls[token]
            pending.on_result([cluster_state])
        if self.current_read is None or self.current_read[0] != token:
            return
        lease_requests, started_at, self.current_read = (
            self.current_read[2], self.current_read[1] - READ_TIMEOUT_S, None)
        if cluster_state is not None:
            self.state_confirmed_at = max(self.state_confirmed_at, started_at)
            for proxy, _, request_number in lease_requests:
                self.send(proxy, ["lease", request_number, *self._state_summary()])
        self._start_read(now)

    def _on_world(self, peer: str, now: float, cluster_state: dict) -> None:
        if self.cluster_state and cluster_state["rev"] <= self.cluster_state["rev"]:
            return
        for zone in set(self.cluster_state["evac"] if self.cluster_state else ()) - set(cluster_state["evac"]):
            self.cold_backends.restored_at[zone] = now
        previous_digest = self.cluster_state.get("digest", "")
        membership_changed = not self.cluster_state or self.core_zones != {
            **cluster_state["ready"], **cluster_state["voters"]}
        self.cluster_state = cluster_state
        self.allocation.on_world(cluster_state["term"], now)
        if (previous_digest in ("", self.allocation.parameters.digest)
                and cluster_state["digest"] != self.allocation.parameters.digest):
            self.allocation.outdated_since = now
        if cluster_state["digest"] and cluster_state["digest"] not in self.contents:
            self.next_content_request_at = now + CONTENT_RETRY_S
            self.send(self.store_peer, ["want", cluster_state["digest"]])
        else:
            self._load_configuration()
        for proxy in self.connected_proxies:
            if membership_changed:
                self.send(proxy, ["core", self.core_zones, self.cluster_state["rev"]])
            self.send(proxy, ["world", *self._state_summary()])

    def _on_content(self, peer: str, now: float, digest: str, data: bytes) -> None:
        self.contents[digest] = data
        while len(self.contents) > 4:
            self.contents.pop(next(iter(self.contents)))
        if self.cluster_state and digest == self.cluster_state["digest"]:
            self._load_configuration()
        for _, callback in self.content_waiters.pop(digest, ()):
            callback()

    def with_content(self, digest: str, now: float, callback: Callable[[], None]) -> None:
        """Call back once the configuration with this digest is here; never, if it does not arrive in time."""
        if digest in self.contents:
            return callback()
        self.content_waiters.setdefault(digest, []).append((now, callback))
        self.send(self.store_peer, ["want", digest])

    def _on_need(self, peer: str, now: float, digest: str) -> None:
        """A proxy requests a configuration."""
        self.with_content(digest, now, lambda: self.send(peer, ["content", digest, self.contents[digest]]))

    # Clients

    def _call_resolve(self, request: ApiRequest, now: float) -> None:
        zone = request.query.get("availability_zone", "")
        region = request.query.get("region") or self.region_of_zone.get(zone, "")
        resolved = self.directory.resolve(request.query.get("name", ""), zone, region, self.quorum_since, now)
        self.actions += resolved.violations
        if not resolved.addresses:
            return self.answer(request, error_reply(503, "no proxy is ready"))
        self.answer(request, Reply(200, {"addresses": resolved.addresses, "ttl_s": resolved.ttl}))

    def _on_changed(self, peer: str, now: float, token: int, status: int, reason: str,
                    cluster_state: dict | None) -> None:
        """The store's result of a change that was proposed by `token`."""
        if cluster_state is not None:
            self._on_world(peer, now, cluster_state)
        if status not in (200, 503):
            self.actions.append(LogEvent("REFUSED", {"reason": reason}))
        if self.allocation.term_request is not None and token == self.allocation.term_request[0]:
            self.allocation.term_numbered(status, cluster_state, now)
            if status == 200:
                return
        self.allocation.enrollment.proposal_answered(token, status)
        if (pending := self.pending_calls.pop(token, None)) is not None:
            pending.on_result([status, reason])
