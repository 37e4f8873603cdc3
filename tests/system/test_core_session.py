"""A proxy's ties to the core: what it says of a lease that ended."""

from fennelpoint.system.actions import Send
from fennelpoint.system.proxy.core_session import CoreSession
from fennelpoint.system.proxy.session_actions import LeaseChanged

CORE = "roll@a"


def session() -> CoreSession:
    """A proxy with the list of backends, connected to one core machine."""
    made = CoreSession("f", "za", "ra", {"za": "ra"}, ["a"], {"life": 1}, 0.0)
    made.handle_connection(CORE, True, 0.0)
    made.handle_message(CORE, ["list", 1, 1, [], True], 0.0)
    return made


def answer(made: CoreSession, version: int, digest: str, now: float) -> None:
    """The core machine answers the newest ask: this is the newest configuration."""
    made.handle_message(CORE, ["lease", made.last_request_number, version, version, digest, [], 1], now)


def played(made: CoreSession, since: float, until: float) -> list:
    """What the timers do in that time."""
    ticks = range(int(since * 20), int(until * 20))
    return [action for tick in ticks for action in made.tick(tick / 20) if not isinstance(action, Send)]


def test_a_lease_that_ends_says_whether_the_core_was_silent_or_a_configuration_did_not_come() -> None:
    silent = session()
    answer(silent, 3, "d", 0.0)
    silent.handle_message(CORE, ["content", "d", b"3"], 0.1)
    (lapsed,) = [a for a in played(silent, 0.1, 5.0) if isinstance(a, LeaseChanged)]
    assert lapsed.reason.startswith("no core machine answers; the last answered renewal was sent ")
    behind = session()
    answer(behind, 3, "d", 0.0)
    behind.handle_message(CORE, ["content", "d", b"3"], 0.1)
    behind.tick(0.6)
    answer(behind, 5, "e", 0.7)
    (lapsed,) = [a for a in played(behind, 0.7, 6.0) if isinstance(a, LeaseChanged)]
    assert lapsed.reason.startswith("configuration version 5 has not arrived; the last answered renewal was sent ")
