"""Bytes of bodies never count as heads, chunk sizes or trailers.

A read may hold the end of a body, whole requests and many chunks. What is
large in total but no head is accepted, however it is cut; what is too large
is refused with a status that the caller gets.
"""

import asyncio
from collections.abc import Iterator
from unittest.mock import MagicMock

from nose2.tools import params

from carobmoor.transport import Connection, OutgoingRequest, ServingLimits
from carobmoor.transport.tests.fixtures import (
    PipelinedConnection,
    get,
    post,
)
from carobmoor.transport.tests.test_fuzz_answers import connection_with_request

LIMITS = ServingLimits(max_head_bytes=16_384, max_in_progress=4)
READ_BYTES = 262_144
BODY = bytes(range(256)) * 1172
CHUNKED_HEAD = b'POST /chunked HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
ANSWER_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
STRAY_HEAD = b'HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: %d\r\n\r\n'
OWN_ANSWER = b'HTTP/1.1 200 OK\r\nx-id: own\r\ncontent-length: 3\r\n\r\nown'
# An extension as signers of chunks send it.
SIGNATURE = b';chunk-signature=%b' % (b'5' * 64)
FIELD = b'name: 0123456789\r\n'
LINE_END = b'\r\n'
TIMEOUT_S = 5
# Requests before an upload, four of which overlap.
MAX_TURNS = 1000
LAST_CHUNK = b'0\r\n'


def in_chunks(body: bytes, chunk_bytes: int, extension: bytes = b'') -> bytes:
    """Encode a body in chunks of a size."""
    parts = [
        b'%x%b\r\n%b\r\n' % (len(part), extension, part)
        for part in cut(body, chunk_bytes)
    ]
    return b''.join((*parts, LAST_CHUNK, LINE_END))


def cut(sent: bytes, part_bytes: int) -> Iterator[bytes]:
    """Cut bytes into parts of a size."""
    for start in range(0, len(sent), part_bytes):
        yield sent[start : start + part_bytes]


async def receive(sent: bytes, read_bytes: int) -> PipelinedConnection:
    """Read bytes on a new connection, in reads of a size."""
    caller = PipelinedConnection(LIMITS)
    for read in cut(sent, read_bytes):
        await caller.receive(read)
    return caller


async def read_body(caller: PipelinedConnection, name: str) -> bytes:
    """Return the body of a request, and answer it."""
    chunks = caller.requests[name].chunks()
    async with asyncio.timeout(TIMEOUT_S):
        body = b''.join([chunk async for chunk in chunks])
    await caller.finish(name)
    return body


# Guards against an upload that is reset, or refused as a head over its limit,
# because all chunks of a read but the last counted as framing.
@params(
    (1, b'', READ_BYTES),
    (1, SIGNATURE, READ_BYTES),
    (7, b'', 1024),
    (4096, b'', READ_BYTES),
    (4096, SIGNATURE, READ_BYTES),
    (4096, b'', 1000),
    (4096, b'', 100_000),
    (65_536, b'', READ_BYTES),
    (300_032, b'', READ_BYTES),
)
def test_chunks_of_any_size_are_accepted(chunk_bytes, extension, read_bytes):
    """A body in chunks arrives whole, whatever the chunks and the reads."""
    sent = CHUNKED_HEAD + in_chunks(BODY, chunk_bytes, extension)
    assert asyncio.run(_receive_upload(sent, read_bytes)) == BODY


async def _receive_upload(sent: bytes, read_bytes: int) -> bytes:
    caller = await receive(sent, read_bytes)
    body = await read_body(caller, '/chunked')
    assert caller.transport.written.startswith(b'HTTP/1.1 200 ')
    assert not caller.transport.ended
    caller.close()
    return body


# Guards against counting the end of a body, or pipelined requests, as the head
# of the upload behind them in the same read.
@params(
    (post('/first', BODY), READ_BYTES),
    (post('/first', BODY), 100_000),
    (CHUNKED_HEAD.replace(b'chunked ', b'first ') + in_chunks(BODY, 512), 9000),
    (b''.join(get(f'/{number}') for number in range(2000)), READ_BYTES),
)
def test_upload_behind_other_requests_is_accepted(before, read_bytes):
    """What came before an upload in the same read is not its head."""
    upload = CHUNKED_HEAD + in_chunks(BODY[:9000], 512)
    asyncio.run(_receive_behind(before, upload, read_bytes))


async def _receive_behind(
    before: bytes, upload: bytes, read_bytes: int
) -> None:
    caller = await receive(before + upload[:-5], read_bytes)
    for _ in range(MAX_TURNS):
        for name in caller.running:
            if name != '/chunked':
                await read_body(caller, name)
    await caller.receive(upload[-5:])
    assert await read_body(caller, '/chunked') == BODY[:9000]
    assert not caller.transport.ended
    caller.close()


# Guards against a head within its limit that is refused because it was cut, or
# because its body came in the same read.
@params(1, 100, 1000, READ_BYTES)
def test_head_at_the_limit_is_accepted(read_bytes):
    """Separators and white space don't count, however the head is cut."""
    field = b'x: ' + b'1' * 99 + LINE_END
    # The target has 1 byte, content-length 15, and each field 100.
    fields = field * ((LIMITS.max_head_bytes - 16) // 100)
    head = b'POST / HTTP/1.1\r\ncontent-length: 1\r\n%b\r\n' % fields
    assert len(head) > LIMITS.max_head_bytes
    asyncio.run(_receive_one(head + b'a', read_bytes))


async def _receive_one(sent: bytes, read_bytes: int) -> None:
    caller = await receive(sent, read_bytes)
    assert await read_body(caller, '/') == b'a'
    caller.close()


SLOW_START = CHUNKED_HEAD + b'3\r\nabc\r\n'


# Guards against framing without end, and against a refusal that no caller sees
# because the connection is reset.
@params(
    (b'GET /%b HTTP/1.1\r\n\r\n' % (b'a' * 20_000), 431),
    (b'GET / HTTP/1.1\r\n%b\r\n' % (FIELD * 2000), 431),
    (b'GET / HTTP/1.1\r\nname: %b' % (b'a' * 20_000), 431),
    (SLOW_START + b'3;%b\r\nabc\r\n' % (b'x' * 20_000), 431),
    (SLOW_START + b'0' * 20_000 + b'3\r\nabc\r\n', 431),
    (SLOW_START + LAST_CHUNK + FIELD * 2000, 431),
    (SLOW_START + LAST_CHUNK + b'name: %b' % (b'a' * 20_000), 431),
    (SLOW_START + b'not a size\r\n', 400),
)
def test_too_much_framing_is_refused(sent, status):
    """What is too large gets a status, in one read or in many."""
    for read_bytes in (100, 5000, READ_BYTES):
        asyncio.run(_receive_refused(sent, read_bytes, status))


async def _receive_refused(sent: bytes, read_bytes: int, status: int) -> None:
    caller = await receive(sent, read_bytes)
    assert caller.transport.written.startswith(b'HTTP/1.1 %d ' % status)
    assert caller.transport.written.count(b'HTTP/1.1') == 1
    assert b'connection: close' in caller.transport.written
    assert caller.transport.ended == 'half-closed'
    assert not caller.running
    caller.close()


# Guards against an upload over the limit that is reset instead of refused.
def test_too_large_body_in_chunks_is_refused():
    """A body in chunks over its limit gets a status."""
    asyncio.run(_refuse_large_body())


async def _refuse_large_body() -> None:
    caller = PipelinedConnection(LIMITS._replace(max_body_bytes=10_000))
    await caller.receive(CHUNKED_HEAD + in_chunks(BODY[:5000], 100)[:-5])
    assert caller.running == ['/chunked']
    await caller.receive(in_chunks(BODY[:5001], 100))
    assert caller.transport.written.startswith(b'HTTP/1.1 413 ')
    assert caller.transport.ended == 'half-closed'
    assert caller.requests['/chunked'].disconnected.done()
    caller.close()


# Guards against a second answer, which the caller would take for that of its
# next request.
def test_answered_upload_gets_no_second_answer():
    """An upload that was answered early and is too large is cut off."""
    asyncio.run(_exceed_after_answer())


async def _exceed_after_answer() -> None:
    caller = await receive(SLOW_START, READ_BYTES)
    await caller.finish('/chunked')
    await caller.receive(b'3;%b\r\nabc\r\n' % (b'x' * 20_000))
    assert caller.transport.written.count(b'HTTP/1.1') == 1
    assert caller.transport.ended == 'half-closed'
    caller.close()


# Guards against an answer that is cut off because chunks counted as framing.
@params((1, b''), (1, SIGNATURE), (4096, b''), (4096, SIGNATURE))
def test_answer_in_chunks_of_any_size_is_read(chunk_bytes, extension):
    """An answer in chunks arrives whole, whatever the chunks."""
    body = BODY * 2
    sent = ANSWER_HEAD + in_chunks(body, chunk_bytes, extension)
    # Without the last bytes in one read, and only framing in the next.
    for read_bytes in (READ_BYTES, len(sent) - 7, 5000):
        connection, transport = connection_with_request()
        for read in cut(sent, read_bytes):
            connection.data_received(read)
        assert not transport.is_closing()
        assert connection.is_answer_complete
        assert asyncio.run(connection.read_chunk()) == body


# Guards against losing an answer because a late, large answer to another
# request came before it.
def test_large_stray_answer_is_skipped():
    """A whole answer of 300 KB to another request is skipped."""
    connection, transport = _connection_with_id()
    connection.data_received(STRAY_HEAD % len(BODY) + BODY)
    connection.data_received(OWN_ANSWER)
    assert not transport.is_closing()
    assert asyncio.run(connection.read_chunk()) == b'own'


# Guards against a server that sends answers to other requests without end.
@params(STRAY_HEAD % 10_000_000 + BODY, (STRAY_HEAD % 9 + BODY[:9]) * 2000)
def test_endless_answers_to_other_requests_close(sent):
    """The connection to a server that sends only such answers is closed."""
    connection, transport = _connection_with_id()
    for _ in range(MAX_TURNS):
        if not transport.is_closing():
            connection.data_received(sent)
            sent = sent if sent.endswith(BODY[:9]) else BODY
    assert transport.is_closing()


def _connection_with_id() -> tuple[Connection, MagicMock]:
    connection, transport = connection_with_request()
    connection.request = OutgoingRequest(
        'GET', '/', (), echoed_header=(b'x-id', b'own')
    )
    return connection, transport
