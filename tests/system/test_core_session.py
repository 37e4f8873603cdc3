"""A proxy's session with the core: the reason it reports for an expired lease."""

from fennelpoint.system.actions import Send
from fennelpoint.system.proxy.core_session import CoreSession
from fennelpoint.system.proxy.session_actions import ApplyConfig, LeaseChanged

CORE = "roll@a"


def connected_session() -> CoreSession:
    """A session with the backend list, connected to one core machine."""
    session = CoreSession("f", "za", "ra", {"za": "ra"}, ["a"], {"life": 1}, 0.0)
    session.handle_connection(CORE, True, 0.0)
    session.handle_message(CORE, ["list", 1, 1, [], True], 0.0)
    return session


def answer_renewal(session: CoreSession, version: int, digest: str, now: float) -> None:
    """The core machine answers the newest renewal and names the newest configuration."""
    session.handle_message(CORE, ["lease", session.last_request_number, version, version, digest, [], 1], now)


def deliver_content(session: CoreSession, version: int, digest: str, now: float) -> None:
    """The content of that version arrives and is put in force."""
    actions = session.handle_message(CORE, ["content", digest, b"content"], now)
    assert ApplyConfig(version, digest, b"content") in actions
    session.handle_applied(version, digest, now)


def actions_of_ticks(session: CoreSession, since: float, until: float) -> list:
    """Actions of the timer in that time, except messages."""
    ticks = range(int(since * 20), int(until * 20))
    return [action for tick in ticks for action in session.tick(tick / 20) if not isinstance(action, Send)]


def test_an_expired_lease_reports_whether_the_core_was_silent_or_a_configuration_was_missing() -> None:
    silent = connected_session()
    answer_renewal(silent, 3, "d", 0.0)
    deliver_content(silent, 3, "d", 0.1)
    (lapsed,) = [a for a in actions_of_ticks(silent, 0.1, 5.0) if isinstance(a, LeaseChanged)]
    assert lapsed.reason.startswith("no core machine answers; the last answered renewal was sent ")
    behind = connected_session()
    answer_renewal(behind, 3, "d", 0.0)
    deliver_content(behind, 3, "d", 0.1)
    behind.tick(0.6)
    answer_renewal(behind, 5, "e", 0.7)
    (lapsed,) = [a for a in actions_of_ticks(behind, 0.7, 6.0) if isinstance(a, LeaseChanged)]
    assert lapsed.reason.startswith("configuration version 5 has not arrived; the last answered renewal was sent ")
