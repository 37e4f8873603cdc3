"""The process of a front: the present server, host and pools, told by `core_session.CoreSession` what holds."""

from __future__ import annotations

import asyncio
import time
import zlib
from random import Random

from fennelpoint import interface as api
from fennelpoint.body_buffering import Budget, budget_of
from fennelpoint.file_descriptors import plan
from fennelpoint.invariants import Invariant, violations
from fennelpoint.lifecycle import Event as Life
from fennelpoint.lifecycle import LifeCycle
from fennelpoint.net.graceful_shutdown import GracefulShutdown
from fennelpoint.net.server import Server
from fennelpoint.state import Cut
from fennelpoint.system.actions import Send
from fennelpoint.system.config_versions import compile_version
from fennelpoint.system.events import Event, say
from fennelpoint.system.http_server import Asking, Reply, Web
from fennelpoint.system.mesh import Mesh
from fennelpoint.system.proxy.controller import Decider
from fennelpoint.system.proxy.controller_host import SystemBackends, SystemHost
from fennelpoint.system.proxy.core_session import CoreSession
from fennelpoint.system.proxy.events import (
    BackendPlaces,
    Catalogue,
    LeaseExtended,
    RetryRule,
    UnitsGranted,
    leased_shares,
)
from fennelpoint.system.proxy.queue_timeout import OVER_ADVICE
from fennelpoint.system.proxy.request_parser import SystemReader
from fennelpoint.system.proxy.session_actions import Apply, Extend, Hold, Lend, Refresh, Units
from fennelpoint.system.registry.backend_table import DRAINING, GONE
from fennelpoint.system.settings import Settings, address
from fennelpoint.system.throttle import Paced

TICK = 0.05         # s
SWEEP = 0.25        # s between looks at idle connections
SETTLE, END = 0.72, 0.93    # of the grace: clients still come; all is answered
TAKES_ANY, TAKES_ANY_MOST = 0.45, 2.7   # of the grace, and s: any request is taken, however long it may last
NEAR, FAR_ZONE, FAR_REGION = (0.0, 0.0), (0.004, 0.1), (0.05, 0.7)    # what a place costs in the choice
CONNECT = 0.4       # s for a connection to a backend
OVER_PART, MORE_PART = 0.9, 0.5     # of a quota's overshoot and slack, used
AGAIN = 0.2         # s between tries to reach a core machine: it may have just come back, and nobody dials us
GATHER = 0.003      # s in which asks for units go together
REFRESH_PAUSE = 0.02    # s between two looks at a list that has changed
LIST = "list"
SHARERS = 3.0       # fronts that are likely to send to one backend


class Program:
    """The parts of a running front."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: Settings) -> None:
        self.loop, self.settings, self.random = loop, settings, Random()
        bounds, listen = settings.rule_bounds, settings.listen_addresses
        room = plan(int(settings.limits.file_descriptors))
        self.budget = Budget(budget_of(settings.limits.memory_mb))
        given = api.Settings(0, 1, 0, [api.RequestClass("none", 1.0, 1.0, 1.0, api.Effect.UNSAFE)],
                             [api.Plan("public", 1.0)], 8, 0.0, 1.0, 0.0, 1.0, 1.0, 0.0, 0.001, most_units=1.0,
                             may_cancel=True, may_advise=True, max_advice=OVER_ADVICE, connect_timeout=CONNECT)
        self.backends = SystemBackends(loop, room.upstream, CONNECT, 0.0, self.budget)
        self.host = SystemHost(loop, given, self.random.getrandbits(32), self.backends, None, self.budget, Decider)
        self.host.post(RetryRule(bounds.retry_budget_ratio, bounds.budget_window_s))
        self.host.gate = self.allows
        self.host.need = self.need
        self.needs: dict[str, int] = {}         # units to draw, by tenant, with the next word
        self.reader = SystemReader(self.grown, self.random, self.allows)
        self.reader.made.append(given.classes[0])
        grace = bounds.grace_period_s
        self.life = LifeCycle(time.monotonic(), SETTLE * grace, END * grace, min(TAKES_ANY * grace, TAKES_ANY_MOST))
        self.server = Server(loop, self.host, room, self.life, self.reader)
        about = {"address": ":".join(map(str, listen.public_http)), "zone": settings.availability_zone,
                 "region": settings.region, "life": self.random.getrandbits(40)}
        self.session = CoreSession(settings.ip_address, settings.availability_zone, settings.region, settings.zones,
                             settings.seeds, about, time.monotonic(), bounds.lease_s, asked=self.reader.take_asked)
        self.mesh = Mesh(loop, "span", settings.ip_address, settings.internal_ports, self.take, self.linked, AGAIN)
        self.web = Web(loop, self.call)
        self.cut: Cut | None = None     # what admission takes off whom, as last told
        self.evac: frozenset = frozenset()
        self.restored: dict[str, float] = {}    # zones that were taken back, and until when they count as cold
        self.refreshes = Paced(REFRESH_PAUSE)
        self.refresh_timer: asyncio.TimerHandle | None = None
        self.stopped = loop.create_future()
        self.look = GracefulShutdown(loop, self.life, self.server, self.host, self._end).check

    def allows(self) -> bool:
        """Whether anything may be decided by the configuration in force: its lease holds."""
        now = time.monotonic()
        allowed = self.session.allows(now)
        if allowed and (age := now - self.session.proven_at) > self.settings.rule_bounds.newest_within_s:
            violations.record(Invariant.DECIDED_BY_THE_NEWEST, f"proven newest {age:.2f} s ago")
        return allowed

    async def start(self) -> None:
        listen = self.settings.listen_addresses
        await self.server.listen(listen.public_http)
        await self.web.listen("readiness", listen.readiness)
        await self.mesh.start()
        self.host.post(api.Barred(True))
        self._tick()
        self._sweep()

    def call(self, asking: Asking) -> None:
        asking.answer(Reply(200 if self.life.ready and self.allows() else 503))

    # Ties to the core

    def _tick(self) -> None:
        self.loop.call_later(TICK, self._tick)
        self.carry_out(self.session.tick(time.monotonic()))
        self.mesh.dial(self.session.peers(time.monotonic()))

    def take(self, peer: str, message: list) -> None:
        self.carry_out(self.session.heard(peer, message, time.monotonic()))

    def linked(self, peer: str, up: bool) -> None:
        self.carry_out(self.session.linked(peer, up, time.monotonic()))

    def carry_out(self, actions: list) -> None:
        for action in actions:
            match action:
                case Send(to, message):
                    self.mesh.send(to, message)
                case Apply(version, data):
                    self._apply(version, data)
                case Refresh():
                    self._refresh_soon()
                case Hold(held, reason):
                    self._hold(held, reason)
                case Lend():
                    self._lend()
                case Extend():
                    self.host.post(LeaseExtended(self.session.parts.until + self.host.clock.offset))
                case Units(given, denied, soon, until):
                    plans, offset = self.reader.plans, self.host.clock.offset
                    self.host.post(UnitsGranted({plans[t]: n for t, n in given.items() if t in plans},
                                         {plans[t]: n for t, n in denied.items() if t in plans}, until + offset,
                                         {plans[t] for t in soon if t in plans}))

    def need(self, customer: int, units: float) -> None:
        """Units of a tenant without a part here: asked for together with all others of this moment."""
        if not self.needs:
            self.loop.call_later(GATHER, self._draw)
        tenant = self.reader.holders[customer].name
        self.needs[tenant] = self.needs.get(tenant, 0) + int(units)

    def _draw(self) -> None:
        needs, self.needs = self.needs, {}
        self.carry_out(self.session.draw(needs, time.monotonic()))

    def _hold(self, held: bool, reason: str) -> None:
        now = time.monotonic()
        if held and self.refresh_timer is not None:
            self._refresh_again()   # requests are taken from now on: by the list as it is
        if not held:
            say(Event.LAPSED, node=self.settings.node_name, reason=reason)
        self.host.post(api.Barred(not held))
        if held and not self.life.listed:
            self.life.handle(Life.LISTED, now)
            say(Event.READY, node=self.settings.node_name)
        elif not self.life.ending:
            self.life.handle(Life.ADMIT if held else Life.BAR, now)
            self.look()
        self.session.ready = self.life.ready
        self.carry_out(self.session.say(now))

    def _apply(self, number: int, data: bytes) -> None:
        version = compile_version(zlib.decompress(data))
        self.reader.take(version)
        self.server.idle_timeout_s = max(5.0, version.limits.idle_timeout)
        self.server.head_timeout_s = max(2.5, version.limits.header_timeout)
        self.grown()
        self._lend()
        self._refresh()
        say(Event.APPLIED, node=self.settings.node_name, version=number)

    def grown(self) -> None:
        """A version, a class or a cell that is new: the module hears of all."""
        # The rule leaves a part more and some requests beyond: they go to fronts whose part is short by chance.
        bounds = self.settings.rule_bounds
        over, more = 1.0 + OVER_PART * bounds.quota_overshoot, MORE_PART * bounds.quota_slack
        plans = [api.Plan("public", 1.0)] + [
            api.Plan(h.name, 8.0 ** -min(h.priority, 10), h.rate * over, (h.burst * over + more) * (h.rate > 0.0))
            for h in self.reader.holders]
        self.host.post(Catalogue(list(self.reader.made), plans))
        self._cells()

    def _cells(self) -> None:
        cells, regions = {}, self.settings.zones
        for cell, (service, homes) in self.reader.cells.items():
            cells[cell] = api.Cell(frozenset(
                id for id, b in self.session.backends.known.items() if b.told.service == service
                and (homes is None or regions.get(b.told.zone) in homes)))
        self.host.post(api.Cells(cells))

    def _refresh_soon(self) -> None:
        """Guards the loop: the list is gone through whole, and hundreds of backends may change within a second."""
        now = time.monotonic()
        if self.refreshes.add([LIST], now):
            self._refresh()
        elif self.refresh_timer is None:
            self.refresh_timer = self.loop.call_later(self.refreshes.wait(now), self._refresh_again)

    def _refresh_again(self) -> None:
        self.refresh_timer.cancel()
        self.refresh_timer = None
        self.refreshes.take(time.monotonic())
        self._refresh()

    def _refresh(self) -> None:
        """The list as it is now, for the sockets and the module."""
        now, session = time.monotonic(), self.session
        for zone in self.evac - session.evac:
            self.restored[zone] = now
        self.evac = session.evac
        entries, addresses = [], {}
        for id, b in session.backends.known.items():
            told = b.told
            try:
                addresses[id] = address(told.address)
            except ValueError:
                continue
            state = api.BackendState.READY
            if told.state == GONE:
                state = api.BackendState.GONE
            elif told.state == DRAINING or b.lost or told.zone in session.evac:
                state = api.BackendState.DRAINING
            entries.append(api.BackendEntry(id, state))
        self._place(now)
        self._cells()
        self.host.follow(api.Roster(api.RosterKind.FULL, 0, entries), addresses)

    def _place(self, now: float) -> None:
        far, slots, cold = {}, {}, {}
        settings = self.settings
        clusters = self.reader.version.clusters if self.reader.version is not None else {}
        for id, b in self.session.backends.known.items():
            zone = b.told.zone
            region = settings.zones.get(zone)
            far[id] = FAR_REGION if region != settings.region else FAR_ZONE if zone != (
                settings.availability_zone) else NEAR
            slots[id] = max(1, b.told.slots)
            cluster = clusters.get(b.told.service)
            until = b.cold_until
            if cluster is not None and zone in self.restored:
                until = max(until, self.restored[zone] + cluster[0])
            if cluster is not None and until > now:
                # The module's clock is the host's, whose moments the steady clock's are not.
                cold[id] = (until + self.host.clock.offset, self.session.parts.cold.get(id, 0))
        self.host.post(BackendPlaces(far, slots, cold, SHARERS))

    def _lend(self) -> None:
        """Parts that are new, or at an end: what is not lent is not there."""
        shares = leased_shares(self.session.parts, self.reader.plans, self.settings.rule_bounds.budget_slack)
        shares.until += self.host.clock.offset
        self.host.post(shares)
        self._place(time.monotonic())

    # Start and stop

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP, self._sweep)
        self.server.sweep()
        self.backends.sweep()
        self._tell_cuts()
        self._tell_departures()

    def _tell_departures(self) -> None:
        departed = self.host.take_departures()
        if departed.clients:
            say(Event.CLIENTS_LEFT, node=self.settings.node_name, clients=departed.clients, ended=departed.ended,
                running=departed.running)

    def _tell_cuts(self) -> None:
        """What admission decided since the last look; it decides each half second at most."""
        regulation = self.host.controller.regulation
        before, self.cut = self.cut, regulation.cut
        if self.cut is None and before is not None:
            say(Event.RESTORES, node=self.settings.node_name)
        if self.cut is None or self.cut is before:
            return
        names = {key: holder.name for key, holder in enumerate(self.reader.holders)}
        cut = ", ".join(f"{names.get(c.key, 'public')} by {amount:.2f} a second" for c, amount in self.cut.takes)
        failing = ", ".join(names.get(c.key, "public") for c in regulation.active.values()
                            if c.ratio > 1.0 and c.rate <= regulation.own_rate(c, self.host.clock()) + 1e-9)
        say(Event.CUTS, node=self.settings.node_name, cut=cut or "nobody", failing=failing or "nobody",
            confidence=f"{regulation.fit.at(regulation.work)[1]:.1f}")

    def reload(self, settings: Settings) -> None:
        self.session.seeds = settings.seeds

    def stop(self) -> None:
        if not self.life.ending:
            say(Event.STOP, node=self.settings.node_name)
            self.life.handle(Life.TERM, time.monotonic())
            self.look()     # first: a word to the core that fails must not keep this process from its end
            self.session.ready = False
            self.carry_out(self.session.say(time.monotonic()))

    def _end(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        self.mesh.close()
        self.web.close()
        self.server.close()
        self.backends.close()
