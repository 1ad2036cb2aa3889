"""Declines or delays requests while the backend server is slowed down.

The slowdown of the server when a request starts decides how long the request
takes. It changes many times a second, so a request that would start on a slow
server is sent elsewhere, or waits if that is likely to cost less.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err

from carobmoor.mesh._backend import Backend
from carobmoor.mesh._server_reports import AskedServer
from carobmoor.telemetry import logger_for
from carobmoor.transport import (
    Address,
    AnswerHead,
    ConnectionPool,
    OutgoingRequest,
    request_json,
)

_TYPICAL_PERCENT: Final = 100
# A reported slowdown is used without a new request for this long.
_FRESH_S: Final = 0.008
# Interval of the checks while a request waits.
_POLL_S: Final = 0.012
_TIMEOUT_S: Final = 0.25
# Of the body of a health check, which is not used.
_MAX_HEALTH_BYTES: Final = 65_536
_log = logger_for('pace')


class LoadQuery(NamedTuple):
    """Where to ask for the load, and what records the answer."""

    pool: ConnectionPool
    address: Address
    # Called with the head of an answer, who was asked and when, and the time of
    # the answer.
    record: Callable[[AnswerHead, AskedServer, float], None]
    # Returns the health path, or `None` while it is unknown.
    path: Callable[[], str | None]


class WaitLimits(NamedTuple):
    """How long a request may wait for a slowdown to pass."""

    # When it must have started, on the monotonic clock.
    latest_start_s: float
    # Typical service time without slowdown.
    typical_s: float


class SlowdownMonitor:
    """Asks the backend server for its slowdown, one request at a time."""

    def __init__(self, backend: Backend, query: LoadQuery) -> None:
        """Start without a request in flight."""
        self._backend = backend
        self._query = query
        self._refreshing: asyncio.Task[None] | None = None
        # When the server was last asked, whether it answered or not.
        self.asked_at_s = float(0)

    async def refresh(self, fresh_s: float = _FRESH_S) -> None:
        """Ask for the slowdown unless it is known, at most `fresh_s` old."""
        age_s = time.monotonic() - self._backend.slowdown_at_s
        if age_s > fresh_s:
            await self.ask()

    async def ask(self) -> None:
        """Ask for the slowdown; concurrent calls wait for the same request."""
        if self._refreshing is None:
            self._refreshing = asyncio.create_task(self._run_refresh())
        await asyncio.shield(self._refreshing)

    async def is_slow(self) -> bool:
        """Return whether a request that starts now would take much longer.

        Always false for a server that does not report its slowdown.
        """
        backend = self._backend
        if not backend.reports_slowdown:
            return False
        await self.refresh()
        return backend.is_slow

    async def wait_while_slow(self, wait_limits: WaitLimits) -> None:
        """Wait as long as waiting is likely to cost less than a slow start."""
        while True:
            if not await self.should_wait(wait_limits):
                break
            await asyncio.sleep(_POLL_S)

    async def should_wait(self, wait_limits: WaitLimits) -> bool:
        """Return whether a request should wait before it starts."""
        return await self.is_slow() and self._is_worth_waiting(wait_limits)

    def _is_worth_waiting(self, wait_limits: WaitLimits) -> bool:
        backend = self._backend
        excess_percent = backend.slowdown_percent - backend.baseline_percent
        excess_s = wait_limits.typical_s * excess_percent / _TYPICAL_PERCENT
        if excess_s < backend.slow_period_s:
            return False
        return time.monotonic() + _POLL_S < wait_limits.latest_start_s

    async def _run_refresh(self) -> None:
        try:
            await self._request_load()
        finally:
            self._refreshing = None

    async def _request_load(self) -> None:
        query = self._query
        path = query.path()
        if path is None:
            return
        self.asked_at_s = time.monotonic()
        asked = AskedServer(self.asked_at_s, self._backend.instance_id)
        response = await request_json(
            query.pool,
            query.address,
            OutgoingRequest('GET', path, ()),
            _TIMEOUT_S,
            _MAX_HEALTH_BYTES,
        )
        now_s = time.monotonic()
        if isinstance(response, Err):
            failure = response.err_value
            _log.debug(
                'Asking the backend server for its slowdown failed.',
                step=failure.step.value,
            )
            # Counts as fresh, so that the server is not asked again at once.
            self._backend.slowdown_at_s = now_s
            return
        query.record(response.ok_value.head, asked, now_s)
