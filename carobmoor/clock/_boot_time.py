"""The clock of proofs and allotments."""

import time
from typing import Final

# The monotonic clock of Linux stands still while the machine is suspended.
_CLOCK: Final[int] = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def boot_time_s() -> float:
    """Return the time since the machine's start, its suspensions included."""
    return time.clock_gettime(_CLOCK)
