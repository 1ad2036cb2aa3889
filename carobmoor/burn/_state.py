"""The answers of the last hours at one node, by service and rank."""

from collections import Counter, OrderedDict
from collections.abc import Sequence
from typing import Final, NamedTuple

from hdrh.histogram import HdrHistogram

from carobmoor.burn._messages import Cause, MinuteCount, Objective, Snapshot

_KEPT_MIN: Final = 360
_S_PER_MIN: Final = 60
_US_PER_S: Final = 1_000_000
_HIGHEST_US: Final = 3_600_000_000
_DIGITS: Final = 2
_GOOD: Final = 'good'


class _Key(NamedTuple):
    service: str
    rank: str


class _RankState:
    def __init__(self) -> None:
        self.minutes: OrderedDict[int, Counter[str]] = OrderedDict()
        self.latency = HdrHistogram(1, _HIGHEST_US, _DIGITS)


class BurnState:
    """Counts per minute for six hours and a histogram of latencies.

    Memory is bounded by the ranks of the services that pass this node; a
    service and rank that the configuration doesn't declare is never recorded.
    """

    def __init__(self) -> None:
        """Start with nothing recorded."""
        self.ranks: dict[_Key, _RankState] = {}


def record(
    state: BurnState,
    service: str,
    rank: str,
    took_s: float,
    cause: Cause | None,
    now_s: float,
) -> None:
    """Count one answer; `cause` is `None` when it was good.

    `now_s` is Unix time, since minutes are added up over nodes.
    """
    key = _Key(service, rank)
    kept = state.ranks.get(key)
    if kept is None:
        kept = _RankState()
        state.ranks[key] = kept
    minute = int(now_s) // _S_PER_MIN
    counts = kept.minutes.get(minute)
    if counts is None:
        counts = _open_minute(kept, minute)
    counts[_GOOD if cause is None else cause.value] += 1
    took_us = int(took_s * _US_PER_S)
    kept.latency.record_value(min(max(took_us, 1), _HIGHEST_US))


def recorded_services(state: BurnState) -> Sequence[str]:
    """Name the services of which any answer was recorded."""
    return sorted({key.service for key in state.ranks})


def take_snapshots(
    state: BurnState,
    objectives: Sequence[Objective],
) -> Sequence[Snapshot]:
    """Give what was recorded for each objective that saw any answer."""
    return [
        _snapshot(objective, state.ranks[_Key(*objective[:2])])
        for objective in objectives
        if _Key(*objective[:2]) in state.ranks
    ]


def _open_minute(kept: _RankState, minute: int) -> Counter[str]:
    counts: Counter[str] = Counter()
    kept.minutes[minute] = counts
    while len(kept.minutes) > _KEPT_MIN:
        kept.minutes.popitem(last=False)
    return counts


def _snapshot(objective: Objective, kept: _RankState) -> Snapshot:
    minutes = [
        MinuteCount(
            minute,
            counts[_GOOD],
            {name: count for name, count in counts.items() if name != _GOOD},
        )
        for minute, counts in kept.minutes.items()
    ]
    encoded = kept.latency.encode().decode('ascii')
    return Snapshot(objective, minutes, encoded)
