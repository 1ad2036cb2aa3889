"""Noticing that this process stood still, and what to check again then."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

from carobmoor.telemetry import logger_for

_BEAT_S: Final = 0.05
_BOUND_S: Final = 0.25
# What is read so soon after a pause may have waited in a buffer since it
# began.
_SETTLE_S: Final = 0.25
_log = logger_for('pauses')


class StallWatch:
    """When the loop of this process last stood still for too long."""

    def __init__(self, now_s: float) -> None:
        """Start as if the loop had just gone round."""
        self._beaten_at_s = now_s
        self._stalled_from_s = now_s
        self._settled_at_s = now_s

    def beat(self, now_s: float) -> None:
        """Note that the loop goes round."""
        stood_s = now_s - self._beaten_at_s
        if stood_s > _BOUND_S:
            self._stalled_from_s = self._beaten_at_s
            self._settled_at_s = now_s + _SETTLE_S
            _log.warning('Node stood still.', stood_s=round(stood_s, 3))
        self._beaten_at_s = now_s

    def is_settling(self, now_s: float) -> bool:
        """Whether what is read now may have waited during a pause."""
        self.beat(now_s)
        return now_s < self._settled_at_s

    def earliest_arrival_s(self, now_s: float) -> float:
        """Tell since when a request that is read now may have waited."""
        return self._stalled_from_s if self.is_settling(now_s) else now_s


async def watch_stalls(
    watch: StallWatch,
    note_pause: Callable[[float], None] | None = None,
) -> None:
    """Keep the beat until cancelled; each tells by how much it was late."""
    while True:
        due_s = time.monotonic() + _BEAT_S
        await asyncio.sleep(_BEAT_S)
        now_s = time.monotonic()
        watch.beat(now_s)
        if note_pause is not None:
            note_pause(now_s - due_s)
