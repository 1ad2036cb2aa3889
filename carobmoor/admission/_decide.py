"""Admission decisions, as functions of the state and a time."""

from collections.abc import Sequence
from typing import Final

from result import Err, Ok, Result

from carobmoor.admission._backlog import find_hopeless
from carobmoor.admission._choice import (
    free_slots,
    has_credit,
    may_start_at_once,
    next_rank,
)
from carobmoor.admission._eviction import rank_to_evict_from
from carobmoor.admission._messages import (
    Arrival,
    Drop,
    Placement,
    SlotGrant,
    Verdict,
)
from carobmoor.admission._nested import detect_blocked_chains, record_depth
from carobmoor.admission._queue import QueueEntry, entries_in_order, make_entry
from carobmoor.admission._ranks import RankState
from carobmoor.admission._rate_limited_queue import (
    START_MARGIN_S,
    find_unreachable,
)
from carobmoor.admission._state import AdmissionState, Running
from carobmoor.outcomes import Code

_RECHECK_S: Final = 0.05


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
    record_depth(state, arrival.depth, now_s)
    if not state.queued_total and may_start_at_once(
        state, rank, arrival, now_s
    ):
        state.last_number += 1
        _start_request(state, rank, state.last_number, arrival, now_s)
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
    running = _free_slot(state, number, service_time_s, now_s)
    rank = state.ranks[running.arrival.rank]
    state.last_finish_s = now_s
    state.record_service_time(service_time_s)
    slowdown = rank.record_service_time(service_time_s, running.is_saturated)
    tuning = state.policy.tuning
    if running.is_saturated and slowdown is not None:
        state.concurrency_limit.record(
            slowdown, tuning.least_slots, tuning.slowdown_ratio
        )


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
    _free_slot(state, number, used_s, now_s)


def release_unused(state: AdmissionState, number: int, now_s: float) -> None:
    """Free a slot whose request was not sent to the backend server.

    Raises `KeyError` if this number holds no slot.
    """
    if _free_slot(state, number, 0, now_s).is_rate_counted:
        state.rate_limit.return_start()


def start_next(state: AdmissionState, now_s: float) -> Sequence[SlotGrant]:
    """Start waiting requests while slots are free.

    Ranks with credit go first, the most urgent before the others, then the
    ranks with the highest worth per second of slot time.
    """
    started: list[SlotGrant] = []
    while state.queued_total and free_slots(state) > 0:
        rank = next_rank(state, now_s)
        if rank is None:
            break
        entry = rank.queue.pop()
        state.queued_total -= 1
        _start_request(state, rank, entry.number, entry.arrival, now_s)
        started.append(SlotGrant(entry.number, entry.arrival))
    return started


def expire(state: AdmissionState, now_s: float) -> Sequence[Drop]:
    """Remove the waiting requests that can't meet their deadline."""
    dropped: list[Drop] = []
    for rank in state.ranks.values():
        for entry in rank.queue.demote_and_expire(now_s):
            state.queued_total -= 1
            detect_blocked_chains(state, entry, now_s)
            is_expired = entry.arrival.deadline_s <= now_s
            code = Code.DEADLINE_LAPSED
            if not is_expired:
                code = Code.DEADLINE_UNREACHABLE
            dropped.append(Drop(entry.number, entry.arrival, code))
        for late in find_unreachable(
            state, rank, entries_in_order(rank.queue), now_s
        ):
            rank.queue.remove(late.number)
            state.queued_total -= 1
            dropped.append(Drop(late.number, late.arrival, Code.RATE_LIMITED))
    if state.policy.refuses_early and state.queued_total:
        dropped.extend(_recheck_backlog(state, now_s))
    return dropped


def _recheck_backlog(state: AdmissionState, now_s: float) -> Sequence[Drop]:
    """Remove the requests that too much work has come to wait ahead of.

    Does so at intervals only, since every request in the queue is looked at.
    """
    if now_s - state.backlog_checked_at_s < _RECHECK_S:
        return ()
    state.backlog_checked_at_s = now_s
    dropped: list[Drop] = []
    for entry in find_hopeless(state, now_s):
        state.ranks[entry.arrival.rank].queue.remove(entry.number)
        state.queued_total -= 1
        dropped.append(Drop(entry.number, entry.arrival, Code.BACKLOG))
    return dropped


def is_hopeless(state: AdmissionState, arrival: Arrival, now_s: float) -> bool:
    """Return whether an arrival would be refused if it had to wait."""
    rank = state.ranks.get(arrival.rank)
    if rank is None or not state.policy.refuses_early:
        return False
    entry = _next_entry(state, rank, arrival, now_s)
    return entry in find_hopeless(state, now_s, entry)


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


def _free_slot(
    state: AdmissionState,
    number: int,
    used_s: float,
    now_s: float,
) -> Running:
    running = state.running.pop(number)
    state.cold_starts.cancel(number)
    rank = state.ranks[running.arrival.rank]
    rank.change_in_flight(-1, now_s)
    uncharged_s = used_s - running.charged_s
    if running.is_on_credit:
        rank.credit_s -= uncharged_s
    rank.queue.charge(running.arrival, uncharged_s, -1)
    return running


def _enqueue(
    state: AdmissionState,
    rank: RankState,
    arrival: Arrival,
    now_s: float,
) -> Result[Placement, Code]:
    entry = _next_entry(state, rank, arrival, now_s)
    if _is_deadline_unreachable(state, rank, entry, now_s):
        return Err(Code.DEADLINE_UNREACHABLE)
    waiting = entries_in_order(rank.queue, entry)
    if find_unreachable(state, rank, waiting, now_s, START_MARGIN_S):
        return Err(Code.RATE_LIMITED)
    if state.policy.refuses_early and entry in find_hopeless(
        state, now_s, entry
    ):
        return Err(Code.BACKLOG)
    evicted: Drop | None = None
    if state.queued_total >= state.policy.queue_limit:
        victim = rank_to_evict_from(state, arrival)
        if victim is None:
            return Err(Code.QUEUE_FULL)
        evicted = _evict(state, victim)
    state.last_number += 1
    rank.queue.push(entry)
    state.queued_total += 1
    return Ok(Placement(Verdict.QUEUED, entry.number, evicted))


def _next_entry(
    state: AdmissionState,
    rank: RankState,
    arrival: Arrival,
    now_s: float,
) -> QueueEntry:
    """Return the entry that an arrival would have in the queue."""
    return make_entry(
        state.last_number + 1,
        arrival,
        rank.target_s,
        rank.service_time_s,
        now_s,
    )


def _evict(state: AdmissionState, victim: RankState) -> Drop:
    entry = victim.queue.evict()
    state.queued_total -= 1
    return Drop(entry.number, entry.arrival, Code.QUEUE_FULL)


def _is_deadline_unreachable(
    state: AdmissionState,
    rank: RankState,
    entry: QueueEntry,
    now_s: float,
) -> bool:
    """Return whether the deadline is out of reach even with all slots.

    Only on-time requests of the same caller and depth count as ahead, since a
    caller that has used less slot time overtakes the others.
    """
    ahead = rank.queue.count_ahead_of(entry)
    wait_s = ahead * rank.service_time_s / max(1, state.concurrency_limit.limit)
    return now_s + wait_s >= entry.drop_at_s


def _start_request(
    state: AdmissionState,
    rank: RankState,
    number: int,
    arrival: Arrival,
    now_s: float,
) -> None:
    on_credit = has_credit(state, rank, now_s)
    charged_s = rank.service_time_s
    if on_credit:
        rank.credit_s -= charged_s
    rank.change_in_flight(1, now_s)
    rank.queue.charge(arrival, charged_s, 1)
    is_saturated = free_slots(state) <= 1
    state.cold_starts.reserve(number)
    state.running[number] = Running(
        arrival,
        charged_s,
        on_credit,
        is_saturated,
        state.rate_limit.take_start(now_s),
    )
