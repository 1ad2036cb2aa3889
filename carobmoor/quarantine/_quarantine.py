"""Admission of requests under quarantine, marked ones one at a time."""

import asyncio
import itertools
import time
from collections.abc import Sequence
from typing import Final

from result import Err, Ok, Result

from carobmoor.outcomes import Code, NotRun
from carobmoor.quarantine._crash_detector import CrashDetector
from carobmoor.quarantine._decide import (
    clear_mark,
    decide_restriction,
    record_crash,
)
from carobmoor.quarantine._fingerprint import RequestIdentity, fingerprint_of
from carobmoor.quarantine._mark_exchange import MarkExchange
from carobmoor.quarantine._messages import (
    Mark,
    Permit,
    Restriction,
    RestrictionDecision,
)
from carobmoor.quarantine._recent_answers import RecentAnswers
from carobmoor.telemetry import logger_for
from carobmoor.transport import Address

_MAX_WAITING: Final = 64
_US_PER_S: Final = 1_000_000
_log = logger_for('quarantine')


class Quarantine:
    """Applies quarantine to the requests of one node."""

    def __init__(
        self,
        this_node: str,
        backend_server: Address,
        mark_exchange: MarkExchange,
    ) -> None:
        """Watch a backend server and push marks through `mark_exchange`."""
        self.state = mark_exchange.state
        self.mark_exchange = mark_exchange
        self._this_node = this_node
        self.crash_detector = CrashDetector(backend_server, self._handle_crash)
        self._permit_numbers = itertools.count(1)
        self._recent_answers = RecentAnswers()
        self._marked_lock = asyncio.Lock()
        self._waiting_count = 0

    async def enter(
        self,
        request: RequestIdentity,
        timeout_s: float,
    ) -> Result[Permit, NotRun]:
        """Permit a request to run, or refuse it.

        A marked request waits at most `timeout_s` until no other marked request
        runs. Each `Ok` must be followed by exactly one call of `release`.
        """
        if not self.state.marks:
            return Ok(self._permit(request, ''))
        fingerprint = fingerprint_of(request)
        decision = self._decide_restriction(fingerprint)
        if decision.restriction is Restriction.FREE:
            return Ok(self._permit(request, ''))
        if decision.restriction is not Restriction.ALONE:
            return Err(self._refusal(decision.reason))
        if not await self._acquire_marked_lock(timeout_s):
            return Err(
                self._refusal(
                    'queue of marked requests is full or the wait timed out'
                )
            )
        return self._enter_marked(request, fingerprint)

    def recheck(self, permit: Permit) -> NotRun | None:
        """Refuse a request that was marked while it waited for a slot."""
        if permit.marked_fingerprint or not self.state.marks:
            return None
        decision = self._decide_restriction(fingerprint_of(permit.request))
        if decision.restriction is Restriction.FREE:
            return None
        return self._refusal(decision.reason)

    async def record_answer(self, permit: Permit) -> None:
        """Record a complete answer and clear the mark of its request."""
        self.crash_detector.end(permit)
        now_s = time.monotonic()
        self._recent_answers.record(fingerprint_of(permit.request), now_s)
        if not permit.marked_fingerprint:
            return
        cleared = clear_mark(self.state, permit.marked_fingerprint)
        if cleared is not None:
            _log.info(
                'Mark cleared by a complete answer.',
                fingerprint=cleared.fingerprint,
            )
            await self.mark_exchange.push([cleared])

    def release(self, permit: Permit) -> None:
        """Release a permit once its request has ended or was abandoned.

        If the request was marked, the next marked one may run.
        """
        self.crash_detector.abandon(permit)
        if permit.marked_fingerprint:
            self._marked_lock.release()

    async def clear(self, fingerprint: str) -> Mark | None:
        """Clear a mark on behalf of an operator and notify the other nodes."""
        cleared = clear_mark(self.state, fingerprint)
        if cleared is not None:
            await self.mark_exchange.push([cleared])
        return cleared

    def _decide_restriction(self, fingerprint: str) -> RestrictionDecision:
        now_s = time.monotonic()
        nodes = self.mark_exchange.service_nodes.list_nodes()
        return decide_restriction(
            self.state, fingerprint, self._this_node, nodes, now_s
        )

    def _permit(
        self, request: RequestIdentity, marked_fingerprint: str
    ) -> Permit:
        return Permit(next(self._permit_numbers), request, marked_fingerprint)

    def _enter_marked(
        self,
        request: RequestIdentity,
        fingerprint: str,
    ) -> Result[Permit, NotRun]:
        decision = self._decide_restriction(fingerprint)
        if decision.restriction is Restriction.ALONE:
            return Ok(self._permit(request, fingerprint))
        self._marked_lock.release()
        if decision.restriction is Restriction.FREE:
            return Ok(self._permit(request, ''))
        return Err(self._refusal(decision.reason))

    async def _acquire_marked_lock(self, timeout_s: float) -> bool:
        if self._waiting_count >= _MAX_WAITING:
            return False
        self._waiting_count += 1
        try:
            async with asyncio.timeout(timeout_s):
                return await self._marked_lock.acquire()
        except TimeoutError:
            return False
        finally:
            self._waiting_count -= 1

    async def _handle_crash(self, permits: Sequence[Permit]) -> None:
        # If marked requests were in flight, only they are blamed for the crash.
        marked = [one for one in permits if one.marked_fingerprint]
        suspects = [
            permit.request
            for permit in marked or permits
            if not self._was_recently_answered(permit)
        ]
        crash_id = f'{self._this_node}/{int(time.time() * _US_PER_S)}'
        marks = record_crash(self.state, suspects, crash_id, time.monotonic())
        fingerprints = {mark.fingerprint for mark in marks}
        _log.warning(
            'Backend server crashed.',
            ran=len(permits),
            marked=len(fingerprints),
            fingerprints=sorted(fingerprints),
        )
        await self.mark_exchange.push(marks)

    def _was_recently_answered(self, permit: Permit) -> bool:
        """Return whether the same request recently got a complete answer."""
        fingerprint = fingerprint_of(permit.request)
        return self._recent_answers.contains(fingerprint, time.monotonic())

    def _refusal(self, reason: str) -> NotRun:
        return NotRun(Code.QUARANTINED, 'quarantine', self._this_node, reason)
