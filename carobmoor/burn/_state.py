"""Counts of recent answers at one node, by service and rank."""

from collections import Counter, OrderedDict
from collections.abc import Sequence
from typing import Final, NamedTuple

from hdrh.histogram import HdrHistogram

from carobmoor.burn._messages import Cause, MinuteCount, Objective, Snapshot

_RETENTION_MIN: Final = 360
_S_PER_MIN: Final = 60
_US_PER_S: Final = 1_000_000
_MAX_LATENCY_US: Final = 3_600_000_000
_SIGNIFICANT_DIGITS: Final = 2
_GOOD: Final = 'good'


class _RankKey(NamedTuple):
    service: str
    rank: str


class _RankState:
    def __init__(self) -> None:
        self.minutes: OrderedDict[int, Counter[str]] = OrderedDict()
        self.latency = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


class BurnState:
    """Answer counts by minute and a latency histogram for each rank.

    Counts are kept for the last 360 minutes that had answers; the histogram
    covers all answers since the node started. Memory is bounded by the ranks of
    the services with requests at this node, since callers never record a
    service or rank that the configuration doesn't declare.
    """

    def __init__(self) -> None:
        """Create an empty state."""
        self.ranks: dict[_RankKey, _RankState] = {}


def record_answer(
    state: BurnState,
    service: str,
    rank: str,
    duration_s: float,
    cause: Cause | None,
    now_s: float,
) -> None:
    """Count one answer; `cause` is `None` if it was good.

    `now_s` is Unix time, because minutes are added up across nodes.
    """
    key = _RankKey(service, rank)
    rank_state = state.ranks.get(key)
    if rank_state is None:
        rank_state = _RankState()
        state.ranks[key] = rank_state
    minute = int(now_s) // _S_PER_MIN
    counts = rank_state.minutes.get(minute)
    if counts is None:
        counts = _add_minute(rank_state, minute)
    counts[_GOOD if cause is None else cause.value] += 1
    duration_us = int(duration_s * _US_PER_S)
    rank_state.latency.record_value(min(max(duration_us, 1), _MAX_LATENCY_US))


def recorded_services(state: BurnState) -> Sequence[str]:
    """Return the sorted names of the services with a recorded answer."""
    return sorted({key.service for key in state.ranks})


def take_snapshots(
    state: BurnState,
    objectives: Sequence[Objective],
) -> Sequence[Snapshot]:
    """Return a snapshot for each objective with a recorded answer."""
    return [
        _build_snapshot(objective, state.ranks[_RankKey(*objective[:2])])
        for objective in objectives
        if _RankKey(*objective[:2]) in state.ranks
    ]


def _add_minute(rank_state: _RankState, minute: int) -> Counter[str]:
    counts: Counter[str] = Counter()
    rank_state.minutes[minute] = counts
    while len(rank_state.minutes) > _RETENTION_MIN:
        rank_state.minutes.popitem(last=False)
    return counts


def _build_snapshot(objective: Objective, rank_state: _RankState) -> Snapshot:
    minutes = [
        MinuteCount(
            minute,
            counts[_GOOD],
            {name: count for name, count in counts.items() if name != _GOOD},
        )
        for minute, counts in rank_state.minutes.items()
    ]
    encoded = rank_state.latency.encode().decode('ascii')
    return Snapshot(objective, minutes, encoded)
