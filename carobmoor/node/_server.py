"""HTTP server of a node that limits headers and reports failures as JSON."""

import contextlib
import functools
import logging
import ssl
from collections.abc import Iterator
from typing import Any, Final

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from carobmoor.node._caller_watch import TRANSPORT_EXTENSION
from carobmoor.outcomes import (
    OUTCOME_HEADER,
    Code,
    NotRun,
    encode_failure,
    http_status_of,
)
from carobmoor.transport import Address

_KEEP_ALIVE_S: Final = 75
_REFUSAL_LINGER_S: Final = 1
_REQUEST_TIMEOUT_STATUS: Final = 408


class NodeServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the node."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class HeaderLimitProtocol(HttpToolsProtocol):
    """Refuses requests with more header bytes than allowed."""

    def __init__(self, max_header_bytes: int, **options: Any) -> None:
        """Start before the first byte of a head."""
        super().__init__(**options)
        self.max_header_bytes = max_header_bytes
        self.head_bytes = 0
        self.in_head = True
        self.is_refused = False

    def data_received(self, received: bytes) -> None:
        """Parse received bytes and refuse a head that exceeds the limit."""
        if self.is_refused:
            return
        if self.in_head:
            self.head_bytes += len(received)
        super().data_received(received)
        if self.in_head and self.head_bytes > self.max_header_bytes:
            self._refuse(
                Code.HEADERS_TOO_LARGE,
                f'more than {self.max_header_bytes} header bytes',
            )

    def on_message_begin(self) -> None:
        """Expose the transport so that the application notices slow readers."""
        super().on_message_begin()
        scope: Any = self.scope
        scope['extensions'] = {TRANSPORT_EXTENSION: self.transport}

    def on_headers_complete(self) -> None:
        """Refuse a complete head over the limit before the application runs."""
        self.in_head = False
        if _count_head_bytes(self.headers) > self.max_header_bytes:
            self._refuse(
                Code.HEADERS_TOO_LARGE,
                f'more than {self.max_header_bytes} header bytes',
            )
            return
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Reset the byte count for the next head."""
        self.in_head = True
        self.head_bytes = 0
        if self.cycle is not None:
            super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse a request that is not valid HTTP."""
        self._refuse(Code.BAD_REQUEST, 'the request is not valid HTTP')

    @property
    def is_unused(self) -> bool:
        """Whether no request has begun on this connection yet."""
        return self.cycle is None and not self.head_bytes

    def close_idle(self) -> None:
        """Close the connection if no request is in progress on it.

        A request that the caller sends meanwhile gets this refusal as its
        answer. It did not run, since nothing is read any more. The status is
        408, which callers may receive without having sent a request.
        """
        has_ended = self.cycle is None or self.cycle.response_complete
        if has_ended and not self.head_bytes:
            detail = 'the node is stopping'
            self._refuse(Code.LEAVING, detail, _REQUEST_TIMEOUT_STATUS)

    def _refuse(self, code: Code, detail: str, status: int = 0) -> None:
        if self.is_refused or self.transport.is_closing():
            return
        self.is_refused = True
        if self.cycle is not None and not self.cycle.response_complete:
            # The refusal would be read as the answer to the running request.
            self.transport.abort()
            return
        server_name = ':'.join(str(part) for part in self.server or ())
        refusal = NotRun(code, 'read_request', server_name, detail)
        status = status or http_status_of(refusal)
        self.transport.write(_encode_refusal(refusal, status))
        # Closing with unread bytes would reset the connection, and the
        # refusal could be lost.
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(_REFUSAL_LINGER_S, self.transport.abort)


def make_server(
    app: Any,
    address: Address,
    max_header_bytes: int,
    tls: ssl.SSLContext | None,
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
        http=functools.partial(  # type: ignore[arg-type]
            HeaderLimitProtocol,
            max_header_bytes,
        ),
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
    return NodeServer(config)


def _count_head_bytes(headers: list[tuple[bytes, bytes]]) -> int:
    return sum(len(name) + len(content) for name, content in headers)


def _encode_refusal(refusal: NotRun, status: int) -> bytes:
    body = encode_failure(refusal, '')
    head = (
        f'HTTP/1.1 {status} Refused\r\n'
        'content-type: application/json\r\n'
        f'{OUTCOME_HEADER}: not_run\r\n'
        f'content-length: {len(body)}\r\n'
        'connection: close\r\n\r\n'
    )
    return head.encode() + body
