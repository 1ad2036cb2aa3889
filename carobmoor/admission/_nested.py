"""Reserves slots for deep calls when shallow calls of chains block them.

A call that waits for a deeper call to the same service holds its slot
meanwhile. If such calls hold every slot, none of them can finish. The sign of
this deadlock is a deep call that expires in the queue while no request
finished during its whole wait. For a while after that, each depth leaves one
slot free for every greater depth that was seen recently.
"""

from typing import Final

from carobmoor.admission._queue import Entry
from carobmoor.admission._state import AdmissionState

_KEPT_S: Final = 60
_SEEN_S: Final = 30


def note_depth(state: AdmissionState, depth: int, now_s: float) -> None:
    """Record that a call of this depth arrived."""
    state.seen_depths_s[depth] = now_s


def note_lapse(
    state: AdmissionState,
    entry: Entry,
    now_s: float,
) -> None:
    """Start to reserve slots if an expired call shows blocked chains."""
    nothing_finished = state.last_finish_s <= entry.queued_at_s
    if entry.arrival.depth and nothing_finished and state.running:
        state.nested_until_s = now_s + _KEPT_S


def kept_for_deeper(state: AdmissionState, depth: int, now_s: float) -> int:
    """Return how many slots a call of this depth must leave free."""
    if now_s >= state.nested_until_s:
        return 0
    deeper = sum(
        1
        for seen, at_s in state.seen_depths_s.items()
        if seen > depth and now_s - at_s < _SEEN_S
    )
    return min(deeper, state.limit.limit - 1)
