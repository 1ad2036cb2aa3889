"""Pipelined requests are served together and answered in order."""

import asyncio
import functools
from collections.abc import Awaitable, Callable

from nose2.tools import params

from carobmoor.transport.tests.fixtures import (
    LIMITS,
    PipelinedConnection,
    answer,
    get,
    post,
)

TOO_LARGE = b'POST /x HTTP/1.1\r\ncontent-length: 10000000000\r\n\r\n'
CLOSE = 'connection: close\r\n'
Scenario = Callable[[PipelinedConnection], Awaitable[None]]


def play(scenario: Scenario) -> Callable[[], None]:
    """Turn a scenario on one connection into a test."""

    async def run() -> None:
        caller = PipelinedConnection()
        try:
            await scenario(caller)
        finally:
            caller.close()

    @functools.wraps(scenario)
    def test() -> None:
        asyncio.run(run())

    del test.__wrapped__
    return test


@play
async def test_idempotent_requests_keep_order(caller):
    """Requests behind a slow one run, and their answers wait for its own."""
    await caller.receive(get('/1') + get('/2') + get('/3'))
    assert caller.started == ['/1', '/2', '/3']
    await caller.finish('/3')
    await caller.finish('/2')
    assert not caller.transport.written
    await caller.finish('/1')
    assert caller.transport.written == answer('/1') + answer('/2') + answer(
        '/3'
    )
    assert not caller.listener.held.total_bytes


@play
async def test_request_that_may_run_once_is_alone(caller):
    """It starts after all answers before it, and nothing starts beside it."""
    await caller.receive(get('/1') + get('/2') + post('/3') + get('/4'))
    assert caller.running == ['/1', '/2']
    await caller.finish('/2')
    assert caller.running == ['/1']
    await caller.finish('/1')
    assert caller.running == ['/3']
    await caller.finish('/3')
    assert caller.running == ['/4']


@play
async def test_request_with_arriving_body_waits(caller):
    """A request whose body is incomplete waits for the answers before it."""
    arriving = b'GET /2 HTTP/1.1\r\ncontent-length: 4\r\n\r\nbo'
    await caller.receive(get('/1') + arriving)
    assert caller.running == ['/1']
    await caller.receive(b'dy' + get('/3'))
    assert caller.running == ['/1', '/2', '/3']


@play
async def test_requests_in_progress_are_limited(caller):
    """Beyond the limit, each answer that was sent starts one request."""
    sent = [f'/{number}' for number in range(7)]
    await caller.receive(b''.join(map(get, sent)))
    assert caller.started == sent[: LIMITS.max_in_progress]
    await caller.finish('/1')
    assert caller.started == sent[: LIMITS.max_in_progress]
    await caller.finish('/0')
    assert caller.started == sent[: LIMITS.max_in_progress + 2]


@params('max_held_bytes', 'max_held_total_bytes')
def test_held_answers_are_limited(limit):
    """Full buffers start no further request, and no answer is dropped."""

    async def run() -> None:
        caller = PipelinedConnection(LIMITS._replace(**{limit: 1000}))
        await caller.receive(get('/1') + get('/2'))
        await caller.finish('/2', bytes(1000))
        await caller.receive(get('/3'))
        assert caller.running == ['/1']
        await caller.finish('/1')
        assert caller.running == ['/3']
        assert caller.transport.written == answer('/1') + answer(
            '/2', body=bytes(1000)
        )
        caller.close()

    asyncio.run(run())


@play
async def test_reading_stops_while_much_waits(caller):
    """Reading pauses while many requests wait, and resumes when they start."""
    large = get('/2', f'x-padding: {"x" * 30_000}\r\n')
    await caller.receive(post('/1') + large * 3)
    assert not caller.transport.is_reading
    await caller.finish('/1')
    assert caller.transport.is_reading


@play
async def test_departure_while_reading_is_paused(caller):
    """A caller that leaves is noticed although nothing is read from it."""
    large = get('/2', f'x-padding: {"x" * 30_000}\r\n')
    await caller.receive(post('/1') + large * 3)
    caller.transport.peer_socket.close()
    await asyncio.sleep(0.3)
    assert caller.transport.ended == 'reset'


@play
async def test_close_belongs_to_its_request(caller):
    """The answer of the closing request closes; nothing behind it starts."""
    await caller.receive(get('/1') + get('/2', CLOSE) + get('/3'))
    assert caller.started == ['/1', '/2']
    await caller.finish('/2')
    assert not caller.transport.ended
    await caller.finish('/1')
    assert caller.transport.written == answer('/1') + answer('/2', CLOSE)
    assert caller.transport.ended == 'half-closed'
    await caller.receive(get('/4'))
    assert caller.started == ['/1', '/2']


@params(
    (b'NO SENSE\r\n\r\n', b'HTTP/1.1 400 '),
    (get('/x', f'a: {"a" * 40_000}\r\n'), b'HTTP/1.1 431 '),
    (TOO_LARGE, b'HTTP/1.1 413 '),
    (get('/x', 'upgrade: x\r\nconnection: upgrade\r\n'), b'HTTP/1.1 400 '),
)
def test_refusal_keeps_its_place(bad, status):
    """Requests before a malformed or oversized one are answered first."""

    async def run() -> None:
        caller = PipelinedConnection()
        await caller.receive(get('/1') + get('/2') + bad)
        assert caller.started == ['/1', '/2']
        await caller.finish('/2')
        assert not caller.transport.written
        await caller.finish('/1')
        good = answer('/1') + answer('/2')
        assert caller.transport.written.startswith(good + status)
        assert caller.transport.ended == 'half-closed'
        caller.close()

    asyncio.run(run())


@play
async def test_departure_ends_all_requests(caller):
    """Requests in progress see the departure; waiting ones never start."""
    await caller.receive(get('/1') + get('/2') + post('/3'))
    await caller.finish('/2')
    await caller.disconnect()
    assert caller.requests['/1'].disconnected.done()
    assert caller.started == ['/1', '/2']
    assert not caller.listener.held.total_bytes


@play
async def test_stop_answers_what_was_started(caller):
    """At a stop, started requests are answered; the last answer closes."""
    await caller.receive(get('/1') + get('/2') + post('/3'))
    caller.limits = LIMITS._replace(is_closing=True)
    await caller.receive(get('/4'))
    await caller.finish('/2')
    await caller.finish('/1')
    assert caller.started == ['/1', '/2']
    assert caller.transport.written == answer('/1') + answer('/2', CLOSE)
    assert caller.transport.ended == 'half-closed'


@play
async def test_held_answers_at_a_stop(caller):
    """An answer held since before the stop is followed by a closing one."""
    await caller.receive(get('/1') + get('/2') + post('/3'))
    await caller.finish('/2')
    caller.limits = LIMITS._replace(is_closing=True)
    await caller.finish('/1')
    await caller.finish('/3')
    assert caller.started == ['/1', '/2', '/3']
    assert caller.transport.written.endswith(answer('/3', CLOSE))
    assert caller.transport.ended == 'half-closed'


@play
async def test_broken_answer_is_followed_by_nothing(caller):
    """Answers before a broken one are whole, and none comes after it."""
    await caller.receive(get('/1') + get('/2') + get('/3'))
    await caller.finish('/3')
    await caller.break_off('/2')
    await caller.finish('/1')
    written = caller.transport.written
    assert written.startswith(answer('/1'))
    assert written.endswith(b'content-length: 100\r\n\r\npart')
    assert caller.transport.ended == 'half-closed'


@play
async def test_answer_after_departure_at_a_stop(caller):
    """A handler that answers a caller who has gone meets no error."""
    await caller.receive(get('/1') + get('/2'))
    caller.limits = LIMITS._replace(is_closing=True)
    await caller.disconnect()
    caller.requests['/1'].respond(200, (), b'late')
    assert not caller.transport.written
