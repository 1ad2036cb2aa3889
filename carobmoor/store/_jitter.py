"""Intervals that differ, so that nodes don't act in step."""

import random
from typing import Final

_SPREAD: Final = 0.2


def jitter(rng: random.Random) -> float:
    """Give a factor around 1 for an interval."""
    return 1 + rng.uniform(-_SPREAD, _SPREAD)
