"""Admission of requests under quarantine, marked ones one at a time."""

import asyncio
import itertools
import time
from collections.abc import Sequence
from typing import Final

from result import Err, Ok, Result

from carobmoor.outcomes import Code, NotRun
from carobmoor.quarantine._answered import AnsweredLately
from carobmoor.quarantine._crashes import CrashWatch
from carobmoor.quarantine._decide import absolve, blame, judge
from carobmoor.quarantine._fingerprint import Suspect, fingerprint_of
from carobmoor.quarantine._messages import (
    Mark,
    Permit,
    Position,
    Ruling,
)
from carobmoor.quarantine._spread import Spread
from carobmoor.telemetry import logger_for
from carobmoor.transport import Address

_MOST_WAITING: Final = 64
_US_PER_S: Final = 1_000_000
_log = logger_for('quarantine')


class Quarantine:
    """Applies quarantine to the requests of one node."""

    def __init__(
        self,
        here: str,
        backend_server: Address,
        spread: Spread,
    ) -> None:
        """Watch a backend server and publish its crashes through `spread`."""
        self.state = spread.state
        self.spread = spread
        self._here = here
        self.crashes = CrashWatch(backend_server, self._blame)
        self._numbers = itertools.count(1)
        self._answered = AnsweredLately()
        self._alone = asyncio.Lock()
        self._waiting = 0

    async def enter(
        self,
        suspect: Suspect,
        left_s: float,
    ) -> Result[Permit, NotRun]:
        """Permit a request to run, or refuse it.

        A marked request waits at most `left_s` until no other marked request
        runs. Each `Ok` must be followed by exactly one call of `leave`.
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
            return Err(
                self._refusal(
                    'queue of marked requests is full or the wait timed out'
                )
            )
        return self._enter_alone(suspect, fingerprint)

    def recheck(self, permit: Permit) -> NotRun | None:
        """Refuse a request that was marked while it waited for a slot."""
        if permit.marked_fingerprint or not self.state.marks:
            return None
        ruling = self._judge(fingerprint_of(permit.suspect))
        if ruling.position is Position.FREE:
            return None
        return self._refusal(ruling.reason)

    async def answered(self, permit: Permit) -> None:
        """Record a complete answer and clear the mark of its request."""
        self.crashes.end(permit)
        now_s = time.monotonic()
        self._answered.note(fingerprint_of(permit.suspect), now_s)
        if not permit.marked_fingerprint:
            return
        cleared = absolve(self.state, permit.marked_fingerprint)
        if cleared is not None:
            _log.info(
                'Mark cleared by a complete answer.',
                fingerprint=cleared.fingerprint,
            )
            await self.spread.tell([cleared])

    def leave(self, permit: Permit) -> None:
        """Release a permit."""
        self.crashes.leave(permit)
        if permit.marked_fingerprint:
            self._alone.release()

    async def clear(self, fingerprint: str) -> Mark | None:
        """Clear a mark on behalf of an operator and notify the other nodes."""
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

    async def _blame(self, permits: Sequence[Permit]) -> None:
        # If marked requests were in flight, only they are blamed for the crash.
        known = [one for one in permits if one.marked_fingerprint]
        blamed = [
            permit.suspect
            for permit in known or permits
            if not self._was_answered(permit)
        ]
        crash_id = f'{self._here}/{int(time.time() * _US_PER_S)}'
        marks = blame(self.state, blamed, crash_id, time.monotonic())
        names = {mark.fingerprint for mark in marks}
        _log.warning(
            'Backend server crashed.',
            ran=len(permits),
            marked=len(names),
            fingerprints=sorted(names),
        )
        await self.spread.tell(marks)

    def _was_answered(self, permit: Permit) -> bool:
        """Return whether the same request recently got a complete answer."""
        fingerprint = fingerprint_of(permit.suspect)
        return self._answered.has(fingerprint, time.monotonic())

    def _refusal(self, reason: str) -> NotRun:
        return NotRun(Code.QUARANTINED, 'quarantine', self._here, reason)
