"""Which core machines a proxy holds and asks, while some of them answer and others do not."""

from hypothesis import given
from hypothesis import strategies as st

from fennelpoint.system.actions import Send
from fennelpoint.system.proxy.config_fetch import AGAIN
from fennelpoint.system.proxy.core_choice import (
    NEXT_STAND_IN,
    SILENT,
    STAND_IN_KEPT,
    START_GRACE,
    USUAL,
    CoreChoice,
)
from fennelpoint.system.proxy.core_session import HELPERS, CoreSession

REGIONS = {"za": "ra", "zb": "rb", "zc": "rc"}
CORE = {f"{zone}{number}": zone for zone in REGIONS for number in range(4)}
TICK = 0.05


class Played:
    """A choice in time: each tick the machines that are held and answer do so."""

    def __init__(self) -> None:
        self.choice, self.now = CoreChoice("f", "za", "ra", REGIONS), 100.0
        self.usual = self.choice.usual(CORE)

    def run(self, seconds: float, answering: set[str]) -> None:
        """Machines that are reached are asked at each tick; only these answer."""
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            held = self.choice.held(CORE)
            for ip in held:
                self.choice.asked(ip, self.now)
                if ip in answering:
                    self.choice.answered(ip, self.now)
            self.choice.renew(CORE, held, self.now)


def test_no_other_machine_is_held_while_one_of_the_usual_ones_answers() -> None:
    played = Played()
    for one in played.usual:
        played.run(5.0, {one})
        assert played.choice.held(CORE) == played.usual
        assert played.choice.by_answers(CORE, played.now)[-1] != one
        silent = [ip for ip in played.usual if played.choice.silent(ip, played.now)]
        assert silent == [ip for ip in played.usual if ip != one]


def test_further_machines_are_tried_in_turn_until_one_answers_and_let_go_of_when_a_usual_one_does() -> None:
    played = Played()
    played.run(1.0, set(played.usual))
    played.run(SILENT + TICK, set())
    assert len(played.choice.held(CORE)) == USUAL + 1
    played.run(NEXT_STAND_IN + TICK, set())
    assert len(played.choice.held(CORE)) == USUAL + 2
    (found,) = played.choice.held(CORE)[-1:]
    played.run(20.0, {found})
    assert found in played.choice.held(CORE) and len(played.choice.held(CORE)) <= USUAL + 2
    assert played.choice.by_answers(CORE, played.now)[0] == found
    played.run(STAND_IN_KEPT + 0.1, {found, *played.usual})
    assert played.choice.held(CORE) == played.usual
    assert played.choice.by_answers(CORE, played.now)[0] == played.usual[0]


@given(answering=st.sets(st.sampled_from(sorted(CORE)), min_size=1))
def test_whichever_machine_answers_it_is_found_and_few_others_are_held(answering: set[str]) -> None:
    played = Played()
    played.run(START_GRACE + SILENT + len(CORE) * NEXT_STAND_IN + 0.5, answering)
    held = played.choice.held(CORE)
    assert next(ip for ip in played.choice.by_answers(CORE, played.now) if ip in held) in answering
    assert len(played.choice.held(CORE)) <= USUAL + 1 + SILENT / NEXT_STAND_IN + 1


def connected(me: str = "f") -> CoreSession:
    session = CoreSession(me, "za", "ra", REGIONS, ["za0"], {"life": 1}, 0.0)
    session.heard("roll@za0", ["core", CORE, 1], 0.0)
    for peer in sorted(session.peers(0.0)):
        session.linked(peer, True, 0.0)
    return session


def test_a_configuration_that_does_not_come_is_asked_of_those_that_named_it() -> None:
    session = connected()
    nearest, *others = ["roll@" + ip for ip in session.choice.usual(CORE)]
    for told_by in others:
        session.heard(told_by, ["world", 1, 3, "d", [], 1], 0.0)
    asked = [
        action.to
        for tick in range(1, round(2 * AGAIN / TICK) + 4)
        for action in session.tick(tick * TICK)
        if isinstance(action, Send) and action.message[0] == "need"
    ]
    assert set(asked) == set(others) and nearest not in asked


def test_fronts_that_are_cut_off_together_ask_different_ones_for_help() -> None:
    others = [f"f{number}" for number in range(40)]
    asked = set()
    for me in others[:20]:
        session = connected(me)
        session.heard("roll@za0", ["fronts", others], 0.0)
        session.cut = True
        assert len(session.helping()) == HELPERS
        asked |= session.helping()
    assert len(asked) > 15
