"""The server's side of connections: requests are read and served in turn."""

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
# How long a refused connection stays half open, so that the refusal is read.
_LINGER_S: Final = 1
_log = logger_for('transport')

Serve = Callable[[IncomingRequest], Awaitable[None]]


class Listener:
    """What the connections of one listening socket share."""

    def __init__(
        self,
        serve: Serve,
        limits: Callable[[], ServingLimits],
    ) -> None:
        """Serve requests with a function, under the limits of the moment."""
        self.serve = serve
        self.limits = limits
        self.connections: set[ServingConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServingConnection(self),
            address.ip,
            address.port,
            backlog=1024,
        )

    def stop_accepting(self) -> None:
        """Accept no new connection; those that are open go on."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Close every connection that has no request in hand."""
        self.stop_accepting()
        for connection in tuple(self.connections):
            connection.close_if_idle()


class ServingConnection(asyncio.Protocol):
    """Reads requests and serves them one after the other."""

    def __init__(self, listener: Listener) -> None:
        """Make a connection that is not connected yet."""
        self.peer = ''
        self.closes_after_answer = False
        self._listener = listener
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._reading: IncomingRequest | None = None
        self._serving: IncomingRequest | None = None
        self._waiting: deque[IncomingRequest] = deque()
        self._worker: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None
        self._head_bytes = 0
        self._read_bytes = 0
        self._is_refused = False
        self._is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for the first request; called by the event loop."""
        self._transport = transport  # type: ignore[assignment]
        ip, port = transport.get_extra_info('peername')[:2]
        self.peer = f'{ip}:{port}'
        self._listener.connections.add(self)
        self._arm(self._listener.limits().idle_timeout_s, self._close_idle)

    def data_received(self, received: bytes) -> None:
        """Feed the parser; what is no request is refused."""
        if self._is_refused:
            return
        if self._reading is None and not self._head_bytes:
            self._arm(self._listener.limits().head_timeout_s, self._late_head)
        if self._is_in_head:
            self._head_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self._refuse(HTTPStatus.BAD_REQUEST, str(error))
            return
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST, 'upgrade not supported')
            return
        if self._is_in_head:
            self._bound_head(self._head_bytes)

    def eof_received(self) -> None:
        """Take the end of what the peer sends for its leaving."""
        self._lose()

    def connection_lost(self, error: Exception | None) -> None:
        """Tell whoever serves or reads here that the peer is gone."""
        self._listener.connections.discard(self)
        self._disarm()
        self._lose()
        self.resume_writing()

    def pause_writing(self) -> None:
        """Hold back whoever writes an answer until the peer takes it."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let the writer of an answer go on."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def on_message_begin(self) -> None:
        """Begin another request."""
        self._reading = IncomingRequest(self)
        self._read_bytes = 0

    def on_url(self, part: bytes) -> None:
        """Collect the target."""
        if self._reading is not None:
            self._reading.target += part

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect one header; trailers are dropped."""
        request = self._reading
        if request is not None and not request.method:
            request.headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Queue the request; its body may still be on its way."""
        request = self._reading
        if request is None or self._is_refused:
            return
        self._disarm()
        request.method = self._parser.get_method().decode('ascii')
        limits = self._listener.limits()
        self._bound_head(_head_bytes(request))
        if request.body_bytes > limits.most_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'body too large')
            return
        if self._is_refused:
            return
        if not self._parser.should_keep_alive():
            self.closes_after_answer = True
        self._waiting.append(request)
        if self._worker is None:
            self._worker = asyncio.create_task(self._work())

    def on_body(self, chunk: bytes) -> None:
        """Keep a chunk, and stop reading while too many wait."""
        request = self._reading
        if request is None:
            return
        self._read_bytes += len(chunk)
        if self._read_bytes > self._listener.limits().most_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'body too large')
            return
        request.feed(chunk)
        if request.buffered_bytes > _PAUSE_READING_BYTES:
            self._pause_reading()

    def on_message_complete(self) -> None:
        """Mark the request as whole."""
        if self._reading is not None:
            self._reading.is_whole = True
            self._reading.wake()
        self._reading = None
        self._head_bytes = 0

    def write(self, written: bytes) -> None:
        """Write bytes unless the connection is closing."""
        if not self._transport.is_closing():
            self._transport.write(written)

    async def drain(self) -> None:
        """Wait until the peer has taken enough of what was written."""
        if self._writable is not None:
            await self._writable

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def resume_reading(self) -> None:
        """Read on after a pause."""
        if self._is_paused and not self._transport.is_closing():
            self._is_paused = False
            self._transport.resume_reading()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in hand or on its way."""
        busy = self._serving or self._reading or self._waiting
        if not busy and not self._head_bytes:
            self._transport.close()

    async def _work(self) -> None:
        while self._waiting:
            self._serving = self._waiting.popleft()
            if self._listener.limits().is_closing:
                self.closes_after_answer = True
            await self._serve(self._serving)
            self._serving = None
            if self.closes_after_answer or self._is_refused:
                break
        self._worker = None
        if self.closes_after_answer:
            self._close_gently()
        elif not self._transport.is_closing() and self._reading is None:
            idle_s = self._listener.limits().idle_timeout_s
            self._arm(idle_s, self._close_idle)

    async def _serve(self, request: IncomingRequest) -> None:
        try:
            await self._listener.serve(request)
        except CallerLost:
            request.abort()
        except Exception:
            _log.exception('Request not served.', peer=self.peer)
            request.abort()
        if not request.has_ended:
            request.abort()

    def _lose(self) -> None:
        for request in (self._serving, self._reading, *self._waiting):
            if request is not None and not request.lost.done():
                request.lost.set_result(None)
                request.wake()
        self._waiting.clear()

    @property
    def _is_in_head(self) -> bool:
        return self._reading is None or not self._reading.method

    def _bound_head(self, head_bytes: int) -> None:
        if head_bytes > self._listener.limits().most_head_bytes:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._refuse(status, 'head too large')

    def _refuse(self, status: HTTPStatus, reason: str) -> None:
        if self._is_refused or self._transport.is_closing():
            return
        self._is_refused = True
        _log.info(
            'Request refused by the parser.',
            peer=self.peer,
            status=int(status),
            reason=reason,
        )
        if self._serving is not None or self._waiting:
            # The refusal would be read as the answer to what is served.
            self._transport.abort()
            return
        self.write(
            status_line(status)
            + b'content-length: 0\r\nconnection: close\r\n\r\n',
        )
        self._close_gently()

    def _close_gently(self) -> None:
        """Close without a reset that could take the answer with it."""
        if self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self.resume_reading()
        loop = asyncio.get_running_loop()
        loop.call_later(_LINGER_S, self._transport.abort)

    def _pause_reading(self) -> None:
        if not self._is_paused and not self._transport.is_closing():
            self._is_paused = True
            self._transport.pause_reading()

    def _late_head(self) -> None:
        self._refuse(HTTPStatus.REQUEST_TIMEOUT, 'head not read in time')

    def _close_idle(self) -> None:
        self.close_if_idle()

    def _arm(self, after_s: float, callback: Callable[[], None]) -> None:
        self._disarm()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(after_s, callback)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _head_bytes(request: IncomingRequest) -> int:
    fields = sum(len(name) + len(text) for name, text in request.headers)
    return fields + len(request.target)
