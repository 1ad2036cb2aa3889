"""The decisions of admission, as functions over its state and a time."""

from collections.abc import Sequence
from typing import Final

from result import Err, Ok, Result

from carobmoor.admission._messages import Arrival, Drop, Verdict
from carobmoor.admission._state import AdmissionState
from carobmoor.outcomes import Code

_SMOOTHING: Final = 0.1


def offer(
    state: AdmissionState,
    arrival: Arrival,
    now_s: float,
) -> Result[Verdict, Code]:
    """Start, queue or refuse an arrival.

    A refused arrival has left no trace in the state.
    """
    if arrival.rank not in state.queues:
        return Err(Code.UNKNOWN_RANK)
    if arrival.deadline_s <= now_s:
        return Err(Code.DEADLINE_LAPSED)
    if _has_free_slot(state) and not state.queued_total:
        state.in_flight[arrival.rank] += 1
        return Ok(Verdict.STARTED)
    if state.queued_total >= state.policy.queue_limit:
        return Err(Code.QUEUE_FULL)
    state.queues[arrival.rank].append(arrival)
    return Ok(Verdict.QUEUED)


def finish(state: AdmissionState, rank: str, service_time_s: float) -> None:
    """Give back the slot of a request and learn from its service time."""
    state.in_flight[rank] -= 1
    gap_s = service_time_s - state.service_time_s
    state.service_time_s += _SMOOTHING * gap_s


def start_next(state: AdmissionState) -> Sequence[Arrival]:
    """Move waiting requests into the free slots, most urgent rank first."""
    started: list[Arrival] = []
    while _has_free_slot(state) and state.queued_total:
        arrival = _pop_most_urgent(state)
        state.in_flight[arrival.rank] += 1
        started.append(arrival)
    return started


def expire(state: AdmissionState, now_s: float) -> Sequence[Drop]:
    """Take out the waiting requests whose deadline has passed."""
    dropped: list[Drop] = []
    for queue in state.queues.values():
        late = [arrival for arrival in queue if arrival.deadline_s <= now_s]
        for arrival in late:
            queue.remove(arrival)
            dropped.append(Drop(arrival, Code.DEADLINE_LAPSED))
    return dropped


def withdraw(state: AdmissionState, arrival: Arrival) -> bool:
    """Take out a waiting request whose caller is gone."""
    queue = state.queues[arrival.rank]
    if arrival not in queue:
        return False
    queue.remove(arrival)
    return True


def _has_free_slot(state: AdmissionState) -> bool:
    return state.in_flight_total < state.policy.slots


def _pop_most_urgent(state: AdmissionState) -> Arrival:
    for rank in state.policy.ranks:
        if state.queues[rank.name]:
            return state.queues[rank.name].popleft()
    raise LookupError('no request waits')
