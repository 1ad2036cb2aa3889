"""Random variation of intervals, so that nodes don't act in step."""

import random
from typing import Final

_MAX_DEVIATION: Final = 0.2


def jitter_factor(rng: random.Random) -> float:
    """Return a random factor of 0.8 to 1.2 for an interval."""
    return 1 + rng.uniform(-_MAX_DEVIATION, _MAX_DEVIATION)
