"""Simulated calls with random slow ones, with and without hedges."""

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
_SERVICE_TIME_S = 0.01
_SLOW_SHARE = 0.02
_SLOWDOWN = 20
_MS_PER_S = 1000
_SERVICE = 'bookings'


class HedgeRun(NamedTuple):
    """Latencies of a run and the percentage of calls that hedges added."""

    p50_ms: float
    p99_ms: float
    p999_ms: float
    extra_percent: float


def simulate_hedges(seed: int, is_hedged: bool) -> HedgeRun:
    """Simulate calls with random latencies; a hedge draws a second latency."""
    rng = random.Random(seed)
    state = RetryState()
    pending_ends: list[tuple[float, float]] = []
    latencies: list[float] = []
    for number in range(_CALLS):
        now_s = number / _CALLS_PER_S
        while pending_ends and pending_ends[0][0] <= now_s:
            _, latency_s = heapq.heappop(pending_ends)
            record_success(state, _SERVICE, '', 1, latency_s)
        record_call(state, _SERVICE, 1)
        latency_s = _random_latency_s(rng)
        delay_s = hedge_delay_s(state, _SERVICE, '')
        is_late = delay_s is not None and latency_s > delay_s
        if is_hedged and is_late and take_hedge(state, _SERVICE):
            latency_s = min(latency_s, (delay_s or 0) + _random_latency_s(rng))
        heapq.heappush(pending_ends, (now_s + latency_s, latency_s))
        latencies.append(latency_s)
    latencies.sort()
    extra_percent = 100 * state.budget_of(_SERVICE).hedges_sent / _CALLS
    return HedgeRun(
        _quantile_ms(latencies, 0.5),
        _quantile_ms(latencies, 0.99),
        _quantile_ms(latencies, 0.999),
        extra_percent,
    )


def _random_latency_s(rng: random.Random) -> float:
    slowdown = _SLOWDOWN if rng.random() < _SLOW_SHARE else 1
    return _SERVICE_TIME_S * slowdown * rng.uniform(0.5, 1.5)


def _quantile_ms(latencies: list[float], quantile: float) -> float:
    return latencies[int(len(latencies) * quantile)] * _MS_PER_S
