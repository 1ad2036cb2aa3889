"""Tests of which requests are marked when a backend server crashes."""

import asyncio
import random

from carobmoor.outcomes import Code
from carobmoor.quarantine import (
    Neighbours,
    Quarantine,
    QuarantineState,
    Spread,
    Suspect,
    fingerprint_of,
    merge,
)
from carobmoor.quarantine._answered import AnsweredLately
from carobmoor.transport import Address
from tests.fixtures import asynchronous

HERE = '127.0.0.1:7101'
PATIENCE_S = 60


def suspect(name):
    """Return a request that differs by its route."""
    return Suspect('bookings', 'POST', f'/{name}', 'depot', '', b'', 0)


async def nobody_answers(node, body):
    """Simulate a network on which no other node answers."""


class Watched:
    """A quarantine and a simulated backend server that can be stopped."""

    async def __aenter__(self):
        """Listen as the backend server."""
        self.server = await asyncio.start_server(
            lambda _, writer: writer.close(),
            '127.0.0.1',
            0,
        )
        port = self.server.sockets[0].getsockname()[1]
        spread = Spread(
            QuarantineState(),
            Neighbours(HERE, lambda: (HERE,)),
            nobody_answers,
            random.Random(1),
        )
        backend_server = Address('127.0.0.1', port)
        self.quarantine = Quarantine(HERE, backend_server, spread)
        return self

    async def __aexit__(self, *_):
        """Stop listening."""
        await self.die()

    async def die(self):
        """Stop listening, so that connections are refused."""
        self.server.close()
        await self.server.wait_closed()

    async def start(self, name):
        """Admit a request and record its start."""
        entered = await self.quarantine.enter(suspect(name), PATIENCE_S)
        permit = entered.unwrap()
        self.quarantine.crashes.start(permit)
        return permit

    def crashes(self, name):
        """Return the number of uncleared crashes of a request."""
        mark = self.quarantine.state.marks.get(fingerprint_of(suspect(name)))
        return 0 if mark is None else len(mark.open_crashes)


@asynchronous
async def test_all_in_flight_are_marked_once():
    """A crash marks each request in flight once.

    Several lost connections report the same crash, at once or later.
    """
    async with Watched() as watched:
        permits = [await watched.start(name) for name in 'abc']
        await watched.die()
        await watched.quarantine.crashes.lost(permits[0])
        await asyncio.gather(*map(watched.quarantine.crashes.lost, permits[1:]))
        assert [watched.crashes(name) for name in 'abc'] == [1, 1, 1]


@asynchronous
async def test_one_lost_connection_is_no_crash():
    """One connection lost while the backend server listens marks nothing."""
    async with Watched() as watched:
        permit = await watched.start('a')
        await watched.quarantine.crashes.lost(permit)
        assert watched.crashes('a') == 0


@asynchronous
async def test_several_lost_at_once_are_a_crash():
    """Two connections lost at once are a crash even if the server listens.

    The backend server may have restarted before it was probed.
    """
    async with Watched() as watched:
        permits = [await watched.start(name) for name in 'ab']
        idle = await watched.start('idle')
        await asyncio.gather(*map(watched.quarantine.crashes.lost, permits))
        watched.quarantine.leave(idle)
        assert watched.crashes('a') == watched.crashes('b') == 1
        assert watched.crashes('idle') == 0


@asynchronous
async def test_known_suspect_takes_the_blame():
    """Only a marked request is blamed for a crash, not others in flight."""
    async with Watched() as watched:
        first = await watched.start('bad')
        await watched.die()
        await watched.quarantine.crashes.lost(first)
        watched.quarantine.leave(first)
        again = await watched.start('bad')
        beside = await watched.start('good')
        await watched.quarantine.crashes.lost(again)
        await watched.quarantine.crashes.lost(beside)
        watched.quarantine.leave(again)
        assert watched.crashes('bad') == 2
        assert watched.crashes('good') == 0
        refused = await watched.quarantine.enter(suspect('bad'), PATIENCE_S)
        assert refused.unwrap_err().code is Code.QUARANTINED


@asynchronous
async def test_marked_run_one_at_a_time():
    """Marked requests run one at a time; success clears only its own mark."""
    async with Watched() as watched:
        permits = [await watched.start(name) for name in 'ab']
        await watched.die()
        await asyncio.gather(*map(watched.quarantine.crashes.lost, permits))
        for permit in permits:
            watched.quarantine.leave(permit)
        alone = await watched.start('a')
        other = asyncio.create_task(watched.start('b'))
        late = await watched.quarantine.enter(suspect('b'), 0.01)
        assert late.unwrap_err().code is Code.QUARANTINED
        assert not other.done()
        await watched.quarantine.answered(alone)
        watched.quarantine.leave(alone)
        watched.quarantine.leave(await other)
        assert watched.crashes('a') == 0
        assert watched.crashes('b') == 1


@asynchronous
async def test_marked_while_queued_is_refused():
    """A request that was marked while it waited for a slot is refused."""
    async with Watched() as watched:
        queued = await watched.start('a')
        other = await watched.start('b')
        assert watched.quarantine.recheck(queued) is None
        await watched.die()
        await watched.quarantine.crashes.lost(other)
        refused = watched.quarantine.recheck(queued)
        assert refused.code is Code.QUARANTINED


@asynchronous
async def test_unreadable_marks_change_nothing():
    """Malformed messages add no marks."""
    async with Watched() as watched:
        for body in (b'', b'{}', b'[1]', b'[["x"]]'):
            watched.quarantine.spread.hear(body)
        assert not watched.quarantine.state.marks
        assert not merge(watched.quarantine.state, (), 0)


@asynchronous
async def test_caller_that_left_is_blamed_too():
    """A request whose caller has gone may still run, and is marked.

    Requests that were answered or never reached the server are not.
    """
    async with Watched() as watched:
        gone = await watched.start('gone')
        answered = await watched.start('answered')
        refused = await watched.start('refused')
        await watched.quarantine.answered(answered)
        watched.quarantine.crashes.end(refused)
        for permit in (gone, answered, refused):
            watched.quarantine.leave(permit)
        last = await watched.start('last')
        await watched.die()
        await watched.quarantine.crashes.lost(last)
        names = ('gone', 'answered', 'refused', 'last')
        assert [watched.crashes(name) for name in names] == [1, 0, 0, 1]


@asynchronous
async def test_what_was_answered_lately_is_innocent():
    """A crash does not mark a request that was recently answered.

    Otherwise a frequent request is blamed for the crashes of others.
    """
    async with Watched() as watched:
        frequent = await watched.start('frequent')
        await watched.quarantine.answered(frequent)
        watched.quarantine.leave(frequent)
        again = await watched.start('frequent')
        other = await watched.start('other')
        await watched.die()
        await asyncio.gather(
            watched.quarantine.crashes.lost(again),
            watched.quarantine.crashes.lost(other),
        )
        assert watched.crashes('frequent') == 0
        assert watched.crashes('other') == 1


def test_answers_are_forgotten():
    """Answers expire after 30 s and are evicted beyond a bound."""
    answered = AnsweredLately()
    answered.note('a', 0)
    assert answered.has('a', 29)
    assert not answered.has('a', 31)
    for number in range(5000):
        answered.note(str(number), 1)
    assert not answered.has('a', 1)
    assert answered.has('4999', 1)
