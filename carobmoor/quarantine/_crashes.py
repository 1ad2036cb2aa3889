"""Finding out that the backend server died, and with which requests."""

import asyncio
import contextlib
import time
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from carobmoor.quarantine._messages import Permit
from carobmoor.transport import Address

_PROBE_TIMEOUT_S: Final = 0.25
# Connections lost to one crash are noticed within this time.
_GATHER_S: Final = 0.02
_FEWEST_LOST_AT_ONCE: Final = 2
_MOST_UNANSWERED: Final = 256
_MAY_STILL_RUN_S: Final = 2

Blame = Callable[[Sequence[Permit]], Awaitable[None]]


class CrashWatch:
    """The requests that one backend server runs, and its crashes.

    `blame` is told of the requests that ran, once for each crash.
    """

    def __init__(self, backend_server: Address, blame: Blame) -> None:
        """Watch a backend server that runs nothing yet."""
        self._backend_server = backend_server
        self._blame = blame
        self._running: dict[int, Permit] = {}
        self._lost: dict[int, Permit] = {}
        # Those that left without an answer, with the time.
        self._unanswered: deque[tuple[float, Permit]] = deque(
            maxlen=_MOST_UNANSWERED,
        )
        # Held to account already, before their own loss was noticed.
        self._blamed: set[int] = set()
        self._checking: asyncio.Task[None] | None = None

    def start(self, permit: Permit) -> None:
        """Note that the backend server now runs a request."""
        self._running[permit.number] = permit

    def end(self, permit: Permit) -> None:
        """Note that it no longer does: it has answered, or got nothing."""
        self._running.pop(permit.number, None)

    def leave(self, permit: Permit) -> None:
        """Note that nobody waits for the answer to a request any more.

        One that has not ended may still run, and is held to account for a
        crash a while longer.
        """
        self._blamed.discard(permit.number)
        if self._running.pop(permit.number, None) is not None:
            self._unanswered.append((time.monotonic(), permit))

    async def lost(self, permit: Permit) -> None:
        """Note a connection lost with a request on it.

        Returns when it is known whether the backend server died, and after
        blame for that.
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
