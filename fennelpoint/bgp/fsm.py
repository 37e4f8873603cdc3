"""The session's state machine as a table (RFC 4271, section 8.2.2), and the peer that runs it.

Pure: events with the time in, actions out.  The table has a row for every state and event; the numbers of
events are the RFC's.  DelayOpen and damping of the peer's oscillations are left out, as section 8.1.1 allows.
"""

from __future__ import annotations

from enum import Enum, IntEnum


class State(Enum):
    IDLE = "Idle"
    CONNECT = "Connect"
    ACTIVE = "Active"
    OPEN_SENT = "OpenSent"
    OPEN_CONFIRM = "OpenConfirm"
    ESTABLISHED = "Established"


class Event(IntEnum):
    """Events of RFC 4271, section 8.1, by its numbers."""

    MANUAL_START = 1
    MANUAL_STOP = 2
    AUTOMATIC_START = 3
    MANUAL_START_PASSIVE = 4
    AUTOMATIC_START_PASSIVE = 5
    AUTOMATIC_STOP = 8
    CONNECT_RETRY = 9
    HOLD = 10
    KEEPALIVE_DUE = 11
    TCP_ACKED = 16
    TCP_CONFIRMED = 17
    TCP_FAILS = 18
    OPEN = 19
    HEADER_ERROR = 21
    OPEN_ERROR = 22
    COLLISION_DUMP = 23
    NOTIFICATION_VERSION = 24
    NOTIFICATION = 25
    KEEPALIVE = 26
    UPDATE = 27
    UPDATE_ERROR = 28


class Do(Enum):
    """What a transition does."""

    START_RETRY = "start the connect retry timer"
    STOP_RETRY = "stop the connect retry timer"
    CONNECT = "open a TCP connection"
    DROP = "drop the TCP connection"
    SEND_OPEN = "send an OPEN"
    SEND_KEEPALIVE = "send a KEEPALIVE"
    NOTIFY = "send the NOTIFICATION of the event"
    LARGE_HOLD = "set the hold timer to four minutes"
    START_HOLD = "start the hold timer by what was agreed"
    STOP_HOLD = "stop the hold timer"
    START_KEEPALIVE = "start the keepalive timer by what was agreed"
    STOP_KEEPALIVE = "stop the keepalive timer"
    COUNT = "count a failed try"
    FORGET = "set the count of failed tries to 0"
    UP = "tell all routes"
    DOWN = "all that was told is gone"


Row = tuple[tuple[Do, ...], State]
S, E = State, Event

# Ends of a session.  Down is told from Established only.
_STOP = (Do.STOP_RETRY, Do.STOP_HOLD, Do.STOP_KEEPALIVE)
_FAIL = (*_STOP, Do.DROP, Do.COUNT)
_TELL = (Do.NOTIFY, *_FAIL)
_CONFIRMED = (Do.STOP_RETRY, Do.SEND_OPEN, Do.LARGE_HOLD)
_STARTS = (E.MANUAL_START, E.AUTOMATIC_START)
_PASSIVE = (E.MANUAL_START_PASSIVE, E.AUTOMATIC_START_PASSIVE)
_STARTED = (*_STARTS, *_PASSIVE)


def _table() -> dict[tuple[State, Event], Row]:
    """All rows: each state's own first, then its "any other event"."""
    rows: dict[tuple[State, Event], Row] = {}

    def put(state: State, events: Event | tuple[Event, ...], does: tuple[Do, ...], after: State) -> None:
        for event in events if isinstance(events, tuple) else (events,):
            rows[state, event] = (does, after)

    put(S.IDLE, _STARTS, (Do.FORGET, Do.START_RETRY, Do.CONNECT), S.CONNECT)
    put(S.IDLE, _PASSIVE, (Do.FORGET, Do.START_RETRY), S.ACTIVE)
    for state in (S.CONNECT, S.ACTIVE):
        put(state, E.MANUAL_STOP, (Do.DROP, Do.FORGET, Do.STOP_RETRY), S.IDLE)
        put(state, E.CONNECT_RETRY, (Do.DROP, Do.START_RETRY, Do.CONNECT), S.CONNECT)
        put(state, (E.TCP_ACKED, E.TCP_CONFIRMED), _CONFIRMED, S.OPEN_SENT)
    put(S.CONNECT, E.TCP_FAILS, (Do.STOP_RETRY, Do.DROP), S.IDLE)
    put(S.ACTIVE, E.TCP_FAILS, (Do.START_RETRY, Do.DROP, Do.COUNT), S.IDLE)
    put(S.OPEN_SENT, E.TCP_FAILS, (Do.DROP, Do.START_RETRY, Do.STOP_HOLD), S.ACTIVE)
    put(S.OPEN_SENT, E.OPEN, (Do.STOP_RETRY, Do.SEND_KEEPALIVE, Do.START_KEEPALIVE, Do.START_HOLD),
        S.OPEN_CONFIRM)
    put(S.OPEN_CONFIRM, E.KEEPALIVE_DUE, (Do.SEND_KEEPALIVE, Do.START_KEEPALIVE), S.OPEN_CONFIRM)
    put(S.OPEN_CONFIRM, E.KEEPALIVE, (Do.START_HOLD, Do.UP), S.ESTABLISHED)
    put(S.OPEN_CONFIRM, (E.TCP_FAILS, E.NOTIFICATION), _FAIL, S.IDLE)
    put(S.ESTABLISHED, E.KEEPALIVE_DUE, (Do.SEND_KEEPALIVE, Do.START_KEEPALIVE), S.ESTABLISHED)
    put(S.ESTABLISHED, (E.KEEPALIVE, E.UPDATE), (Do.START_HOLD,), S.ESTABLISHED)
    put(S.ESTABLISHED, (E.TCP_FAILS, E.NOTIFICATION, E.NOTIFICATION_VERSION), (Do.DOWN, *_FAIL), S.IDLE)
    for state in (S.OPEN_SENT, S.OPEN_CONFIRM, S.ESTABLISHED):
        down = (Do.DOWN,) if state is S.ESTABLISHED else ()
        put(state, E.MANUAL_STOP, (*down, Do.NOTIFY, *_STOP, Do.DROP, Do.FORGET), S.IDLE)
        put(state, (E.AUTOMATIC_STOP, E.HOLD, E.HEADER_ERROR, E.OPEN_ERROR, E.COLLISION_DUMP),
            (*down, *_TELL), S.IDLE)
        # A connection that is known already: the collision is settled by the peer (section 6.8).
        put(state, (E.TCP_ACKED, E.TCP_CONFIRMED), (), state)
    put(S.ESTABLISHED, E.UPDATE_ERROR, (Do.DOWN, *_TELL), S.IDLE)
    for state in (S.OPEN_SENT, S.OPEN_CONFIRM):
        put(state, E.NOTIFICATION_VERSION, (*_STOP, Do.DROP), S.IDLE)
    for state in State:
        for event in Event:
            if (state, event) in rows:
                continue
            if state is S.IDLE or event in _STARTED:
                rows[state, event] = ((), state)    # ignored
            elif state in (S.CONNECT, S.ACTIVE):
                rows[state, event] = ((Do.STOP_RETRY, Do.DROP, Do.COUNT), S.IDLE)
            else:   # a finite state machine error, told as such
                rows[state, event] = (((Do.DOWN,) if state is S.ESTABLISHED else ()) + _TELL, S.IDLE)
    return rows


TABLE = _table()
# Subcodes of a finite state machine error (RFC 6608).
UNEXPECTED = {S.OPEN_SENT: 1, S.OPEN_CONFIRM: 2, S.ESTABLISHED: 3}
