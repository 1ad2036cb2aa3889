"""The buffer into which the event loop reads for all connections.

What is read is parsed before anything else is read, so one buffer is enough,
and a waiting connection needs none.
"""

from typing import Final

MAX_READ_BYTES: Final = 65_536
_buffer: Final = memoryview(bytearray(MAX_READ_BYTES))


def read_buffer(most_bytes: int) -> memoryview:
    """Return the buffer, of at most a number of bytes and never empty."""
    return _buffer[: max(1, most_bytes)]
