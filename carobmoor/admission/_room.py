"""The room in the queue: a part for each rank, lent while unused."""

from carobmoor.admission._messages import Arrival
from carobmoor.admission._ranks import RankState
from carobmoor.admission._state import AdmissionState


def rank_to_evict_from(
    state: AdmissionState,
    arrival: Arrival,
) -> RankState | None:
    """Choose the rank that makes room in a full queue; `None` for no room.

    A rank that fills less than its part takes room back from the one that
    has borrowed most. Any other makes room among its own.
    """
    own = state.ranks[arrival.rank]
    if _borrowed(state, own) < 0:
        borrower = max(
            state.ranks.values(),
            key=lambda rank: _borrowed(state, rank),
        )
        return borrower if _borrowed(state, borrower) > 0 else None
    return own if own.queue.may_displace(arrival.caller) else None


def _borrowed(state: AdmissionState, rank: RankState) -> int:
    part = max(1, int(rank.share * state.policy.queue_limit))
    return len(rank.queue) - part
