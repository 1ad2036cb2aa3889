"""Answers whose start was read before any of it is passed on."""

from collections.abc import AsyncGenerator, AsyncIterator
from typing import Final

from carobmoor.mesh._owner_request import StreamedAnswer

# Answers up to this size are buffered whole, so that a broken one can be
# retried.
_MAX_BUFFERED_BYTES: Final = 65_536


class ReadAnswer:
    """An answer with the start of its body; the rest may follow."""

    def __init__(
        self,
        answer: StreamedAnswer,
        start: bytes,
        rest: AsyncGenerator[bytes, None] | None,
    ) -> None:
        """Store what was read; `rest` is `None` if that is the whole body."""
        self.status = answer.status
        self.headers = answer.headers
        self.start = start
        self.rest = rest
        self._answer = answer

    def abandon(self, reason: str) -> None:
        """Release what it holds, unless its body was read to the end."""
        self._answer.abandon(reason)


async def read_start(answer: StreamedAnswer) -> ReadAnswer:
    """Read an answer whole, or the start of one beyond 64 KiB.

    Raises `AnswerIncomplete` if it breaks off; it is abandoned then.
    """
    chunks = answer.chunks()
    try:
        start, is_whole = await _read_bytes(chunks)
    except BaseException:
        answer.abandon('reading the answer stopped')
        raise
    return ReadAnswer(answer, start, None if is_whole else chunks)


async def _read_bytes(chunks: AsyncIterator[bytes]) -> tuple[bytes, bool]:
    """Return up to about 64 KiB of a body, and whether that is all of it."""
    parts: list[bytes] = []
    buffered_bytes = 0
    async for chunk in chunks:
        parts.append(chunk)
        buffered_bytes += len(chunk)
        if buffered_bytes > _MAX_BUFFERED_BYTES:
            return b''.join(parts), False
    return b''.join(parts), True
