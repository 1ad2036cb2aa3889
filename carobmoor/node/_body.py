"""Streaming request bodies, with a minimum rate and a maximum size."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

from carobmoor.outcomes import Code
from carobmoor.quarantine import BodyDigest
from carobmoor.transport import ProgressFloor, ProgressMeter

_DISCARD_TIMEOUT_S: Final = 1
_DISCONNECT_POLL_S: Final = 0.005
_DISCONNECT: Final = 'http.disconnect'
_MAX_DISCARD_BYTES: Final = 8_388_608

Receive = Callable[[], Awaitable[Any]]


class BodyReadError(Exception):
    """The body could not be read to its end; `code` says why."""

    def __init__(self, code: Code) -> None:
        """Store why the body could not be read."""
        super().__init__(code.value)
        self.code = code


class IncomingBody:
    """The body of one request, read chunk by chunk.

    `remaining_chunks` iterates over the chunks after the first; it is `None`
    when the first chunk was the whole body.
    """

    def __init__(
        self,
        receive: Receive,
        floor: ProgressFloor,
        max_bytes: int,
        is_absent: bool,
    ) -> None:
        """Create a body of at most `max_bytes`; nothing is read yet."""
        self._is_absent = is_absent
        self.first_chunk = b''
        self.remaining_chunks: AsyncIterator[bytes] | None = None
        self.error_code: Code | None = None
        # Identifies the body to quarantine; final once its start was read.
        self.digest = BodyDigest()
        self.is_complete = False
        self._receive = receive
        self._meter = ProgressMeter(floor)
        self._max_bytes = max_bytes
        self._received_bytes = 0

    async def read_first_chunk(self) -> None:
        """Read the first chunk. Raises `BodyReadError`."""
        if self._is_absent:
            self.is_complete = True
            return
        chunk, has_more = await self._read_chunk()
        self.first_chunk = chunk
        if has_more:
            self.remaining_chunks = self._iterate_chunks()

    async def read_start(self) -> None:
        """Extend the first chunk until the digest is final.

        Raises `BodyReadError`.
        """
        rest = self.remaining_chunks
        while rest is not None and not self.digest.is_final:
            chunk = await anext(rest, None)
            if chunk is None:
                self.remaining_chunks = None
                return
            self.first_chunk += chunk

    async def has_caller_disconnected(self) -> bool:
        """Return whether the caller has disconnected.

        Returns `False` without a check while the body is not complete.
        """
        if not self.is_complete:
            return False
        message: Any = {'type': ''}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_DISCONNECT_POLL_S):
                while message['type'] != _DISCONNECT:
                    message = await self._receive()
        return message['type'] == _DISCONNECT

    async def discard(self) -> None:
        """Read and drop the rest of the body, within a size and time limit.

        Closing a connection with unread bytes resets it, and the caller may
        then lose the refusal that was written just before.
        """
        with contextlib.suppress(BodyReadError, TimeoutError):
            async with asyncio.timeout(_DISCARD_TIMEOUT_S):
                await self._discard_rest()

    async def wait_for_disconnect(self) -> None:
        """Wait until the caller disconnects.

        Call this only after the whole body was read: it consumes messages
        that a reader of the body would otherwise miss.
        """
        message = await self._receive()
        while message['type'] != 'http.disconnect':
            message = await self._receive()

    async def _discard_rest(self) -> None:
        remaining_bytes = _MAX_DISCARD_BYTES
        has_more = True
        while has_more and remaining_bytes > 0:
            message = await self._receive()
            remaining_bytes -= len(message.get('body', b''))
            has_more = message.get('more_body', False)

    async def _iterate_chunks(self) -> AsyncIterator[bytes]:
        has_more = True
        while has_more:
            chunk, has_more = await self._read_chunk()
            yield chunk

    async def _read_chunk(self) -> tuple[bytes, bool]:
        message = await self._receive_within_floor()
        if message['type'] == _DISCONNECT:
            raise self._record_error(Code.CALLER_GONE)
        chunk = message.get('body', b'')
        self.is_complete = not message.get('more_body', False)
        self._received_bytes += len(chunk)
        self.digest.feed(chunk)
        if self._received_bytes > self._max_bytes:
            raise self._record_error(Code.BODY_TOO_LARGE)
        return chunk, not self.is_complete

    async def _receive_within_floor(self) -> Any:
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(self._meter.remaining_s):
                message = await self._receive()
        except TimeoutError:
            raise self._record_error(Code.BODY_STALLED) from None
        received_bytes = len(message.get('body', b''))
        self._meter.record_received(
            received_bytes, time.monotonic() - started_s
        )
        return message

    def _record_error(self, code: Code) -> BodyReadError:
        self.error_code = code
        return BodyReadError(code)
