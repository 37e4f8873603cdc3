"""Which core machines a proxy connects to and sends requests to, while some of them answer and others do not."""

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


class ChoiceModel:
    """A choice in simulated time: each tick a request goes to every connected machine."""

    def __init__(self) -> None:
        self.choice, self.now = CoreChoice("f", "za", "ra", REGIONS), 100.0
        self.defaults = self.choice.default_machines(CORE)

    def run(self, seconds: float, answering: set[str]) -> None:
        """Let time pass while only these machines answer."""
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            targets = self.choice.connection_targets(CORE)
            for ip in targets:
                self.choice.note_request(ip, self.now)
                if ip in answering:
                    self.choice.note_answer(ip, self.now)
            self.choice.update_fallbacks(CORE, targets, self.now)


def test_no_fallback_is_connected_while_a_default_machine_answers() -> None:
    model = ChoiceModel()
    for answering in model.defaults:
        model.run(5.0, {answering})
        assert model.choice.connection_targets(CORE) == model.defaults
        assert model.choice.by_responsiveness(CORE, model.now)[-1] != answering
        silent = [ip for ip in model.defaults if model.choice.is_silent(ip, model.now)]
        assert silent == [ip for ip in model.defaults if ip != answering]


def test_fallbacks_are_tried_in_turn_until_one_answers_and_dropped_when_a_default_machine_answers() -> None:
    model = ChoiceModel()
    model.run(1.0, set(model.defaults))
    model.run(SILENT_AFTER_S + TICK, set())
    assert len(model.choice.connection_targets(CORE)) == DEFAULT_MACHINES + 1
    model.run(FALLBACK_INTERVAL_S + TICK, set())
    assert len(model.choice.connection_targets(CORE)) == DEFAULT_MACHINES + 2
    (found,) = model.choice.connection_targets(CORE)[-1:]
    model.run(20.0, {found})
    assert (
        found in model.choice.connection_targets(CORE)
        and len(model.choice.connection_targets(CORE)) <= DEFAULT_MACHINES + 2
    )
    assert model.choice.by_responsiveness(CORE, model.now)[0] == found
    model.run(FALLBACK_RETENTION_S + 0.1, {found, *model.defaults})
    assert model.choice.connection_targets(CORE) == model.defaults
    assert model.choice.by_responsiveness(CORE, model.now)[0] == model.defaults[0]


@given(answering=st.sets(st.sampled_from(sorted(CORE)), min_size=1))
def test_any_answering_machine_is_found_and_few_others_stay_connected(answering: set[str]) -> None:
    model = ChoiceModel()
    model.run(START_GRACE_S + SILENT_AFTER_S + len(CORE) * FALLBACK_INTERVAL_S + 0.5, answering)
    targets = model.choice.connection_targets(CORE)
    assert next(ip for ip in model.choice.by_responsiveness(CORE, model.now) if ip in targets) in answering
    assert (
        len(model.choice.connection_targets(CORE)) <= DEFAULT_MACHINES + 1 + SILENT_AFTER_S / FALLBACK_INTERVAL_S + 1
    )


def connected_session(own_ip: str = "f") -> CoreSession:
    session = CoreSession(own_ip, "za", "ra", REGIONS, ["za0"], {"life": 1}, 0.0)
    session.handle_message("roll@za0", ["core", CORE, 1], 0.0)
    for peer in sorted(session.peers(0.0)):
        session.handle_connection(peer, True, 0.0)
    return session


def test_a_missing_configuration_is_requested_from_machines_that_announced_it() -> None:
    session = connected_session()
    nearest, *others = ["roll@" + ip for ip in session.choice.default_machines(CORE)]
    for announcer in others:
        session.handle_message(announcer, ["world", 1, 3, "d", [], 1], 0.0)
    asked = [
        action.to
        for tick in range(1, round(2 * RETRY_INTERVAL_S / TICK) + 4)
        for action in session.tick(tick * TICK)
        if isinstance(action, Send) and action.message[0] == "need"
    ]
    assert set(asked) == set(others) and nearest not in asked


def test_proxies_that_are_cut_off_together_choose_different_relays() -> None:
    others = [f"f{number}" for number in range(40)]
    relays = set()
    for own_ip in others[:20]:
        session = connected_session(own_ip)
        session.handle_message("roll@za0", ["fronts", others], 0.0)
        session.is_cut_off = True
        assert len(session.relay_candidates()) == RELAYS
        relays |= session.relay_candidates()
    assert len(relays) > 15
