"""Client connection to a backend server or node, without pipelining."""

import asyncio
import math
import re
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import Final

import httptools

from carobmoor.transport._framing import FramingMeter, slices
from carobmoor.transport._memory_account import (
    FIELD_OVERHEAD_BYTES,
    AccountShare,
    MemoryAccount,
)
from carobmoor.transport._messages import (
    AnswerHead,
    OutgoingRequest,
    get_header,
)
from carobmoor.transport._read_buffer import MAX_READ_BYTES, read_buffer
from carobmoor.transport._steps import Step

_PAUSE_READING_BYTES: Final = 262144
# Received between two parts of a body: heads, chunk sizes, trailers.
_MAX_BYTES_WITHOUT_BODY: Final = 262144
# Of the fields of one head, with what each takes in memory.
_MAX_HEAD_BYTES: Final = 65_536
# How much of a read is parsed at once.
_SLICE_BYTES: Final = 16384
# Received of answers to other requests before the answer that is awaited.
_MAX_SKIPPED_BYTES: Final = 4_194_304
# Received after the reader has left, until the peer closes.
_MAX_ABANDONED_BYTES: Final = 262144
# How long an abandoned connection waits for the peer to close it.
_LINGER_S: Final = 10
_FIRST_STATUS: Final = 100
_LAST_INFORMATIONAL_STATUS: Final = 199
_LAST_STATUS: Final = 599
_BODILESS_STATUSES: Final = frozenset((204, 304))
_KEEP_ALIVE: Final = b'keep-alive'
# Seconds until the peer closes the connection, if it stays idle.
_IDLE_TIMEOUT: Final = re.compile(r'\btimeout=(\d{1,9})\b')
_FRAMING_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))
# A connection whose peer acknowledges nothing is dropped after about three
# seconds, which bounds how long it looks usable after a network partition.
_SOCKET_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
)


class Connection(asyncio.BufferedProtocol):
    """A connection and the state of the request in progress on it.

    A connection carries one request at a time. Another may follow only while
    `is_reusable` is true: the answer is complete, no data is left unread, and
    the peer keeps the connection alive.
    """

    def __init__(self, peer: str, account: MemoryAccount | None = None) -> None:
        """Create the state; the event loop connects it."""
        self.peer = peer
        self._share = AccountShare(account or MemoryAccount())
        self.step = Step.CONNECT
        # When an idle connection is closed, on the clock of the event loop.
        self.expires_at_s = float(0)
        self.is_answer_complete = False
        self.is_request_incomplete = False
        self.close_reason = ''
        self.request: OutgoingRequest | None = None
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._head: AnswerHead | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._is_reading_paused = False
        self._peer_keeps_alive = False
        self._framing = FramingMeter()
        self._skipped_bytes = 0
        self._abandoned_bytes = 0
        self._is_bodiless = False
        # Without a length or chunks, the body ends when the peer closes.
        self._ends_with_close = False
        # Whether the answer being read belongs to another request.
        self._is_skipping = False
        # Whether the connection has carried an earlier request.
        self._is_reused = False
        self._is_abandoned = False
        self._on_lost: Callable[[], None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._waiter: asyncio.Future[None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection still accepts data to write."""
        transport = self._transport
        if transport is None or self._is_abandoned:
            return False
        return not transport.is_closing()

    @property
    def is_lingering(self) -> bool:
        """Whether the peer may still be working on an abandoned request."""
        transport = self._transport
        return self._is_abandoned and not (
            transport is None or transport.is_closing()
        )

    @property
    def is_readable(self) -> bool:
        """Whether `read_chunk` would return without waiting."""
        return self.is_answer_complete or bool(self._chunks) or not self.is_open

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        has_leftovers = (
            self.is_request_incomplete or self._chunks or self._is_writing
        )
        is_complete = self.is_answer_complete and not has_leftovers
        return is_complete and self.is_open and self._peer_keeps_alive

    @property
    def is_answer_attributed(self) -> bool:
        """Whether the answer can belong to no other request.

        It names the current request, or the connection has carried no other.
        """
        if not self._is_reused:
            return True
        return self._head is not None and bool(self._named_request(self._head))

    @property
    def named_idle_s(self) -> float:
        """How long the peer keeps the connection idle; infinite if unnamed.

        That is the timeout in the `Keep-Alive` header of the last answer.
        """
        if self._head is None:
            return math.inf
        content = get_header(self._head.headers, _KEEP_ALIVE)
        named = _IDLE_TIMEOUT.search(content)
        return math.inf if named is None else float(named[1])

    @property
    def is_silent(self) -> bool:
        """Whether the peer has sent nothing since the last answer.

        Data or a close that the event loop has not read yet count as sent:
        the next request could otherwise take them for its answer.
        """
        if self._transport is None or not self.is_open:
            return False
        poll = select.poll()
        socket = self._transport.get_extra_info('socket')
        poll.register(socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        self._transport = transport  # type: ignore[assignment]
        self.step = Step.BEFORE_FIRST_BYTE
        tcp_socket = transport.get_extra_info('socket')
        for level, option, setting in _SOCKET_OPTIONS:
            tcp_socket.setsockopt(level, option, setting)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read."""
        return read_buffer(MAX_READ_BYTES)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read."""
        self.data_received(read_buffer(nbytes))

    def data_received(self, received: bytes | memoryview) -> None:
        """Parse received data; close if no request is pending."""
        if self._is_abandoned:
            self._check_abandoned(len(received))
            return
        for piece in slices(received, _next_slice_bytes):
            if self.is_answer_complete or self.step is Step.BEFORE_FIRST_BYTE:
                self.close(
                    f'received {len(piece)} bytes with no request pending'
                )
            if not self.is_open:
                return
            self._parse(piece)

    def eof_received(self) -> None:
        """End a body without a length when the peer closes."""
        if self._is_abandoned:
            return
        if self._ends_with_close and self._head is not None:
            self.is_answer_complete = True
            self._peer_keeps_alive = False

    def connection_lost(self, error: Exception | None) -> None:
        """Wake the pending reads and writes and run the close callback.

        The parser and an encrypted transport refer to this object, and would
        keep it and what it received until the cyclic garbage collector runs.
        What was received of the answer may still be read.
        """
        if not self.close_reason:
            self.close_reason = str(error or 'connection closed by the peer')
        self._parser = None
        self._transport = None
        self._share.update(0)
        self._share.account.open_calls -= 1
        self._wake()
        self.resume_writing()
        if self._on_lost is not None:
            self._on_lost()
            self._on_lost = None

    def pause_writing(self) -> None:
        """Make `drain` wait until the write buffer empties."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Wake the task that waits in `drain`."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def on_message_begin(self) -> None:
        """Begin a head; close if it follows the complete answer."""
        self._head_bytes = 0
        if self.is_answer_complete:
            self.close('received data after the end of the answer')

    def on_header(self, name: bytes, content: bytes) -> None:
        """Record a header of the answer; trailers are dropped."""
        if self._head is not None or self._head_bytes > _MAX_HEAD_BYTES:
            return
        self._headers.append((name.lower(), content))
        self._head_bytes += len(name) + len(content) + FIELD_OVERHEAD_BYTES
        if self._head_bytes > _MAX_HEAD_BYTES:
            self.close(f'malformed answer: head of {self._head_bytes} bytes')

    def on_headers_complete(self) -> None:
        """Make the head of the answer available, unless it is informational.

        The answer of another request is skipped.
        """
        parser = self._parser
        if parser is None or not self.is_open:
            return
        status = parser.get_status_code()
        if not _FIRST_STATUS <= status <= _LAST_STATUS:
            self.close(f'malformed answer: status {status:03}')
            return
        if self.is_answer_complete or status <= _LAST_INFORMATIONAL_STATUS:
            return
        head = AnswerHead(status, self._headers)
        if not self._belongs_to_request(head):
            self._is_skipping = True
            return
        self._head = head
        self._peer_keeps_alive = parser.should_keep_alive()
        self._ends_with_close = not (
            self._is_bodiless
            or status in _BODILESS_STATUSES
            or _FRAMING_HEADERS.intersection(name for name, _ in self._headers)
        )
        self.is_answer_complete = self._is_bodiless
        self._wake()

    def on_body(self, chunk: bytes) -> None:
        """Buffer a chunk and pause reading while the buffer is full."""
        self._framing.restart()
        if self._is_skipping:
            self._skip(len(chunk))
            return
        if self.is_answer_complete:
            self.close('received data after the end of the answer')
            return
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._share.update(self._buffered_bytes)
        is_full = self._buffered_bytes > _PAUSE_READING_BYTES
        if is_full or self._share.is_exhausted:
            self._pause_reading()
        self._wake()

    def on_message_complete(self) -> None:
        """Mark the answer as complete, unless it was skipped."""
        self._is_skipping = False
        if self._head is None:
            self._headers = []
            return
        self.is_answer_complete = True
        self._wake()

    def start_request(self) -> None:
        """Reset the state for the next request."""
        self.step = Step.BEFORE_FIRST_BYTE
        self.is_answer_complete = False
        self._framing = FramingMeter()
        self._skipped_bytes = 0
        self._is_bodiless = False
        self._ends_with_close = False
        self._is_skipping = False
        self._is_reused = self.request is not None
        self._headers = []
        self._head = None
        self._parser = httptools.HttpResponseParser(self)

    def expect_no_body(self) -> None:
        """Treat the head as the complete answer, as for `HEAD`."""
        self._is_bodiless = True

    def write(self, payload: bytes, step: Step) -> None:
        """Write data and record that the call has reached `step`."""
        if self._transport is not None and self.is_open:
            self._transport.write(payload)
            self.step = step

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        if self._writable is not None and self.is_open:
            await self._writable

    async def read_head(self) -> AnswerHead | None:
        """Return the head of the answer; `None` if the connection closes."""
        while self._head is None and self.is_open:
            await self._wait()
        return self._head

    async def read_chunk(self) -> bytes:
        """Return what was received of the body.

        An empty result means the end if `is_answer_complete` is true, and a
        lost connection otherwise.
        """
        while not self.is_readable:
            await self._wait()
        if not self._chunks:
            return b''
        received = b''.join(self._chunks)
        self._drop_received()
        if self._is_reading_paused:
            self._resume_reading()
        return received

    def close(self, reason: str) -> None:
        """Close at once and drop unsent data."""
        if not self.close_reason:
            self.close_reason = reason
        if self._transport is not None:
            self._transport.abort()

    def _belongs_to_request(self, head: AnswerHead) -> bool:
        """Return whether an answer names no request or the current one."""
        named = self._named_request(head)
        echoed = None if self.request is None else self.request.echoed_header
        return not named or echoed is None or named == echoed[1]

    def _named_request(self, head: AnswerHead) -> bytes:
        """Return the request that an answer names; empty if it names none."""
        echoed = None if self.request is None else self.request.echoed_header
        if echoed is None:
            return b''
        return get_header(head.headers, echoed[0]).encode('latin-1')

    @property
    def _is_writing(self) -> bool:
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def _parse(self, piece: bytes | memoryview) -> None:
        parser = self._parser
        if parser is None:
            return
        try:
            parser.feed_data(piece)
        except httptools.HttpParserError as error:
            self.close(f'malformed answer: {error}')
        except httptools.HttpParserUpgrade:
            self.close('the peer switched protocols, which is not supported')
        self._framing.add(len(piece))
        if self._framing.exceeds(_MAX_BYTES_WITHOUT_BODY):
            self.close(
                f'received {self._framing.unreported_bytes} bytes '
                'without a body'
            )

    def _skip(self, received_bytes: int) -> None:
        """Close if answers to other requests go on for long."""
        self._skipped_bytes += received_bytes
        if self._skipped_bytes > _MAX_SKIPPED_BYTES:
            self.close(f'received {self._skipped_bytes} bytes of other answers')

    def _check_abandoned(self, received_bytes: int) -> None:
        self._abandoned_bytes += received_bytes
        if self._abandoned_bytes > _MAX_ABANDONED_BYTES:
            self.close('the peer goes on sending after the request ended')

    def abandon(self, reason: str) -> None:
        """Half-close the connection and wait for the peer to close it.

        A server that watches for the end of the stream cancels the request;
        its close shows that it no longer works on it. A connection that
        can't be half-closed, or has unsent data, is closed at once. What was
        received is dropped, so that the answer counts as incomplete.
        """
        transport = self._transport
        if transport is None or not self.is_open:
            return
        self._drop_received()
        self.is_answer_complete = False
        if not transport.can_write_eof() or self._is_writing:
            self.close(reason)
            return
        try:
            transport.write_eof()
        except OSError as error:
            # The peer has reset the connection, which was not read yet.
            self.close(f'{reason}; {error}')
            return
        self.close_reason = self.close_reason or reason
        self._is_abandoned = True
        self._resume_reading()
        asyncio.get_running_loop().call_later(_LINGER_S, transport.abort)
        self._wake()

    def on_closed(self, callback: Callable[[], None]) -> None:
        """Set a callback for when the connection is lost.

        On an abandoned connection this takes at most 10 s.
        """
        self._on_lost = callback

    def _drop_received(self) -> None:
        self._chunks.clear()
        self._buffered_bytes = 0
        self._share.update(0)

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._is_reading_paused:
            self._transport.pause_reading()
            self._is_reading_paused = True

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        self._is_reading_paused = False

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


def _next_slice_bytes() -> int:
    return _SLICE_BYTES
