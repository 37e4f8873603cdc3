"""Graceful shutdown of a core process: last messages, pending API calls, and the time of the exit."""

from random import Random

from fennelpoint.fleet.register import Acceptor
from fennelpoint.system.graceful_shutdown import LINGER_S, MAX_SHUTDOWN_S, shutdown_timeout
from fennelpoint.system.settings import Bounds
from fennelpoint.system.store.replica import REJOIN_RETRY_S, Replica
from fennelpoint.testing.core_simulation import run_scenario

SITE = """
core a1 za ra
core b1 zb rb
core c1 zc rc
backend s1 svc za
start
at 4 drain s1
"""


def test_heartbeats_only_this_machine_received_are_gossiped_and_late_calls_are_refused_with_retry_after() -> None:
    world = run_scenario(SITE)
    registry = world.cores["a1"].registry
    registry.recently_heard_ids = {"s1"}
    messages = {action.to: action.message for action in registry.begin_shutdown(world.now)
                if getattr(action, "message", [""])[0] == "heard"}
    assert set(messages) == {"roll@b1", "roll@c1"} and all(message[1] == ["s1"] for message in messages.values())
    world.call("GET", "/api/status", None, "a1", "late")
    (request,) = world.calls_by_label["late"]
    reply = world.replies[id(request)]
    assert reply.status == 503 and ("Retry-After", "0.2") in reply.headers


def test_machines_that_shut_down_at_once_answer_pending_calls_and_exit_in_time() -> None:
    world = run_scenario(SITE + "at 4.01 stop a1 b1 c1\n")
    assert world.backends["s1"].acknowledged_at is None
    world.run(4.01 + MAX_SHUTDOWN_S + 0.1)
    assert not any(core.is_running for core in world.cores.values())
    assert world.backends["s1"].acknowledged_at is not None       # its drain needed a majority, and got one


def test_a_replica_waits_for_a_rejoining_peer_but_exits_after_the_shutdown_timeout() -> None:
    store = Replica("a", "za", {"za": "ra"}, list("abc"), Acceptor("a", 0, False, {}, {}), True, {}.get,
                    Random(1), 0.0)
    assert not store.can_exit(9.0)
    store.leave(10.0)
    store.receive("b", ["hail", 1, "b", 0], 10.1)
    assert not store.can_exit(10.1 + REJOIN_RETRY_S) and store.can_exit(10.1 + REJOIN_RETRY_S + LINGER_S)
    for i in range(10):
        store.receive("b", ["hail", 1, "b", 0], 10.3 + i * REJOIN_RETRY_S)
    assert (store.can_exit(10.0 + MAX_SHUTDOWN_S) and shutdown_timeout(Bounds().grace_period_s) < 3.0
            and shutdown_timeout(2.0) < 1.0)
