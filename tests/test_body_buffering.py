"""The pure part of large bodies: budget, marks, pace, and uploads framed in any pieces."""

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fennelpoint.body_buffering import (
    GRACE,
    LEAST_BUDGET,
    LEAST_HELD,
    LEAST_MARK,
    MOST_HELD,
    MOST_MARK,
    RATE,
    READ,
    Account,
    Budget,
    Pace,
    Upload,
    budget_of,
)


def unchunk(data: bytes) -> tuple[bytes, bool, bytes]:
    """The body of a chunked text, whether its last chunk came, and what follows."""
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        if int(size, 16) == 0:
            return body, True, data.removeprefix(b"\r\n")
        body, data = body + data[:int(size, 16)], data[int(size, 16) + 2:]
    return body, False, b""


PIECES = st.lists(st.binary(min_size=1, max_size=40), max_size=12)


@given(PIECES, st.sets(st.integers(0, 12)), st.booleans())
def test_an_upload_in_any_pieces_comes_out_the_same_and_ends_once(pieces, pulls, chunked):
    body = b"".join(pieces)
    upload, out = Upload(None if chunked else len(body)), b""
    for i, piece in enumerate(pieces):
        upload.add(piece)
        if i in pulls:
            out += upload.take()
            assert upload.spent and not upload.held and not upload.ended
    upload.whole = True
    while upload.waits:
        out += upload.take()
    assert upload.ended and upload.got == len(body)
    assert (unchunk(out) if chunked else (out, True, b"")) == (body, True, b"")


@given(PIECES)
def test_what_comes_after_its_answer_is_counted_and_not_held(pieces):
    upload = Upload(None)
    upload.add(b"first")
    upload.drop()
    for piece in pieces:
        upload.add(piece)
    assert upload.held == 0 and not upload.parts and upload.got == 5 + sum(map(len, pieces))


class Budgeting(RuleBasedStateMachine):
    """Whatever is held and given back in whatever order: the sum is right, and marks stay in their bounds."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = Budget(4 << 20)
        self.accounts = [Account(self.budget) for _ in range(5)]
        self.model = {i: (0, False) for i in range(5)}

    @rule(i=st.integers(0, 4), amount=st.integers(0, 2 << 20))
    def hold(self, i: int, amount: int) -> None:
        self.accounts[i].hold(amount)
        self.model[i] = (amount, self.model[i][1])

    @rule(i=st.integers(0, 4))
    def flow(self, i: int) -> None:
        self.accounts[i].flow()
        self.model[i] = (self.model[i][0], True)

    @rule(i=st.integers(0, 4))
    def close(self, i: int) -> None:
        self.accounts[i].close()
        self.model[i] = (0, False)

    @invariant()
    def sums(self) -> None:
        assert self.budget.used == sum(amount for amount, _ in self.model.values())
        assert self.budget.flows == sum(flows for _, flows in self.model.values())
        assert LEAST_MARK <= self.budget.mark <= MOST_MARK
        assert LEAST_HELD <= self.budget.held <= MOST_HELD and LEAST_MARK <= self.budget.read <= READ
        assert not self.budget.pressed or self.budget.mark == LEAST_MARK


TestBudgeting = Budgeting.TestCase


@given(st.integers(1, 2000), st.floats(64, 65536))
def test_flows_to_readers_that_stop_stay_within_the_budget_and_a_read_each(flows, memory):
    """Each is read until its mark is passed; the marks shrink as they come."""
    budget = Budget(budget_of(memory))
    accounts = [Account(budget) for _ in range(flows)]
    for account in accounts:
        account.flow()
    for account in accounts:
        while account.bytes < budget.mark:
            account.hold(account.bytes + min(budget.read, 1 << 20))
    assert budget.used <= budget.most / 2 + flows * (LEAST_MARK + READ) + MOST_MARK


def test_the_budget_follows_the_limit_of_memory():
    assert budget_of(16) == budget_of(28) == LEAST_BUDGET
    assert budget_of(80) < budget_of(192) < 192 << 20


def test_a_sender_has_its_grace_and_its_rate_and_no_more():
    pace = Pace(100.0)
    assert not pace.late(100.0 + GRACE) and pace.late(100.1 + GRACE)
    pace.got = int(10 * RATE)
    assert not pace.late(109.9 + GRACE) and pace.late(110.1 + GRACE)


def test_time_in_which_we_do_not_read_is_not_the_senders():
    pace = Pace(100.0)
    pace.pause(100.5)
    pace.pause(101.0)   # said twice
    assert not pace.late(200.0)
    pace.resume(200.5)
    assert not pace.late(201.9) and pace.late(202.6)


@given(st.floats(0.01, 100.0), st.integers(0, 1 << 25), st.integers(1, 1 << 25))
def test_the_rest_is_expected_no_later_than_the_pace_allows(span, got, missing):
    pace = Pace(0.0, got)
    assert 0.0 < pace.expected(span, missing) <= GRACE + missing / RATE
    assert pace.expected(span, None) == pace.expected(span, 0) == 0.0
