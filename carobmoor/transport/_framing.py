"""Bounds what a peer sends besides bodies: heads, chunk sizes, trailers.

The parser reports what it has read, but not where in a read that stood: one
read may hold the end of a body, whole requests and many chunks. A read is
therefore parsed in slices, and only slices in which the parser reported
nothing are counted.
"""

from collections.abc import Callable, Iterator
from typing import Final

# Size of a slice where heads, chunk sizes or trailers may stand.
SLICE_BYTES: Final = 1024


class FramingMeter:
    """Counts the bytes received since the parser last reported something.

    Callbacks of the parser call `restart`, and `add` follows each slice::

        parser.feed_data(piece)
        meter.add(len(piece))
        if meter.exceeds(limit_bytes):
            ...
    """

    def __init__(self) -> None:
        """Start before the first byte."""
        self.unreported_bytes = 0
        self._has_restarted = False

    def restart(self) -> None:
        """Count from the end of the current slice on."""
        self.unreported_bytes = 0
        self._has_restarted = True

    def add(self, slice_bytes: int) -> None:
        """Count a parsed slice, unless something was reported in it."""
        if self._has_restarted:
            self._has_restarted = False
        else:
            self.unreported_bytes += slice_bytes

    def exceeds(self, limit_bytes: int) -> bool:
        """Return whether more came in a row than the limit allows.

        One slice more is accepted, since a header field at the limit comes
        with a separator and white space.
        """
        return self.unreported_bytes > limit_bytes + SLICE_BYTES


def slices(
    received: bytes | memoryview, next_bytes: Callable[[], int]
) -> Iterator[bytes | memoryview]:
    """Yield a read in slices; `next_bytes` is called for the size of each."""
    view = memoryview(received)
    start = 0
    while start < len(received):
        end = start + next_bytes()
        is_whole = not start and end >= len(received)
        yield received if is_whole else view[start:end]
        start = end
