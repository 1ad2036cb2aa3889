"""Eviction from a full queue, which is divided among the ranks by share.

A rank may borrow the unused part of another rank.
"""

from carobmoor.admission._messages import Arrival
from carobmoor.admission._ranks import RankState
from carobmoor.admission._state import AdmissionState


def rank_to_evict_from(
    state: AdmissionState,
    arrival: Arrival,
) -> RankState | None:
    """Return the rank that loses a request to an arrival at a full queue.

    A rank that uses less than its part takes a place from the rank that has
    borrowed the most. Any other rank evicts one of its own requests. `None`
    means that the arrival must be refused.
    """
    own_rank = state.ranks[arrival.rank]
    if _borrowed(state, own_rank) < 0:
        borrower = max(
            state.ranks.values(),
            key=lambda rank: _borrowed(state, rank),
        )
        return borrower if _borrowed(state, borrower) > 0 else None
    return own_rank if own_rank.queue.may_displace(arrival) else None


def _borrowed(state: AdmissionState, rank: RankState) -> int:
    capacity = max(1, int(rank.share * state.policy.queue_limit))
    return len(rank.queue) - capacity
