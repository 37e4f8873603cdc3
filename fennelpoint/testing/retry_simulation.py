"""Proxies that send retries, in simulated time: real deciders, sessions and allocators; failing backends; the rule.

Proxies are killed, replaced, frozen and cut off; allocators give way to others; routes move between services and come
into force late.  Quiet spells of any length pass at once, with leases that are renewed all the while.  What backends
receive is counted by `RetryCounter`, which knows nothing of budgets.
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

TICK = 0.05  # s between looks of a session at its clock
CORE = peer_name("roll", "core")
SERVICES = ("a", "b")
BACKENDS = tuple(f"{service}{number}" for service in SERVICES for number in range(6))
AIM, DEADLINE, ATTEMPTS = 2.0, 5.0, 2
ANSWER = 0.01  # s that a backend takes
WAYS = (0.001, 0.001, 0.02, 0.1)  # s on the way to a backend
APPLIES = (0.04, 0.1, 3.0)  # s until a version is in force at a proxy
RULE = RetryRule(0.2, 10.0)
FAILURES = {"shed": api.Status.FULL, "errors": api.Status.ERROR, "reset": api.Status.RESET}


@dataclass(slots=True)
class Proxy:
    """One proxy's machine: the parts of its present process, and its ties to the core."""

    ip: str
    session: CoreSession
    decider: ProxyController
    life: int
    lease_until: float = -1e9  # of the gate that a process asks before it sends
    cut: bool = False
    frozen: list[Callable[[], None]] | None = None  # what has come while it stands still
    service: str = SERVICES[0]  # where the route goes, by the version in force here
    version: int = 0

    @property
    def runs(self) -> bool:
        return self.frozen is None


@dataclass(slots=True)
class Term:
    """One allocator, and until when it may lend: the one after it may have begun before it knows."""

    allocator: Allocator
    until: float = 1e9


@dataclass(slots=True)
class Failure:
    """Which share of requests the backends of a service fail, and how."""

    share: float = 0.0
    status: api.Status = api.Status.FULL


@dataclass(eq=False)
class RetryWorld:
    """`slack` is the rule's; `proxies` the number of machines."""

    proxies_count: int
    slack: float
    seed: int = 1
    decider: type[ProxyController] = ProxyController
    now: float = 100.0
    queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    count: int = 0
    served: int = 0
    asked: int = 0
    version: int = 0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.counter = RetryCounter(RULE.ratio, self.slack, RULE.window_s)
        self.route = SERVICES[0]  # where it goes by the newest version
        self.failures = {service: Failure() for service in SERVICES}
        self.came: dict[int, str] = {}  # the service of each request that a proxy has read
        self.terms: list[Term] = []
        self.proxies: dict[str, Proxy] = {}
        self.lives = 0
        names = [f"p{number}" for number in range(self.proxies_count)]
        self.another_term(names)
        for ip in names:
            self.start(ip)

    # Machines

    def start(self, ip: str) -> None:
        """A new process; nothing of the one before is left but what is on its way."""
        self.lives += 1
        session = CoreSession(ip, "z", "r", {"z": "r"}, ["core"], {"life": self.lives}, self.now)
        classes = [api.RequestClass("read", AIM, DEADLINE, 1.0, api.Effect.SAFE)]
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
            self.decider(settings, self.lives, self.now),
            self.lives,
            service=self.route,
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
            self._tell(proxy, event)
        self._carry_out(proxy, session.handle_connection(CORE, True, self.now))
        self._later(self.random.random() * TICK, lambda: self._tick(proxy))

    def kill(self, ip: str) -> None:
        """It dies and is there again at once: another process, and none of what the one before was told."""
        self.start(ip)

    def freeze(self, ip: str) -> None:
        if self.proxies[ip].runs:
            self.proxies[ip].frozen = []

    def thaw(self, ip: str) -> None:
        """What came meanwhile is read before its clock is looked at."""
        proxy = self.proxies[ip]
        waiting, proxy.frozen = proxy.frozen or [], None
        for do in waiting:
            do()

    def cut(self, ip: str, cut: bool) -> None:
        self.proxies[ip].cut = cut

    def another_term(self, names: list[str] | None = None) -> None:
        """Another allocator begins, with nothing but the names of the proxies."""
        if self.terms:
            self.terms[-1].until = self.now + READ_VALIDITY_S
        allocator = Allocator([len(self.terms) + 1, "c"], names or list(self.proxies), self.now)
        self.terms.append(Term(allocator))

    def move_route(self, service: str) -> None:
        """The route goes to that service from now on; each proxy hears of it within some seconds."""
        self.route, self.version = service, self.version + 1
        for proxy in self.proxies.values():
            self._later(self.random.choice(APPLIES), lambda p=proxy, n=self.version: self._apply(p, service, n))

    @staticmethod
    def _apply(proxy: Proxy, service: str, version: int) -> None:
        if version > proxy.version:
            proxy.service, proxy.version = service, version

    # Traffic

    def fail(self, service: str, share: float, how: str = "shed") -> None:
        self.failures[service] = Failure(share, FAILURES[how])

    def serve(self, seconds: float, rate: float) -> None:
        """So many requests a second, at proxies by chance."""
        end = self.now + seconds
        due = self.now + self.random.expovariate(rate)
        while due < end:
            self._run(due)
            self._ask(self.random.choice(list(self.proxies.values())))
            due += self.random.expovariate(rate)
        self._run(end)

    def rest(self, seconds: float) -> None:
        """Nobody asks for anything; whoever is in touch renews its leases all the while."""
        self._run(self.now + 1.0)
        self.now += seconds
        self.queue = [(at + seconds, number, do) for at, number, do in self.queue]
        for term in self.terms:
            if term.until > 1e8:
                for front in term.allocator.proxies.values():
                    for grant in front.grants:
                        grant.expires_at += seconds
                    front.last_request_at += seconds
        for proxy in self.proxies.values():
            if proxy.runs and not proxy.cut:
                proxy.session.grant.expires_at += seconds
                proxy.lease_until += seconds
                self._tell(proxy, SharesExtended(proxy.session.grant.expires_at))

    def _ask(self, proxy: Proxy) -> None:
        self.count += 1
        self.asked += 1
        request, sent = self.count, self.now
        self.counter.sent(self.route, sent)
        if proxy.service != self.route:  # a version before is still in force there, as it may be for some seconds
            self.counter.sent(proxy.service, sent)

        def arrive() -> None:
            self.came[request] = proxy.service
            if self._gate(proxy):
                self._tell(
                    proxy,
                    api.Request(request, 0, 0, -1, DEADLINE, 1.0, 1.0, 0.0, cell=proxy.service, attempts=ATTEMPTS),
                )

        self._at(proxy, 0.002, arrive)

    def _gate(self, proxy: Proxy) -> bool:
        return self.proxies.get(proxy.ip) is proxy and self.now < proxy.lease_until

    def _send(self, proxy: Proxy, request: int, backend: str) -> None:
        if not self._gate(proxy):
            return self._tell(proxy, api.Outcome(request, 0, backend, api.Status.MOOT, 0.0, False))
        service = self.came[request]
        way = self.random.choice(WAYS)

        def receive() -> None:
            self.counter.received(service, request, self.now)
            failure = self.failures[service]
            status = failure.status if self.random.random() < failure.share else api.Status.OK
            self.served += status is api.Status.OK
            self._at(
                proxy,
                ANSWER,
                lambda: self._tell(
                    proxy, api.Outcome(request, 0, backend, status, ANSWER + way, status is api.Status.OK, wrote=True)
                ),
            )

        self._later(way, receive)

    # The core

    def _tick(self, proxy: Proxy) -> None:
        if self.proxies.get(proxy.ip) is not proxy:
            return
        self._at(proxy, TICK, lambda: self._tick(proxy))
        self._carry_out(proxy, proxy.session.tick(self.now))

    def _carry_out(self, proxy: Proxy, actions: list) -> None:
        for action in actions:
            match action:
                case Send(_, ["ask", number, _, _, want, _]) if want:
                    self._later(0.02, lambda n=number, w=want, sent=self.now: self._hear(proxy, n, w, sent))
                case GrantChanged():
                    self._tell(proxy, leased_shares(proxy.session.grant, {}, self.slack))
                case GrantExtended():
                    self._tell(proxy, SharesExtended(proxy.session.grant.expires_at))

    def _hear(self, proxy: Proxy, number: int, want: list, sent: float) -> None:
        """An ask has come to the core: the lease is renewed, and one of those that reckon may lend."""
        if proxy.cut or not proxy.runs or self.proxies.get(proxy.ip) is not proxy:
            return

        def answer(message: list) -> None:
            self._later(
                0.02,
                lambda: None
                if proxy.cut
                else self._at(
                    proxy, 0.0, lambda: self._carry_out(proxy, proxy.session.handle_message(CORE, message, self.now))
                ),
            )

        def renew() -> None:
            proxy.lease_until = max(proxy.lease_until, sent + Bounds().lease_s)

        self._at(proxy, 0.02, renew)
        lenders = [term for term in self.terms if self.now <= term.until]
        term = self.random.choice(lenders[-2:]).allocator
        seen, asked, holds = want
        grant = term.request_grant(proxy.ip, proxy.life, "r", seen, asked, holds, {}, {}, self.now)
        if grant is None:
            answer(["tell", term.term])
        else:
            same = [term.term, grant.number] == seen
            answer(["lend", number, term.term, grant.number, None if same else grant.pack()])

    # Time

    def _later(self, after: float, do: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + after, self.count, do))

    def _at(self, proxy: Proxy, after: float, do: Callable[[], None]) -> None:
        """Something comes to a proxy; one that stands still reads it when it goes on, a dead one never."""

        def come() -> None:
            if self.proxies.get(proxy.ip) is not proxy:
                return
            do() if proxy.runs else proxy.frozen.append(do)

        self._later(after, come)

    def _run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, do = heapq.heappop(self.queue)
            do()
        self.now = until

    def _tell(self, proxy: Proxy, event: object) -> None:
        for action in proxy.decider.handle(event, self.now):
            match action:
                case api.SetTimer(delay, token):
                    self._at(proxy, delay, lambda t=token: self._tell(proxy, api.TimerDue(t)))
                case api.Send(request, backend):
                    self._send(proxy, request, backend)
