"""Server side of connections: requests are read, and answered in order."""

import asyncio
import select
from collections.abc import Awaitable, Callable, Mapping, Sequence
from http import HTTPStatus
from typing import Final

import httptools

from carobmoor.telemetry import logger_for
from carobmoor.transport._answer_order import (
    AnswerOrder,
    AnswerSlot,
    HeldBytes,
    LostOutput,
)
from carobmoor.transport._framing import SLICE_BYTES, FramingMeter, slices
from carobmoor.transport._guard import (
    ACCEPTED_AT_ONCE,
    BACKLOG,
    ConnectionGuard,
    bind_socket,
)
from carobmoor.transport._incoming import (
    CallerLost,
    IncomingRequest,
    ServingLimits,
    held_bytes_of,
    status_line,
)
from carobmoor.transport._linger import close_after_sending
from carobmoor.transport._memory_account import MemoryAccount
from carobmoor.transport._messages import Address, HeaderList
from carobmoor.transport._read_buffer import read_buffer
from carobmoor.transport._shedding import ConnectionLoad, Phase
from carobmoor.transport._usage import ConnectionUsage

_PAUSE_READING_BYTES: Final = 65536
# Interval of the checks whether the peer has gone while reading is paused.
_HANGUP_POLL_S: Final = 0.2
# When a caller that found no room may come back.
_RETRY_AFTER: Final = b'1'
_HANGUP_EVENTS: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_log = logger_for('transport')

RequestHandler = Callable[[IncomingRequest], Awaitable[None]]


def never_overlaps(request: IncomingRequest) -> bool:
    """Return that a request is served alone on its connection."""
    return False


class Listener:
    """A listening socket and its connections."""

    def __init__(
        self,
        serve: RequestHandler,
        limits: Callable[[], ServingLimits],
        may_overlap: Callable[[IncomingRequest], bool] = never_overlaps,
        account: MemoryAccount | None = None,
        is_control: bool = False,
    ) -> None:
        """Set the handler; `limits` is called whenever a limit applies.

        `may_overlap` tells whether a complete request may be served beside
        other such requests of its connection. The listeners and pools of a
        process share an `account`.
        """
        self.account = MemoryAccount() if account is None else account
        self.guard = ConnectionGuard(
            self.account, lambda: self.connections, is_control
        )
        self.serve = serve
        self.limits = limits
        self.may_overlap = may_overlap
        self.connections: set[ServingConnection] = set()
        self.held = HeldBytes()
        # Requests that were started before all earlier answers were sent.
        self.overlapped = 0
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Start accepting connections on an address."""
        loop = asyncio.get_running_loop()
        listening = bind_socket(address)
        self._server = await loop.create_server(
            lambda: ServingConnection(self),
            sock=listening,
            backlog=ACCEPTED_AT_ONCE,
        )
        listening.listen(BACKLOG)
        self.guard.start()

    def stop_accepting(self) -> None:
        """Stop accepting connections; open ones continue."""
        self.guard.stop()
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stop accepting connections and close the idle ones."""
        self.stop_accepting()
        for connection in tuple(self.connections):
            connection.close_if_idle()

    @property
    def unfinished(self) -> Sequence['ServingConnection']:
        """The connections that are still to send an answer or a part of one."""
        return [one for one in self.connections if one.is_unfinished]

    def may_start_early(self, order: AnswerOrder) -> bool:
        """Return whether the limits allow one more overlapping request."""
        limits = self.limits()
        return (
            not limits.is_closing
            and order.held_bytes < limits.max_held_bytes
            and self.held.total_bytes < limits.max_held_total_bytes
            and not self.account.has_many_calls
        )


class ServingConnection(asyncio.BufferedProtocol):
    """A connection that reads requests and answers them in order."""

    def __init__(self, listener: Listener) -> None:
        """Create the state of a connection that was just accepted."""
        self.peer = ''
        self._listener = listener
        self._transport: asyncio.Transport
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._order = AnswerOrder(self, listener.held)
        self._reading_request: IncomingRequest | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None
        self._framing = FramingMeter()
        self._body_bytes = 0
        # The length that the head of the request being read declares.
        self._declared_bytes = 0
        # Of the header fields behind a body in chunks.
        self._trailer_bytes = 0
        # The limits that were in force when the request being read began.
        limits = listener.limits()
        self._max_head_bytes = limits.max_head_bytes
        self._max_body_bytes = limits.max_body_bytes
        # No more requests are taken: one was refused or closes the connection.
        self._is_input_ended = False
        self._is_refused = False
        self._is_reading_paused = False
        self._has_overlapped = False
        self._usage = ConnectionUsage(listener.account)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timer."""
        self._transport = transport  # type: ignore[assignment]
        ip, port = transport.get_extra_info('peername')[:2]
        self.peer = f'{ip}:{port}'
        self._listener.connections.add(self)
        self._start_idle_timer()
        self._listener.guard.make_room()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read; less while the connections hold much."""
        return read_buffer(self._usage.next_read_bytes)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read."""
        self.data_received(read_buffer(nbytes))

    def data_received(self, received: bytes | memoryview) -> None:
        """Parse received data; refuse invalid or oversized requests."""
        for piece in slices(received, self._next_slice_bytes):
            if self._is_input_ended and self._reading_request is None:
                return
            self._parse(piece)
        self._usage.record_read(len(received))
        self._update_held()
        if self._reading_request is not None:
            self._update_reading()

    def eof_received(self) -> None:
        """Treat a half-close by the peer as a lost connection."""
        self._mark_lost()

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the requests in progress that the peer has gone.

        What refers back to this object is dropped, so that it is freed at
        once and not by the cyclic garbage collector.
        """
        self._listener.connections.discard(self)
        self._cancel_timer()
        self._mark_lost()
        self.resume_writing()
        self._usage.share.update(0)
        self._order.output = LostOutput(self.peer)
        self._parser = None

    def pause_writing(self) -> None:
        """Make `drain` wait until the write buffer empties."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Wake the task that waits in `drain`."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def on_message_begin(self) -> None:
        """Start another request."""
        if self._is_input_ended:
            return
        self._framing.restart()
        self._usage.restart()
        self._reading_request = IncomingRequest(self.peer)
        self._body_bytes = 0
        self._declared_bytes = 0
        self._trailer_bytes = 0
        limits = self._listener.limits()
        self._max_head_bytes = limits.max_head_bytes
        self._max_body_bytes = limits.max_body_bytes
        self._start_timer(limits.head_timeout_s, self._refuse_late_head)

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        request = self._reading_request
        if request is not None:
            self._framing.restart()
            request.target += part
            request.head_bytes += len(part)
            self._check_head_size(request.head_bytes)

    def on_header(self, name: bytes, content: bytes) -> None:
        """Record a header; trailers are dropped."""
        request = self._reading_request
        if request is None:
            return
        self._framing.restart()
        field_bytes = len(name) + len(content)
        if request.method:
            self._trailer_bytes += field_bytes
            self._check_head_size(self._trailer_bytes)
            return
        request.headers.append((name.lower(), content))
        request.head_bytes += field_bytes
        self._check_head_size(request.head_bytes)

    def on_headers_complete(self) -> None:
        """Add the request, whose body may not be complete yet."""
        request = self._reading_request
        parser = self._parser
        if request is None or parser is None or self._is_input_ended:
            return
        self._cancel_timer()
        self._framing.restart()
        request.method = parser.get_method().decode('ascii')
        if parser.should_upgrade():
            self._refuse(
                HTTPStatus.BAD_REQUEST, 'protocol upgrade not supported'
            )
        self._declared_bytes = request.body_bytes
        if self._declared_bytes > self._max_body_bytes:
            self._refuse_body(self._declared_bytes)
        if self._is_input_ended:
            return
        slot = self._order.append(request)
        request.answer_to(slot)
        if not parser.should_keep_alive():
            # What follows such a request is not a request.
            slot.closes_connection = True
            self._is_input_ended = True
        self._start_due()

    def on_body(self, chunk: bytes) -> None:
        """Buffer a chunk; `_parse` pauses reading while the buffer is full."""
        request = self._reading_request
        if request is None:
            return
        self._framing.restart()
        self._body_bytes += len(chunk)
        if self._body_bytes > self._max_body_bytes:
            self._refuse_body(self._body_bytes)
        else:
            self._usage.parts += 1
            request.feed(chunk)

    def on_message_complete(self) -> None:
        """Mark the request as complete, so that it may overlap others."""
        request = self._reading_request
        self._reading_request = None
        self._framing.restart()
        if request is None:
            return
        request.is_complete = True
        request.wake()
        last = self._order.last
        if last is None:
            # The request was answered before its body had arrived.
            self._start_idle_timer()
        elif last.request is request:
            last.may_overlap = self._listener.may_overlap(request)
            self._start_due()
        self._update_reading()

    def write(self, payload: bytes) -> None:
        """Write data unless the connection is closing."""
        if not self._transport.is_closing():
            self._usage.record_written(len(payload))
            self._transport.write(payload)
            self._update_held()

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        if self._writable is not None:
            await self._writable

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def resume_reading(self) -> None:
        """Resume reading if it is paused and no limit requires it."""
        self._update_held()
        self._update_reading()

    @property
    def is_closing(self) -> bool:
        """Whether the connection was closed or reset."""
        return self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """What was written and is still to be taken by the kernel."""
        return self._transport.get_write_buffer_size()

    @property
    def is_unfinished(self) -> bool:
        """Whether an answer, or a part of one, is still to be sent."""
        return self._order.first is not None or self.unsent_bytes > 0

    @property
    def unanswered(self) -> Sequence[IncomingRequest]:
        """The requests whose answers have not been written to their end."""
        requests = [slot.request for slot in self._order if not slot.has_ended]
        return [request for request in requests if request is not None]

    def load(self) -> ConnectionLoad:
        """Return the state of the connection for the decisions."""
        unsent_bytes = self.unsent_bytes
        return self._usage.load(self._phase(unsent_bytes), unsent_bytes)

    def give_up(self) -> None:
        """Refuse the request being read, or close if an answer is not read."""
        if self._reading_request is None or _has_running(self._order):
            self._transport.abort()
        else:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, 'no progress')

    def is_last(self, slot: AnswerSlot) -> bool:
        """Return whether the connection closes after this answer.

        When connections are to close, that is the answer to the last request
        that was started. Those behind it are dropped, and their caller sends
        them again.
        """
        if slot.closes_connection or not self._listener.limits().is_closing:
            return slot.closes_connection
        if self._order.has_started_behind(slot):
            return False
        slot.closes_connection = True
        self._is_input_ended = True
        if self._reading_request is not slot.request:
            self._reading_request = None
        self._order.remove_unstarted()
        return True

    def slot_ended(self, slot: AnswerSlot) -> None:
        """Start what may be served next, or close after a last answer."""
        first = self._order.first
        if first is not None and first.has_ended:
            self._close_after(first)
            return
        self._start_due()
        self._update_reading()
        if self._order.first is None and self._reading_request is None:
            self._start_idle_timer()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if self._order.first is None and self._reading_request is None:
            self._transport.close()

    def _phase(self, unsent_bytes: int) -> Phase:
        if unsent_bytes:
            return Phase.ANSWERING
        if _has_running(self._order):
            return Phase.RUNNING
        reading = self._reading_request
        if reading is not None and not reading.has_ended:
            return Phase.RECEIVING
        return Phase.IDLE

    def _update_held(self) -> None:
        """Update what the connection holds of the account."""
        held_bytes = (
            self._order.waiting_bytes
            + self._framing.unreported_bytes
            + self.unsent_bytes
        )
        reading = self._reading_request
        if reading is not None and not reading.method:
            held_bytes += held_bytes_of(reading)
        self._usage.share.update(held_bytes)

    def _start_due(self) -> None:
        """Start the requests that need not wait for an earlier answer."""
        for started, slot in enumerate(self._order):
            if not slot.is_started:
                if not self._may_start(slot, started):
                    return
                self._start(slot)
            if not slot.may_overlap:
                return

    def _may_start(self, slot: AnswerSlot, started: int) -> bool:
        if not started:
            return True
        return (
            slot.may_overlap
            and started < self._listener.limits().max_in_progress
            and self._listener.may_start_early(self._order)
        )

    def _start(self, slot: AnswerSlot) -> None:
        slot.is_started = True
        if self._order.first is not slot:
            self._has_overlapped = True
            self._listener.overlapped += 1
        if slot.request is not None:
            task = asyncio.create_task(self._serve(slot.request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, request: IncomingRequest) -> None:
        try:
            await self._listener.serve(request)
        except CallerLost:
            request.abort()
        except Exception:
            _log.exception(
                'Request handler failed; closing the connection.',
                peer=self.peer,
            )
            request.abort()
        if not request.has_ended:
            request.abort()

    def _mark_lost(self) -> None:
        requests = [slot.request for slot in self._order if not slot.has_ended]
        requests.append(self._reading_request)
        self._reading_request = None
        for request in requests:
            if request is not None and not request.disconnected.done():
                request.disconnected.set_result(None)
                request.wake()
        self._order.clear()

    def _next_slice_bytes(self) -> int:
        """Return how much to parse at once: the rest of a declared body."""
        if self._reading_request is None or not self._reading_request.method:
            return SLICE_BYTES
        return max(SLICE_BYTES, self._declared_bytes - self._body_bytes)

    def _parse(self, piece: bytes | memoryview) -> None:
        parser = self._parser
        if parser is None:
            return
        try:
            parser.feed_data(piece)
        except httptools.HttpParserError as error:
            self._refuse(HTTPStatus.BAD_REQUEST, str(error))
            return
        except httptools.HttpParserUpgrade:
            # `on_headers_complete` has refused the request.
            return
        self._framing.add(len(piece))
        if self._framing.exceeds(self._max_head_bytes):
            self._refuse(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f'{self._framing.unreported_bytes} bytes of framing in a row',
            )

    def _check_head_size(self, head_bytes: int) -> None:
        if head_bytes > self._max_head_bytes:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._refuse(
                status, f'head of {head_bytes} bytes exceeds the limit'
            )

    def _refuse_body(self, body_bytes: int) -> None:
        self._refuse(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f'body of {body_bytes} bytes exceeds the limit',
        )

    def _refuse(self, status: HTTPStatus, reason: str) -> None:
        """Refuse what is being read; the answers before it go first."""
        has_closing_request = self._is_input_ended and not self._reading_request
        if has_closing_request or self._is_refused:
            return
        if self._transport.is_closing():
            return
        self._is_refused = True
        self._is_input_ended = True
        _log.info(
            'Request refused; closing the connection.',
            peer=self.peer,
            status=int(status),
            reason=reason,
            **self._progress(),
        )
        request = self._reading_request
        self._reading_request = None
        if request is not None and request.has_ended:
            # Its caller has the answer, and would take this for the next one.
            self._close_gracefully()
            self._mark_lost()
        elif self._remove_unstarted(request):
            self._append_refusal(status)
        elif request is not None:
            self._refuse_started(request, status)

    def _remove_unstarted(self, request: IncomingRequest | None) -> bool:
        """Drop the request being read; return `False` if it was started."""
        last = self._order.last
        if request is None or last is None or last.request is not request:
            return True
        if last.is_started:
            return False
        self._order.remove_last()
        return True

    def _append_refusal(self, status: HTTPStatus) -> None:
        slot = self._order.append(None)
        slot.closes_connection = True
        slot.is_started = True
        slot.write(
            status_line(status)
            + b''.join(b'%b: %b\r\n' % one for one in _refusal_headers(status))
            + b'content-length: 0\r\nconnection: close\r\n\r\n',
        )
        slot.end()

    def _progress(self) -> Mapping[str, int]:
        """Return what was received of the request being read, for the log."""
        request = self._reading_request
        return {
            'head_bytes': 0 if request is None else request.head_bytes,
            'body_bytes': self._body_bytes,
            'answered': 0 if request is None else int(request.has_ended),
        }

    def _refuse_started(
        self, request: IncomingRequest, status: HTTPStatus
    ) -> None:
        """Answer a request whose handler runs, unless that has begun to.

        The handler finds its caller gone; what it writes is dropped.
        """
        if request.has_started:
            self._transport.abort()
            return
        slot = self._order.last
        if slot is not None:
            slot.closes_connection = True
        request.disconnected.set_result(None)
        request.wake()
        request.respond(status, _refusal_headers(status))

    def _close_after(self, slot: AnswerSlot) -> None:
        """Close after the last answer, or after one that broke off."""
        self._is_input_ended = True
        if slot.is_broken and not self._has_overlapped:
            self._transport.abort()
            return
        # A reset could discard earlier answers that the peer has not read.
        self._close_gracefully()
        self._mark_lost()

    def _close_gracefully(self) -> None:
        """Close once the peer was sent everything; discard what it sends."""
        close_after_sending(self._transport)
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause or resume reading, by what has been read and not started."""
        is_full = self._is_full()
        if is_full == self._is_reading_paused or self._transport.is_closing():
            return
        self._is_reading_paused = is_full
        if is_full:
            self._transport.pause_reading()
            self._poll_hangup()
        else:
            self._transport.resume_reading()

    def _is_full(self) -> bool:
        reading = self._reading_request
        if reading is not None and (
            reading.buffered_bytes > _PAUSE_READING_BYTES
            or self._usage.share.is_exhausted
        ):
            return True
        return self._order.unstarted_bytes > _PAUSE_READING_BYTES

    def _poll_hangup(self) -> None:
        """Notice that the peer has gone while nothing is read from it."""
        if not self._is_reading_paused or self._transport.is_closing():
            return
        poll = select.poll()
        socket = self._transport.get_extra_info('socket')
        poll.register(socket.fileno(), _HANGUP_EVENTS)
        if poll.poll(0):
            self._transport.abort()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(_HANGUP_POLL_S, self._poll_hangup)

    def _refuse_late_head(self) -> None:
        self._refuse(
            HTTPStatus.REQUEST_TIMEOUT, 'head not received within the timeout'
        )

    def _start_idle_timer(self) -> None:
        self._start_timer(
            self._listener.limits().idle_timeout_s, self.close_if_idle
        )

    def _start_timer(
        self, after_s: float, callback: Callable[[], None]
    ) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(after_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _has_running(order: AnswerOrder) -> bool:
    """Return whether a request waits for a server or may be run by one."""
    requests = [slot.request for slot in order if not slot.has_ended]
    return any(
        request is not None and (request.is_sent or request.is_complete)
        for request in requests
    )


def _refusal_headers(status: HTTPStatus) -> HeaderList:
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        return ((b'retry-after', _RETRY_AFTER),)
    return ()
