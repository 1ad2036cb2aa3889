"""Waiting requests that can no longer be of use to their callers.

A request that waits behind more work than fits into its time is refused at
once, so that its caller can go elsewhere or return, instead of at its deadline.
"""

from collections import Counter
from collections.abc import Sequence
from typing import Final

from carobmoor.admission._queue import QueueEntry, entries_in_order
from carobmoor.admission._state import AdmissionState

# Requests that can meet their target and arrive later overtake late ones, so
# a late one needs more time than the work that waits at this moment.
_LATE_SHARE: Final = 0.5


def find_hopeless(
    state: AdmissionState, now_s: float, newcomer: QueueEntry | None = None
) -> list[QueueEntry]:
    """Return the requests that the work ahead of them leaves too little time.

    They are looked at in the order in which they would start, each behind
    those that are worth keeping. A newcomer that does not wait yet may be
    among them.
    """
    slots = max(1, state.concurrency_limit.limit)
    work_s = _running_work_s(state)
    hopeless: list[QueueEntry] = []
    for name, rank in state.ranks.items():
        is_own = newcomer is not None and newcomer.arrival.rank == name
        waiting = entries_in_order(rank.queue, newcomer if is_own else None)
        for entry in _by_turns(waiting):
            expected_s = service_time_s(state, entry)
            if _fits(state, entry, now_s, work_s / slots + expected_s):
                work_s += expected_s
            else:
                hopeless.append(entry)
    return hopeless


def _by_turns(entries: Sequence[QueueEntry]) -> list[QueueEntry]:
    """Return requests in the order in which equal callers take turns."""
    turns: Counter[str] = Counter()
    turn_of: dict[int, int] = {}
    for entry in entries:
        turn_of[entry.number] = turns[entry.arrival.caller]
        turns[entry.arrival.caller] += 1
    return sorted(entries, key=lambda entry: turn_of[entry.number])


def service_time_s(state: AdmissionState, entry: QueueEntry) -> float:
    """Return how long a request is expected to hold its slot."""
    arrival = entry.arrival
    return arrival.service_time_s or state.ranks[arrival.rank].service_time_s


def _fits(
    state: AdmissionState, entry: QueueEntry, now_s: float, takes_s: float
) -> bool:
    """Return whether a request that ends after `takes_s` is worth keeping.

    It is if it meets its target, or if it is late and likely to meet its
    deadline although others overtake it.
    """
    target_at_s = entry.arrival.target_at_s
    if target_at_s is None:
        rank = state.ranks[entry.arrival.rank]
        target_at_s = entry.queued_at_s + rank.target_s
    deadline_s = entry.arrival.deadline_s
    if now_s + takes_s <= min(target_at_s, deadline_s):
        return True
    return takes_s <= _LATE_SHARE * (deadline_s - now_s)


def _running_work_s(state: AdmissionState) -> float:
    """Return what is left of the running requests, half of each."""
    if state.in_flight_total < state.concurrency_limit.limit:
        return 0
    running_s = sum(
        one.arrival.service_time_s or one.charged_s
        for one in state.running.values()
    )
    return running_s / 2
