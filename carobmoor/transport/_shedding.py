"""Which connections are refused or closed, so that others find room.

Decides for many stalled bodies, heads without an end, and answers that nobody
reads. What a server may be running is never chosen.
"""

import enum
from collections.abc import Sequence
from typing import Final, NamedTuple

# Without progress for this long, a request or answer is given up: in calm, and
# while memory is short.
CALM_STALL_S: Final = 20
PRESSED_STALL_S: Final = 2
# A head or body counts as stalled for a new connection after this time.
_SUSPECT_S: Final = 1


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = 'idle'
    # A head or body arrives, and no server has got anything of it.
    RECEIVING = 'receiving'
    # A server may be running the request, or it waits for one.
    RUNNING = 'running'
    # The caller has not yet read all that was written.
    ANSWERING = 'answering'


class ConnectionLoad(NamedTuple):
    """The state of a connection as the decisions need it."""

    phase: Phase
    # Time since it last received or sent anything.
    without_progress_s: float
    # Whether it may not read on because of what all connections hold.
    is_held_back: bool = False


def is_overdue(load: ConnectionLoad, is_pressed: bool) -> bool:
    """Return whether a connection has made no progress for too long.

    Under pressure that is 2 s, so that many stalled bodies don't keep their
    memory until their deadlines. In calm it is 20 s.
    """
    if load.phase in {Phase.IDLE, Phase.RUNNING}:
        return False
    is_short = is_pressed or load.is_held_back
    limit_s = PRESSED_STALL_S if is_short else CALM_STALL_S
    return load.without_progress_s > limit_s


def choose_victim(loads: Sequence[ConnectionLoad]) -> int | None:
    """Return which connection makes room for a new one; `None` if none may.

    Stalled heads and bodies go first, then idle connections, then answers
    that nobody reads; of each the one without progress for longest.
    """
    candidates = [
        (_precedence(load), load.without_progress_s, number)
        for number, load in enumerate(loads)
        if load.phase is not Phase.RUNNING
    ]
    return max(candidates)[2] if candidates else None


def _precedence(load: ConnectionLoad) -> int:
    is_stalled = load.without_progress_s > _SUSPECT_S
    if is_stalled and load.phase is Phase.RECEIVING:
        return 3
    if load.phase is Phase.IDLE:
        return 2
    return int(is_stalled and load.phase is Phase.ANSWERING)
