"""A running quantile of latencies in which old ones count less."""

import math
from typing import Final

_MIN_LATENCY_S: Final = 0.0001
_GROWTH: Final = 1.15
_BUCKETS: Final = 120
_DECAY_AT_SAMPLES: Final = 2000
_DECAY_FACTOR: Final = 0.5
_MIN_SAMPLES: Final = 50
_LOG_GROWTH: Final = math.log(_GROWTH)


class LatencyQuantile:
    """A histogram of latencies whose buckets grow by a constant factor.

    The quantile is accurate to one bucket, 15%. The counts are halved
    whenever they add up to 2000, so that the last few thousand latencies
    dominate.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self.counts = [float(0) for _ in range(_BUCKETS)]
        self.total = float(0)


def record_latency(latencies: LatencyQuantile, latency_s: float) -> None:
    """Add one latency to the histogram."""
    latencies.counts[_bucket_of(latency_s)] += 1
    latencies.total += 1
    if latencies.total >= _DECAY_AT_SAMPLES:
        latencies.counts = [count * _DECAY_FACTOR for count in latencies.counts]
        latencies.total *= _DECAY_FACTOR


def quantile_s(latencies: LatencyQuantile, quantile: float) -> float | None:
    """Return the quantile; `None` while there are too few samples.

    The result is the upper bound of the bucket that contains the quantile.
    """
    if latencies.total < _MIN_SAMPLES:
        return None
    target_count = latencies.total * quantile
    cumulative = float(0)
    for bucket, count in enumerate(latencies.counts):
        cumulative += count
        if cumulative >= target_count:
            return _MIN_LATENCY_S * _GROWTH ** (bucket + 1)
    return _MIN_LATENCY_S * _GROWTH**_BUCKETS


def _bucket_of(latency_s: float) -> int:
    if latency_s <= _MIN_LATENCY_S:
        return 0
    bucket = int(math.log(latency_s / _MIN_LATENCY_S) / _LOG_GROWTH)
    return min(bucket, _BUCKETS - 1)
