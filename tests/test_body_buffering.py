"""Flow control of large bodies: byte budget, high-water marks, minimum rate, and framing of uploads."""

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fennelpoint.body_buffering import (
    MAX_HIGH_WATER_BYTES,
    MAX_UPLOAD_BUFFER_BYTES,
    MIN_BUDGET_BYTES,
    MIN_BYTES_PER_S,
    MIN_HIGH_WATER_BYTES,
    MIN_UPLOAD_BUFFER_BYTES,
    PACE_GRACE_S,
    READ_BYTES,
    Account,
    Budget,
    Pace,
    Upload,
    budget_of,
)


def unchunk(data: bytes) -> tuple[bytes, bool, bytes]:
    """Decode chunked data: the body, whether the last chunk was there, and the bytes after it."""
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        if int(size, 16) == 0:
            return body, True, data.removeprefix(b"\r\n")
        body, data = body + data[:int(size, 16)], data[int(size, 16) + 2:]
    return body, False, b""


PIECES = st.lists(st.binary(min_size=1, max_size=40), max_size=12)


@given(PIECES, st.sets(st.integers(0, 12)), st.booleans())
def test_an_upload_is_unchanged_however_it_is_split_and_ends_once(pieces, pulls, chunked):
    body = b"".join(pieces)
    upload, out = Upload(None if chunked else len(body)), b""
    for i, piece in enumerate(pieces):
        upload.add(piece)
        if i in pulls:
            out += upload.take_pending()
            assert upload.is_consumed and not upload.pending_bytes and not upload.is_sent
    upload.is_complete = True
    while upload.has_pending:
        out += upload.take_pending()
    assert upload.is_sent and upload.received_bytes == len(body)
    assert (unchunk(out) if chunked else (out, True, b"")) == (body, True, b"")


@given(PIECES)
def test_bytes_after_the_response_are_counted_and_not_buffered(pieces):
    upload = Upload(None)
    upload.add(b"first")
    upload.discard()
    for piece in pieces:
        upload.add(piece)
    assert upload.pending_bytes == 0 and not upload.pending and upload.received_bytes == 5 + sum(map(len, pieces))


class BudgetMachine(RuleBasedStateMachine):
    """In any order of use and return, the sums are right and the limits stay within their bounds."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = Budget(4 << 20)
        self.accounts = [Account(self.budget) for _ in range(5)]
        self.model = {i: (0, False) for i in range(5)}

    @rule(i=st.integers(0, 4), amount=st.integers(0, 2 << 20))
    def use(self, i: int, amount: int) -> None:
        self.accounts[i].set_used(amount)
        self.model[i] = (amount, self.model[i][1])

    @rule(i=st.integers(0, 4))
    def stream(self, i: int) -> None:
        self.accounts[i].start_stream()
        self.model[i] = (self.model[i][0], True)

    @rule(i=st.integers(0, 4))
    def close(self, i: int) -> None:
        self.accounts[i].close()
        self.model[i] = (0, False)

    @invariant()
    def sums(self) -> None:
        assert self.budget.used_bytes == sum(amount for amount, _ in self.model.values())
        assert self.budget.streams == sum(flows for _, flows in self.model.values())
        assert MIN_HIGH_WATER_BYTES <= self.budget.high_water_bytes <= MAX_HIGH_WATER_BYTES
        assert (MIN_UPLOAD_BUFFER_BYTES <= self.budget.upload_buffer_bytes <= MAX_UPLOAD_BUFFER_BYTES
                and MIN_HIGH_WATER_BYTES <= self.budget.read_bytes <= READ_BYTES)
        assert not self.budget.is_under_pressure or self.budget.high_water_bytes == MIN_HIGH_WATER_BYTES


TestBudget = BudgetMachine.TestCase


@given(st.integers(1, 2000), st.floats(64, 65536))
def test_streams_to_stalled_readers_exceed_their_budget_by_at_most_a_read_each(streams, memory):
    """Each backend is read until the high-water mark, which falls with the number of streams."""
    budget = Budget(budget_of(memory))
    accounts = [Account(budget) for _ in range(streams)]
    for account in accounts:
        account.start_stream()
    for account in accounts:
        while account.used_bytes < budget.high_water_bytes:
            account.set_used(account.used_bytes + min(budget.read_bytes, 1 << 20))
    assert budget.used_bytes <= (
        budget.max_bytes / 2 + streams * (MIN_HIGH_WATER_BYTES + READ_BYTES) + MAX_HIGH_WATER_BYTES)


def test_the_budget_depends_on_the_memory_limit():
    assert budget_of(16) == budget_of(28) == MIN_BUDGET_BYTES
    assert budget_of(80) < budget_of(192) < 192 << 20


def test_a_sender_has_a_grace_period_and_then_a_minimum_rate():
    pace = Pace(100.0)
    assert not pace.is_too_slow(100.0 + PACE_GRACE_S) and pace.is_too_slow(100.1 + PACE_GRACE_S)
    pace.received_bytes = int(10 * MIN_BYTES_PER_S)
    assert not pace.is_too_slow(109.9 + PACE_GRACE_S) and pace.is_too_slow(110.1 + PACE_GRACE_S)


def test_time_in_which_reading_is_paused_does_not_count():
    pace = Pace(100.0)
    pace.pause(100.5)
    pace.pause(101.0)   # a second pause changes nothing
    assert not pace.is_too_slow(200.0)
    pace.resume(200.5)
    assert not pace.is_too_slow(201.9) and pace.is_too_slow(202.6)


@given(st.floats(0.01, 100.0), st.integers(0, 1 << 25), st.integers(1, 1 << 25))
def test_the_rest_is_expected_no_later_than_the_minimum_rate_allows(elapsed, received, missing):
    pace = Pace(0.0, received)
    assert 0.0 < pace.expected_s(elapsed, missing) <= PACE_GRACE_S + missing / MIN_BYTES_PER_S
    assert pace.expected_s(elapsed, None) == pace.expected_s(elapsed, 0) == 0.0
