"""The lines of scenario files: what happens in a simulated core, and what is expected of it.

A scenario is a small text file, read by `play`:

    core a1 za ra / core b1 zb rb ...      machines of the core, with zone and region; the first three are the seeds
    front f1 za ra                          a front
    backend s1 svc za                       one that beats every 1.5 s where it was told to, else at machines in turn
    backend s2 svc za cold 8                the same, cold for so many seconds (3, where none are named)
    cut a1 from b1 / mute a1 to b1          both ways / b1 does not hear a1; join ends all of these
    freeze a1 / thaw a1                     a machine stands still; what comes waits, and is read before its clock is
    at 2 put 5 on 0 via a1                  things that happen, at a second; a line without `at` is for then
    at 3 expect put 5 200
    rate 3                                  tenants have this rate and burst, from the next version on
    draw fa t1 2                            a front asks for units of a tenant that has no part there
    homes rb                                the route has these homes, from the next version on
    resolve h.example of ra via a1          a client of a region asks the directory; expect named ra / named nobody
    late 0.8 newest changed                 messages of these kinds take so much longer, across restarts, too
    restart roll a1                         one process of a machine dies and is there again at once
"""

from __future__ import annotations

import json

from fennelpoint.testing.core_machines import Backend, Broken, Core, Front

COLD_SECONDS = 3.0  # that a backend is cold, where a scenario names none


class ScenarioLanguage:
    """Carries out lines upon a `core_simulation.World`, which is this and what it names."""

    def do(self, words: list[str]) -> None:
        """One line of a scenario; `newest` stands for the newest version that is known."""
        newest = max((c.store.state.get("version", 0) for c in self.cores.values() if c.store), default=0)
        match words := [str(newest) if word == "newest" else word for word in words]:
            case ["core", ip, zone, region]:
                self.cores[ip] = Core(ip, zone, region)
            case ["front", ip, zone, region, *rates]:
                asked = {tenant: float(rate) for tenant, rate in (word.split("=") for word in rates)}
                self.fronts[ip] = Front(ip, zone, region, asked=asked)
            case ["backend", id, service, zone, *cold]:
                lasts = float(cold[1]) if cold[1:] else COLD_SECONDS if cold else 0.0
                self.backends[id] = Backend(id, service, zone, at=self.now, cold=self.now + lasts)
            case ["seeds", *ips]:
                self.seeds = ips
            case ["start"]:
                self.start()
            case ["boot", *ips]:
                for ip in self._these(ips):
                    self.boot(ip)
            case ["kill", *ips]:
                for ip in self._these([i for i in ips if i != "wipe"]):
                    self.kill(ip, wipe="wipe" in ips)
            case ["stop", *ips]:    # SIGTERM
                for ip in self._these(ips):
                    self.stop(ip)
            case ["full" | "room" as word, ip]:
                self.cores[ip].full = word == "full"
            case ["cut", *ips]:
                left, right = ips[:ips.index("from")], ips[ips.index("from") + 1:]
                self.cuts |= {frozenset((a, b)) for a in self._these(left) for b in self._these(right) if a != b}
            case ["mute", *ips]:
                left, right = ips[:ips.index("to")], ips[ips.index("to") + 1:]
                self.mute |= {(a, b) for a in self._these(left) for b in self._these(right) if a != b}
            case ["freeze", *ips]:
                for ip in self._these(ips):
                    self.frozen[ip], self.waits[ip] = self.now, []
            case ["thaw", *ips]:
                for ip in self._these(ips):
                    self.thaw(ip)
            case ["slow", span, *ips]:
                left, right = ips[:ips.index("from")], ips[ips.index("from") + 1:]
                self.slow |= {frozenset((a, b)): float(span) for a in self._these(left) for b in self._these(right)}
            case ["late", span, *kinds]:
                self.late |= dict.fromkeys(kinds, float(span))
            case ["restart", role, ip]:
                self.restart(role, ip)
            case ["thin", span, *ips]:
                self.thin.update(dict.fromkeys(self._these(ips), float(span)))
            case ["join"]:
                self.thin.clear()
                self.slow.clear()
                self.late.clear()
                self.cuts.clear()
                self.mute.clear()
            case ["put", version, "on", base, "via", ip, *mark]:
                self.put(int(version), int(base), *self._these([ip]), mark=mark[0] if mark else "")
            case ["patch", version, "on", base, "via", ip, *mark]:
                tenant = {"name": mark[0] if mark else "t3", "api_keys": ["k-t3"]}
                self.call("PATCH", "/api/configuration", {"version": int(version), "base_version": int(base),
                          "upsert": {"tenants": [tenant]}}, ip, f"patch {version}")
            case ["changes", count, "on", base, "via", *ips]:   # one after the other, each acknowledged
                for i in range(int(count)):
                    self.put(int(base) + i + 1, int(base) + i, ips[i % len(ips)], label="one of many")
                    self._until_acked(self.asked["one of many"][-1])
            case ["evacuate", zone, "via", ip]:
                self.call("POST", f"/api/evacuation/{zone}", None, ip, f"evacuate {zone}")
            case ["hang", "up", *label]:    # who called so last is gone
                self.asked[" ".join(label)][-1]._connection.is_lost = True
            case ["restore", zone, "via", ip]:
                self.call("DELETE", f"/api/evacuation/{zone}", None, ip, f"restore {zone}")
            case ["get", "via", ip]:
                self.call("GET", "/api/configuration", None, ip, "get")
            case ["drain", id]:
                self.backends[id].state, self.backends[id].at = "draining", self.now
            case ["leave", id]:
                self.backends[id].state, self.backends[id].at = "gone", self.now
            case ["silence", id]:
                self.backends[id].state = "silent"
            case ["speak", id]:
                self.backends[id].state, self.backends[id].at = "ready", self.now
            case ["homes", *regions]:
                self.homes = regions
            case ["resolve", host, "of", region, "via", ip]:
                zone = next(front.zone for front in self.fronts.values() if front.region == region)
                query = {"name": host, "region": region, "availability_zone": zone}
                self.call("GET", "/api/resolve", None, ip, "resolve", door="directory_service", query=query)
            case ["rate", rate]:
                self.rate = int(rate)
            case ["draw", ip, tenant, units]:
                front = self.fronts[ip]
                front.drawn.pop(tenant, None)
                self._span(front, front.session.request_units({tenant: int(units)}, self.now))
            case ["claim", ip, term]:   # it holds the duty, as by voters that none of the others goes by
                registry = self.cores[ip].registry
                duty = registry.allocation.lease
                duty.term, duty.held_until, duty.claimed_at = (int(term), ip), self.now + 1.0, self.now
                duty.granted_to, duty.granted_until = ip, self.now + 1.2
                registry.allocation.request_term(self.now)
                self._roll(self.cores[ip], registry._take_actions())
            case ["expect", *rest]:
                if not self._holds(rest):
                    raise Broken(f"{self.now:.2f}: {' '.join(words)}")
            case _:
                raise ValueError(f"{' '.join(words)!r} is no line of a scenario")

    def _these(self, ips: list[str]) -> list[str]:
        if "reckoner" in ips:
            (self.marked,) = (
                c.ip for c in self.cores.values() if c.up and c.registry.allocation.allocator is not None)
        groups = {"core": list(self.cores), "fronts": list(self.fronts), "all": [*self.cores, *self.fronts],
                  "reckoner": [self.marked], "marked": [self.marked],
                  "others": [ip for ip in self.cores if ip != self.marked]}
        return [one for ip in ips for one in groups.get(ip, [ip])]

    def _holds(self, words: list[str]) -> bool:
        match words:
            case ["each", *rest]:   # of all calls of that name; 0: it has no answer yet
                found = [self.replies.get(id(a)) for a in self.asked[" ".join(rest[:-1])]]
                return {r.status if r is not None else 0 for r in found} <= {int(s) for s in rest[-1].split("|")}
            case ["alike", *label]:     # none of its calls is refused where another was taken
                found = {r.status for a in self.asked[" ".join(label)] if (r := self.replies.get(id(a))) is not None}
                return not (200 in found and found & {400, 409, 412, 413, 422})
            case ["put" | "patch" | "get" | "evacuate" | "restore" | "leave" | "beat" as kind, *rest]:
                return self.status(" ".join([kind, *rest[:-1]])) in [int(s) for s in rest[-1].split("|")]
            case ["read", version]:
                reply = self.replies.get(id(self.asked["get"][-1]))
                return reply is not None and json.loads(reply.raw)["version"] == int(version)
            case ["named", *regions]:
                return self.named() == ([] if regions == ["nobody"] else sorted(regions))
            case ["lease", ip, word]:
                return self.allows(self.fronts[ip]) is (word == "yes")
            case ["version", ip, number]:
                return self.fronts[ip].version == int(number)
            case ["evacuated", ip, *zones]:
                return self.fronts[ip].session.evacuated_zones == frozenset(zones)
            case ["voters", ip, *ips]:
                return set(self.cores[ip].store.state.get("voters", ())) == set(self._these(ips))
            case ["up", ip, word]:
                return all(self.cores[one].up is (word == "yes") for one in self._these([ip]))
            case ["enrolled", ip, *ips]:
                return all(
                    set(self.cores[one].registry.cluster_state["fronts"]) == set(ips) for one in self._these([ip]))
            case ["votes", ip, word]:
                core = self.cores[ip]
                return (core.store.acceptor.can_vote and not core.store.disk_error) is (word == "yes")
            case ["sees", ip, backend, state]:
                b = self.fronts[ip].session.backends.by_id.get(backend)
                return state == ("none" if b is None else "lost" if b.is_lost else b.report.state)
            case ["losses", *ids]:  # of backends that live
                return sorted(set(self.losses)) == ids
            case ["home", backend, ip]:
                return self.backends[backend].home == ip
            case ["knows", ip, backend, state]:
                b = self.cores[ip].registry.backends.by_id.get(backend)
                return state == ("none" if b is None else "lost" if b.is_lost else b.report.state)
            case ["parts", ip, tenant, least, most]:
                return int(least) <= self.fronts[ip].session.grant.quotas.get(tenant, 0) <= int(most)
            case ["drawn", ip, tenant, units, denied]:
                return self.fronts[ip].drawn.get(tenant, [0, 0]) == [int(units), int(denied)]
            case ["cold", ip, backend, least, most]:
                return int(least) <= self.fronts[ip].session.grant.cold_rates.get(backend, 0) <= int(most)
            case ["reckons", word]:
                leads = [c.ip for c in self.cores.values() if c.up and c.registry.allocation.allocator is not None]
                return len(leads) == (0 if word == "none" else 1) and word in ("none", "one", *leads)
            case ["agreed", *what]:
                votes = [c.store.state for c in self.cores.values() if c.up and c.store.state]
                return len({w["version"] for w in votes}) == 1 and votes[0]["version"] in [
                    int(version) for version in what[0].split("|")]
        raise ValueError(f"{' '.join(words)!r} is no expectation")
