"""Logs of bounded volume that never hold the process up."""

import os
import time
from collections.abc import Callable
from typing import Any, Final

import structlog

# Lines of one event in a second, and how many may come at once. A node of
# the size that the users expect ends some 200 requests a second.
_LINES_PER_S: Final = 50
_MOST_AT_ONCE: Final = 200

Clock = Callable[[], float]


class EventBudget:
    """The lines that one event may still write."""

    def __init__(self, now_s: float) -> None:
        """Start with a full budget."""
        self.left = float(_MOST_AT_ONCE)
        self.filled_at_s = now_s
        # Since the last line that was written.
        self.dropped = 0


class VolumeLimit:
    """A processor that drops the lines of an event beyond its budget.

    The next line that is written tells how many were dropped before it.
    """

    def __init__(self, clock: Clock = time.monotonic) -> None:
        """Start with a full budget for each event."""
        self.dropped = 0
        self._clock = clock
        self._budgets: dict[str, EventBudget] = {}

    def __call__(self, _logger: Any, _method: str, event: Any) -> Any:
        """Pass a line on, or raise `structlog.DropEvent`."""
        now_s = self._clock()
        name = str(event['event'])
        budget = self._budgets.get(name)
        if budget is None:
            budget = EventBudget(now_s)
            self._budgets[name] = budget
        earned = (now_s - budget.filled_at_s) * _LINES_PER_S
        budget.left = min(_MOST_AT_ONCE, budget.left + earned)
        budget.filled_at_s = now_s
        if budget.left < 1:
            budget.dropped += 1
            self.dropped += 1
            raise structlog.DropEvent
        budget.left -= 1
        if budget.dropped:
            event['dropped_before'] = budget.dropped
            budget.dropped = 0
        return event


class DroppingWriter:
    """Writes lines to a file descriptor, or drops them when it is full."""

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor refuse rather than wait."""
        self.dropped = 0
        self._descriptor = descriptor
        self._rest = b''
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write whole lines; a line that was begun is ended first."""
        if self._rest and not self._send(self._rest):
            self.dropped += 1
            return len(text)
        self._send(text.encode())
        return len(text)

    def flush(self) -> None:
        """Nothing is kept back."""

    def _send(self, content: bytes) -> bool:
        try:
            sent_bytes = os.write(self._descriptor, content)
        except OSError:
            # Full, or nobody reads any more: the line is lost, not the work.
            self.dropped += not self._rest
            return False
        self._rest = content[sent_bytes:]
        return not self._rest
