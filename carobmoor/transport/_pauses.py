"""Detection of event loop pauses, after which arrival times are uncertain."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

from carobmoor.telemetry import logger_for

_BEAT_INTERVAL_S: Final = 0.05
_PAUSE_THRESHOLD_S: Final = 0.25
# Data read this soon after a pause may have been buffered since its start.
_SETTLE_S: Final = 0.25
_log = logger_for('pauses')


class PauseMonitor:
    """Records when the event loop of this process last paused.

    A pause is a gap of more than 250 ms between beats.
    """

    def __init__(self, now_s: float) -> None:
        """Start with a beat at `now_s`."""
        self._last_beat_s = now_s
        self._pause_started_s = now_s
        self._settles_at_s = now_s

    def beat(self, now_s: float) -> None:
        """Record that the event loop runs, and log a pause before that."""
        paused_s = now_s - self._last_beat_s
        if paused_s > _PAUSE_THRESHOLD_S:
            self._pause_started_s = self._last_beat_s
            self._settles_at_s = now_s + _SETTLE_S
            _log.warning('Event loop paused.', stood_s=round(paused_s, 3))
        self._last_beat_s = now_s

    def is_settling(self, now_s: float) -> bool:
        """Return whether data read now may have arrived during a pause.

        This counts as a beat, so that a pause is noticed even before the
        periodic beat that follows it.
        """
        self.beat(now_s)
        return now_s < self._settles_at_s

    def earliest_arrival_s(self, now_s: float) -> float:
        """Return the earliest time at which data read now may have arrived."""
        return self._pause_started_s if self.is_settling(now_s) else now_s


async def monitor_pauses(
    monitor: PauseMonitor,
    record_lateness: Callable[[float], None] | None = None,
) -> None:
    """Beat every 50 ms until cancelled.

    `record_lateness` gets the seconds by which each beat was late.
    """
    while True:
        due_s = time.monotonic() + _BEAT_INTERVAL_S
        await asyncio.sleep(_BEAT_INTERVAL_S)
        now_s = time.monotonic()
        monitor.beat(now_s)
        if record_lateness is not None:
            record_lateness(now_s - due_s)
