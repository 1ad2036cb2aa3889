"""Failed calls report their step, and never a partial or foreign answer.

A wrong step could make a caller retry a request that has run. A connection
reused with unread data would give a request the answer of another.
"""

import asyncio
import contextlib as context
import os
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import NamedTuple

from nose2.tools import params
from result import Result

from carobmoor.transport import (
    Address,
    AnswerIncomplete,
    CallFailure,
    ConnectionPool,
    JsonAnswer,
    OutgoingRequest,
    ProgressFloor,
    Step,
    proves_not_run,
    request_json,
    send,
)

IP = '127.0.0.1'
GET = OutgoingRequest('GET', '/x', ())
HEAD = OutgoingRequest('HEAD', '/x', ())
POST = OutgoingRequest('POST', '/x', (), b'body')
TIMEOUT_S = 5
SHORT_TIMEOUT_S = 0.1
MEBIBYTE = 1_048_576
SLOW_CHUNKS = (b'x',) * 4000

Write = Callable[[bytes], None]
Script = Sequence[bytes | None]
AnswerFunction = Callable[[asyncio.StreamReader, Write], Awaitable[None]]


class Case(NamedTuple):
    """A scripted answer and the expected outcome of the call."""

    name: str
    request: OutgoingRequest
    # Data to write in order; `None` waits until the client closes.
    script: Script
    # The step of the failure, or the complete body.
    outcome: Step | bytes
    timeout_s: float = TIMEOUT_S


CASES = (
    Case('closed before the head', GET, (), Step.AWAITING_ANSWER),
    Case(
        'closed within the head',
        GET,
        (b'HTTP/1.1 200 OK\r\ncontent-le',),
        Step.AWAITING_ANSWER,
    ),
    Case(
        'malformed head', GET, (b'no http\r\n\r\n', None), Step.AWAITING_ANSWER
    ),
    Case(
        'no head before the timeout',
        GET,
        (None,),
        Step.AWAITING_ANSWER,
        SHORT_TIMEOUT_S,
    ),
    Case(
        'two content-length headers',
        GET,
        (
            b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n'
            b'content-length: 2\r\n\r\nab',
        ),
        Step.AWAITING_ANSWER,
    ),
    Case(
        'head too large',
        GET,
        (b'HTTP/1.1 200 OK\r\nx: ', *((b'y' * MEBIBYTE,) * 2), None),
        Step.AWAITING_ANSWER,
    ),
    Case(
        'switched protocols',
        GET,
        (
            b'HTTP/1.1 101 Switching\r\nupgrade: x\r\n'
            b'connection: upgrade\r\n\r\nabc',
            None,
        ),
        Step.AWAITING_ANSWER,
    ),
    Case(
        'truncated body',
        GET,
        (b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort',),
        Step.ANSWER_BODY,
    ),
    Case(
        'truncated chunked body',
        GET,
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
            b'5\r\nshort\r\n',
        ),
        Step.ANSWER_BODY,
    ),
    Case(
        'malformed chunk',
        GET,
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
            b'xyz',
            None,
        ),
        Step.ANSWER_BODY,
    ),
    Case(
        'no length, ended by the close',
        GET,
        (b'HTTP/1.1 200 OK\r\n\r\nall there is',),
        b'all there is',
    ),
    Case(
        'stalled body',
        GET,
        (b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort', None),
        Step.ANSWER_BODY,
        SHORT_TIMEOUT_S,
    ),
    Case(
        'complete by content-length',
        GET,
        (b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole', None),
        b'whole',
    ),
    Case(
        'complete in chunks with a trailer',
        GET,
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
            b'2\r\nwh\r\n3\r\nole\r\n0\r\nx-late: 1\r\n\r\n',
            None,
        ),
        b'whole',
    ),
    Case(
        'informational answers first',
        POST,
        (
            b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nx: y\r\n\r\n',
            b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole',
            None,
        ),
        b'whole',
    ),
    Case(
        'HEAD with a length',
        HEAD,
        (b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n', None),
        b'',
    ),
    Case(
        'HEAD without a length', HEAD, (b'HTTP/1.1 200 OK\r\n\r\n', None), b''
    ),
    Case(
        'HEAD in chunks',
        HEAD,
        (b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', None),
        b'',
    ),
    Case('no content', GET, (b'HTTP/1.1 204 None\r\n\r\n', None), b''),
    Case(
        'not modified with a length',
        GET,
        (b'HTTP/1.1 304 Same\r\ncontent-length: 5\r\n\r\n', None),
        b'',
    ),
    Case(
        'second answer in the same data',
        GET,
        (
            b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'
            b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother',
            None,
        ),
        b'whole',
    ),
)


@params(*((case,) for case in CASES))
def test_scripted_answer_gives_expected_outcome(case):
    """A call returns the complete body or the step of its failure."""
    called = asyncio.run(_call_scripted(case))
    if isinstance(case.outcome, bytes):
        assert called.unwrap().body == case.outcome, (case.name, called)
        names = [name for name, _ in called.unwrap().head.headers]
        assert b'x-late' not in names
        return
    failure = called.unwrap_err()
    assert failure.step is case.outcome, (case.name, failure)
    assert not proves_not_run(failure)
    assert failure.reason


def test_refused_connection_proves_not_run():
    """A refused connection proves that the request did not run."""

    async def run() -> Result[JsonAnswer, CallFailure]:
        async with serving(scripted(())) as closed_address:
            address = closed_address
        return await request_json(ConnectionPool(), address, GET, TIMEOUT_S)

    failure = asyncio.run(run()).unwrap_err()
    assert failure.step is Step.CONNECT
    assert proves_not_run(failure)


@params(
    ('/x\r\nHost: other', ()),
    ('/x', ((b'x', b'y\r\nz: 1'),)),
    ('/x', ((b'content-length', b'1'),)),
    ('/x', ((b'transfer-encoding', b'chunked'),)),
)
def test_malformed_request_is_not_sent(target, headers):
    """A request that a peer could misparse is never written."""
    request = OutgoingRequest('POST', target, headers, b'body')
    case = Case('malformed', request, (None,), b'')
    failure = asyncio.run(_call_scripted(case)).unwrap_err()
    assert failure.step is Step.BEFORE_FIRST_BYTE


def test_transfer_below_progress_floor_fails():
    """A transfer below its progress floor fails, although bytes arrive."""
    head = b'HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n'

    async def run() -> Sequence[bytes]:
        slow_answer = scripted((head, *SLOW_CHUNKS), 0.02)
        async with serving(slow_answer) as address:
            sent = await send(ConnectionPool(), address, GET, TIMEOUT_S)
            floor = ProgressFloor(SHORT_TIMEOUT_S, 1000)
            return [chunk async for chunk in sent.unwrap().chunks(floor)]

    try:
        asyncio.run(run())
    except AnswerIncomplete as error:
        assert error.failure.step is Step.ANSWER_BODY
        assert error.failure.reason == 'the transfer stalled'
    else:
        raise AssertionError('the transfer below the floor was not ended')


@params(b'', b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate')
def test_late_answer_is_not_used_for_next_request(late):
    """After a timeout the next request gets its own answer."""
    answer_bytes = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'

    async def run() -> Sequence[Result[JsonAnswer, CallFailure]]:
        pool = ConnectionPool()
        waiting = asyncio.Event()
        served_calls = 0

        async def answer(_: asyncio.StreamReader, write: Write) -> None:
            nonlocal served_calls
            served_calls += 1
            if served_calls == 1:
                await waiting.wait()
                write(late)
            else:
                write(answer_bytes)

        async with serving(answer) as address:
            first = await request_json(pool, address, GET, SHORT_TIMEOUT_S)
            waiting.set()
            second = await request_json(pool, address, GET, TIMEOUT_S)
        return (first, second)

    first, second = asyncio.run(run())
    assert first.unwrap_err().step is Step.AWAITING_ANSWER, first
    assert second.unwrap().body == b'whole'


@params(b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother', b'')
def test_data_or_close_while_idle_prevents_reuse(surplus):
    """Data or a close on an idle connection does not affect the next call."""
    answer_bytes = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'

    async def run() -> Sequence[Result[JsonAnswer, CallFailure]]:
        pool = ConnectionPool()
        writers: list[asyncio.StreamWriter] = []

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            writers.append(writer)
            disconnects = (EOFError, ConnectionError, asyncio.CancelledError)
            with context.suppress(*disconnects):
                while await reader.readuntil(b'\r\n\r\n'):
                    writer.write(answer_bytes)

        server = await asyncio.start_server(serve, IP, 0)
        address = Address(*server.sockets[0].getsockname())
        first = await request_json(pool, address, GET, TIMEOUT_S)
        # Written directly to the socket, so that the data is there before the
        # event loop can read it.
        socket = writers[0].get_extra_info('socket')
        os.write(socket.fileno(), surplus)
        if not surplus:
            socket.shutdown(1)
        second = await request_json(pool, address, GET, TIMEOUT_S)
        pool.close()
        server.close()
        return (first, second)

    for called in asyncio.run(run()):
        assert called.unwrap().body == b'whole'


def test_early_answer_closes_connection():
    """An answer to a partly sent request closes the connection.

    The rest of the body would otherwise run into the next request.
    """
    refusal = b'HTTP/1.1 413 Large\r\ncontent-length: 2\r\n\r\nno'
    large = OutgoingRequest('POST', '/x', (), bytes(32 * MEBIBYTE))

    async def run() -> Result[JsonAnswer, CallFailure]:
        pool = ConnectionPool()
        connections = 0

        async def answer(reader: asyncio.StreamReader, write: Write) -> None:
            nonlocal connections
            connections += 1
            write(refusal)

        async with serving(answer) as address:
            called = await request_json(pool, address, large, TIMEOUT_S)
            next_called = await request_json(pool, address, GET, TIMEOUT_S)
        assert connections == 2
        assert next_called.unwrap().body == b'no'
        return called

    assert asyncio.run(run()).unwrap().head.status == 413


@params(1, 9)
def test_streamed_body_of_wrong_length_fails(count):
    """A streamed body that differs from its declared length fails the call."""

    async def chunks() -> AsyncIterator[bytes]:
        for _ in range(count):
            yield b'x'

    headers = ((b'content-length', b'4'),)
    request = OutgoingRequest('POST', '/x', headers, b'', chunks())
    case = Case('wrong length', request, (None,), b'')
    failure = asyncio.run(_call_scripted(case)).unwrap_err()
    assert failure.step is Step.REQUEST_BODY
    assert 'length' in failure.reason


def test_unfinished_read_closes_connection():
    """A reader that stops before the end closes the connection."""
    head = b'HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nabc'

    async def run() -> bool:
        closed = asyncio.Event()

        async def answer(reader: asyncio.StreamReader, write: Write) -> None:
            write(head)
            await reader.read()
            closed.set()

        async with serving(answer) as address:
            sent = await send(ConnectionPool(), address, GET, TIMEOUT_S)
            assert await anext(sent.unwrap().chunks()) == b'abc'
            async with asyncio.timeout(TIMEOUT_S):
                await closed.wait()
        return closed.is_set()

    assert asyncio.run(run())


@context.asynccontextmanager
async def serving(answer: AnswerFunction) -> AsyncIterator[Address]:
    """Serve one request per connection with a function on a free port."""

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        disconnects = (asyncio.IncompleteReadError, ConnectionError)
        with context.suppress(*disconnects, asyncio.CancelledError):
            await reader.readuntil(b'\r\n\r\n')
            await answer(reader, writer.write)
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, IP, 0)
    yield Address(*server.sockets[0].getsockname())
    server.close()


def scripted(script: Script, pause_s: float = 0) -> AnswerFunction:
    """Return a function that writes the parts of a script in order."""

    async def answer(reader: asyncio.StreamReader, write: Write) -> None:
        for part in script:
            if part is None:
                await reader.read()
                return
            write(part)
            await asyncio.sleep(pause_s)

    return answer


async def _call_scripted(case: Case) -> Result[JsonAnswer, CallFailure]:
    async with serving(scripted(case.script)) as address:
        pool = ConnectionPool()
        called = await request_json(pool, address, case.request, case.timeout_s)
        pool.close()
    return called
