"""Reads a large answer ahead of a slow reader."""

import asyncio
import contextlib
from collections import deque
from collections.abc import AsyncGenerator


class _Buffer:
    """What was read ahead, and the events that both sides wait for."""

    def __init__(self, max_bytes: int) -> None:
        """Start empty."""
        self.chunks: deque[bytes] = deque()
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._changed = asyncio.Event()

    async def put(self, chunk: bytes) -> None:
        """Add a chunk, then wait while the buffer is full."""
        self.chunks.append(chunk)
        self._held_bytes += len(chunk)
        self._changed.set()
        while self._held_bytes >= self._max_bytes:
            await self._wait()

    async def take(self, reading: 'asyncio.Task[None]') -> bytes:
        """Return what was read ahead; empty once `reading` has ended."""
        while not self.chunks and not reading.done():
            await self._wait()
        taken = b''.join(self.chunks)
        self.chunks.clear()
        self._held_bytes = 0
        self._changed.set()
        return taken

    def wake(self) -> None:
        """Wake both sides."""
        self._changed.set()

    async def _wait(self) -> None:
        self._changed.clear()
        await self._changed.wait()


async def read_ahead(
    source: AsyncGenerator[bytes, None], max_bytes: int
) -> AsyncGenerator[bytes, None]:
    """Yield the chunks of `source`, and read it up to `max_bytes` ahead.

    `source` ends as soon as it was read whole, however slowly the chunks are
    taken. An error of `source` is raised after the chunks that preceded it.
    Closing this generator closes `source`.
    """
    buffer = _Buffer(max_bytes)
    reading = asyncio.create_task(_fill(source, buffer))
    reading.add_done_callback(lambda _: buffer.wake())
    try:
        while chunk := await buffer.take(reading):
            yield chunk
        await reading
    finally:
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)


async def _fill(source: AsyncGenerator[bytes, None], buffer: _Buffer) -> None:
    async with contextlib.aclosing(source) as chunks:
        async for chunk in chunks:
            await buffer.put(chunk)
