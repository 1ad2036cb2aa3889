"""Selection of the rank that gets the next free slot."""

from typing import Final

from carobmoor.admission._messages import Arrival
from carobmoor.admission._nested import slots_reserved_for_deeper
from carobmoor.admission._ranks import RankState, slots_to_leave_free
from carobmoor.admission._state import AdmissionState

_MS_PER_S: Final = 1000
_MIN_SERVICE_TIME_S: Final = 0.000001


def next_rank(state: AdmissionState, now_s: float) -> RankState | None:
    """Return the rank whose next request starts, or `None` if none may.

    The most urgent rank with credit goes first. Without such a rank, the one
    with the highest worth per second of slot time borrows the slot.
    """
    startable = [
        rank
        for rank in state.ranks.values()
        if len(rank.queue) and has_slot_for(state, rank.queue.next_depth, now_s)
    ]
    for candidate in startable:
        if has_credit(state, candidate, now_s):
            return candidate
    borrowers = [
        borrower for borrower in startable if _may_borrow(state, borrower)
    ]
    return max(borrowers, key=_worth_per_second, default=None)


def may_start_at_once(
    state: AdmissionState,
    rank: RankState,
    arrival: Arrival,
    now_s: float,
) -> bool:
    """Return whether an arrival may start while no request waits."""
    if not has_slot_for(state, arrival.depth, now_s):
        return False
    return has_credit(state, rank, now_s) or _may_borrow(state, rank)


def has_slot_for(state: AdmissionState, depth: int, now_s: float) -> bool:
    """Return whether a call of this depth may start now.

    A slot must be free for it, and the limits on starts must allow it.
    """
    if not state.may_start(now_s):
        return False
    return free_slots(state) > slots_reserved_for_deeper(state, depth, now_s)


def has_credit(state: AdmissionState, rank: RankState, now_s: float) -> bool:
    """Update the credit of a rank and return whether any is left."""
    burst_s = state.policy.tuning.share_burst_ms / _MS_PER_S
    rank.accrue_credit(state.concurrency_limit.limit, burst_s, now_s)
    return rank.credit_s > 0


def free_slots(state: AdmissionState) -> int:
    """Return the number of free slots under the concurrency limit.

    It is negative after the limit fell below the number in flight.
    """
    return state.concurrency_limit.limit - state.in_flight_total


def _may_borrow(state: AdmissionState, rank: RankState) -> bool:
    if not state.in_flight_total:
        # With a limit as low as the slots reserved for others, a rank that
        # has spent its credit would wait beside an idle server.
        return free_slots(state) > 0
    others = tuple(state.ranks.values())
    reserved = slots_to_leave_free(rank, others, state.concurrency_limit.limit)
    return free_slots(state) > reserved


def _worth_per_second(rank: RankState) -> float:
    return rank.policy.worth / max(rank.service_time_s, _MIN_SERVICE_TIME_S)
