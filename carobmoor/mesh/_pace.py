"""Starts requests only while the backend server is not slowed down.

The slowdown of the server when a request starts decides how long the request
takes. It changes many times a second, so a request that would start on a slow
server is sent elsewhere, or waits until the server is fast again.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err

from carobmoor.mesh._backend import Backend, read_load
from carobmoor.telemetry import logger_for
from carobmoor.transport import (
    Address,
    ConnectionPool,
    OutgoingRequest,
    header_of,
    request_json,
)

_USUAL_PERCENT: Final = 100
# A reported slowdown is used without a new request for this long.
_FRESH_S: Final = 0.008
# Interval of the checks while a request waits.
_POLL_S: Final = 0.012
_TIMEOUT_S: Final = 0.25
_log = logger_for('pace')


class Question(NamedTuple):
    """Where to ask for the load, and the header that carries it."""

    pool: ConnectionPool
    address: Address
    load_header: bytes
    # Returns the health path, or `None` while it is unknown.
    path: Callable[[], str | None]


class Patience(NamedTuple):
    """How long a request may wait for a slowdown to pass."""

    # When it must have started, on the monotonic clock.
    latest_s: float
    # Typical service time without slowdown.
    work_s: float


class PaceWatch:
    """Asks the backend server for its slowdown, one request at a time."""

    def __init__(self, backend: Backend, question: Question) -> None:
        """Start without a request in flight."""
        self._backend = backend
        self._question = question
        self._asking: asyncio.Task[None] | None = None

    async def refresh(self, fresh_s: float = _FRESH_S) -> None:
        """Ask for the slowdown, unless it is known and at most `fresh_s` old.

        Concurrent calls wait for the same request.
        """
        age_s = time.monotonic() - self._backend.pace_at_s
        if age_s <= fresh_s:
            return
        if self._asking is None:
            self._asking = asyncio.create_task(self._ask())
        await asyncio.shield(self._asking)

    async def is_slow(self) -> bool:
        """Return whether a request that starts now would take much longer.

        Always false for a server that does not report its slowdown.
        """
        backend = self._backend
        if not backend.tells_pace:
            return False
        await self.refresh()
        return backend.is_slow

    async def wait_usual(self, patience: Patience) -> None:
        """Wait as long as waiting is likely to cost less than a slow start."""
        while True:
            if not await self.wants_wait(patience):
                break
            await asyncio.sleep(_POLL_S)

    async def wants_wait(self, patience: Patience) -> bool:
        """Return whether a request should wait before it starts."""
        return await self.is_slow() and self._is_worth_waiting(patience)

    def _is_worth_waiting(self, patience: Patience) -> bool:
        backend = self._backend
        lost_percent = backend.pace_percent - backend.base_percent
        lost_s = patience.work_s * lost_percent / _USUAL_PERCENT
        if lost_s < backend.slow_spell_s:
            return False
        return time.monotonic() + _POLL_S < patience.latest_s

    async def _ask(self) -> None:
        try:
            await self._ask_once()
        finally:
            self._asking = None

    async def _ask_once(self) -> None:
        question = self._question
        path = question.path()
        if path is None:
            return
        asked = await request_json(
            question.pool,
            question.address,
            OutgoingRequest('GET', path, ()),
            _TIMEOUT_S,
        )
        now_s = time.monotonic()
        if isinstance(asked, Err):
            failure = asked.err_value
            _log.debug('Slowdown request failed.', step=failure.step.value)
            # Counts as fresh, so that the server is not asked again at once.
            self._backend.pace_at_s = now_s
            return
        headers = asked.ok_value.head.headers
        told = read_load(header_of(headers, question.load_header))
        if told is not None:
            self._backend.note_pace(told.pace_percent, now_s)
