"""Rate limit and non-blocking output for logs."""

import os
import time
from collections.abc import Callable
from typing import Any, Final

import structlog

# Sustained rate and burst of the lines of one event. A node of the size that
# the users expect completes about 200 requests a second.
_LINES_PER_S: Final = 50
_BURST_LINES: Final = 200

Clock = Callable[[], float]


class TokenBucket:
    """Token bucket of one event; a line takes one token."""

    def __init__(self, now_s: float) -> None:
        """Create a full bucket."""
        self.tokens = float(_BURST_LINES)
        self.refilled_at_s = now_s
        # Lines dropped since the last one that was written.
        self.dropped = 0


class EventRateLimit:
    """Log processor that limits the rate of lines for each event.

    The next line of the event that passes carries the number of lines dropped
    before it.
    """

    def __init__(self, clock: Clock = time.monotonic) -> None:
        """Create a limit that reads the time in seconds from `clock`."""
        self.dropped = 0
        self._clock = clock
        self._buckets: dict[str, TokenBucket] = {}

    def __call__(self, _logger: Any, _method: str, event: Any) -> Any:
        """Return the line, or raise `structlog.DropEvent` to drop it."""
        now_s = self._clock()
        event_name = str(event['event'])
        bucket = self._buckets.get(event_name)
        if bucket is None:
            bucket = TokenBucket(now_s)
            self._buckets[event_name] = bucket
        refill = (now_s - bucket.refilled_at_s) * _LINES_PER_S
        bucket.tokens = min(_BURST_LINES, bucket.tokens + refill)
        bucket.refilled_at_s = now_s
        if bucket.tokens < 1:
            bucket.dropped += 1
            self.dropped += 1
            raise structlog.DropEvent
        bucket.tokens -= 1
        if bucket.dropped:
            event['dropped_before'] = bucket.dropped
            bucket.dropped = 0
        return event


class NonBlockingWriter:
    """Writes lines to a file descriptor and drops them if it would block."""

    def __init__(self, descriptor: int) -> None:
        """Set `descriptor` to non-blocking mode and write to it."""
        self.dropped = 0
        self._descriptor = descriptor
        self._unsent = b''
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write one line, after the rest of a partly written one.

        Drops the line if that rest can't be written completely, or if the
        descriptor accepts no part of the line.
        """
        if self._unsent and not self._send(self._unsent):
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
            self.dropped += not self._unsent
            return False
        self._unsent = content[sent_bytes:]
        return not self._unsent
