"""Streaming request bodies, with a minimum rate and a maximum size."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

from carobmoor.outcomes import Code
from carobmoor.transport import ProgressFloor, ProgressMeter

_DISCARD_S: Final = 1
_LOOK_S: Final = 0.005
_DISCONNECT: Final = 'http.disconnect'
_DISCARD_BYTES: Final = 8_388_608

Receive = Callable[[], Awaitable[Any]]


class BodyFault(Exception):
    """The body could not be read to its end; `code` says why."""

    def __init__(self, code: Code) -> None:
        """Set the code."""
        super().__init__(code.value)
        self.code = code


class IncomingBody:
    """The body of one request, read chunk by chunk.

    `first` is the first chunk. `rest` iterates over the following chunks; it
    is `None` when the first chunk was the whole body.
    """

    def __init__(
        self,
        receive: Receive,
        floor: ProgressFloor,
        most_bytes: int,
        is_absent: bool,
    ) -> None:
        """Create a body of at most `most_bytes`; nothing is read yet."""
        self._is_absent = is_absent
        self.first = b''
        self.rest: AsyncIterator[bytes] | None = None
        self.fault: Code | None = None
        self.is_whole = False
        self._receive = receive
        self._meter = ProgressMeter(floor)
        self._most_bytes = most_bytes
        self._received_bytes = 0

    async def open(self) -> None:
        """Read the first chunk. Raises `BodyFault`."""
        if self._is_absent:
            self.is_whole = True
            return
        chunk, more = await self._next()
        self.first = chunk
        if more:
            self.rest = self._stream()

    async def is_caller_gone(self) -> bool:
        """Return whether the caller has disconnected; `False` while reading."""
        if not self.is_whole:
            return False
        message: Any = {'type': ''}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LOOK_S):
                while message['type'] != _DISCONNECT:
                    message = await self._receive()
        return message['type'] == _DISCONNECT

    async def discard(self) -> None:
        """Read and drop the rest of the body, within a size and time limit.

        Closing a connection with unread bytes resets it, and the caller may
        then lose the refusal that was written just before.
        """
        with contextlib.suppress(BodyFault, TimeoutError):
            async with asyncio.timeout(_DISCARD_S):
                await self._discard()

    async def wait_gone(self) -> None:
        """Wait until the caller disconnects.

        Call this only after the whole body was read: it consumes messages
        that a reader of the body would otherwise miss.
        """
        message = await self._receive()
        while message['type'] != 'http.disconnect':
            message = await self._receive()

    async def _discard(self) -> None:
        left_bytes = _DISCARD_BYTES
        more = True
        while more and left_bytes > 0:
            message = await self._receive()
            left_bytes -= len(message.get('body', b''))
            more = message.get('more_body', False)

    async def _stream(self) -> AsyncIterator[bytes]:
        more = True
        while more:
            chunk, more = await self._next()
            yield chunk

    async def _next(self) -> tuple[bytes, bool]:
        message = await self._receive_in_time()
        if message['type'] == _DISCONNECT:
            raise self._faulty(Code.CALLER_GONE)
        chunk = message.get('body', b'')
        self.is_whole = not message.get('more_body', False)
        self._received_bytes += len(chunk)
        if self._received_bytes > self._most_bytes:
            raise self._faulty(Code.BODY_TOO_LARGE)
        return chunk, not self.is_whole

    async def _receive_in_time(self) -> Any:
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(self._meter.left_s):
                message = await self._receive()
        except TimeoutError:
            raise self._faulty(Code.BODY_STALLED) from None
        received_bytes = len(message.get('body', b''))
        self._meter.note(received_bytes, time.monotonic() - started_s)
        return message

    def _faulty(self, code: Code) -> BodyFault:
        self.fault = code
        return BodyFault(code)
