"""Detection of backend server crashes and of the requests in flight."""

import asyncio
import contextlib
import time
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from carobmoor.quarantine._messages import Permit
from carobmoor.transport import Address

_PROBE_TIMEOUT_S: Final = 0.25
# Connections lost to the same crash are detected within this time.
_LOSS_WINDOW_S: Final = 0.02
# Fewer lost connections are no crash if the server still accepts new ones.
_MIN_CONCURRENT_LOSSES: Final = 2
_MAX_ABANDONED: Final = 256
# How long a request may still run after its caller has gone.
_ABANDONED_RUN_S: Final = 2

CrashHandler = Callable[[Sequence[Permit]], Awaitable[None]]


class CrashDetector:
    """Tracks the requests in flight on one backend server and its crashes.

    Calls `on_crash` once for each crash, with the requests that were in flight.
    """

    def __init__(self, backend_server: Address, on_crash: CrashHandler) -> None:
        """Watch a backend server that has no requests in flight yet."""
        self._backend_server = backend_server
        self._on_crash = on_crash
        self._running: dict[int, Permit] = {}
        self._lost_connections: dict[int, Permit] = {}
        # Requests abandoned before an answer, with the time in seconds.
        self._abandoned: deque[tuple[float, Permit]] = deque(
            maxlen=_MAX_ABANDONED,
        )
        # Already reported with a crash before the loss of their own connection.
        self._reported: set[int] = set()
        self._check_task: asyncio.Task[None] | None = None

    def start(self, permit: Permit) -> None:
        """Record that the backend server has started a request."""
        self._running[permit.number] = permit

    def end(self, permit: Permit) -> None:
        """Record that a request was answered or never reached the server."""
        self._running.pop(permit.number, None)

    def abandon(self, permit: Permit) -> None:
        """Stop tracking a request whose answer is no longer awaited.

        A request that has not ended may still run, so it can be blamed for
        a crash within the next 2 s.
        """
        self._reported.discard(permit.number)
        if self._running.pop(permit.number, None) is not None:
            self._abandoned.append((time.monotonic(), permit))

    async def connection_lost(self, permit: Permit) -> None:
        """Record a connection that was lost with a request in flight.

        Returns once it is known whether the backend server crashed and, if
        so, after `on_crash` has returned.
        """
        if permit.number in self._reported:
            return
        self._lost_connections[permit.number] = permit
        if self._check_task is None:
            self._check_task = asyncio.create_task(self._check())
        await asyncio.shield(self._check_task)

    async def _check(self) -> None:
        await asyncio.sleep(_LOSS_WINDOW_S)
        is_down = not await self._accepts_connections()
        affected = {**self._lost_connections}
        self._lost_connections.clear()
        self._check_task = None
        if not is_down and len(affected) < _MIN_CONCURRENT_LOSSES:
            return
        if is_down:
            affected.update(self._running)
        affected.update(self._pop_recently_abandoned())
        self._reported.update(affected)
        await self._on_crash(tuple(affected.values()))

    def _pop_recently_abandoned(self) -> dict[int, Permit]:
        since_s = time.monotonic() - _ABANDONED_RUN_S
        recent = {
            permit.number: permit
            for abandoned_at_s, permit in self._abandoned
            if abandoned_at_s > since_s
        }
        self._abandoned.clear()
        return recent

    async def _accepts_connections(self) -> bool:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    *self._backend_server,
                )
            writer.close()
            return True
        return False
