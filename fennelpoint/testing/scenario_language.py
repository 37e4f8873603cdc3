"""The language of scenario files: events in a simulated core, and expectations about it.

A scenario is a small text file, read by `run_scenario`:

    core a1 za ra / core b1 zb rb ...       core machines, with zone and region; the first three are the seed nodes
    front f1 za ra                          a proxy
    backend s1 svc za                       a backend; its heartbeats go every 1.5 s to the assigned core machine, or
                                            to the machines in turn while none is assigned
    backend s2 svc za cold 8                a backend that is cold for 8 s (3 s without a number)
    cut a1 from b1 / mute a1 to b1          drop messages in both directions / from a1 to b1; `join` ends all of these
    freeze a1 / thaw a1                     suspend a machine; messages to it queue up, and are read before its timers
                                            run or after them
    at 2 put 5 on 0 via a1                  an event, with its time (s); a line without `at` happens at the same time
    at 3 expect put 5 200
    rate 3                                  rate and burst of the tenants, from the next version on
    draw fa t1 2                            a proxy requests units of a tenant of which it holds no share
    homes rb                                home regions of the route, from the next version on
    resolve h.example of ra via a1          a client in a region queries the directory; `expect named ra` or
                                            `expect named nobody` checks the reply
    late 0.8 newest changed                 delay messages of these kinds (s), also after restarts
    restart roll a1                         replace one process of a machine at once
"""

from __future__ import annotations

import json

from fennelpoint.testing.core_machines import Backend, CheckFailed, CoreMachine, ProxyMachine

DEFAULT_COLD_S = 3.0  # for a cold backend without a duration


class ScenarioLanguage:
    """Mixin of `core_simulation.CoreSimulation` that carries out the lines of scenarios."""

    def execute(self, words: list[str]) -> None:
        """Carry out one line of a scenario, given as words; `newest` stands for the newest version in any store.

        Raises CheckFailed where an expectation does not hold, ValueError on an unknown line.
        """
        newest = max((c.store.state.get("version", 0) for c in self.cores.values() if c.store), default=0)
        match words := [str(newest) if word == "newest" else word for word in words]:
            case ["core", ip, zone, region]:
                self.cores[ip] = CoreMachine(ip, zone, region)
            case ["front", ip, zone, region, *rates]:
                request_rates = {tenant: float(rate) for tenant, rate in (word.split("=") for word in rates)}
                self.proxies[ip] = ProxyMachine(ip, zone, region, request_rates=request_rates)
            case ["backend", id, service, zone, *cold]:
                cold_s = float(cold[1]) if cold[1:] else DEFAULT_COLD_S if cold else 0.0
                self.backends[id] = Backend(
                    id, service, zone, next_heartbeat_at=self.now, cold_until=self.now + cold_s)
            case ["seeds", *ips]:
                self.seed_nodes = ips
            case ["start"]:
                self.start()
            case ["boot", *ips]:
                for ip in self._expand(ips):
                    self.boot(ip)
            case ["kill", *ips]:
                for ip in self._expand([i for i in ips if i != "wipe"]):
                    self.kill(ip, wipe="wipe" in ips)
            case ["stop", *ips]:    # SIGTERM
                for ip in self._expand(ips):
                    self.stop(ip)
            case ["full" | "room" as word, ip]:
                self.cores[ip].is_disk_full = word == "full"
            case ["cut", *ips]:
                left, right = ips[:ips.index("from")], ips[ips.index("from") + 1:]
                self.partitioned_pairs |= {
                    frozenset((a, b)) for a in self._expand(left) for b in self._expand(right) if a != b}
            case ["mute", *ips]:
                left, right = ips[:ips.index("to")], ips[ips.index("to") + 1:]
                self.blocked_directions |= {(a, b) for a in self._expand(left) for b in self._expand(right) if a != b}
            case ["freeze", *ips]:
                for ip in self._expand(ips):
                    self.frozen_since[ip], self.deferred_deliveries[ip] = self.now, []
            case ["thaw", *ips]:
                for ip in self._expand(ips):
                    self.thaw(ip)
            case ["slow", delay_s, *ips]:
                left, right = ips[:ips.index("from")], ips[ips.index("from") + 1:]
                self.pair_delays_s |= {
                    frozenset((a, b)): float(delay_s) for a in self._expand(left) for b in self._expand(right)}
            case ["late", delay_s, *kinds]:
                self.kind_delays_s |= dict.fromkeys(kinds, float(delay_s))
            case ["restart", role, ip]:
                self.restart(role, ip)
            case ["thin", delay_s, *ips]:
                self.content_delays_s.update(dict.fromkeys(self._expand(ips), float(delay_s)))
            case ["join"]:
                self.content_delays_s.clear()
                self.pair_delays_s.clear()
                self.kind_delays_s.clear()
                self.partitioned_pairs.clear()
                self.blocked_directions.clear()
            case ["put", version, "on", base, "via", ip, *mark]:
                self.put(int(version), int(base), *self._expand([ip]), mark=mark[0] if mark else "")
            case ["patch", version, "on", base, "via", ip, *mark]:
                tenant = {"name": mark[0] if mark else "t3", "api_keys": ["k-t3"]}
                self.call("PATCH", "/api/configuration", {"version": int(version), "base_version": int(base),
                          "upsert": {"tenants": [tenant]}}, ip, f"patch {version}")
            case ["changes", count, "on", base, "via", *ips]:   # each one once the previous one is acknowledged
                for i in range(int(count)):
                    self.put(int(base) + i + 1, int(base) + i, ips[i % len(ips)], label="one of many")
                    self._wait_until_accepted(self.calls_by_label["one of many"][-1])
            case ["evacuate", zone, "via", ip]:
                self.call("POST", f"/api/evacuation/{zone}", None, ip, f"evacuate {zone}")
            case ["hang", "up", *label]:    # the caller of the last call with that label disconnects
                self.calls_by_label[" ".join(label)][-1]._connection.is_lost = True
            case ["restore", zone, "via", ip]:
                self.call("DELETE", f"/api/evacuation/{zone}", None, ip, f"restore {zone}")
            case ["get", "via", ip]:
                self.call("GET", "/api/configuration", None, ip, "get")
            case ["drain", id]:
                self.backends[id].state, self.backends[id].next_heartbeat_at = "draining", self.now
            case ["leave", id]:
                self.backends[id].state, self.backends[id].next_heartbeat_at = "gone", self.now
            case ["silence", id]:
                self.backends[id].state = "silent"
            case ["speak", id]:
                self.backends[id].state, self.backends[id].next_heartbeat_at = "ready", self.now
            case ["homes", *regions]:
                self.home_regions = regions
            case ["resolve", host, "of", region, "via", ip]:
                zone = next(proxy.zone for proxy in self.proxies.values() if proxy.region == region)
                query = {"name": host, "region": region, "availability_zone": zone}
                self.call("GET", "/api/resolve", None, ip, "resolve", interface="directory_service", query=query)
            case ["rate", rate]:
                self.tenant_rate_per_s = int(rate)
            case ["draw", ip, tenant, units]:
                proxy = self.proxies[ip]
                proxy.unit_counts.pop(tenant, None)
                self._run_session_actions(proxy, proxy.session.request_units({tenant: int(units)}, self.now))
            case ["claim", ip, term]:   # it holds the leader lease, as if granted by voters unknown to the others
                registry = self.cores[ip].registry
                lease = registry.allocation.lease
                lease.term, lease.held_until, lease.claimed_at = (int(term), ip), self.now + 1.0, self.now
                lease.granted_to, lease.granted_until = ip, self.now + 1.2
                registry.allocation.request_term(self.now)
                self._run_registry_actions(self.cores[ip], registry._take_actions())
            case ["expect", *rest]:
                if not self._is_expectation_met(rest):
                    raise CheckFailed(f"{self.now:.2f}: {' '.join(words)}")
            case _:
                raise ValueError(f"{' '.join(words)!r} is not a line of a scenario")

    def _expand(self, ips: list[str]) -> list[str]:
        """Addresses, with the names of groups replaced by their members."""
        if "reckoner" in ips:
            (self.last_named_allocator,) = (
                c.ip for c in self.cores.values() if c.is_running and c.registry.allocation.allocator is not None)
        groups = {"core": list(self.cores), "fronts": list(self.proxies), "all": [*self.cores, *self.proxies],
                  "reckoner": [self.last_named_allocator], "marked": [self.last_named_allocator],
                  "others": [ip for ip in self.cores if ip != self.last_named_allocator]}
        return [member for ip in ips for member in groups.get(ip, [ip])]

    def _is_expectation_met(self, words: list[str]) -> bool:
        match words:
            case ["each", *rest]:   # the status of all calls with that label; 0: no reply yet
                found = [self.replies.get(id(a)) for a in self.calls_by_label[" ".join(rest[:-1])]]
                return {r.status if r is not None else 0 for r in found} <= {int(s) for s in rest[-1].split("|")}
            case ["alike", *label]:     # no call with that label is refused where another one was accepted
                found = {
                    r.status for a in self.calls_by_label[" ".join(label)]
                    if (r := self.replies.get(id(a))) is not None}
                return not (200 in found and found & {400, 409, 412, 413, 422})
            case ["put" | "patch" | "get" | "evacuate" | "restore" | "leave" | "beat" as kind, *rest]:
                return self.status(" ".join([kind, *rest[:-1]])) in [int(s) for s in rest[-1].split("|")]
            case ["read", version]:
                reply = self.replies.get(id(self.calls_by_label["get"][-1]))
                return reply is not None and json.loads(reply.raw)["version"] == int(version)
            case ["named", *regions]:
                return self.resolved_regions() == ([] if regions == ["nobody"] else sorted(regions))
            case ["lease", ip, word]:
                return self.may_send_requests(self.proxies[ip]) is (word == "yes")
            case ["version", ip, number]:
                return self.proxies[ip].version == int(number)
            case ["evacuated", ip, *zones]:
                return self.proxies[ip].session.evacuated_zones == frozenset(zones)
            case ["voters", ip, *ips]:
                return set(self.cores[ip].store.state.get("voters", ())) == set(self._expand(ips))
            case ["up", ip, word]:
                return all(self.cores[core].is_running is (word == "yes") for core in self._expand([ip]))
            case ["enrolled", ip, *ips]:
                return all(
                    set(self.cores[core].registry.cluster_state["fronts"]) == set(ips) for core in self._expand([ip]))
            case ["votes", ip, word]:
                core = self.cores[ip]
                return (core.store.acceptor.can_vote and not core.store.disk_error) is (word == "yes")
            case ["sees", ip, backend, state]:
                entry = self.proxies[ip].session.backends.by_id.get(backend)
                return state == ("none" if entry is None else "lost" if entry.is_lost else entry.report.state)
            case ["losses", *ids]:  # running backends that were counted as lost
                return sorted(set(self.false_losses)) == ids
            case ["home", backend, ip]:
                return self.backends[backend].heartbeat_core == ip
            case ["knows", ip, backend, state]:
                entry = self.cores[ip].registry.backends.by_id.get(backend)
                return state == ("none" if entry is None else "lost" if entry.is_lost else entry.report.state)
            case ["parts", ip, tenant, least, most]:
                return int(least) <= self.proxies[ip].session.grant.quotas.get(tenant, 0) <= int(most)
            case ["drawn", ip, tenant, units, denied]:
                return self.proxies[ip].unit_counts.get(tenant, [0, 0]) == [int(units), int(denied)]
            case ["cold", ip, backend, least, most]:
                return int(least) <= self.proxies[ip].session.grant.cold_rates.get(backend, 0) <= int(most)
            case ["reckons", word]:
                allocators = [
                    c.ip for c in self.cores.values() if c.is_running and c.registry.allocation.allocator is not None]
                return len(allocators) == (0 if word == "none" else 1) and word in ("none", "one", *allocators)
            case ["agreed", *what]:
                states = [c.store.state for c in self.cores.values() if c.is_running and c.store.state]
                return len({state["version"] for state in states}) == 1 and states[0]["version"] in [
                    int(version) for version in what[0].split("|")]
        raise ValueError(f"{' '.join(words)!r} is not an expectation")
