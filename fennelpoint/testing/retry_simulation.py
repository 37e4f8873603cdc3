"""Simulation of proxies that send retries to failing backends, with the real controllers, sessions and allocators.

Proxies are killed, replaced, frozen and cut off; allocators are superseded; routes move between services, and proxies
apply the change late. Idle periods of any length pass at once, while leases are renewed. `RetryCounter`, which is
independent of retry budgets, counts what backends receive.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from fennelpoint import interface as api
from fennelpoint.system.actions import Send
from fennelpoint.system.mesh import peer_name
from fennelpoint.system.proxy.controller import ProxyController
from fennelpoint.system.proxy.core_session import CoreSession
from fennelpoint.system.proxy.events import BackendPlacement, Catalogue, RetryRule, SharesExtended, leased_shares
from fennelpoint.system.proxy.session_actions import GrantChanged, GrantExtended
from fennelpoint.system.registry.allocator import READ_VALIDITY_S, Allocator
from fennelpoint.system.settings import Bounds
from fennelpoint.testing.retry_rule import RetryCounter

TICK_S = 0.05  # tick interval of a session
CORE = peer_name("roll", "core")
SERVICES = ("a", "b")
BACKENDS = tuple(f"{service}{number}" for service in SERVICES for number in range(6))
LATENCY_TARGET_S, DEADLINE_S, ATTEMPTS = 2.0, 5.0, 2
SERVICE_TIME_S = 0.01  # of a request at a backend
NETWORK_DELAYS_S = (0.001, 0.001, 0.02, 0.1)  # from a proxy to a backend
CONFIG_DELAYS_S = (0.04, 0.1, 3.0)  # until a proxy applies a version
RULE = RetryRule(0.2, 10.0)
FAILURES = {"shed": api.Status.FULL, "errors": api.Status.ERROR, "reset": api.Status.RESET}


@dataclass(slots=True)
class Proxy:
    """One proxy machine: the components of its current process, and its connection to the core."""

    ip: str
    session: CoreSession
    controller: ProxyController
    incarnation: int
    lease_expires_at: float = -1e9  # checked before each request is forwarded
    is_cut_off: bool = False
    deferred: list[Callable[[], None]] | None = None  # events while it is frozen; None: it runs
    service: str = SERVICES[0]  # target of the route in the version in force here
    version: int = 0

    @property
    def is_running(self) -> bool:
        return self.deferred is None


@dataclass(slots=True)
class Term:
    """One allocator, and until when it may grant: its successor may start before it learns of that."""

    allocator: Allocator
    may_grant_until: float = 1e9


@dataclass(slots=True)
class Failure:
    """Share of requests that the backends of a service fail, and with which status."""

    share: float = 0.0
    status: api.Status = api.Status.FULL


@dataclass(eq=False)
class RetrySimulation:
    """Simulates `proxy_count` proxies; `slack` is that of the retry rule."""

    proxy_count: int
    slack: float
    seed: int = 1
    controller_type: type[ProxyController] = ProxyController
    now: float = 100.0
    event_queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    event_count: int = 0  # also numbers the requests
    served_count: int = 0
    request_count: int = 0
    version: int = 0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.counter = RetryCounter(RULE.ratio, self.slack, RULE.window_s)
        self.routed_service = SERVICES[0]  # target of the route in the newest version
        self.failures = {service: Failure() for service in SERVICES}
        self.service_by_request: dict[int, str] = {}  # the service of each request that a proxy has read
        self.terms: list[Term] = []
        self.proxies: dict[str, Proxy] = {}
        self.incarnation_count = 0
        names = [f"p{number}" for number in range(self.proxy_count)]
        self.start_term(names)
        for ip in names:
            self.start(ip)

    # Machines

    def start(self, ip: str) -> None:
        """Start a new process; of the previous one only messages in transit are left."""
        self.incarnation_count += 1
        session = CoreSession(ip, "z", "r", {"z": "r"}, ["core"], {"life": self.incarnation_count}, self.now)
        classes = [api.RequestClass("read", LATENCY_TARGET_S, DEADLINE_S, 1.0, api.Effect.SAFE)]
        plans = [api.Plan("public", 1.0)]
        settings = api.Settings(
            0,
            1,
            0,
            classes,
            plans,
            8,
            0.0,
            1.0,
            0.0,
            1.0,
            1.0,
            0.0,
            0.001,
            most_units=1.0,
            may_advise=True,
            max_advice=3.0,
        )
        proxy = self.proxies[ip] = Proxy(
            ip,
            session,
            self.controller_type(settings, self.incarnation_count, self.now),
            self.incarnation_count,
            service=self.routed_service,
            version=self.version,
        )
        cells = {service: api.Cell(frozenset(b for b in BACKENDS if b.startswith(service))) for service in SERVICES}
        entries = [api.BackendEntry(backend, api.BackendState.READY) for backend in BACKENDS]
        for event in (
            RULE,
            Catalogue(classes, plans),
            api.Cells(cells),
            api.Roster(api.RosterKind.FULL, 0, entries),
            BackendPlacement({}, dict.fromkeys(BACKENDS, 1000), {}),
        ):
            self._post(proxy, event)
        self._run_session_actions(proxy, session.handle_connection(CORE, True, self.now))
        self._schedule(self.random.random() * TICK_S, lambda: self._tick(proxy))

    def kill(self, ip: str) -> None:
        """Replace the process at once by a new one without any of its state."""
        self.start(ip)

    def freeze(self, ip: str) -> None:
        if self.proxies[ip].is_running:
            self.proxies[ip].deferred = []

    def thaw(self, ip: str) -> None:
        """Resume a frozen proxy; events that came meanwhile are handled before its timers."""
        proxy = self.proxies[ip]
        deferred, proxy.deferred = proxy.deferred or [], None
        for callback in deferred:
            callback()

    def cut(self, ip: str, is_cut_off: bool) -> None:
        """Cut a proxy off from the core, or reconnect it."""
        self.proxies[ip].is_cut_off = is_cut_off

    def start_term(self, names: list[str] | None = None) -> None:
        """Start another allocator, which knows nothing but the names of the proxies."""
        if self.terms:
            self.terms[-1].may_grant_until = self.now + READ_VALIDITY_S
        allocator = Allocator([len(self.terms) + 1, "c"], names or list(self.proxies), self.now)
        self.terms.append(Term(allocator))

    def move_route(self, service: str) -> None:
        """Point the route at that service; each proxy applies the change within some seconds."""
        self.routed_service, self.version = service, self.version + 1
        for proxy in self.proxies.values():
            self._schedule(
                self.random.choice(CONFIG_DELAYS_S),
                lambda p=proxy, n=self.version: self._apply_version(p, service, n),
            )

    @staticmethod
    def _apply_version(proxy: Proxy, service: str, version: int) -> None:
        if version > proxy.version:
            proxy.service, proxy.version = service, version

    # Traffic

    def fail(self, service: str, share: float, kind: str = "shed") -> None:
        self.failures[service] = Failure(share, FAILURES[kind])

    def serve(self, seconds: float, rate: float) -> None:
        """Send requests for some seconds at a rate per second, each to a random proxy."""
        end = self.now + seconds
        next_at = self.now + self.random.expovariate(rate)
        while next_at < end:
            self._run_until(next_at)
            self._receive_request(self.random.choice(list(self.proxies.values())))
            next_at += self.random.expovariate(rate)
        self._run_until(end)

    def idle(self, seconds: float) -> None:
        """Let some seconds pass without requests; proxies that reach the core keep renewing their leases."""
        self._run_until(self.now + 1.0)
        self.now += seconds
        self.event_queue = [(at + seconds, number, do) for at, number, do in self.event_queue]
        for term in self.terms:
            if term.may_grant_until > 1e8:
                for allocated in term.allocator.proxies.values():
                    for grant in allocated.grants:
                        grant.expires_at += seconds
                    allocated.last_request_at += seconds
        for proxy in self.proxies.values():
            if proxy.is_running and not proxy.is_cut_off:
                proxy.session.grant.expires_at += seconds
                proxy.lease_expires_at += seconds
                self._post(proxy, SharesExtended(proxy.session.grant.expires_at))

    def _receive_request(self, proxy: Proxy) -> None:
        self.event_count += 1
        self.request_count += 1
        request, sent_at = self.event_count, self.now
        self.counter.record_request(self.routed_service, sent_at)
        if proxy.service != self.routed_service:  # an older version may stay in force for some seconds
            self.counter.record_request(proxy.service, sent_at)

        def arrive() -> None:
            self.service_by_request[request] = proxy.service
            if self._may_send(proxy):
                self._post(
                    proxy,
                    api.Request(request, 0, 0, -1, DEADLINE_S, 1.0, 1.0, 0.0, cell=proxy.service, attempts=ATTEMPTS),
                )

        self._schedule_at_proxy(proxy, 0.002, arrive)

    def _may_send(self, proxy: Proxy) -> bool:
        return self.proxies.get(proxy.ip) is proxy and self.now < proxy.lease_expires_at

    def _forward(self, proxy: Proxy, request: int, backend: str) -> None:
        if not self._may_send(proxy):
            return self._post(proxy, api.Outcome(request, 0, backend, api.Status.MOOT, 0.0, False))
        service = self.service_by_request[request]
        network_delay_s = self.random.choice(NETWORK_DELAYS_S)

        def receive() -> None:
            self.counter.record_arrival(service, request, self.now)
            failure = self.failures[service]
            status = failure.status if self.random.random() < failure.share else api.Status.OK
            self.served_count += status is api.Status.OK
            self._schedule_at_proxy(
                proxy,
                SERVICE_TIME_S,
                lambda: self._post(
                    proxy,
                    api.Outcome(
                        request,
                        0,
                        backend,
                        status,
                        SERVICE_TIME_S + network_delay_s,
                        status is api.Status.OK,
                        wrote=True,
                    ),
                ),
            )

        self._schedule(network_delay_s, receive)

    # The core

    def _tick(self, proxy: Proxy) -> None:
        if self.proxies.get(proxy.ip) is not proxy:
            return
        self._schedule_at_proxy(proxy, TICK_S, lambda: self._tick(proxy))
        self._run_session_actions(proxy, proxy.session.tick(self.now))

    def _run_session_actions(self, proxy: Proxy, actions: list) -> None:
        for action in actions:
            match action:
                case Send(_, ["ask", number, _, _, demand, _]) if demand:
                    self._schedule(
                        0.02, lambda n=number, d=demand, sent=self.now: self._handle_lease_request(proxy, n, d, sent)
                    )
                case GrantChanged():
                    self._post(proxy, leased_shares(proxy.session.grant, {}, self.slack))
                case GrantExtended():
                    self._post(proxy, SharesExtended(proxy.session.grant.expires_at))

    def _handle_lease_request(self, proxy: Proxy, number: int, demand: list, sent_at: float) -> None:
        """A lease request reached the core: renew the lease, and let one of the active allocators grant shares."""
        if proxy.is_cut_off or not proxy.is_running or self.proxies.get(proxy.ip) is not proxy:
            return

        def reply(message: list) -> None:
            self._schedule(
                0.02,
                lambda: None
                if proxy.is_cut_off
                else self._schedule_at_proxy(
                    proxy,
                    0.0,
                    lambda: self._run_session_actions(proxy, proxy.session.handle_message(CORE, message, self.now)),
                ),
            )

        def renew() -> None:
            proxy.lease_expires_at = max(proxy.lease_expires_at, sent_at + Bounds().lease_s)

        self._schedule_at_proxy(proxy, 0.02, renew)
        granting = [term for term in self.terms if self.now <= term.may_grant_until]
        allocator = self.random.choice(granting[-2:]).allocator
        known_grant, request_counts, holds = demand
        grant = allocator.request_grant(
            proxy.ip, proxy.incarnation, "r", known_grant, request_counts, holds, {}, {}, self.now
        )
        if grant is None:
            reply(["tell", allocator.term])
        else:
            is_known = [allocator.term, grant.number] == known_grant
            reply(["lend", number, allocator.term, grant.number, None if is_known else grant.pack()])

    # Time

    def _schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.event_queue, (self.now + delay_s, self.event_count, callback))

    def _schedule_at_proxy(self, proxy: Proxy, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule an event at a proxy; a frozen one handles it when it resumes, a dead one never."""

        def arrive() -> None:
            if self.proxies.get(proxy.ip) is not proxy:
                return
            callback() if proxy.is_running else proxy.deferred.append(callback)

        self._schedule(delay_s, arrive)

    def _run_until(self, until: float) -> None:
        while self.event_queue and self.event_queue[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.event_queue)
            callback()
        self.now = until

    def _post(self, proxy: Proxy, event: object) -> None:
        for action in proxy.controller.handle(event, self.now):
            match action:
                case api.SetTimer(delay, token):
                    self._schedule_at_proxy(proxy, delay, lambda t=token: self._post(proxy, api.TimerDue(t)))
                case api.Send(request, backend):
                    self._forward(proxy, request, backend)
