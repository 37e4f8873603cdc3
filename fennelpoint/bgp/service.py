"""`larchwing announce`: the announcer as a process beside the ingress, from its files to its end.

The ingress's beat and the status come over one loopback port, a line each; the self-check asks the ingress's
listener as a client would.  All that is decided is decided by `announcer.Announcer`.
"""

from __future__ import annotations

import asyncio
import json
import logging
import signal
import sys
import time
from collections.abc import Callable
from ipaddress import IPv4Address, ip_address, ip_network

from fennelpoint.bgp.announcer import Address, Announcer, Rules
from fennelpoint.bgp.session import Neighbor
from fennelpoint.bgp.speaker import Speaker
from fennelpoint.bgp.updates import Path, family
from fennelpoint.net.discovery import ListError, parse_address
from fennelpoint.operator_config import Announce, BgpPeer, ServiceAddress, read_operator
from fennelpoint.rate_limited_log import log, warn_limited
from fennelpoint.validation_errors import Fault, FaultyFile

CHECK_EVERY, CHECK_TIMEOUT = 0.2, 0.5   # s between two self-checks; until one has failed
NEEDS = ("listener", "quotas")
MOST_LINE, MOST_BEATS = 128, 64         # bytes of a line; connections at the beat's port
LAST_WORDS = 0.2                        # s for the last messages to go out


def _community(text: str) -> tuple[int, int]:
    high, _, low = text.partition(":")
    pair = int(high), int(low)
    if not all(0 <= part < 1 << 16 for part in pair):
        raise ValueError("its parts are not under 65536")
    return pair


def address(one: ServiceAddress, asn: int) -> Address:
    """Raises ValueError, which says of which key."""
    try:
        network = ip_network(one.prefix)
    except ValueError as error:
        raise ValueError(f"prefix: {error}") from None
    try:
        hop = ip_address(one.next_hop)
    except ValueError as error:
        raise ValueError(f"next_hop: {error}") from None
    if strange := [need for need in one.needs if need not in NEEDS]:
        raise ValueError(f"needs: {strange[0]!r} is none of {', '.join(NEEDS)}")
    try:
        communities = tuple(_community(text) for text in one.communities)
    except ValueError as error:
        raise ValueError(f"communities: {error}") from None
    return Address(network, Path(hop, (asn,), med=one.med, communities=communities), frozenset(one.needs))


def neighbor(peer: BgpPeer, section: Announce, addresses: list[Address]) -> Neighbor:
    families = frozenset(family(a.network) for a in addresses) | {(1, 1)}
    hops = frozenset((*family(a.network), 2) for a in addresses
                     if a.network.version == 4 and a.path.next_hop.version == 6)
    return Neighbor(section.asn, peer.asn, int(IPv4Address(section.router_id)), peer.hold_s, peer.passive,
                    families, hops)


class Plan:
    """The operator file's section, checked and in the words of the parts."""

    def __init__(self, section: Announce, name: str) -> None:
        """Raises FaultyFile with all faults."""
        self.section, faults = section, []

        def attempt(place: str, make: Callable[[], object]) -> object | None:
            try:
                return make()
            except (ValueError, ListError) as error:
                faults.append(Fault(name, 0, f"announce.{place}", str(error)))

        attempt("router_id", lambda: IPv4Address(section.router_id))
        self.beat = attempt("beat_listen", lambda: _listen(section.beat_listen))
        self.check = section.check and attempt("check", lambda: parse_address(section.check, "check")) or None
        self.listen = attempt("listen", lambda: _listen(section.listen)) if section.listen else None
        self.addresses = [attempt(f"addresses.{i}", lambda one=one: address(one, section.asn))
                          for i, one in enumerate(section.addresses)]
        for i, one in enumerate(section.addresses):
            if "listener" in one.needs and not section.check:
                faults.append(Fault(name, 0, f"announce.addresses.{i}.needs", "it needs the listener: write "
                                    "in announce.check where that is, or leave listener out of needs"))
        hosts = [attempt(f"peers.{i}", lambda peer=peer: parse_address(peer.address, "address"))
                 for i, peer in enumerate(section.peers)]
        for what, given in (("addresses", section.addresses), ("peers", section.peers)):
            if not given:
                faults.append(Fault(name, 0, f"announce.{what}", "there must be one at least"))
        if len({a.network for a in self.addresses if a}) < len(section.addresses) and not faults:
            faults.append(Fault(name, 0, "announce.addresses", "a prefix is named twice"))
        if len(set(hosts)) < len(hosts) and not faults:
            faults.append(Fault(name, 0, "announce.peers", "an address is named twice"))
        if faults:
            raise FaultyFile(faults)
        self.peers = {host: neighbor(peer, section, self.addresses)
                      for host, peer in zip(hosts, section.peers, strict=True)}
        self.rules = Rules(steady=section.steady_s, gap=section.gap_s, half_life=section.half_life_s,
                           leaving=section.leaving_s, quota_loss=section.quota_loss)


def _listen(text: str) -> tuple[str, int]:
    """An address to listen at: port 0 is any."""
    host, _, port = text.rpartition(":")
    return (host, 0) if port == "0" else parse_address(text, "listen")


def read(operator_file: str) -> Plan:
    """Raises FaultyFile."""
    section = read_operator(operator_file).announce
    if section is None:
        raise FaultyFile([Fault(operator_file, 0, "announce", "the section is missing")])
    return Plan(section, operator_file)


class Service:
    """The announcer with its ears, its self-check, its timer and its speaker."""

    def __init__(self, loop: asyncio.AbstractEventLoop, plan: Plan) -> None:
        self.loop, self.plan = loop, plan
        self.announcer = Announcer(plan.rules, plan.addresses, time.monotonic())
        self.speaker = Speaker(loop)
        self.timer: asyncio.TimerHandle | None = None
        self.ingress: Ear | None = None     # the connection whose beat counts
        self.pid = 0
        self.ears: set[Ear] = set()

    async def start(self) -> int:
        """Listen, connect to the peers and begin to check; the beat's port."""
        server = await self.loop.create_server(lambda: Ear(self), *self.plan.beat)
        self.server = server
        if self.plan.listen is not None:
            await self.speaker.listen(*self.plan.listen)
        self.speaker.follow(self.plan.peers)
        self.checker = self.loop.create_task(self._check())
        self.went()
        return server.sockets[0].getsockname()[1]

    def reload(self, plan: Plan) -> None:
        """Other addresses, peers and rules; sessions that stay the same are not touched."""
        self.plan = plan
        self.announcer.change(plan.rules, plan.addresses, time.monotonic())
        self.speaker.follow(plan.peers)
        self.went()

    async def stop(self) -> None:
        """Told first, then withdrawn, then the sessions end."""
        self.announcer.drain(time.monotonic())
        self.went()
        if self.announcer.wanted():
            await asyncio.sleep(self.plan.rules.leaving)
        self.announcer.tick(time.monotonic())
        self.went()
        self.checker.cancel()
        self.server.close()
        self.speaker.stop("the announcer ends")
        await asyncio.sleep(LAST_WORDS)

    def went(self) -> None:
        """Something may have changed: tell the peers, and see when time alone will change something."""
        now = time.monotonic()
        self.announcer.tick(now)
        self.speaker.tell(self.announcer.wanted())
        if self.timer is not None:
            self.timer.cancel()
        due = self.announcer.due(now)
        self.timer = self.loop.call_later(due - now, self.went) if due < float("inf") else None

    def beat(self, ear: Ear, pid: int, state: str, quotas: bool) -> None:
        now = time.monotonic()
        if self.ingress is not ear or self.pid != pid:
            if self.ingress is not None:    # another process: what the one before said counts no more
                self.announcer.lost(now)
            self.ingress, self.pid = ear, pid
            self.announcer.resume(now)
        if state == "draining":
            self.announcer.drain(now)
        self.announcer.beat(now, state != "starting", quotas)
        self.went()

    def deaf(self, ear: Ear) -> None:
        self.ears.discard(ear)
        if self.ingress is ear:
            self.ingress = None
            self.announcer.lost(time.monotonic())
            self.went()

    async def _check(self) -> None:
        """Ask the ingress's listener as a client would."""
        while self.plan.check is not None:
            begun = time.monotonic()
            try:
                if await asyncio.wait_for(self._ask(), CHECK_TIMEOUT):
                    self.announcer.answered(time.monotonic())
                    self.went()
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass    # its absence is what is noticed
            await asyncio.sleep(max(0.01, CHECK_EVERY - (time.monotonic() - begun)))

    async def _ask(self) -> bool:
        reader, writer = await asyncio.open_connection(*self.plan.check)
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        finally:
            writer.close()

    def status(self) -> dict:
        """Sessions, what is announced and why, the last changes, the penalty."""
        now, made = time.monotonic(), self.announcer
        return {
            "ingress": {"pid": self.pid if self.ingress is not None else None,
                        "beat_age_s": round(min(now - made.beat_at, 1e6), 3), "quotas": made.quotas,
                        "held": made.held},
            "addresses": [{
                "prefix": str(network), "level": stand.level.name.lower(), "why": stand.why,
                "penalty": round(stand.penalty_now(now, made.rules.half_life)),
                "changes": [{"age_s": round(now - at, 1), "level": level, "why": why}
                            for at, level, why in stand.changes[-5:]]}
                for network, stand in made.stands.items()],
            "peers": [{
                "address": f"{host}:{port}", "state": runner.peer.state.value, "error": runner.peer.error,
                "announced": sorted(map(str, runner.peer.told)), "dropped": runner.peer.dropped,
                "messages": runner.sent} for (host, port), runner in self.speaker.runners.items()]}


class Ear(asyncio.Protocol):
    """One connection at the beat's port: an ingress that beats, or someone who asks for the status."""

    def __init__(self, service: Service) -> None:
        self.service, self.rest = service, b""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        if len(self.service.ears) >= MOST_BEATS:
            return transport.abort()
        self.service.ears.add(self)

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            words = line.split()
            if words == [b"status"]:
                self.transport.write(json.dumps(self.service.status()).encode() + b"\n")
            elif len(words) == 4 and words[0] == b"beat" and words[1].isdigit():
                self.service.beat(self, int(words[1]), words[2].decode("latin-1"), words[3] == b"kept")
            else:
                warn_limited("announce", "a line at the beat's port can't be read: %r", line[:64])
                return self.transport.abort()
        if len(self.rest) > MOST_LINE:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.service.deaf(self)


async def run(operator_file: str, say: Callable[[str], None]) -> None:
    """Announce until SIGTERM or SIGINT; SIGHUP reads the file anew, SIGUSR1 holds all back, SIGUSR2 lets go.

    Raises FaultyFile first.
    """
    plan = read(operator_file)
    logging.basicConfig(level=logging.INFO, stream=sys.stderr,
                        format="%(asctime)s %(levelname)s %(message)s")
    loop, ended = asyncio.get_running_loop(), asyncio.Event()
    service = Service(loop, plan)

    def reload() -> None:
        try:
            service.reload(read(operator_file))
        except FaultyFile as error:
            log.error("the operator file is not taken: %s", error.faults[0])

    def hold(on: bool) -> None:
        service.announcer.hold(on, time.monotonic())
        service.went()

    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, hold, True)
    loop.add_signal_handler(signal.SIGUSR2, hold, False)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    port = await service.start()
    say(f"announcing; beat and status on port {port}")
    await ended.wait()
    await service.stop()


async def fetch_status(where: str) -> dict:
    """Ask an announcer; raises OSError or ValueError where it can't be asked."""
    reader, writer = await asyncio.open_connection(*parse_address(where, "address"))
    try:
        writer.write(b"status\n")
        return json.loads(await asyncio.wait_for(reader.readline(), 5.0))
    finally:
        writer.close()


def status_lines(told: dict) -> list[str]:
    """The status for a terminal."""
    ingress = told["ingress"]
    lines = [f"ingress  {'pid ' + str(ingress['pid']) if ingress['pid'] else 'not heard'}  "
             f"quotas {'kept' if ingress['quotas'] else 'lost'}" + ("  held" if ingress["held"] else "")]
    for one in told["addresses"]:
        lines.append(f"address  {one['prefix']}  {one['level']}  penalty {one['penalty']}  {one['why']}")
        lines += [f"         {c['age_s']:g} s ago: {c['level']}, {c['why']}" for c in one["changes"]]
    for one in told["peers"]:
        lines.append(f"peer     {one['address']}  {one['state']}  announced {len(one['announced'])}  dropped "
                     f"{one['dropped']}  {one['error']}".rstrip())
    return lines

