"""Encoding of request heads, and checks against request smuggling."""

from itertools import chain
from typing import Final

from carobmoor.transport._messages import OutgoingRequest

_LINE_END: Final = b'\r\n'
_CONTENT_LENGTH: Final = b'content-length'
_TRANSFER_ENCODING: Final = b'transfer-encoding'


def encode_head(request: OutgoingRequest, chunked: bool) -> bytes:
    """Encode the request line and the headers, with the body's framing."""
    parts = [f'{request.method} {request.target} HTTP/1.1\r\n'.encode()]
    for name, content in request.headers:
        parts.append(b'%b: %b\r\n' % (name, content))
    if chunked:
        parts.append(b'transfer-encoding: chunked\r\n')
    elif request.more_body is None and not declares_length(request):
        parts.append(b'content-length: %d\r\n' % len(request.body))
    parts.append(_LINE_END)
    return b''.join(parts)


def declares_length(request: OutgoingRequest) -> bool:
    """Return whether the headers declare the length of the body."""
    return any(name == _CONTENT_LENGTH for name, _ in request.headers)


def declared_length(request: OutgoingRequest) -> int:
    """Return the declared length of a body in bytes; -1 if there is none."""
    for name, content in request.headers:
        if name == _CONTENT_LENGTH and content.isdigit():
            return int(content)
    return -1


def request_fault(request: OutgoingRequest) -> str:
    """Return why a peer could misparse the request; empty if it can't.

    Line breaks, extra spaces and contradictory framing could make the peer
    see another request than the one meant.
    """
    line = f'{request.method} {request.target}'.encode()
    if _has_line_break(line) or line.count(b' ') > 1:
        return 'the request line has a line break or too many spaces'
    names = [name for name, _ in request.headers]
    if _has_line_break(b''.join(chain.from_iterable(request.headers))):
        return 'a header has a line break'
    if _TRANSFER_ENCODING in names:
        return 'the transfer-encoding header is not allowed'
    return _length_fault(request) if _CONTENT_LENGTH in names else ''


def _length_fault(request: OutgoingRequest) -> str:
    for name, content in request.headers:
        if name == _CONTENT_LENGTH and not content.isdigit():
            return 'the content-length header is not a number'
    is_buffered = request.more_body is None
    if is_buffered and declared_length(request) != len(request.body):
        return (
            f'{len(request.body)} body bytes given for '
            f'content-length {declared_length(request)}'
        )
    return ''


def _has_line_break(part: bytes) -> bool:
    return b'\n' in part or b'\r' in part
