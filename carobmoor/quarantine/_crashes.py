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
_GATHER_S: Final = 0.02
# Fewer lost connections are no crash if the server still accepts new ones.
_FEWEST_LOST_AT_ONCE: Final = 2
_MOST_UNANSWERED: Final = 256
# How long a request may still run after its caller has gone.
_MAY_STILL_RUN_S: Final = 2

Blame = Callable[[Sequence[Permit]], Awaitable[None]]


class CrashWatch:
    """Tracks the requests in flight on one backend server and its crashes.

    Calls `blame` once for each crash, with the requests that were in flight.
    """

    def __init__(self, backend_server: Address, blame: Blame) -> None:
        """Watch a backend server that has no requests in flight yet."""
        self._backend_server = backend_server
        self._blame = blame
        self._running: dict[int, Permit] = {}
        self._lost: dict[int, Permit] = {}
        # Requests abandoned before an answer, with the time in seconds.
        self._unanswered: deque[tuple[float, Permit]] = deque(
            maxlen=_MOST_UNANSWERED,
        )
        # Already blamed for a crash before the loss of their own connection.
        self._blamed: set[int] = set()
        self._checking: asyncio.Task[None] | None = None

    def start(self, permit: Permit) -> None:
        """Record that the backend server has started a request."""
        self._running[permit.number] = permit

    def end(self, permit: Permit) -> None:
        """Record that a request was answered or never reached the server."""
        self._running.pop(permit.number, None)

    def leave(self, permit: Permit) -> None:
        """Stop tracking a request whose answer is no longer awaited.

        A request that has not ended may still run, so it can be blamed for
        a crash within the next 2 s.
        """
        self._blamed.discard(permit.number)
        if self._running.pop(permit.number, None) is not None:
            self._unanswered.append((time.monotonic(), permit))

    async def lost(self, permit: Permit) -> None:
        """Record a connection that was lost with a request in flight.

        Returns once it is known whether the backend server crashed and, if
        so, after `blame` has returned.
        """
        if permit.number in self._blamed:
            return
        self._lost[permit.number] = permit
        if self._checking is None:
            self._checking = asyncio.create_task(self._check())
        await asyncio.shield(self._checking)

    async def _check(self) -> None:
        await asyncio.sleep(_GATHER_S)
        is_refused = not await self._answers_probe()
        blamed = {**self._lost}
        self._lost.clear()
        self._checking = None
        if not is_refused and len(blamed) < _FEWEST_LOST_AT_ONCE:
            return
        if is_refused:
            blamed.update(self._running)
        blamed.update(self._left_lately())
        self._blamed.update(blamed)
        await self._blame(tuple(blamed.values()))

    def _left_lately(self) -> dict[int, Permit]:
        from_s = time.monotonic() - _MAY_STILL_RUN_S
        lately = {
            permit.number: permit
            for left_at_s, permit in self._unanswered
            if left_at_s > from_s
        }
        self._unanswered.clear()
        return lately

    async def _answers_probe(self) -> bool:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    *self._backend_server,
                )
            writer.close()
            return True
        return False
