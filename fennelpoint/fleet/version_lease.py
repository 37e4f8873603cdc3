"""The lease under which an ingress process acts on a fleet version, and when it has to stop.

The module is pure: events go in with the time (seconds of a clock that also counts while the process is stopped),
actions come out.

A *lease* is for one version, until a time.  It is granted by a keeper that has read the record from a majority, and
its term counts from when the request was sent.  A peer that has a lease may pass on the rest of its term.  A process
that reaches neither keepers nor such a peer continues while it reaches so many peers in the same state that they may
not all be out of service at once (`outage_violation`): then no tightening can be in force.  A process with none of
these sends nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from fennelpoint.fleet.state import Fleet, outage_violation

MAX_READY_CONTENTS = 4


@dataclass(frozen=True, slots=True)
class ActivateVersion:
    """Act on this version from now on; if `is_mixed`, others may still act on the previous one."""

    number: int
    digest: str
    is_mixed: bool
    reason: str


@dataclass(frozen=True, slots=True)
class FetchContent:
    """Fetch this content, verify all of it, and report `content_ready` or `fetch_failed`."""

    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class StopServing:
    """Send no more requests."""

    reason: str


@dataclass(frozen=True, slots=True)
class StartServing:
    """Send requests again."""

    reason: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write one line to the log."""

    text: str
    is_error: bool = False


Action = ActivateVersion | FetchContent | StopServing | StartServing | LogLine


@dataclass(frozen=True, slots=True)
class PeerReport:
    """A peer's answer about its own state."""

    name: str
    active_version: int
    lease_left_s: float     # the rest of a lease granted by keepers; 0 or less: none
    is_history_known: bool  # it knows every version it ever reported: it had a lease since its start, or a state file
    revision: int = 0   # of the fleet state that it knows
    fleet: Fleet | None = None  # that state, if it is newer than the recipient's


@dataclass(slots=True)
class VersionLease:
    """The lease of one process; `name` is the ingress's."""

    name: str
    fleet: Fleet | None = None
    revision: int = 0
    active_version: int = -1    # -1: none yet
    min_version: int = 0        # never activates a lower version than this
    active_digest: str = ""
    is_mixed: bool = False
    expires_at: float = 0.0     # of the lease granted by keepers
    static_expires_at: float = 0.0  # of the term that peers in the same state allow
    is_history_known: bool = False
    is_serving: bool = False
    ready_contents: dict[str, str] = field(default_factory=dict)    # digests that could be activated at once
    fetching_digest: str = ""
    fetch_error: str = ""       # why the coming version cannot be prepared
    peer_reports: dict[str, tuple[float, PeerReport]] = field(default_factory=dict)     # request time, report
    source: str = ""            # who granted the lease, for operators
    foreign_record: str = ""    # the latest log line about another record

    def is_valid(self, now: float) -> bool:
        """Whether requests may be sent; checked immediately before each send."""
        return now < self.expires_at or now < self.static_expires_at

    def restore(self, fleet: Fleet, revision: int, active_version: int, is_history_known: bool = True) -> None:
        """Restores the previous process's state from disk: never a lower version, but no lease.

        `is_history_known` is false if the machine may have lost the latest writes.
        """
        self.fleet, self.revision, self.is_history_known, self.min_version = (
            fleet, revision, is_history_known, active_version)

    # Events

    def granted(self, keeper: str, fleet: Fleet, revision: int, term_s: float, requested_at: float,
                now: float) -> list[Action]:
        """Handles a keeper's answer: the state as it was read, and the term of its lease from the request on."""
        actions = self._adopt_state(fleet, revision, f"keeper {keeper}")
        if self.fleet is not None and fleet.record == self.fleet.record and revision >= self.revision:
            self._extend(fleet, requested_at + term_s, f"keeper {keeper}")
            self.is_history_known = self.is_history_known or term_s > 0.0
        return actions + self.update(now)

    def peer_reported(self, report: PeerReport, requested_at: float, now: float) -> list[Action]:
        """Handles a peer's answer."""
        actions = self._adopt_state(report.fleet, report.revision, f"peer {report.name}") if (
            report.fleet is not None) else []
        self.peer_reports[report.name] = requested_at, report
        if report.lease_left_s > 0.0 and report.revision >= self.revision and self.fleet is not None:
            self._extend(self.fleet, requested_at + report.lease_left_s, f"peer {report.name}")
        return actions + self.update(now)

    def content_ready(self, digest: str, now: float) -> list[Action]:
        """Handles a content that was fetched, verified and can be activated."""
        self.ready_contents[digest] = ""
        fleet = self.fleet
        used = {self.active_digest} | (
            {v.digest for v in (fleet.version, fleet.coming) if v} if fleet else set())
        for unused in [d for d in self.ready_contents if d not in used][
                :max(0, len(self.ready_contents) - MAX_READY_CONTENTS)]:
            del self.ready_contents[unused]
        self.fetching_digest, self.fetch_error = "", ""
        return self.update(now)

    def fetch_failed(self, digest: str, error: str, now: float) -> list[Action]:
        """Handles a content that could not be fetched or is invalid; retried with the next answer."""
        self.fetching_digest, previous, self.fetch_error = "", self.fetch_error, error
        return [LogLine(f"a version cannot be prepared: {error}", True)] if error != previous else []

    def update(self, now: float) -> list[Action]:
        """Returns the actions that are due at this time."""
        actions: list[Action] = []
        if self.fleet is not None:
            target, coming = self.fleet.target, self.fleet.coming
            if self._is_ready(target.digest) or target.number == self.active_version:
                actions += self._activate(target.number, target.digest, self.fleet.is_mixed)
            for needed in (target, coming):
                if needed is not None and not self.fetching_digest and needed.number != self.active_version and (
                        not self._is_ready(needed.digest)):
                    self.fetching_digest = needed.digest
                    actions.append(FetchContent(needed.number, needed.digest))
        self._extend_by_peers(now)
        if not self.is_valid(now) and self.is_serving:
            self.is_serving = False
            actions.append(StopServing(self.reason_without_lease(now)))
        elif self.is_valid(now) and not self.is_serving and self.active_version >= 0:
            self.is_serving = True
            actions.append(StartServing(self.source))
        return actions

    # Rules

    def _is_ready(self, digest: str) -> bool:
        return digest == "" or digest in self.ready_contents

    def _adopt_state(self, fleet: Fleet, revision: int, sender: str) -> list[Action]:
        """Adopts a newer state of the same record; another record only if its versions are not lower."""
        if self.fleet is None:
            self.fleet, self.revision = fleet, revision
            return []
        if fleet.record != self.fleet.record:
            known = max(self.fleet.target.number, self.active_version, self.min_version)
            if fleet.version.number < known:
                text = (f"{sender} holds record {fleet.record} with version {fleet.version.number}, lower than "
                        f"record {self.fleet.record} with version {known} here: its state is ignored")
                previous, self.foreign_record = self.foreign_record, text
                return [LogLine(text, True)] if text != previous else []
            text = f"record {fleet.record} succeeds {self.fleet.record}, according to {sender}"
            self.fleet, self.revision, self.foreign_record = fleet, revision, ""
            self.peer_reports.clear()
            return [LogLine(text, True)]
        if revision > self.revision:
            self.fleet, self.revision = fleet, revision
        return []

    def _activate(self, number: int, digest: str, is_mixed: bool) -> list[Action]:
        if (number, is_mixed) == (self.active_version, self.is_mixed) or (
                number < max(self.active_version, self.min_version)):
            return []
        reason = f"version {number} is agreed" if is_mixed else f"version {number} is in force"
        if number != self.active_version:
            # The peers' term was for the previous version; the next answer of a keeper is for this one.
            self.static_expires_at = 0.0
            self.active_digest = digest     # otherwise unchanged: each number has one content
        self.active_version, self.is_mixed = number, is_mixed
        return [ActivateVersion(number, self.active_digest, is_mixed, reason)]

    def _extend(self, fleet: Fleet, expires_at: float, source: str) -> None:
        """Extends the lease, which is for the target version of the state that came with it and for no other."""
        target = fleet.target
        is_available = self._is_ready(target.digest) or target.number == self.active_version
        if is_available and target.number >= self.active_version and expires_at > self.expires_at:
            self.expires_at, self.source = expires_at, source

    def _extend_by_peers(self, now: float) -> None:
        """Extends the static term while enough peers are in the same state."""
        if self.fleet is None or self.active_version < 0 or not self.is_history_known or (
                self.active_version != self.fleet.target.number):
            return
        term_s = self.fleet.bounds.licence_s
        self.peer_reports = {name: entry for name, entry in self.peer_reports.items() if entry[0] > now - term_s}
        # Counts by the known members, not by the fewest there have been: keepers allow for every membership that a
        # process may know.
        fleet = replace(self.fleet, least={})
        group = {self.name}
        if outage_violation(fleet, group):  # this ingress alone may not be out: no tightening is in force without it
            self.static_expires_at, self.source = now + term_s, "the outage limits: this ingress may not be out"
            return
        for requested_at, report in sorted(self.peer_reports.values(), key=lambda pair: -pair[0]):
            if not (report.is_history_known and report.active_version == self.active_version
                    and report.revision <= self.revision):
                continue
            group.add(report.name)
            if outage_violation(fleet, group):
                expires_at = requested_at + term_s
                if expires_at > self.static_expires_at:
                    self.static_expires_at = expires_at
                    if now >= self.expires_at:
                        self.source = f"{len(group) - 1} peers that reach no keeper either"
                return

    def reason_without_lease(self, now: float) -> str:
        """Returns why no request may be sent, for operators."""
        if self.fleet is None:
            return "the fleet's record has not been received yet"
        target = self.fleet.target
        if not self._is_ready(target.digest) and target.number != self.active_version:
            return f"version {target.number} is not prepared" + (f": {self.fetch_error}" if self.fetch_error else "")
        names = ", ".join(sorted(self.peer_reports)) or "none"
        return (f"no lease for {now - max(self.expires_at, self.static_expires_at):.1f} s: "
                f"no keeper answers; recent answers of peers: {names}")
