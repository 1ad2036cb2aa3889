"""Merging of snapshots and calculation of burn against the objectives."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from itertools import chain
from typing import Final

from hdrh.histogram import HdrHistogram

from carobmoor.burn._messages import (
    MinuteCount,
    Objective,
    RankBurn,
    Snapshot,
    WindowBurn,
)

# Two short windows and two long ones.
_WINDOWS_MIN: Final = (5, 30, 60, 360)
_US_PER_MS: Final = 1000
_MAX_LATENCY_US: Final = 3_600_000_000
_SIGNIFICANT_DIGITS: Final = 2
_MEDIAN_PERCENTILE: Final = 50
_TAIL_PERCENTILE: Final = 99


def merge_snapshots(snapshots: Iterable[Snapshot]) -> Sequence[Snapshot]:
    """Add up snapshots of several nodes that have the same objective."""
    grouped: defaultdict[Objective, list[Snapshot]] = defaultdict(list)
    for snapshot in snapshots:
        grouped[snapshot.objective].append(snapshot)
    return [
        Snapshot(objective, _merge_minutes(group), _merge_latencies(group))
        for objective, group in sorted(grouped.items())
    ]


def calculate_rank_burn(snapshot: Snapshot, now_min: int) -> RankBurn:
    """Return the burn report of a snapshot.

    `now_min` is the current minute since the Unix epoch.
    """
    objective = snapshot.objective
    windows = [
        _build_window_burn(snapshot, window_min, now_min)
        for window_min in _WINDOWS_MIN
    ]
    latency = HdrHistogram.decode(snapshot.latency_us)
    bad: Counter[str] = Counter()
    for minute in _select_window(snapshot.minutes, _WINDOWS_MIN[-1], now_min):
        bad.update(minute.bad)
    return RankBurn(
        objective,
        windows,
        1 - windows[-1].burn_rate,
        bad,
        latency.get_value_at_percentile(_MEDIAN_PERCENTILE) / _US_PER_MS,
        latency.get_value_at_percentile(_TAIL_PERCENTILE) / _US_PER_MS,
        [
            (
                minute_count.minute,
                _calculate_burn_rate(objective, (minute_count,)),
            )
            for minute_count in snapshot.minutes
        ],
    )


def _build_window_burn(
    snapshot: Snapshot,
    window_min: int,
    now_min: int,
) -> WindowBurn:
    minutes = _select_window(snapshot.minutes, window_min, now_min)
    return WindowBurn(
        window_min,
        sum(minute.good for minute in minutes),
        sum(_count_bad(minute) for minute in minutes),
        _calculate_burn_rate(snapshot.objective, minutes),
    )


def _calculate_burn_rate(
    objective: Objective,
    minutes: Sequence[MinuteCount],
) -> float:
    bad = sum(_count_bad(minute) for minute in minutes)
    total = bad + sum(minute.good for minute in minutes)
    if not total:
        return 0
    return bad / total / (1 - objective.objective)


def _count_bad(minute: MinuteCount) -> int:
    return sum(minute.bad.values())


def _select_window(
    minutes: Sequence[MinuteCount],
    window_min: int,
    now_min: int,
) -> Sequence[MinuteCount]:
    oldest = now_min - window_min
    return [minute for minute in minutes if minute.minute > oldest]


def _merge_minutes(group: Sequence[Snapshot]) -> Sequence[MinuteCount]:
    good: Counter[int] = Counter()
    bad: defaultdict[int, Counter[str]] = defaultdict(Counter)
    for minute_count in chain.from_iterable(
        node_snapshot.minutes for node_snapshot in group
    ):
        good[minute_count.minute] += minute_count.good
        bad[minute_count.minute].update(minute_count.bad)
    return [
        MinuteCount(minute, good[minute], bad[minute])
        for minute in sorted(good)
    ]


def _merge_latencies(group: Sequence[Snapshot]) -> str:
    total = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for snapshot in group:
        total.add(HdrHistogram.decode(snapshot.latency_us))
    return str(total.encode().decode('ascii'))
