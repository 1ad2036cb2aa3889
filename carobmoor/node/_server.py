"""HTTP server of a node that limits headers and reports failures as JSON."""

import contextlib
import functools
import logging
import ssl
from collections import deque
from collections.abc import Iterator
from typing import Any, Final

import uvicorn

from carobmoor.node._caller_watch import SENT_EXTENSION, TRANSPORT_EXTENSION
from carobmoor.node._guarded_protocol import GuardedProtocol
from carobmoor.outcomes import (
    OUTCOME_HEADER,
    Code,
    Failure,
    NotRun,
    Unknown,
    encode_failure,
    http_status_of,
    outcome_name,
)
from carobmoor.transport import (
    ACCEPTED_AT_ONCE,
    BACKLOG,
    SLICE_BYTES,
    Address,
    ConnectionGuard,
    MemoryAccount,
    bind_socket,
    close_after_sending,
    slices,
)

_KEEP_ALIVE_S: Final = 75
_REQUEST_TIMEOUT_STATUS: Final = 408


class NodeServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the node.

    Its connections count in the account of the process.
    """

    def __init__(
        self, config: uvicorn.Config, address: Address, account: MemoryAccount
    ) -> None:
        """Set the address to listen on."""
        super().__init__(config)
        self.guard = ConnectionGuard(account, self._guarded)
        self._address = address

    async def startup(self, sockets: Any = None) -> None:
        """Listen; only a few connections are accepted at once."""
        listening = bind_socket(self._address)
        await super().startup([listening])
        listening.listen(BACKLOG)
        self.guard.start()

    async def shutdown(self, sockets: Any = None) -> None:
        """Close the connections and end the checks."""
        self.guard.stop()
        await super().shutdown(sockets)

    def _guarded(self) -> Any:
        return self.server_state.connections

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class HeaderLimitProtocol(GuardedProtocol):
    """Refuses requests with more header bytes or framing than allowed."""

    def __init__(
        self, max_header_bytes: int, guard: ConnectionGuard, **options: Any
    ) -> None:
        """Start before the first byte of a head."""
        super().__init__(guard, **options)
        self.max_header_bytes = max_header_bytes
        # Of the target and the headers received so far, then of the trailers.
        self.head_bytes = 0
        self.is_refused = False
        # Requests whose answers have not been sent.
        self._unanswered = 0
        # The answer to a refused request, sent after all earlier ones.
        self._refusal = b''

    def data_received(self, received: bytes) -> None:
        """Parse received bytes and refuse a head that exceeds the limit."""
        for piece in slices(received, _next_slice_bytes):
            if self.is_refused or self.is_closing:
                break
            super().data_received(bytes(piece))
            self._framing.add(len(piece))
            self._check_head()
        if self.is_refused:
            self._parts.clear()
        self._end_read(len(received))

    def give_up(self) -> None:
        """Refuse the request being read, or close if an answer is not read."""
        if self.is_receiving and not self.unsent_bytes:
            self._refuse(Code.QUEUE_FULL, 'no progress')
        else:
            self.abort()

    def on_message_begin(self) -> None:
        """Expose the transport so that the application notices slow readers."""
        self._framing.restart()
        self._usage.restart()
        self._body_bytes = 0
        self.is_receiving = True
        super().on_message_begin()
        scope: Any = self.scope
        scope['extensions'] = {
            TRANSPORT_EXTENSION: self.transport,
            SENT_EXTENSION: [],
        }

    def on_url(self, url: bytes) -> None:
        """Count a part of the request target."""
        self._framing.restart()
        self.head_bytes += len(url)
        self._check_head()
        super().on_url(url)

    def on_header(self, name: bytes, content: bytes) -> None:
        """Count a header; trailers are dropped."""
        self._framing.restart()
        self.head_bytes += len(name) + len(content)
        self._check_head()
        if self.in_head:
            super().on_header(name, content)

    def on_headers_complete(self) -> None:
        """Start the request, unless its head was refused."""
        self._framing.restart()
        self.in_head = False
        self.head_bytes = 0
        if self.is_refused:
            return
        self._unanswered += 1
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of a body, unless its request was refused."""
        self._framing.restart()
        if not self.is_refused:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Expect the next head."""
        self._framing.restart()
        self._pass_on_parts()
        self.in_head = True
        self.is_receiving = False
        self.head_bytes = 0
        if not self.is_refused:
            super().on_message_complete()

    def on_response_complete(self) -> None:
        """Send the refusal that waited for this answer, if there is one."""
        self._unanswered -= 1
        super().on_response_complete()
        self._send_refusal()

    def send_400_response(self, msg: str) -> None:
        """Refuse a request that is not valid HTTP."""
        self._refuse(Code.BAD_REQUEST, 'the request is not valid HTTP')

    def close_idle(self) -> None:
        """Close the connection if no request is in progress on it.

        A request that the caller sends meanwhile gets this refusal as its
        answer. It did not run, since nothing is read any more. The status is
        408, which callers may receive without having sent a request.
        """
        has_ended = self.cycle is None or self.cycle.response_complete
        if has_ended and not self.is_receiving:
            detail = 'the node is stopping'
            self._refuse(Code.LEAVING, detail, _REQUEST_TIMEOUT_STATUS)

    def _check_head(self) -> None:
        limit_bytes = self.max_header_bytes
        if self.head_bytes > limit_bytes or self._framing.exceeds(limit_bytes):
            self._refuse(
                Code.HEADERS_TOO_LARGE, f'more than {limit_bytes} header bytes'
            )

    def _refuse(self, code: Code, detail: str, status: int = 0) -> None:
        """Refuse what is being received; the answers before it go first."""
        if self.is_refused or self.transport.is_closing():
            return
        self.is_refused = True
        has_started = self.is_receiving and not self.in_head
        server_name = ':'.join(str(part) for part in self.server or ())
        failure: Failure = NotRun(code, 'read_request', server_name, detail)
        if has_started:
            # What came of its body may have reached a backend server.
            failure = Unknown('read_request', server_name, detail, code)
        status = status or http_status_of(failure)
        self._refusal = _encode_refusal(failure, status)
        if has_started and not self._end_cycle():
            return
        self._send_refusal()

    def _end_cycle(self) -> bool:
        """End the request whose body is received; return if it needs an answer.

        The application finds its caller gone, and what it sends is dropped.
        """
        cycle = self.cycle
        if cycle.response_complete:
            self._refusal = b''
        elif cycle.response_started:
            # The rest of its answer would be read behind the refusal.
            self.transport.abort()
            return False
        else:
            self.pipeline = deque(
                queued for queued in self.pipeline if queued[0] is not cycle
            )
            cycle.disconnected = True
            cycle.message_event.set()
            self._unanswered -= 1
        return True

    def _send_refusal(self) -> None:
        if not self.is_refused or self._unanswered:
            return
        if self.transport.is_closing():
            return
        self.flow.resume_reading()
        if self._refusal:
            self.transport.write(self._refusal)
            self._refusal = b''
        close_after_sending(self.transport)


def make_server(
    app: Any,
    address: Address,
    max_header_bytes: int,
    tls: ssl.SSLContext | None,
    account: MemoryAccount,
) -> Any:
    """Create a server for an ASGI application; `tls` encrypts its listener.

    Requests that are not valid HTTP are answered with status 400 and those
    with more header bytes than allowed with 431, both as JSON. Neither
    reaches the application.
    """
    logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
    config = uvicorn.Config(
        app,
        host=address.ip,
        port=address.port,
        loop='asyncio',
        backlog=ACCEPTED_AT_ONCE,
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=_KEEP_ALIVE_S,
    )
    config.load()
    config.ssl = tls
    server = NodeServer(config, address, account)
    config.http_protocol_class = functools.partial(  # type: ignore[assignment]
        HeaderLimitProtocol, max_header_bytes, server.guard
    )
    return server


def _next_slice_bytes() -> int:
    return SLICE_BYTES


def _encode_refusal(refusal: Failure, status: int) -> bytes:
    body = encode_failure(refusal, '')
    head = (
        f'HTTP/1.1 {status} Refused\r\n'
        'content-type: application/json\r\n'
        f'{OUTCOME_HEADER}: {outcome_name(refusal)}\r\n'
        f'content-length: {len(body)}\r\n'
        'connection: close\r\n\r\n'
    )
    return head.encode() + body
