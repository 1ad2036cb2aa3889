"""Rate limit and non-blocking output for logs."""

import os
import time
from collections.abc import Callable
from typing import Any, Final

import structlog

# Sustained rate and burst of the lines of one event. A node of the size that
# the users expect completes about 200 requests a second.
_LINES_PER_S: Final = 50
_MOST_AT_ONCE: Final = 200

Clock = Callable[[], float]


class EventBudget:
    """Token bucket of one event: the lines that it may still write."""

    def __init__(self, now_s: float) -> None:
        """Create a full bucket."""
        self.left = float(_MOST_AT_ONCE)
        self.filled_at_s = now_s
        # Lines dropped since the last one that was written.
        self.dropped = 0


class VolumeLimit:
    """Log processor that limits the rate of lines for each event.

    The next line of the event that passes carries the number of lines dropped
    before it.
    """

    def __init__(self, clock: Clock = time.monotonic) -> None:
        """Create a limit that reads the time in seconds from `clock`."""
        self.dropped = 0
        self._clock = clock
        self._budgets: dict[str, EventBudget] = {}

    def __call__(self, _logger: Any, _method: str, event: Any) -> Any:
        """Return the line, or raise `structlog.DropEvent` to drop it."""
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
    """Writes lines to a file descriptor and drops them if it would block."""

    def __init__(self, descriptor: int) -> None:
        """Set `descriptor` to non-blocking mode and write to it."""
        self.dropped = 0
        self._descriptor = descriptor
        self._rest = b''
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write one line, after the rest of a partly written one.

        Drops the line if that rest can't be written completely.
        """
        if self._rest and not self._send(self._rest):
            self.dropped += 1
            return len(text)
        self._send(text.encode())
        return len(text)

    def flush(self) -> None:
        """Do nothing, since complete lines are not buffered."""

    def _send(self, content: bytes) -> bool:
        try:
            sent_bytes = os.write(self._descriptor, content)
        except OSError:
            # The pipe is full or has no reader: drop the line, go on working.
            self.dropped += not self._rest
            return False
        self._rest = content[sent_bytes:]
        return not self._rest
