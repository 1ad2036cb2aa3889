"""Requests received from a peer, and their answers."""

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Final, NamedTuple, Protocol

from carobmoor.transport._memory_account import FIELD_OVERHEAD_BYTES
from carobmoor.transport._messages import HeaderList, get_header

_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_LAST_CHUNK: Final = b'0\r\n\r\n'


class ServingLimits(NamedTuple):
    """Limits on the size and timing of received requests."""

    max_head_bytes: int = 32_768
    max_body_bytes: int = 1_073_741_824
    head_timeout_s: float = 10
    idle_timeout_s: float = 75
    # Whether each connection closes after its next answer.
    is_closing: bool = False
    # Requests of one connection that are served at the same time.
    max_in_progress: int = 16
    # Bytes of answers that wait for earlier ones, per connection and on all
    # connections of a listener. Beyond either no request is started early.
    max_held_bytes: int = 262_144
    max_held_total_bytes: int = 8_388_608


class AnswerSink(Protocol):
    """Where the answer of a request goes."""

    @property
    def peer(self) -> str:
        """The address of the peer as `ip:port`."""

    @property
    def closes_after_answer(self) -> bool:
        """Whether the answer must announce that the connection closes."""

    def write(self, payload: bytes) -> None:
        """Write data."""

    async def drain(self) -> None:
        """Wait until the write buffer has room."""

    def resume_reading(self) -> None:
        """Resume reading if it is paused."""

    def end(self) -> None:
        """End the answer."""

    def abort(self) -> None:
        """End the answer as incomplete and close the connection."""


class CallerLost(ConnectionError):
    """Raised when the peer closes the connection before the answer's end."""


class IncomingRequest:
    """A received request, through which its handler answers.

    The handler calls either `respond`, or `start`, `write` and `end`.
    """

    def __init__(self, peer: str) -> None:
        """Create an empty request; the connection fills it while reading.

        `answer_to` must be called before the request is handled.
        """
        loop = asyncio.get_running_loop()
        self.method = ''
        self.target = b''
        self.headers: list[tuple[bytes, bytes]] = []
        # Done once the peer has closed; no answer can be sent from then on.
        self.disconnected: asyncio.Future[None] = loop.create_future()
        self.arrived_at_s = loop.time()
        self.is_complete = False
        self.has_started = False
        self.has_ended = False
        # Size of the target and the headers received so far.
        self.head_bytes = 0
        # Size of the body that was read by the handler and is kept by it.
        self.retained_bytes = 0
        # Whether a server may have got the request, or a part of it.
        self.is_sent = False
        self.peer = peer
        self._sink: AnswerSink
        self._received = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._is_chunked = False
        self._is_discarded = False

    @property
    def body_bytes(self) -> int:
        """The declared length of the body; -1 if it is chunked."""
        if get_header(self.headers, b'transfer-encoding'):
            return -1
        return int(get_header(self.headers, b'content-length') or 0)

    @property
    def buffered_bytes(self) -> int:
        """Size of the body that was received and not read by the handler."""
        return len(self._received)

    def answer_to(self, sink: AnswerSink) -> None:
        """Set where the answer goes."""
        self._sink = sink

    def feed(self, chunk: bytes) -> None:
        """Buffer a chunk of the body; the connection calls this."""
        if self._is_discarded:
            return
        self._received += chunk
        self.wake()

    def wake(self) -> None:
        """Wake the task that waits for the body."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def read_chunk(self) -> bytes:
        """Return what was received of the body; empty at its end.

        Raises `CallerLost` if the peer closes the connection first.
        """
        while not self._received and not self.is_complete:
            if self.disconnected.done():
                raise CallerLost(self.peer)
            self._sink.resume_reading()
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        received = bytes(self._received)
        self._received.clear()
        return received

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body that were not read yet."""
        while chunk := await self.read_chunk():
            yield chunk

    def send_continue(self) -> None:
        """Send `100 Continue` if the peer expects it."""
        if get_header(self.headers, b'expect').lower() == '100-continue':
            self._sink.write(_CONTINUE)

    def respond(
        self,
        status: int,
        headers: HeaderList = (),
        body: bytes = b'',
    ) -> None:
        """Send a complete answer."""
        head = self._head(status, headers, len(body))
        self._sink.write(head if self.method == 'HEAD' else head + body)
        self._finish()

    def start(
        self,
        status: int,
        headers: HeaderList,
        length_bytes: int | None,
    ) -> None:
        """Send the head of an answer; chunked if `length_bytes` is `None`."""
        self._is_chunked = length_bytes is None
        self._sink.write(self._head(status, headers, length_bytes))

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the answer and wait until the buffer has room.

        Raises `CallerLost` if the peer has closed the connection.
        """
        encoded = chunk
        if self._is_chunked:
            encoded = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        self._sink.write(encoded)
        await self._sink.drain()
        if self.disconnected.done():
            raise CallerLost(self.peer)

    def end(self) -> None:
        """End an answer that was begun with `start`."""
        if self._is_chunked:
            self._sink.write(_LAST_CHUNK)
        self._finish()

    def abort(self) -> None:
        """Close the connection, so that a partial answer is seen as such."""
        self.has_ended = True
        self._sink.abort()

    def _head(
        self,
        status: int,
        headers: HeaderList,
        length_bytes: int | None,
    ) -> bytes:
        self.has_started = True
        parts = [status_line(status)]
        for name, content in headers:
            parts.append(b'%b: %b\r\n' % (name, content))
        if length_bytes is None:
            parts.append(b'transfer-encoding: chunked\r\n')
        else:
            parts.append(b'content-length: %d\r\n' % length_bytes)
        if self._sink.closes_after_answer:
            parts.append(b'connection: close\r\n')
        parts.append(b'\r\n')
        return b''.join(parts)

    def _finish(self) -> None:
        self.has_ended = True
        if not self.is_complete:
            # The rest of this body must not be read as the next request's.
            self._is_discarded = True
            self._received.clear()
        # The last chunk may have paused reading. Unless it is resumed, the
        # next request on the connection is never read.
        self._sink.resume_reading()
        self._sink.end()


def held_bytes_of(request: IncomingRequest) -> int:
    """Return the size of all that is held of a request."""
    overhead_bytes = FIELD_OVERHEAD_BYTES * len(request.headers)
    body_bytes = request.buffered_bytes + request.retained_bytes
    return request.head_bytes + overhead_bytes + body_bytes


def status_line(status: int) -> bytes:
    """Encode the status line of an answer."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Unknown'
    return f'HTTP/1.1 {status} {phrase}\r\n'.encode()
