"""Watches one backend server and lets its requests in."""

import asyncio
import contextlib
import itertools
import time
from typing import Final, NamedTuple

from result import Err, Ok, Result

from carobmoor.outcomes import Code, NotRun
from carobmoor.quarantine._decide import absolve, blame, judge
from carobmoor.quarantine._fingerprint import Suspect, fingerprint_of
from carobmoor.quarantine._messages import (
    Mark,
    Position,
    Ruling,
)
from carobmoor.quarantine._spread import Spread
from carobmoor.telemetry import logger_for
from carobmoor.transport import Address

_PROBE_TIMEOUT_S: Final = 0.25
# Connections lost to one crash are noticed within this time.
_GATHER_S: Final = 0.02
_FEWEST_LOST_AT_ONCE: Final = 2
_MOST_WAITING: Final = 64
_US_PER_S: Final = 1_000_000
_log = logger_for('quarantine')


class Permit(NamedTuple):
    """Leave to run a request; given back with `Quarantine.leave`."""

    number: int
    suspect: Suspect
    # Empty for a request without a mark.
    marked_fingerprint: str


class Quarantine:
    """The quarantine of one node."""

    def __init__(
        self,
        here: str,
        backend_server: Address,
        spread: Spread,
    ) -> None:
        """Watch a backend server and tell of its crashes through `spread`."""
        self.state = spread.state
        self.spread = spread
        self._here = here
        self._backend_server = backend_server
        self._numbers = itertools.count(1)
        self._running: dict[int, Permit] = {}
        self._lost: dict[int, Permit] = {}
        # Held to account already, before their own loss was noticed.
        self._blamed: set[int] = set()
        self._checking: asyncio.Task[None] | None = None
        self._alone = asyncio.Lock()
        self._waiting = 0

    async def enter(
        self,
        suspect: Suspect,
        left_s: float,
    ) -> Result[Permit, NotRun]:
        """Let a request in; a marked one waits until no other marked runs.

        Every `Ok` must be followed by one `leave`.
        """
        if not self.state.marks:
            return Ok(self._permit(suspect, ''))
        fingerprint = fingerprint_of(suspect)
        ruling = self._judge(fingerprint)
        if ruling.position is Position.FREE:
            return Ok(self._permit(suspect, ''))
        if ruling.position is not Position.ALONE:
            return Err(self._refusal(ruling.reason))
        if not await self._wait_alone(left_s):
            return Err(self._refusal('waited for another marked request'))
        return self._enter_alone(suspect, fingerprint)

    def recheck(self, permit: Permit) -> NotRun | None:
        """Refuse a request that was marked while it waited for a slot."""
        if permit.marked_fingerprint or not self.state.marks:
            return None
        ruling = self._judge(fingerprint_of(permit.suspect))
        if ruling.position is Position.FREE:
            return None
        return self._refusal(ruling.reason)

    def start(self, permit: Permit) -> None:
        """Note that the backend server now runs the request."""
        self._running[permit.number] = permit

    async def answered(self, permit: Permit) -> None:
        """Note a whole answer: whatever was held against it is cleared."""
        if not permit.marked_fingerprint:
            return
        cleared = absolve(self.state, permit.marked_fingerprint)
        if cleared is not None:
            _log.info('Mark cleared.', fingerprint=cleared.fingerprint)
            await self.spread.tell([cleared])

    async def lost(self, permit: Permit) -> None:
        """Note a connection lost with a request on it.

        Returns when it is known whether the backend server died and, if so,
        the other nodes have heard of the marks. The caller is answered after
        that, so that its next try meets the marks.
        """
        if permit.number in self._blamed:
            return
        self._lost[permit.number] = permit
        if self._checking is None:
            self._checking = asyncio.create_task(self._check())
        await asyncio.shield(self._checking)

    def leave(self, permit: Permit) -> None:
        """Give a permit back."""
        self._running.pop(permit.number, None)
        self._blamed.discard(permit.number)
        if permit.marked_fingerprint:
            self._alone.release()

    async def clear(self, fingerprint: str) -> Mark | None:
        """Clear a mark at an operator's wish, here and at the others."""
        cleared = absolve(self.state, fingerprint)
        if cleared is not None:
            await self.spread.tell([cleared])
        return cleared

    def _judge(self, fingerprint: str) -> Ruling:
        now_s = time.monotonic()
        nodes = self.spread.neighbours.nodes()
        return judge(self.state, fingerprint, self._here, nodes, now_s)

    def _permit(self, suspect: Suspect, marked_fingerprint: str) -> Permit:
        return Permit(next(self._numbers), suspect, marked_fingerprint)

    def _enter_alone(
        self,
        suspect: Suspect,
        fingerprint: str,
    ) -> Result[Permit, NotRun]:
        ruling = self._judge(fingerprint)
        if ruling.position is Position.ALONE:
            return Ok(self._permit(suspect, fingerprint))
        self._alone.release()
        if ruling.position is Position.FREE:
            return Ok(self._permit(suspect, ''))
        return Err(self._refusal(ruling.reason))

    async def _wait_alone(self, left_s: float) -> bool:
        if self._waiting >= _MOST_WAITING:
            return False
        self._waiting += 1
        try:
            async with asyncio.timeout(left_s):
                return await self._alone.acquire()
        except TimeoutError:
            return False
        finally:
            self._waiting -= 1

    async def _check(self) -> None:
        await asyncio.sleep(_GATHER_S)
        is_refused = not await self._answers_probe()
        lost = tuple(self._lost.values())
        self._lost.clear()
        self._checking = None
        if is_refused or len(lost) >= _FEWEST_LOST_AT_ONCE:
            running = tuple(self._running.values()) if is_refused else ()
            await self._blame({*lost, *running})

    async def _blame(self, permits: set[Permit]) -> None:
        # What ran with a request that was known to be suspect is innocent.
        self._blamed.update(permit.number for permit in permits)
        known = {one for one in permits if one.marked_fingerprint}
        blamed = [permit.suspect for permit in known or permits]
        now_s = time.monotonic()
        crash_id = f'{self._here}/{int(time.time() * _US_PER_S)}'
        marks = blame(self.state, blamed, crash_id, now_s)
        _log.warning(
            'Backend server died.',
            ran=len(permits),
            marked=len(marks),
            fingerprints=[mark.fingerprint for mark in marks],
        )
        await self.spread.tell(marks)

    async def _answers_probe(self) -> bool:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    *self._backend_server,
                )
            writer.close()
            return True
        return False

    def _refusal(self, reason: str) -> NotRun:
        return NotRun(Code.QUARANTINED, 'quarantine', self._here, reason)
