"""Starting work only while the backend server works at its usual pace.

How long a request takes is decided by the pace of the server at its start.
A pace changes many times a second, so a request that would start on a slow
server is sent elsewhere, or waits until the pace has changed.
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

_MS_PER_S: Final = 1000
_USUAL_PERCENT: Final = 100
# A pace above this counts as slow.
_SLOW_PERCENT: Final = 140
# A pace that was told so lately need not be asked for.
_FRESH_S: Final = 0.008
# Between two questions while a request waits.
_POLL_S: Final = 0.012
# A pace that stays slow for so many usual holds is taken as lasting.
_LASTING_HOLDS: Final = 3
_TIMEOUT_S: Final = 0.25
_log = logger_for('pace')


class Question(NamedTuple):
    """Whom to ask for the load, and where the answer carries it."""

    pool: ConnectionPool
    address: Address
    load_header: bytes
    # The health path; `None` while it is unknown.
    path: Callable[[], str | None]


class PaceWatch:
    """Asks the backend server for its pace, once at a time."""

    def __init__(self, backend: Backend, question: Question) -> None:
        """Start without a question under way."""
        self._backend = backend
        self._question = question
        self._asking: asyncio.Task[None] | None = None

    async def refresh(self, fresh_s: float = _FRESH_S) -> None:
        """Learn the pace, unless it was told within `fresh_s`."""
        age_s = time.monotonic() - self._backend.pace_at_s
        if age_s <= fresh_s:
            return
        if self._asking is None:
            self._asking = asyncio.create_task(self._ask())
        await asyncio.shield(self._asking)

    async def is_slow(self) -> bool:
        """Tell whether work that starts now would take much longer."""
        backend = self._backend
        if not backend.tells_pace:
            return False
        await self.refresh()
        if backend.pace_percent <= _SLOW_PERCENT:
            return False
        slow_ms = (time.monotonic() - backend.pace_changed_at_s) * _MS_PER_S
        return slow_ms < _LASTING_HOLDS * backend.pace_hold_ms

    async def wait_usual(self, work_ms: float, latest_s: float) -> None:
        """Wait while waiting is likely to be shorter than a slow start."""
        backend = self._backend
        slowness = backend.pace_percent / _USUAL_PERCENT
        gain_s = work_ms * (slowness - 1) / 2 / _MS_PER_S
        until_s = min(latest_s, time.monotonic() + gain_s)
        while time.monotonic() + _POLL_S < until_s:
            await asyncio.sleep(_POLL_S)
            if not await self.is_slow():
                return

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
            _log.debug('Pace not told.', step=failure.step.value)
            # Not asked again at once.
            self._backend.pace_at_s = now_s
            return
        headers = asked.ok_value.head.headers
        told = read_load(header_of(headers, question.load_header))
        if told is not None:
            self._backend.note_pace(told.pace_percent, now_s)
