"""The process of a proxy: the ingress server, host and connection pools, driven by `core_session.CoreSession`."""

from __future__ import annotations

import asyncio
import time
import zlib
from random import Random

from fennelpoint import interface as api
from fennelpoint.body_buffering import MAX_BODY_BYTES, Budget, budget_of
from fennelpoint.file_descriptors import plan
from fennelpoint.invariants import Invariant, violations
from fennelpoint.lifecycle import Event as LifeCycleEvent
from fennelpoint.lifecycle import LifeCycle
from fennelpoint.net.graceful_shutdown import GracefulShutdown
from fennelpoint.net.server import Server
from fennelpoint.state import Cut
from fennelpoint.system.actions import Send
from fennelpoint.system.config_versions import compile_version
from fennelpoint.system.events import Event, log_event
from fennelpoint.system.http_server import ApiRequest, HttpServer, Reply
from fennelpoint.system.mesh import Mesh
from fennelpoint.system.proxy.controller import ProxyController
from fennelpoint.system.proxy.controller_host import ProxyBackends, ProxyHost
from fennelpoint.system.proxy.core_session import CoreSession
from fennelpoint.system.proxy.events import (
    BackendPlacement,
    Catalogue,
    RetryRule,
    SharesExtended,
    UnitsGranted,
    leased_shares,
)
from fennelpoint.system.proxy.queue_timeout import OVER_QUOTA_RETRY_AFTER_S
from fennelpoint.system.proxy.request_parser import ProxyReader
from fennelpoint.system.proxy.session_actions import (
    ApplyConfig,
    GrantChanged,
    GrantExtended,
    LeaseChanged,
    RefreshBackends,
    UnitsReceived,
)
from fennelpoint.system.registry.backend_table import DRAINING, GONE
from fennelpoint.system.settings import Settings, parse_address
from fennelpoint.system.throttle import Throttle

TICK_S = 0.05
SWEEP_INTERVAL_S = 0.25     # between checks of idle connections
SETTLE_FRACTION, END_FRACTION = 0.72, 0.93  # of the grace period: clients still connect; all answers are sent
ACCEPT_ANY_FRACTION, MAX_ACCEPT_ANY_S = 0.45, 2.7   # of the grace period: requests are taken whatever their duration
SAME_ZONE, OTHER_ZONE, OTHER_REGION = (0.0, 0.0), (0.004, 0.1), (0.05, 0.7)     # see `BackendPlacement.distances`
BACKEND_CONNECT_TIMEOUT_S = 0.4
QUOTA_OVERSHOOT_FRACTION, QUOTA_SLACK_FRACTION = 0.9, 0.5   # of a quota's allowed overshoot and slack, used
RECONNECT_INTERVAL_S = 0.2  # a core machine may have just come back, and no machine dials proxies
UNIT_BATCHING_S = 0.003     # requests for units within this time are sent together
REFRESH_INTERVAL_S = 0.02   # between two passes over a backend list that changes
BACKEND_LIST = "list"
SHARING_PROXIES = 3.0       # that are likely to send to one backend


class Program:
    """The components of a running proxy, and the actions that its session returns."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: Settings) -> None:
        self.loop, self.settings, self.random = loop, settings, Random()
        bounds, listen = settings.rule_bounds, settings.listen_addresses
        descriptors = plan(int(settings.limits.file_descriptors))
        self.budget = Budget(budget_of(settings.limits.memory_mb))
        initial = api.Settings(0, 1, 0, [api.RequestClass("none", 1.0, 1.0, 1.0, api.Effect.UNSAFE)],
                               [api.Plan("public", 1.0)], 8, 0.0, 1.0, 0.0, 1.0, 1.0, 0.0, 0.001, most_units=1.0,
                               may_cancel=True, may_advise=True, max_advice=OVER_QUOTA_RETRY_AFTER_S,
                               connect_timeout=BACKEND_CONNECT_TIMEOUT_S)
        self.backends = ProxyBackends(loop, descriptors.upstream, BACKEND_CONNECT_TIMEOUT_S, 0.0, self.budget)
        self.host = ProxyHost(loop, initial, self.random.getrandbits(32), self.backends, None, self.budget,
                              ProxyController)
        self.host.post(RetryRule(bounds.retry_budget_ratio, bounds.budget_window_s))
        self.host.may_send = self.has_valid_lease
        self.host.request_units = self.request_units
        self.needed_units: dict[str, int] = {}  # by tenant, for the next request
        self.reader = ProxyReader(self.update_catalogue, self.random, self.has_valid_lease)
        self.reader.request_classes.append(initial.classes[0])
        grace = bounds.grace_period_s
        self.life_cycle = LifeCycle(time.monotonic(), SETTLE_FRACTION * grace, END_FRACTION * grace,
                                    min(ACCEPT_ANY_FRACTION * grace, MAX_ACCEPT_ANY_S))
        self.server = Server(loop, self.host, descriptors, self.life_cycle, self.reader)
        registration = {"address": ":".join(map(str, listen.public_http)), "zone": settings.availability_zone,
                        "region": settings.region, "life": self.random.getrandbits(40)}
        self.session = CoreSession(settings.ip_address, settings.availability_zone, settings.region, settings.zones,
                                   settings.seeds, registration, time.monotonic(), bounds.lease_s,
                                   take_request_counts=self.reader.take_request_counts)
        self.mesh = Mesh(loop, "span", settings.ip_address, settings.internal_ports, self.handle_message,
                         self.handle_connection, RECONNECT_INTERVAL_S)
        self.web = HttpServer(loop, self.handle_readiness)
        self.logged_cut: Cut | None = None  # the admission cut that was logged last
        self.evacuated_zones: frozenset = frozenset()
        self.restored_at: dict[str, float] = {}     # by zone: its backends are in cold start for a while
        self.refresh_throttle = Throttle(REFRESH_INTERVAL_S)
        self.refresh_timer: asyncio.TimerHandle | None = None
        self.stopped = loop.create_future()
        self.check_shutdown = GracefulShutdown(loop, self.life_cycle, self.server, self.host, self._end).check

    def has_valid_lease(self) -> bool:
        """Whether requests may be judged by the configuration in force; records a violation of its age bound."""
        now = time.monotonic()
        is_valid = self.session.has_valid_lease(now)
        if is_valid and (age := now - self.session.confirmed_at) > self.settings.rule_bounds.max_staleness_s:
            violations.record(Invariant.DECIDED_BY_THE_NEWEST, f"version last confirmed as newest {age:.2f} s ago")
        return is_valid

    async def start(self) -> None:
        """Listen, and connect to the core; requests are refused until a lease is held."""
        listen = self.settings.listen_addresses
        await self.server.listen(listen.public_http)
        await self.web.listen("readiness", listen.readiness)
        await self.mesh.start()
        self.host.post(api.Barred(True))
        self._tick()
        self._sweep()

    def handle_readiness(self, request: ApiRequest) -> None:
        request.answer(Reply(200 if self.life_cycle.is_ready and self.has_valid_lease() else 503))

    # Session with the core

    def _tick(self) -> None:
        self.loop.call_later(TICK_S, self._tick)
        self.carry_out(self.session.tick(time.monotonic()))
        self.mesh.dial(self.session.peers(time.monotonic()))

    def handle_message(self, peer: str, message: list) -> None:
        self.carry_out(self.session.handle_message(peer, message, time.monotonic()))

    def handle_connection(self, peer: str, is_up: bool) -> None:
        self.carry_out(self.session.handle_connection(peer, is_up, time.monotonic()))

    def carry_out(self, actions: list) -> None:
        """Carry out the actions of the session, in their order."""
        for action in actions:
            match action:
                case Send(to, message):
                    self.mesh.send(to, message)
                case ApplyConfig(version, digest, data):
                    self._apply_config(version, digest, data)
                case RefreshBackends():
                    self._schedule_refresh()
                case LeaseChanged(has_lease, reason):
                    self._update_lease(has_lease, reason)
                case GrantChanged():
                    self._update_shares()
                case GrantExtended():
                    self.host.post(SharesExtended(self.session.grant.expires_at + self.host.clock.offset))
                case UnitsReceived(granted, denied, briefly_short, expires_at):
                    plans, offset = self.reader.plans, self.host.clock.offset
                    self.host.post(UnitsGranted({plans[t]: n for t, n in granted.items() if t in plans},
                                         {plans[t]: n for t, n in denied.items() if t in plans}, expires_at + offset,
                                         {plans[t] for t in briefly_short if t in plans}))

    def request_units(self, customer: int, units: float) -> None:
        """Request units for a tenant without a share here, together with others of the same moment."""
        if not self.needed_units:
            self.loop.call_later(UNIT_BATCHING_S, self._send_unit_request)
        tenant = self.reader.tenants[customer].name
        self.needed_units[tenant] = self.needed_units.get(tenant, 0) + int(units)

    def _send_unit_request(self) -> None:
        units, self.needed_units = self.needed_units, {}
        self.carry_out(self.session.request_units(units, time.monotonic()))

    def _update_lease(self, has_lease: bool, reason: str) -> None:
        now = time.monotonic()
        if has_lease and self.refresh_timer is not None:
            self._run_delayed_refresh()     # requests are accepted from now on, so the list must be current
        if not has_lease:
            log_event(Event.LAPSED, node=self.settings.node_name, reason=reason)
        self.host.post(api.Barred(not has_lease))
        if has_lease and not self.life_cycle.has_list:
            self.life_cycle.handle(LifeCycleEvent.LISTED, now)
            log_event(Event.READY, node=self.settings.node_name)
        elif not self.life_cycle.is_ending:
            self.life_cycle.handle(LifeCycleEvent.ADMIT if has_lease else LifeCycleEvent.BAR, now)
            self.check_shutdown()
        self.session.is_ready = self.life_cycle.is_ready
        self.carry_out(self.session.renew_now(now))

    def _apply_config(self, number: int, digest: str, data: bytes) -> None:
        """Put a version in force; one that cannot be compiled changes nothing here, and gets no lease."""
        try:
            version = compile_version(zlib.decompress(data))
        except Exception as error:
            log_event(Event.UNUSABLE, node=self.settings.node_name, version=number, reason=repr(error))
            return self.session.handle_unusable(digest)
        self.reader.apply_version(version)
        self.server.idle_timeout_s = max(5.0, version.limits.idle_timeout_s)
        self.server.head_timeout_s = max(2.5, version.limits.header_timeout_s)
        self.backends.max_body_bytes = max(MAX_BODY_BYTES, version.limits.body_bytes)
        self.update_catalogue()
        self._update_shares()
        self._refresh_backends()
        log_event(Event.APPLIED, node=self.settings.node_name, version=number)
        self.carry_out(self.session.handle_applied(number, digest, time.monotonic()))

    def update_catalogue(self) -> None:
        """Post all classes, plans and cells to the controller, after a new version, class or cell."""
        # The rule allows an overshoot and some slack: they go to proxies whose share is too small by chance.
        bounds = self.settings.rule_bounds
        overshoot, slack = (1.0 + QUOTA_OVERSHOOT_FRACTION * bounds.quota_overshoot,
                            QUOTA_SLACK_FRACTION * bounds.quota_slack)
        plans = [api.Plan("public", 1.0)] + [
            api.Plan(t.name, 8.0 ** -min(t.priority, 10), t.rate_per_s * overshoot,
                     (t.burst_size * overshoot + slack) * (t.rate_per_s > 0.0))
            for t in self.reader.tenants]
        self.host.post(Catalogue(list(self.reader.request_classes), plans))
        self._update_cells()

    def _update_cells(self) -> None:
        cells, regions = {}, self.settings.zones
        for cell, (service, homes) in self.reader.cells.items():
            cells[cell] = api.Cell(frozenset(
                id for id, b in self.session.backends.by_id.items() if b.report.service == service
                and (homes is None or regions.get(b.report.zone) in homes)))
        self.host.post(api.Cells(cells))

    def _schedule_refresh(self) -> None:
        """Guards the event loop: a refresh goes over the whole list, and hundreds of backends may change at once."""
        now = time.monotonic()
        if self.refresh_throttle.add([BACKEND_LIST], now):
            self._refresh_backends()
        elif self.refresh_timer is None:
            self.refresh_timer = self.loop.call_later(self.refresh_throttle.delay(now), self._run_delayed_refresh)

    def _run_delayed_refresh(self) -> None:
        self.refresh_timer.cancel()
        self.refresh_timer = None
        self.refresh_throttle.take_all(time.monotonic())
        self._refresh_backends()

    def _refresh_backends(self) -> None:
        """Pass the present backend list to the connection pools and the controller."""
        now, session = time.monotonic(), self.session
        for zone in self.evacuated_zones - session.evacuated_zones:
            self.restored_at[zone] = now
        self.evacuated_zones = session.evacuated_zones
        entries, addresses = [], {}
        for id, backend in session.backends.by_id.items():
            record = backend.report
            try:
                addresses[id] = parse_address(record.address)
            except ValueError:
                continue
            state = api.BackendState.READY
            if record.state == GONE:
                state = api.BackendState.GONE
            elif record.state == DRAINING or backend.is_lost or record.zone in session.evacuated_zones:
                state = api.BackendState.DRAINING
            entries.append(api.BackendEntry(id, state))
        self._update_placement(now)
        self._update_cells()
        self.host.follow(api.Roster(api.RosterKind.FULL, 0, entries), addresses)

    def _update_placement(self, now: float) -> None:
        distances, slots, cold_limits = {}, {}, {}
        settings = self.settings
        clusters = self.reader.version.clusters if self.reader.version is not None else {}
        for id, backend in self.session.backends.by_id.items():
            zone = backend.report.zone
            region = settings.zones.get(zone)
            distances[id] = OTHER_REGION if region != settings.region else OTHER_ZONE if zone != (
                settings.availability_zone) else SAME_ZONE
            slots[id] = max(1, backend.report.free_slots)
            cluster = clusters.get(backend.report.service)
            cold_until = backend.cold_until
            if cluster is not None and zone in self.restored_at:
                cold_until = max(cold_until, self.restored_at[zone] + cluster[0])
            if cluster is not None and cold_until > now:
                # The controller uses the host's clock, which has an offset from the monotonic clock.
                cold_limits[id] = (cold_until + self.host.clock.offset, self.session.grant.cold_rates.get(id, 0))
        self.host.post(BackendPlacement(distances, slots, cold_limits, SHARING_PROXIES))

    def _update_shares(self) -> None:
        """Pass a new or expired grant to the controller: a share that is not granted is zero."""
        shares = leased_shares(self.session.grant, self.reader.plans, self.settings.rule_bounds.budget_slack)
        shares.expires_at += self.host.clock.offset
        self.host.post(shares)
        self._update_placement(time.monotonic())

    # Maintenance and shutdown

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.server.sweep()
        self.backends.sweep()
        self._log_cuts()
        self._log_departures()

    def _log_departures(self) -> None:
        departures = self.host.take_departures()
        if departures.clients:
            log_event(Event.CLIENTS_LEFT, node=self.settings.node_name, clients=departures.clients,
                      ended=departures.ended, running=departures.running)

    def _log_cuts(self) -> None:
        """Log the latest decision of admission control, which decides at most every half second."""
        regulation = self.host.controller.regulation
        previous, self.logged_cut = self.logged_cut, regulation.cut
        if self.logged_cut is None and previous is not None:
            log_event(Event.RESTORES, node=self.settings.node_name)
        if self.logged_cut is None or self.logged_cut is previous:
            return
        names = {key: tenant.name for key, tenant in enumerate(self.reader.tenants)}
        cut = ", ".join(f"{names.get(c.key, 'public')} by {amount:.2f} a second"
                        for c, amount in self.logged_cut.takes)
        failing = ", ".join(names.get(c.key, "public") for c in regulation.active.values()
                            if c.ratio > 1.0 and c.rate <= regulation.local_rate(c, self.host.clock()) + 1e-9)
        log_event(Event.CUTS, node=self.settings.node_name, cut=cut or "nobody", failing=failing or "nobody",
                  confidence=f"{regulation.fit.predict(regulation.work)[1]:.1f}")

    def reload(self, settings: Settings) -> None:
        """Use the seeds of a changed settings file."""
        self.session.seeds = settings.seeds

    def stop(self) -> None:
        """Drain and end within the grace period; `stopped` is set at the end."""
        if not self.life_cycle.is_ending:
            log_event(Event.STOP, node=self.settings.node_name)
            self.life_cycle.handle(LifeCycleEvent.TERM, time.monotonic())
            self.check_shutdown()   # first: a failure to notify the core must not keep this process from ending
            self.session.is_ready = False
            self.carry_out(self.session.renew_now(time.monotonic()))

    def _end(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        """Close all sockets at once."""
        self.mesh.close()
        self.web.close()
        self.server.close()
        self.backends.close()
