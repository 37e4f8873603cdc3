"""A process of the core that leaves: words, calls, and when it goes."""

from random import Random

from fennelpoint.fleet.register import Acceptor
from fennelpoint.system.graceful_shutdown import LINGER, MOST, within
from fennelpoint.system.settings import Bounds
from fennelpoint.system.store.replica import REJOIN_RETRY_S, Replica
from fennelpoint.testing.core_simulation import play

SITE = """
core a1 za ra
core b1 zb rb
core c1 zc rc
backend s1 svc za
start
at 4 drain s1
"""


def test_beats_that_it_alone_heard_are_told_and_late_calls_are_sent_on() -> None:
    world = play(SITE)
    registry = world.cores["a1"].registry
    registry.recently_heard_ids = {"s1"}
    told = {a.to: a.message for a in registry.begin_shutdown(world.now) if getattr(a, "message", [""])[0] == "heard"}
    assert set(told) == {"roll@b1", "roll@c1"} and all(message[1] == ["s1"] for message in told.values())
    world.call("GET", "/api/status", None, "a1", "late")
    (asking,) = world.asked["late"]
    reply = world.replies[id(asking)]
    assert reply.status == 503 and ("Retry-After", "0.2") in reply.headers


def test_two_and_more_that_leave_at_once_answer_what_waits_and_go_in_time() -> None:
    world = play(SITE + "at 4.01 stop a1 b1 c1\n")
    assert world.backends["s1"].acked is None
    world.run(4.01 + MOST + 0.1)
    assert not any(core.up for core in world.cores.values())
    assert world.backends["s1"].acked is not None       # its drain waited for a majority, and got one


def test_a_store_stays_for_one_that_comes_back_but_not_for_ever() -> None:
    store = Replica("a", "za", {"za": "ra"}, list("abc"), Acceptor("a", 0, False, {}, {}), True, {}.get,
                    Random(1), 0.0)
    assert not store.can_exit(9.0)
    store.leave(10.0)
    store.receive("b", ["hail", 1, "b", 0], 10.1)
    assert not store.can_exit(10.1 + REJOIN_RETRY_S) and store.can_exit(10.1 + REJOIN_RETRY_S + LINGER)
    for i in range(10):
        store.receive("b", ["hail", 1, "b", 0], 10.3 + i * REJOIN_RETRY_S)
    assert store.can_exit(10.0 + MOST) and within(Bounds().grace_period_s) < 3.0 and within(2.0) < 1.0
