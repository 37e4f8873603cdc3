"""The state machine of reloads: one load at a time, whole or not at all, never an old one after a new one."""

from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from fennelpoint.routes.reloading import Changes, GiveUp, Load, Report, Take
from fennelpoint.validation_errors import Fault

FAULT = (Fault("d", 1, "", "wrong"),)
TIMEOUT, SETTLE = 10.0, 0.5


def made() -> Changes:
    return Changes("d", {"d": 1}, TIMEOUT, SETTLE)


def test_sound_description_is_taken_and_a_faulty_one_reported_once():
    c = made()
    assert c.told(1.0) == [Load(1, "d")]
    assert c.ended(2.0, 1, "r", (), {"d": 2}) == [Take("r", 2)]
    assert c.told(3.0) == [Load(2, "d")]
    assert c.ended(4.0, 2, None, FAULT, {"d": 3}) == [Report(FAULT)] and c.version == 2
    assert [c.looked(5.0 + i, {"d": 3}) for i in range(5)] == [[]] * 5


def test_file_that_is_being_written_is_left_alone_until_it_rests():
    c = made()
    assert [c.looked(i * 0.4, {"d": 2 + i}) for i in range(5)] == [[]] * 5
    assert c.looked(2.0, {"d": 6}) == [] and c.looked(2.2, {"d": 6}) == [Load(1, "d")]


def test_change_during_a_load_is_read_after_it_and_a_fault_of_the_half_file_is_not_told():
    c = made()
    assert c.told(1.0) == [Load(1, "d")] and c.told(1.1) == [] and c.told(1.2, "e") == []
    assert c.ended(2.0, 1, None, FAULT, {"d": 2}) == [Load(2, "e")]
    assert c.ended(3.0, 2, "r", (), {"e": 1}) == [Take("r", 2)]


def test_load_that_hangs_is_given_up_and_its_late_end_is_nothing():
    c = made()
    c.told(1.0)
    assert c.tick(10.9) == []
    given_up, report = c.tick(11.0)
    assert given_up == GiveUp(1) and "10 s" in report.faults[0].text
    assert c.ended(12.0, 1, "old", (), {}) == [] and c.version == 1
    assert c.told(13.0) == [Load(2, "d")]
    assert c.ended(13.5, 1, "old", (), {}) == []


class Machine(RuleBasedStateMachine):
    """Files change, loads end in any way and order; a model keeps what the operator would expect."""

    @initialize()
    def begin(self):
        self.c, self.now, self.disk, self.out = made(), 0.0, 1, {}
        self.taken: list[int] = []      # what the disk held when the taken routes were read
        self.numbers: list[int] = []

    def do(self, actions):
        for action in actions:
            if isinstance(action, Load):
                assert not self.out, "two loads at once"
                assert action.number not in self.numbers, "a number used twice"
                self.numbers.append(action.number)
                self.out[action.number] = self.disk
            elif isinstance(action, GiveUp):
                del self.out[action.number]
            elif isinstance(action, Take):
                self.taken.append(action.table)

    @rule(seconds=st.floats(0.0, 15.0))
    def time(self, seconds):
        self.now += seconds
        self.do(self.c.tick(self.now))

    @rule()
    def write(self):
        self.disk += 1

    @rule()
    def hup(self):
        self.do(self.c.told(self.now))

    @rule()
    def look(self):
        self.do(self.c.looked(self.now, {"d": self.disk}))

    @precondition(lambda self: self.out)
    @rule(sound=st.booleans())
    def end(self, sound):
        (number, read), = self.out.items()
        del self.out[number]
        self.do(self.c.ended(self.now, number, read if sound else None, () if sound else FAULT, {"d": read}))

    @precondition(lambda self: self.numbers)
    @rule(data=st.data())
    def end_of_one_given_up(self, data):
        number = data.draw(st.sampled_from(self.numbers))
        if number not in self.out:
            assert self.c.ended(self.now, number, -1, (), {"d": -1}) == []

    @invariant()
    def never_back(self):
        assert self.taken == sorted(self.taken) and -1 not in self.taken

    @rule()
    def once_it_rests_the_last_file_is_in_force(self):
        """Let all loads end well and the watch look on: what the disk holds is what is taken."""
        for _ in range(6):
            self.now += SETTLE
            self.look()
            while self.out:
                self.end(True)
        assert not self.taken or self.taken[-1] == self.disk or self.c.files == {"d": self.disk}


TestMachine = Machine.TestCase
TestMachine.settings = profile(max_examples=60, stateful_step_count=40, deadline=None)
