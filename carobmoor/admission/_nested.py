"""Slots for calls deep in a chain, when shallow ones hold them all.

A call that waits for a deeper call to the same service holds its slot
meanwhile. When such calls hold every slot none of them can end. That shows
as a deep call that lapses in the queue without one request having finished
in all its wait; from then on, for a while, each depth leaves a slot free for
every greater depth that was seen of late.
"""

from typing import Final

from carobmoor.admission._queue import Entry
from carobmoor.admission._state import AdmissionState

_KEPT_S: Final = 60
_SEEN_S: Final = 30


def note_depth(state: AdmissionState, depth: int, now_s: float) -> None:
    """Remember that calls of this depth come here."""
    state.seen_depths_s[depth] = now_s


def note_lapse(
    state: AdmissionState,
    entry: Entry,
    now_s: float,
) -> None:
    """Judge from a call that lapsed in the queue whether chains block."""
    nothing_finished = state.last_finish_s <= entry.queued_at_s
    if entry.arrival.depth and nothing_finished and state.running:
        state.nested_until_s = now_s + _KEPT_S


def kept_for_deeper(state: AdmissionState, depth: int, now_s: float) -> int:
    """How many slots a call of this depth must leave free."""
    if now_s >= state.nested_until_s:
        return 0
    deeper = sum(
        1
        for seen, at_s in state.seen_depths_s.items()
        if seen > depth and now_s - at_s < _SEEN_S
    )
    return min(deeper, state.limit.limit - 1)
