"""Selection of the rank that gets the next free slot."""

from typing import Final

from carobmoor.admission._messages import Arrival
from carobmoor.admission._nested import kept_for_deeper
from carobmoor.admission._ranks import RankState, slots_to_leave
from carobmoor.admission._state import AdmissionState

_MS_PER_S: Final = 1000
_INSTANT_S: Final = 0.000001


def next_rank(state: AdmissionState, now_s: float) -> RankState | None:
    """Return the rank whose next request starts, or `None` if none may.

    The most urgent rank with credit goes first. Without such a rank, the one
    with the highest worth per second of slot time borrows the slot.
    """
    may_start = [
        rank
        for rank in state.ranks.values()
        if len(rank.queue) and has_slot_for(state, rank.queue.deepest, now_s)
    ]
    for candidate in may_start:
        if is_owed(state, candidate, now_s):
            return candidate
    borrowers = [
        borrower for borrower in may_start if _may_borrow(state, borrower)
    ]
    return max(borrowers, key=_worth_of_slot, default=None)


def may_start_at_once(
    state: AdmissionState,
    rank: RankState,
    arrival: Arrival,
    now_s: float,
) -> bool:
    """Return whether an arrival may start while no request waits."""
    if not has_slot_for(state, arrival.depth, now_s):
        return False
    return is_owed(state, rank, now_s) or _may_borrow(state, rank)


def has_slot_for(state: AdmissionState, depth: int, now_s: float) -> bool:
    """Return whether a slot is free that a call of this depth may take."""
    return free_slots(state) > kept_for_deeper(state, depth, now_s)


def is_owed(state: AdmissionState, rank: RankState, now_s: float) -> bool:
    """Update the credit of a rank and return whether any is left."""
    burst_s = state.policy.tuning.share_burst_ms / _MS_PER_S
    rank.save(state.limit.limit, burst_s, now_s)
    return rank.saved_s > 0


def free_slots(state: AdmissionState) -> int:
    """Return the number of free slots under the concurrency limit.

    It is negative after the limit fell below the number in flight.
    """
    return state.limit.limit - state.in_flight_total


def _may_borrow(state: AdmissionState, rank: RankState) -> bool:
    others = tuple(state.ranks.values())
    left = slots_to_leave(rank, others, state.limit.limit)
    return free_slots(state) > left


def _worth_of_slot(rank: RankState) -> float:
    return rank.policy.worth / max(rank.service_time_s, _INSTANT_S)
