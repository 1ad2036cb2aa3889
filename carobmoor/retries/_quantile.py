"""A running quantile of latencies in which old ones count less."""

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
    """A histogram of latencies whose buckets grow by a constant factor.

    The quantile is accurate to one bucket, 15%. The counts are halved at
    regular numbers of samples, so that the last few thousand latencies
    dominate.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self.counts = [float(0) for _ in range(_BUCKETS)]
        self.total = float(0)


def note_latency(known: LatencyQuantile, latency_s: float) -> None:
    """Add one latency to the histogram."""
    known.counts[_bucket_of(latency_s)] += 1
    known.total += 1
    if known.total >= _FORGET_AFTER:
        known.counts = [count * _KEPT_SHARE for count in known.counts]
        known.total *= _KEPT_SHARE


def quantile_s(known: LatencyQuantile, quantile: float) -> float | None:
    """Return the quantile; `None` while there are too few samples.

    The result is the upper bound of the bucket that contains the quantile.
    """
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
