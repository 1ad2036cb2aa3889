"""Reserves slots for deep calls when shallow calls of chains block them.

A call that waits for a deeper call to the same service holds its slot
meanwhile. If such calls hold every slot, none of them can finish. The sign of
this deadlock is a deep call that expires in the queue while no request
finished during its whole wait. For a while after that, each depth leaves one
slot free for every greater depth that was seen recently.
"""

from typing import Final

from carobmoor.admission._queue import QueueEntry
from carobmoor.admission._state import AdmissionState

_RESERVE_DURATION_S: Final = 60
_DEPTH_MEMORY_S: Final = 30


def record_depth(state: AdmissionState, depth: int, now_s: float) -> None:
    """Record that a call of this depth arrived."""
    state.depths_seen_at_s[depth] = now_s


def detect_blocked_chains(
    state: AdmissionState,
    entry: QueueEntry,
    now_s: float,
) -> None:
    """Start to reserve slots if an expired call shows blocked chains."""
    nothing_finished = state.last_finish_s <= entry.queued_at_s
    if entry.arrival.depth and nothing_finished and state.running:
        state.nested_reserve_until_s = now_s + _RESERVE_DURATION_S


def slots_reserved_for_deeper(
    state: AdmissionState, depth: int, now_s: float
) -> int:
    """Return how many slots a call of this depth must leave free."""
    if now_s >= state.nested_reserve_until_s:
        return 0
    deeper = sum(
        1
        for other_depth, seen_at_s in state.depths_seen_at_s.items()
        if other_depth > depth and now_s - seen_at_s < _DEPTH_MEMORY_S
    )
    return min(deeper, state.concurrency_limit.limit - 1)
