"""Detection of event loop pauses, after which arrival times are uncertain."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

from carobmoor.telemetry import logger_for

_BEAT_S: Final = 0.05
_BOUND_S: Final = 0.25
# Data read this soon after a pause may have been buffered since its start.
_SETTLE_S: Final = 0.25
_log = logger_for('pauses')


class StallWatch:
    """Records when the event loop of this process last paused.

    A pause is a gap of more than 250 ms between beats.
    """

    def __init__(self, now_s: float) -> None:
        """Start with a beat at `now_s`."""
        self._beaten_at_s = now_s
        self._stalled_from_s = now_s
        self._settled_at_s = now_s

    def beat(self, now_s: float) -> None:
        """Record that the event loop runs, and log a pause before that."""
        stood_s = now_s - self._beaten_at_s
        if stood_s > _BOUND_S:
            self._stalled_from_s = self._beaten_at_s
            self._settled_at_s = now_s + _SETTLE_S
            _log.warning('Event loop paused.', stood_s=round(stood_s, 3))
        self._beaten_at_s = now_s

    def is_settling(self, now_s: float) -> bool:
        """Return whether data read now may have arrived during a pause."""
        self.beat(now_s)
        return now_s < self._settled_at_s

    def earliest_arrival_s(self, now_s: float) -> float:
        """Return the earliest time at which data read now may have arrived."""
        return self._stalled_from_s if self.is_settling(now_s) else now_s


async def watch_stalls(
    watch: StallWatch,
    note_pause: Callable[[float], None] | None = None,
) -> None:
    """Beat every 50 ms until cancelled.

    `note_pause` gets the seconds by which each beat was late.
    """
    while True:
        due_s = time.monotonic() + _BEAT_S
        await asyncio.sleep(_BEAT_S)
        now_s = time.monotonic()
        watch.beat(now_s)
        if note_pause is not None:
            note_pause(now_s - due_s)
