"""Fixtures of the client's tests: a dispatcher that sends nothing."""

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from result import Err, Ok

from carobmoor.client import Call, Dispatcher
from carobmoor.outcomes import Code, NotRun, Unknown
from carobmoor.routing import Candidate, RoutingState, keep_candidates
from carobmoor.transport import Address, AnswerHead, ConnectionPool

SERVICE = 'bookings'


class FakeAnswer:
    """An answer of a status, that notes when it is abandoned."""

    def __init__(self, status: int) -> None:
        """Answer with a status."""
        self.head = AnswerHead(status, ())
        self.is_abandoned = False

    def abandon(self, reason: str) -> None:
        """Note that nobody reads the answer."""
        self.is_abandoned = True


class ScriptedDispatcher(Dispatcher):
    """Ends each attempt as the script says, the last entry for all others."""

    def __init__(self, script: Sequence[Any], candidates: int = 6) -> None:
        """Know some candidates, none of them a real one."""
        routing = RoutingState('', '')
        known = [
            Candidate(Address('10.0.0.1', number), '', '')
            for number in range(candidates)
        ]
        keep_candidates(routing, SERVICE, known)
        super().__init__(routing, ConnectionPool(), random.Random(7))
        self.script = list(script)
        self.sent: list[tuple[Call, Address]] = []
        self.cancelled: list[Address] = []

    async def send_to(self, call: Call, owner: Address, deadline_s: float):
        """Play the next entry; `None` waits until cancelled."""
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
    """Answer well."""
    return Ok(FakeAnswer(200))


def failed():
    """Answer with a server's error."""
    return Ok(FakeAnswer(500))


def refused(code: Code, step: str = 'admission'):
    """Refuse with a code."""
    return Err(NotRun(code, step, '10.0.0.1:1'))


def lost():
    """Lose the request after its first byte."""
    return Err(Unknown('awaiting_answer', '10.0.0.1:1'))


def asynchronous(
    test: Callable[..., Awaitable[None]],
) -> Callable[..., None]:
    """Run an asynchronous test function in a loop of its own."""

    @functools.wraps(test)
    def run(*arguments: Any) -> None:
        asyncio.run(test(*arguments))

    return run
