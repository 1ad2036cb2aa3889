"""Calls of which a few are slow by chance, with and without hedges."""

import heapq
import random
from typing import NamedTuple

from carobmoor.retries import (
    RetryState,
    hedge_delay_s,
    record_call,
    record_success,
    take_hedge,
)

_CALLS = 20_000
_CALLS_PER_S = 500
_SERVICE_S = 0.01
_SLOW_SHARE = 0.02
_SLOWDOWN = 20
_MS_PER_S = 1000
_SERVICE = 'bookings'


class HedgeRun(NamedTuple):
    """The latencies of a run, and how many calls it added."""

    p50_ms: float
    p99_ms: float
    p999_ms: float
    extra_percent: float


def run_hedges(seed: int, is_hedged: bool) -> HedgeRun:
    """Run calls whose latency is drawn; a hedge draws a second one."""
    rng = random.Random(seed)
    state = RetryState()
    ended: list[tuple[float, float]] = []
    latencies: list[float] = []
    for number in range(_CALLS):
        now_s = number / _CALLS_PER_S
        while ended and ended[0][0] <= now_s:
            _, latency_s = heapq.heappop(ended)
            record_success(state, _SERVICE, '', 1, latency_s)
        record_call(state, _SERVICE, 1)
        latency_s = _draw(rng)
        delay_s = hedge_delay_s(state, _SERVICE, '')
        is_late = delay_s is not None and latency_s > delay_s
        if is_hedged and is_late and take_hedge(state, _SERVICE):
            latency_s = min(latency_s, (delay_s or 0) + _draw(rng))
        heapq.heappush(ended, (now_s + latency_s, latency_s))
        latencies.append(latency_s)
    latencies.sort()
    extra = 100 * state.budget_of(_SERVICE).hedges_sent / _CALLS
    return HedgeRun(
        _quantile_ms(latencies, 0.5),
        _quantile_ms(latencies, 0.99),
        _quantile_ms(latencies, 0.999),
        extra,
    )


def _draw(rng: random.Random) -> float:
    slow = _SLOWDOWN if rng.random() < _SLOW_SHARE else 1
    return _SERVICE_S * slow * rng.uniform(0.5, 1.5)


def _quantile_ms(latencies: list[float], quantile: float) -> float:
    return latencies[int(len(latencies) * quantile)] * _MS_PER_S
