"""Admission decisions, as functions of the state and a time."""

from collections.abc import Sequence

from result import Err, Ok, Result

from carobmoor.admission._choice import (
    free_slots,
    is_owed,
    may_start_at_once,
    next_rank,
)
from carobmoor.admission._messages import (
    Arrival,
    Drop,
    Grant,
    Placement,
    Verdict,
)
from carobmoor.admission._nested import note_depth, note_lapse
from carobmoor.admission._queue import Entry, make_entry
from carobmoor.admission._ranks import RankState
from carobmoor.admission._room import rank_to_evict_from
from carobmoor.admission._state import AdmissionState, Running
from carobmoor.outcomes import Code


def offer(
    state: AdmissionState,
    arrival: Arrival,
    now_s: float,
) -> Result[Placement, Code]:
    """Start, queue or refuse an arrival.

    A refused arrival takes neither a slot nor a place in the queue. After a
    verdict of `QUEUED`, call `start_next` at once: there may be free slots
    that are withheld from other ranks only.
    """
    rank = state.ranks.get(arrival.rank)
    if rank is None:
        return Err(Code.UNKNOWN_RANK)
    if arrival.deadline_s <= now_s:
        return Err(Code.DEADLINE_LAPSED)
    note_depth(state, arrival.depth, now_s)
    if not state.queued_total and may_start_at_once(
        state, rank, arrival, now_s
    ):
        state.last_number += 1
        _start(state, rank, state.last_number, arrival, now_s)
        return Ok(Placement(Verdict.STARTED, state.last_number))
    return _enqueue(state, rank, arrival, now_s)


def finish(
    state: AdmissionState,
    number: int,
    service_time_s: float,
    now_s: float,
) -> None:
    """Free a slot and record the service time of its request.

    Raises `KeyError` if this number holds no slot.
    """
    running = _free(state, number, service_time_s, now_s)
    rank = state.ranks[running.arrival.rank]
    state.last_finish_s = now_s
    state.note_service_time(service_time_s)
    slowness = rank.learn(service_time_s, running.is_saturated)
    tuning = state.policy.tuning
    if running.is_saturated and slowness is not None:
        state.limit.learn(slowness, tuning.least_slots, tuning.slowdown_ratio)


def release(
    state: AdmissionState,
    number: int,
    used_s: float,
    now_s: float,
) -> None:
    """Free a slot without recording a service time.

    `used_s` is still charged to the rank and the caller. Raises `KeyError` if
    this number holds no slot.
    """
    _free(state, number, used_s, now_s)


def start_next(state: AdmissionState, now_s: float) -> Sequence[Grant]:
    """Start waiting requests while slots are free.

    Ranks with credit go first, the most urgent before the others, then the
    ranks with the highest worth per second of slot time.
    """
    started: list[Grant] = []
    while state.queued_total and free_slots(state) > 0:
        rank = next_rank(state, now_s)
        if rank is None:
            break
        entry = rank.queue.pop()
        state.queued_total -= 1
        _start(state, rank, entry.number, entry.arrival, now_s)
        started.append(Grant(entry.number, entry.arrival))
    return started


def expire(state: AdmissionState, now_s: float) -> Sequence[Drop]:
    """Remove the waiting requests that can't meet their deadline."""
    dropped: list[Drop] = []
    for rank in state.ranks.values():
        for entry in rank.queue.age(now_s):
            state.queued_total -= 1
            note_lapse(state, entry, now_s)
            is_late = entry.arrival.deadline_s <= now_s
            code = Code.DEADLINE_LAPSED
            if not is_late:
                code = Code.DEADLINE_UNREACHABLE
            dropped.append(Drop(entry.number, entry.arrival, code))
    return dropped


def withdraw(state: AdmissionState, rank_name: str, number: int) -> bool:
    """Remove a waiting request whose caller is gone.

    Returns whether the request was waiting.
    """
    queue = state.ranks[rank_name].queue
    if not queue.has(number):
        return False
    queue.remove(number)
    state.queued_total -= 1
    return True


def _free(
    state: AdmissionState,
    number: int,
    used_s: float,
    now_s: float,
) -> Running:
    running = state.running.pop(number)
    rank = state.ranks[running.arrival.rank]
    rank.hold(-1, now_s)
    unpaid_s = used_s - running.charged_s
    if running.is_owed:
        rank.saved_s -= unpaid_s
    rank.queue.charge(running.arrival.caller, unpaid_s, -1)
    return running


def _enqueue(
    state: AdmissionState,
    rank: RankState,
    arrival: Arrival,
    now_s: float,
) -> Result[Placement, Code]:
    entry = make_entry(
        state.last_number + 1,
        arrival,
        rank.target_s,
        rank.service_time_s,
        now_s,
    )
    if _is_hopeless(state, rank, entry, now_s):
        return Err(Code.DEADLINE_UNREACHABLE)
    evicted: Drop | None = None
    if state.queued_total >= state.policy.queue_limit:
        loser = rank_to_evict_from(state, arrival)
        if loser is None:
            return Err(Code.QUEUE_FULL)
        evicted = _evict(state, loser)
    state.last_number += 1
    rank.queue.push(entry)
    state.queued_total += 1
    return Ok(Placement(Verdict.QUEUED, entry.number, evicted))


def _evict(state: AdmissionState, loser: RankState) -> Drop:
    entry = loser.queue.evict()
    state.queued_total -= 1
    return Drop(entry.number, entry.arrival, Code.QUEUE_FULL)


def _is_hopeless(
    state: AdmissionState,
    rank: RankState,
    entry: Entry,
    now_s: float,
) -> bool:
    """Return whether the deadline is out of reach even with all slots.

    Only waiting requests of the same caller count as ahead, since a caller
    with few requests overtakes one with many.
    """
    ahead = rank.queue.ahead_of(entry)
    wait_s = ahead * rank.service_time_s / max(1, state.limit.limit)
    return now_s + wait_s >= entry.drop_at_s


def _start(
    state: AdmissionState,
    rank: RankState,
    number: int,
    arrival: Arrival,
    now_s: float,
) -> None:
    owed = is_owed(state, rank, now_s)
    charged_s = rank.service_time_s
    if owed:
        rank.saved_s -= charged_s
    rank.hold(1, now_s)
    rank.queue.charge(arrival.caller, charged_s, 1)
    is_saturated = free_slots(state) <= 1
    state.running[number] = Running(arrival, charged_s, owed, is_saturated)
