"""A running high quantile of latencies that forgets what is old."""

import math
from typing import Final

_SMALLEST_S: Final = 0.0001
_GROWTH: Final = 1.15
_BUCKETS: Final = 120
_FORGET_AFTER: Final = 2000
_KEPT_SHARE: Final = 0.5
_LEAST_SAMPLES: Final = 50
_LOG_GROWTH: Final = math.log(_GROWTH)


class LatencyQuantile:
    """Counts of latencies in buckets that grow by a constant factor.

    The quantile is exact to one bucket, 15%. After a while the counts are
    halved, so that the last few thousand latencies decide.
    """

    def __init__(self) -> None:
        """Start without a latency."""
        self.counts = [float(0) for _ in range(_BUCKETS)]
        self.total = float(0)


def note_latency(known: LatencyQuantile, latency_s: float) -> None:
    """Count one latency."""
    known.counts[_bucket_of(latency_s)] += 1
    known.total += 1
    if known.total >= _FORGET_AFTER:
        known.counts = [count * _KEPT_SHARE for count in known.counts]
        known.total *= _KEPT_SHARE


def quantile_s(known: LatencyQuantile, quantile: float) -> float | None:
    """Give the quantile; `None` while too few latencies are known."""
    if known.total < _LEAST_SAMPLES:
        return None
    wanted = known.total * quantile
    counted = float(0)
    for bucket, count in enumerate(known.counts):
        counted += count
        if counted >= wanted:
            return _SMALLEST_S * _GROWTH ** (bucket + 1)
    return _SMALLEST_S * _GROWTH**_BUCKETS


def _bucket_of(latency_s: float) -> int:
    if latency_s <= _SMALLEST_S:
        return 0
    bucket = int(math.log(latency_s / _SMALLEST_S) / _LOG_GROWTH)
    return min(bucket, _BUCKETS - 1)
