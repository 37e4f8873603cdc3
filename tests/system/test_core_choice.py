"""Which core machines a proxy holds and asks, while some of them answer and others do not."""

from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.system.actions import Send
from fennelpoint.system.proxy.config_fetch import RETRY_INTERVAL_S
from fennelpoint.system.proxy.core_choice import (
    DEFAULT_MACHINES,
    FALLBACK_INTERVAL_S,
    FALLBACK_RETENTION_S,
    SILENT_AFTER_S,
    START_GRACE_S,
    CoreChoice,
)
from fennelpoint.system.proxy.core_session import RELAYS, CoreSession

REGIONS = {"za": "ra", "zb": "rb", "zc": "rc"}
CORE = {f"{zone}{number}": zone for zone in REGIONS for number in range(4)}
TICK = 0.05


class Played:
    """A choice in time: each tick the machines that are held and answer do so."""

    def __init__(self) -> None:
        self.choice, self.now = CoreChoice("f", "za", "ra", REGIONS), 100.0
        self.usual = self.choice.default_machines(CORE)

    def run(self, seconds: float, answering: set[str]) -> None:
        """Machines that are reached are asked at each tick; only these answer."""
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            held = self.choice.connection_targets(CORE)
            for ip in held:
                self.choice.note_request(ip, self.now)
                if ip in answering:
                    self.choice.note_answer(ip, self.now)
            self.choice.update_fallbacks(CORE, held, self.now)


def test_no_other_machine_is_held_while_one_of_the_usual_ones_answers() -> None:
    played = Played()
    for one in played.usual:
        played.run(5.0, {one})
        assert played.choice.connection_targets(CORE) == played.usual
        assert played.choice.by_responsiveness(CORE, played.now)[-1] != one
        silent = [ip for ip in played.usual if played.choice.is_silent(ip, played.now)]
        assert silent == [ip for ip in played.usual if ip != one]


def test_further_machines_are_tried_in_turn_until_one_answers_and_let_go_of_when_a_usual_one_does() -> None:
    played = Played()
    played.run(1.0, set(played.usual))
    played.run(SILENT_AFTER_S + TICK, set())
    assert len(played.choice.connection_targets(CORE)) == DEFAULT_MACHINES + 1
    played.run(FALLBACK_INTERVAL_S + TICK, set())
    assert len(played.choice.connection_targets(CORE)) == DEFAULT_MACHINES + 2
    (found,) = played.choice.connection_targets(CORE)[-1:]
    played.run(20.0, {found})
    assert (
        found in played.choice.connection_targets(CORE)
        and len(played.choice.connection_targets(CORE)) <= DEFAULT_MACHINES + 2
    )
    assert played.choice.by_responsiveness(CORE, played.now)[0] == found
    played.run(FALLBACK_RETENTION_S + 0.1, {found, *played.usual})
    assert played.choice.connection_targets(CORE) == played.usual
    assert played.choice.by_responsiveness(CORE, played.now)[0] == played.usual[0]


@given(answering=st.sets(st.sampled_from(sorted(CORE)), min_size=1))
def test_whichever_machine_answers_it_is_found_and_few_others_are_held(answering: set[str]) -> None:
    played = Played()
    played.run(START_GRACE_S + SILENT_AFTER_S + len(CORE) * FALLBACK_INTERVAL_S + 0.5, answering)
    held = played.choice.connection_targets(CORE)
    assert next(ip for ip in played.choice.by_responsiveness(CORE, played.now) if ip in held) in answering
    assert (
        len(played.choice.connection_targets(CORE)) <= DEFAULT_MACHINES + 1 + SILENT_AFTER_S / FALLBACK_INTERVAL_S + 1
    )


def connected(me: str = "f") -> CoreSession:
    session = CoreSession(me, "za", "ra", REGIONS, ["za0"], {"life": 1}, 0.0)
    session.handle_message("roll@za0", ["core", CORE, 1], 0.0)
    for peer in sorted(session.peers(0.0)):
        session.handle_connection(peer, True, 0.0)
    return session


def test_a_configuration_that_does_not_come_is_asked_of_those_that_named_it() -> None:
    session = connected()
    nearest, *others = ["roll@" + ip for ip in session.choice.default_machines(CORE)]
    for told_by in others:
        session.handle_message(told_by, ["world", 1, 3, "d", [], 1], 0.0)
    asked = [
        action.to
        for tick in range(1, round(2 * RETRY_INTERVAL_S / TICK) + 4)
        for action in session.tick(tick * TICK)
        if isinstance(action, Send) and action.message[0] == "need"
    ]
    assert set(asked) == set(others) and nearest not in asked


def test_fronts_that_are_cut_off_together_ask_different_ones_for_help() -> None:
    others = [f"f{number}" for number in range(40)]
    asked = set()
    for me in others[:20]:
        session = connected(me)
        session.handle_message("roll@za0", ["fronts", others], 0.0)
        session.is_cut_off = True
        assert len(session.relay_candidates()) == RELAYS
        asked |= session.relay_candidates()
    assert len(asked) > 15
