"""The quorum check: whether a change that this core machine acknowledges can reach a majority.

Each gossip message carries the time at which it was sent, by the sender's own steady clock, and an echo: the newest
such time that the sender has received from the receiver.  An echo proves that messages pass in both directions, as of
the time when the echoed message was sent.  The state of a connection proves neither direction: it stays up for a
while after a network partition, and a paused machine does not notice that time has passed.
"""

from __future__ import annotations

from collections.abc import Callable

ECHO_VALIDITY_S = 1.8   # from the sending of a message, in which its echo counts: three rounds of gossip
# A process without an event for so long was paused: its callers have turned to other machines by then.
PAUSE_THRESHOLD_S = 1.0
BACKLOG_S = 0.5         # after a pause, in which a message that is read may have waited for the whole pause


class QuorumCheck:
    """Which core machines one of them exchanges messages with.

    Times are seconds on its steady clock; stamps are milliseconds.
    """

    def __init__(self, node_ip: str, now: float) -> None:
        self.node_ip = node_ip
        self.valid_from = now   # messages sent earlier don't count: this process started, or resumed from a pause
        self.last_event_at = now
        self.pause_s, self.backlog_until = 0.0, now
        self.received_stamps: dict[str, int] = {}       # the newest stamp received from each peer
        self.echoed_at: dict[str, float] = {}           # when the newest message that each peer has echoed was sent
        self.trusted_until: dict[str, float] = {}       # until when each peer counts as having a quorum, as it says

    def detect_pause(self, now: float) -> bool:
        """Whether this process was paused until now; to be called at each event, before it is handled."""
        gap, self.last_event_at = now - self.last_event_at, now
        if gap <= PAUSE_THRESHOLD_S:
            return False
        self.valid_from, self.pause_s, self.backlog_until = now, gap, now + BACKLOG_S
        return True

    def possible_delay_s(self, now: float) -> float:
        """For how long a message that is read now may have waited here, in seconds."""
        return self.pause_s if now < self.backlog_until else 0.0

    def gossip_header(self, peer: str, has_quorum: bool, now: float) -> list:
        """The header of the next gossip message to a peer: stamp, echo, and whether this machine has a quorum."""
        return [int(now * 1000), self.received_stamps.get(peer, 0), has_quorum]

    def on_gossip(self, peer: str, stamp_ms: int, echo: int, has_quorum: bool, now: float) -> None:
        """Take in the header of a gossip message from a peer."""
        self.received_stamps[peer] = stamp_ms
        self.on_echo(peer, echo, now)
        if has_quorum and not self.possible_delay_s(now):
            self.trusted_until[peer] = now + ECHO_VALIDITY_S
        else:
            self.trusted_until.pop(peer, None)

    def on_echo(self, peer: str, stamp_ms: int, now: float) -> None:
        """A peer has received the message that was sent at this stamp.

        Ignores stamps of an earlier incarnation, and stamps that this process can't have sent.
        """
        sent_at = stamp_ms / 1000
        if self.valid_from - 0.001 <= sent_at <= now:
            self.echoed_at[peer] = max(sent_at, self.echoed_at.get(peer, sent_at))

    def has_quorum(self, is_majority: Callable[[set[str]], bool], now: float) -> bool:
        """Whether a majority has echoed a message that was sent at most `ECHO_VALIDITY_S` ago."""
        return now >= self.backlog_until and is_majority(
            {self.node_ip, *(ip for ip, sent_at in self.echoed_at.items()
                             if sent_at >= self.valid_from - 0.001 and now - sent_at <= ECHO_VALIDITY_S)})

    def is_trusted(self, peer: str, now: float) -> bool:
        """Whether a peer counts as having a quorum, by its own recent gossip."""
        return now <= self.trusted_until.get(peer, -1e9)
