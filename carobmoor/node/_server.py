"""The HTTP server of a node, with bounded headers and failures as JSON."""

import contextlib
import functools
import logging
import ssl
from collections.abc import Iterator
from typing import Any, Final

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from carobmoor.node._watch import TRANSPORT_EXTENSION
from carobmoor.outcomes import (
    OUTCOME_HEADER,
    Code,
    NotRun,
    encode_failure,
    http_status_of,
)
from carobmoor.transport import Address

_KEEP_ALIVE_S: Final = 75
_LINGER_S: Final = 1
_REQUEST_TIMEOUT: Final = 408


class NodeServer(uvicorn.Server):
    """A server whose signals are handled by the node."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signals alone."""
        yield


class BoundedProtocol(HttpToolsProtocol):
    """Counts the bytes of a head and refuses what is too large."""

    def __init__(self, most_header_bytes: int, **named: Any) -> None:
        """Start in a head of which nothing was read."""
        super().__init__(**named)
        self.most_header_bytes = most_header_bytes
        self.head_bytes = 0
        self.in_head = True
        self.is_refused = False

    def data_received(self, received: bytes) -> None:
        """Refuse a head that outgrows the bound, else parse on."""
        if self.is_refused:
            return
        if self.in_head:
            self.head_bytes += len(received)
        super().data_received(received)
        if self.in_head and self.head_bytes > self.most_header_bytes:
            self._refuse(Code.HEADERS_TOO_LARGE, 'too many header bytes')

    def on_message_begin(self) -> None:
        """Let the application see how the answer gets on."""
        super().on_message_begin()
        scope: Any = self.scope
        scope['extensions'] = {TRANSPORT_EXTENSION: self.transport}

    def on_headers_complete(self) -> None:
        """Refuse a complete head over the bound before it runs."""
        self.in_head = False
        if _head_bytes(self.headers) > self.most_header_bytes:
            self._refuse(Code.HEADERS_TOO_LARGE, 'too many header bytes')
            return
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Count the next head from nothing."""
        self.in_head = True
        self.head_bytes = 0
        if self.cycle is not None:
            super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Answer what is no HTTP."""
        self._refuse(Code.BAD_REQUEST, 'no valid HTTP request')

    @property
    def is_unused(self) -> bool:
        """Whether no request was ever begun on this connection."""
        return self.cycle is None and not self.head_bytes

    def close_idle(self) -> None:
        """Close a connection on which no request is under way.

        A request that is on its way here meets the refusal: it did not run,
        since nothing is read any more. Status 408 is the one that callers
        may get without having asked.
        """
        has_ended = self.cycle is None or self.cycle.response_complete
        if has_ended and not self.head_bytes:
            detail = 'the node stops'
            self._refuse(Code.LEAVING, detail, _REQUEST_TIMEOUT)

    def _refuse(self, code: Code, detail: str, status: int = 0) -> None:
        if self.is_refused or self.transport.is_closing():
            return
        self.is_refused = True
        if self.cycle is not None and not self.cycle.response_complete:
            # The refusal would be read as the answer to what runs.
            self.transport.abort()
            return
        server_name = ':'.join(str(part) for part in self.server or ())
        refusal = NotRun(code, 'read_request', server_name, detail)
        status = status or http_status_of(refusal)
        self.transport.write(_plain_refusal(refusal, status))
        # Closing with bytes unread would reset the connection and could
        # take the refusal with it.
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(_LINGER_S, self.transport.abort)


def make_server(
    app: Any,
    address: Address,
    most_header_bytes: int,
    tls: ssl.SSLContext | None,
) -> Any:
    """Make a server for an ASGI application; `tls` encrypts its listener.

    Requests that are no HTTP are answered 400 and requests with more header
    bytes than allowed 431, both as JSON, and neither reaches the application.
    """
    logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
    config = uvicorn.Config(
        app,
        host=address.ip,
        port=address.port,
        loop='asyncio',
        http=functools.partial(  # type: ignore[arg-type]
            BoundedProtocol,
            most_header_bytes,
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


def _head_bytes(headers: list[tuple[bytes, bytes]]) -> int:
    return sum(len(name) + len(content) for name, content in headers)


def _plain_refusal(refusal: NotRun, status: int) -> bytes:
    body = encode_failure(refusal, '')
    head = (
        f'HTTP/1.1 {status} Refused\r\n'
        'content-type: application/json\r\n'
        f'{OUTCOME_HEADER}: not_run\r\n'
        f'content-length: {len(body)}\r\n'
        'connection: close\r\n\r\n'
    )
    return head.encode() + body
