"""One connection to a backend server or node, one request at a time on it."""

import asyncio
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import Final

import httptools

from carobmoor.transport._messages import (
    AnswerHead,
    OutgoingRequest,
    header_of,
)
from carobmoor.transport._steps import Step

_PAUSE_READING_BYTES: Final = 262144
_MOST_HEAD_BYTES: Final = 262144
# How long an abandoned exchange waits for the peer's close.
_LINGER_S: Final = 10
_LAST_INFORMATIONAL_STATUS: Final = 199
_BODILESS_STATUSES: Final = frozenset((204, 304))
_FRAMING_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))
# A peer that acknowledges nothing is given up after about three seconds,
# which bounds how long a connection that a cut silenced looks usable.
_SOCKET_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
)


class Connection(asyncio.Protocol):
    """The state of one connection and of the exchange that runs on it.

    A connection serves one exchange at a time. It may be used again only
    when `reusable` says so: after a whole answer, nothing left unread, and
    no wish of the peer to close.
    """

    def __init__(self, peer: str) -> None:
        """Make a connection that is not connected yet."""
        self.peer = peer
        self.step = Step.CONNECT
        self.idle_since_s = float(0)
        self.ended = False
        self.request_cut_short = False
        self.lost_reason = ''
        self.request: OutgoingRequest | None = None
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser
        self._headers: list[tuple[bytes, bytes]] = []
        self._head: AnswerHead | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._reading_paused = False
        self._peer_keeps_alive = False
        self._head_bytes = 0
        self._is_bodiless = False
        # Whether the body of the answer ends with the connection.
        self._ends_with_close = False
        # Whether what is read belongs to another request.
        self._is_skipping = False
        self._is_abandoned = False
        self._when_gone: Callable[[], None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._waiter: asyncio.Future[None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether bytes can still be written."""
        transport = self._transport
        if transport is None or self._is_abandoned:
            return False
        return not transport.is_closing()

    @property
    def is_lingering(self) -> bool:
        """Whether the peer may still work on an abandoned exchange."""
        transport = self._transport
        return self._is_abandoned and not (
            transport is None or transport.is_closing()
        )

    @property
    def has_news(self) -> bool:
        """Whether a read would return at once."""
        return self.ended or bool(self._chunks) or not self.is_open

    @property
    def reusable(self) -> bool:
        """Whether another request may follow on this connection."""
        left_over = self.request_cut_short or self._chunks or self._is_writing
        whole = self.ended and not left_over
        return whole and self.is_open and self._peer_keeps_alive

    @property
    def is_silent(self) -> bool:
        """Whether the peer has sent nothing since the last answer.

        Bytes or a close that the event loop has not read yet count too: a
        request written now could take them for its answer.
        """
        if self._transport is None or not self.is_open:
            return False
        poll = select.poll()
        socket = self._transport.get_extra_info('socket')
        poll.register(socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by the event loop."""
        self._transport = transport  # type: ignore[assignment]
        self.step = Step.BEFORE_FIRST_BYTE
        connected = transport.get_extra_info('socket')
        for level, option, setting in _SOCKET_OPTIONS:
            connected.setsockopt(level, option, setting)

    def data_received(self, received: bytes) -> None:
        """Feed the parser; bytes without an exchange close the connection."""
        if self._is_abandoned:
            return
        if self.ended or self.step is Step.BEFORE_FIRST_BYTE:
            self.close('bytes without a request')
            return
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self.close(f'malformed answer: {error}')
        except httptools.HttpParserUpgrade:
            self.close('the peer switched protocols')
        self._bound_head(len(received))

    def eof_received(self) -> None:
        """Take the peer's close for the end of a body without a length."""
        if self._ends_with_close and self._head is not None:
            self.ended = True
            self._peer_keeps_alive = False

    def connection_lost(self, error: Exception | None) -> None:
        """Wake whoever waits on this connection."""
        if not self.lost_reason:
            self.lost_reason = str(error or 'connection closed by the peer')
        self._wake()
        self.resume_writing()
        if self._when_gone is not None:
            self._when_gone()

    def pause_writing(self) -> None:
        """Hold back whoever writes a body until the peer takes it."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let the writer of a body go on."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def on_message_begin(self) -> None:
        """Close when another answer follows the whole one."""
        if self.ended:
            self.close('bytes after the answer')

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect one header of the answer; trailers are dropped."""
        if self._head is None:
            self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Publish the head of the answer, unless it is informational."""
        status = self._parser.get_status_code()
        if self.ended or status <= _LAST_INFORMATIONAL_STATUS:
            return
        head = AnswerHead(status, self._headers)
        if not self._is_wanted(head):
            self._is_skipping = True
            return
        self._head = head
        self._peer_keeps_alive = self._parser.should_keep_alive()
        self._ends_with_close = not (
            self._is_bodiless
            or status in _BODILESS_STATUSES
            or _FRAMING_HEADERS.intersection(name for name, _ in self._headers)
        )
        self.ended = self._is_bodiless
        self._wake()

    def on_body(self, chunk: bytes) -> None:
        """Keep a chunk, and stop reading while too many wait."""
        if self._is_skipping:
            return
        if self.ended:
            self.close('bytes after the answer')
            return
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        if self._buffered_bytes > _PAUSE_READING_BYTES:
            self._pause_reading()
        self._wake()

    def on_message_complete(self) -> None:
        """Mark the answer as whole."""
        self._is_skipping = False
        if self._head is None:
            self._headers = []
            return
        self.ended = True
        self._wake()

    def begin(self) -> None:
        """Forget the last exchange and make ready for the next."""
        self.step = Step.BEFORE_FIRST_BYTE
        self.ended = False
        self._head_bytes = 0
        self._is_bodiless = False
        self._ends_with_close = False
        self._is_skipping = False
        self._headers = []
        self._head = None
        self._parser = httptools.HttpResponseParser(self)

    def expect_no_body(self) -> None:
        """Take the head for the whole answer, as `HEAD` asks for."""
        self._is_bodiless = True

    def write(self, written: bytes, step: Step) -> None:
        """Write bytes and note that the call has come as far as `step`."""
        if self._transport is not None and self.is_open:
            self._transport.write(written)
            self.step = step

    async def drain(self) -> None:
        """Wait until the peer has taken enough of what was written."""
        if self._writable is not None and self.is_open:
            await self._writable

    async def read_head(self) -> AnswerHead | None:
        """Wait for the head of the answer; `None` when the peer is gone."""
        while self._head is None and self.is_open:
            await self._wait()
        return self._head

    async def read_chunk(self) -> bytes:
        """Wait for the next chunk; empty at the end or when lost.

        `ended` tells the two apart.
        """
        while not self.has_news:
            await self._wait()
        if not self._chunks:
            return b''
        chunk = self._chunks.popleft()
        self._buffered_bytes -= len(chunk)
        if self._reading_paused and not self._chunks:
            self._resume_reading()
        return chunk

    def close(self, reason: str) -> None:
        """Close at once; whatever was not sent is dropped."""
        if not self.lost_reason:
            self.lost_reason = reason
        if self._transport is not None:
            self._transport.abort()

    def _is_wanted(self, head: AnswerHead) -> bool:
        """Tell whether an answer repeats the header that names its request."""
        echoed = None if self.request is None else self.request.echoed
        if echoed is None:
            return True
        named = header_of(head.headers, echoed[0])
        return not named or named.encode('latin-1') == echoed[1]

    @property
    def _is_writing(self) -> bool:
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def _bound_head(self, received_bytes: int) -> None:
        if self._head is None:
            self._head_bytes += received_bytes
            if self._head_bytes > _MOST_HEAD_BYTES:
                self.close('the head of the answer is too large')

    def abandon(self, reason: str) -> None:
        """Stop an exchange and leave it to the peer to close.

        The peer sees the end of what is sent, which cancels the request at a
        server that watches for it; its close tells that it does no more work
        on it. A connection that can't be closed one way is closed at once.
        """
        transport = self._transport
        if transport is None or not self.is_open:
            return
        if not transport.can_write_eof() or self._is_writing:
            self.close(reason)
            return
        self.lost_reason = self.lost_reason or reason
        self._is_abandoned = True
        transport.write_eof()
        self._resume_reading()
        asyncio.get_running_loop().call_later(_LINGER_S, transport.abort)
        self._wake()

    def when_gone(self, callback: Callable[[], None]) -> None:
        """Call back once the peer has closed, within a bound."""
        self._when_gone = callback

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._reading_paused:
            self._transport.pause_reading()
            self._reading_paused = True

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        self._reading_paused = False

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
