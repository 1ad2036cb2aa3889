"""Fixtures of the client tests: a dispatcher with scripted results."""

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from result import Err, Ok

from carobmoor.client import Call, Dispatcher
from carobmoor.outcomes import Code, NotRun, Unknown
from carobmoor.routing import Candidate, RoutingState, replace_candidates
from carobmoor.transport import Address, AnswerHead, ConnectionPool

SERVICE = 'bookings'


class FakeAnswer:
    """An answer with a status that records whether it was abandoned."""

    def __init__(self, status: int) -> None:
        """Create an answer with a status and no headers."""
        self.head = AnswerHead(status, ())
        self.is_abandoned = False

    def abandon(self, reason: str) -> None:
        """Record that the answer was abandoned."""
        self.is_abandoned = True


class ScriptedDispatcher(Dispatcher):
    """Returns scripted results for its attempts, then repeats the last one."""

    def __init__(self, script: Sequence[Any], candidates: int = 6) -> None:
        """Start with a script and some candidates where nothing listens."""
        routing = RoutingState('', '')
        known = [
            Candidate(Address('10.0.0.1', number), '', '')
            for number in range(candidates)
        ]
        replace_candidates(routing, SERVICE, known)
        super().__init__(routing, ConnectionPool(), random.Random(7))
        self.script = list(script)
        self.sent: list[tuple[Call, Address]] = []
        self.cancelled: list[Address] = []

    async def send_attempt(self, call: Call, owner: Address, deadline_s: float):
        """Return the next scripted result; wait until cancelled on `None`."""
        entry = self.script[min(len(self.sent), len(self.script) - 1)]
        self.sent.append((call, owner))
        if entry is not None:
            return entry
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled.append(owner)
            raise


def good():
    """Return an answer with status 200."""
    return Ok(FakeAnswer(200))


def failed():
    """Return an answer with status 500."""
    return Ok(FakeAnswer(500))


def refused(code: Code, step: str = 'admission'):
    """Return a "not run" failure with a code."""
    return Err(NotRun(code, step, '10.0.0.1:1'))


def lost():
    """Return an unknown outcome: the request was lost after it was sent."""
    return Err(Unknown('awaiting_answer', '10.0.0.1:1'))


def asynchronous(
    test: Callable[..., Awaitable[None]],
) -> Callable[..., None]:
    """Run an asynchronous test function in its own event loop."""

    @functools.wraps(test)
    def run(*arguments: Any) -> None:
        asyncio.run(test(*arguments))

    return run
