"""Server side of connections: requests are read and served in order."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final

import httptools

from carobmoor.telemetry import logger_for
from carobmoor.transport._incoming import (
    CallerLost,
    IncomingRequest,
    ServingLimits,
    status_line,
)
from carobmoor.transport._messages import Address

_PAUSE_READING_BYTES: Final = 65536
# How long a connection stays half-open, so that the peer reads the answer.
_LINGER_S: Final = 1
_log = logger_for('transport')

RequestHandler = Callable[[IncomingRequest], Awaitable[None]]


class Listener:
    """A listening socket and its connections."""

    def __init__(
        self,
        serve: RequestHandler,
        limits: Callable[[], ServingLimits],
    ) -> None:
        """Set the handler; `limits` is called whenever a limit applies."""
        self.serve = serve
        self.limits = limits
        self.connections: set[ServingConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Start accepting connections on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServingConnection(self),
            address.ip,
            address.port,
            backlog=1024,
        )

    def stop_accepting(self) -> None:
        """Stop accepting connections; open ones continue."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stop accepting connections and close the idle ones."""
        self.stop_accepting()
        for connection in tuple(self.connections):
            connection.close_if_idle()


class ServingConnection(asyncio.Protocol):
    """A connection that reads requests and serves them one by one."""

    def __init__(self, listener: Listener) -> None:
        """Create the state of a connection that was just accepted."""
        self.peer = ''
        self.closes_after_answer = False
        self._listener = listener
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._reading_request: IncomingRequest | None = None
        self._serving_request: IncomingRequest | None = None
        self._queued_requests: deque[IncomingRequest] = deque()
        self._worker: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None
        self._head_bytes = 0
        self._body_bytes = 0
        self._is_refused = False
        self._is_reading_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timer."""
        self._transport = transport  # type: ignore[assignment]
        ip, port = transport.get_extra_info('peername')[:2]
        self.peer = f'{ip}:{port}'
        self._listener.connections.add(self)
        self._start_timer(
            self._listener.limits().idle_timeout_s, self._close_idle
        )

    def data_received(self, received: bytes) -> None:
        """Parse received data; refuse invalid or oversized requests."""
        if self._is_refused:
            return
        if self._reading_request is None and not self._head_bytes:
            self._start_timer(
                self._listener.limits().head_timeout_s, self._refuse_late_head
            )
        if self._is_in_head:
            self._head_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self._refuse(HTTPStatus.BAD_REQUEST, str(error))
            return
        except httptools.HttpParserUpgrade:
            self._refuse(
                HTTPStatus.BAD_REQUEST, 'protocol upgrade not supported'
            )
            return
        if self._is_in_head:
            self._check_head_size(self._head_bytes)

    def eof_received(self) -> None:
        """Treat a half-close by the peer as a lost connection."""
        self._mark_lost()

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the requests in progress that the peer has gone."""
        self._listener.connections.discard(self)
        self._cancel_timer()
        self._mark_lost()
        self.resume_writing()

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
        self._reading_request = IncomingRequest(self)
        self._body_bytes = 0

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        if self._reading_request is not None:
            self._reading_request.target += part

    def on_header(self, name: bytes, content: bytes) -> None:
        """Record a header; trailers are dropped."""
        request = self._reading_request
        if request is not None and not request.method:
            request.headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Queue the request, whose body may not be complete yet."""
        request = self._reading_request
        if request is None or self._is_refused:
            return
        self._cancel_timer()
        request.method = self._parser.get_method().decode('ascii')
        limits = self._listener.limits()
        self._check_head_size(_head_size(request))
        if request.body_bytes > limits.max_body_bytes:
            self._refuse(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'body of {request.body_bytes} bytes exceeds the limit',
            )
            return
        if self._is_refused:
            return
        if not self._parser.should_keep_alive():
            self.closes_after_answer = True
        self._queued_requests.append(request)
        if self._worker is None:
            self._worker = asyncio.create_task(self._serve_queue())

    def on_body(self, chunk: bytes) -> None:
        """Buffer a chunk and pause reading while the buffer is full."""
        request = self._reading_request
        if request is None:
            return
        self._body_bytes += len(chunk)
        if self._body_bytes > self._listener.limits().max_body_bytes:
            self._refuse(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'body exceeds the limit after {self._body_bytes} bytes',
            )
            return
        request.feed(chunk)
        if request.buffered_bytes > _PAUSE_READING_BYTES:
            self._pause_reading()

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        if self._reading_request is not None:
            self._reading_request.is_complete = True
            self._reading_request.wake()
        self._reading_request = None
        self._head_bytes = 0

    def write(self, payload: bytes) -> None:
        """Write data unless the connection is closing."""
        if not self._transport.is_closing():
            self._transport.write(payload)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        if self._writable is not None:
            await self._writable

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def resume_reading(self) -> None:
        """Resume reading if it is paused."""
        if self._is_reading_paused and not self._transport.is_closing():
            self._is_reading_paused = False
            self._transport.resume_reading()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        busy = (
            self._serving_request
            or self._reading_request
            or self._queued_requests
        )
        if not busy and not self._head_bytes:
            self._transport.close()

    async def _serve_queue(self) -> None:
        while self._queued_requests:
            self._serving_request = self._queued_requests.popleft()
            if self._listener.limits().is_closing:
                self.closes_after_answer = True
            await self._serve(self._serving_request)
            self._serving_request = None
            if self.closes_after_answer or self._is_refused:
                break
        self._worker = None
        if self.closes_after_answer:
            self._close_gracefully()
        elif not self._transport.is_closing() and self._reading_request is None:
            idle_s = self._listener.limits().idle_timeout_s
            self._start_timer(idle_s, self._close_idle)

    async def _serve(self, request: IncomingRequest) -> None:
        try:
            await self._listener.serve(request)
        except CallerLost:
            request.abort()
        except Exception:
            _log.exception(
                'Request handler failed; resetting the connection.',
                peer=self.peer,
            )
            request.abort()
        if not request.has_ended:
            request.abort()

    def _mark_lost(self) -> None:
        for request in (
            self._serving_request,
            self._reading_request,
            *self._queued_requests,
        ):
            if request is not None and not request.disconnected.done():
                request.disconnected.set_result(None)
                request.wake()
        self._queued_requests.clear()

    @property
    def _is_in_head(self) -> bool:
        return self._reading_request is None or not self._reading_request.method

    def _check_head_size(self, head_bytes: int) -> None:
        if head_bytes > self._listener.limits().max_head_bytes:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._refuse(
                status, f'head of {head_bytes} bytes exceeds the limit'
            )

    def _refuse(self, status: HTTPStatus, reason: str) -> None:
        if self._is_refused or self._transport.is_closing():
            return
        self._is_refused = True
        _log.info(
            'Request refused; closing the connection.',
            peer=self.peer,
            status=int(status),
            reason=reason,
        )
        if self._serving_request is not None or self._queued_requests:
            # The peer would take the refusal for the answer to an earlier
            # request.
            self._transport.abort()
            return
        self.write(
            status_line(status)
            + b'content-length: 0\r\nconnection: close\r\n\r\n',
        )
        self._close_gracefully()

    def _close_gracefully(self) -> None:
        """Half-close first, since a reset could discard the answer."""
        if self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self.resume_reading()
        loop = asyncio.get_running_loop()
        loop.call_later(_LINGER_S, self._transport.abort)

    def _pause_reading(self) -> None:
        if not self._is_reading_paused and not self._transport.is_closing():
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _refuse_late_head(self) -> None:
        self._refuse(
            HTTPStatus.REQUEST_TIMEOUT, 'head not received within the timeout'
        )

    def _close_idle(self) -> None:
        self.close_if_idle()

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


def _head_size(request: IncomingRequest) -> int:
    fields = sum(len(name) + len(text) for name, text in request.headers)
    return fields + len(request.target)
