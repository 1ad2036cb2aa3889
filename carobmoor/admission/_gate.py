"""Lets the asyncio tasks of requests wait for a slot."""

import asyncio
import math
import time
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from carobmoor.admission._decide import (
    expire,
    finish,
    offer,
    release,
    release_unused,
    start_next,
    withdraw,
)
from carobmoor.admission._messages import (
    AdmissionPolicy,
    Arrival,
    Drop,
    SlotGrant,
    Verdict,
)
from carobmoor.admission._rate_limit import read_rate_limit
from carobmoor.admission._state import AdmissionState
from carobmoor.outcomes import Code
from carobmoor.telemetry import logger_for

_EXPIRY_INTERVAL_S: Final = 0.005
_MS_PER_S: Final = 1000
_log = logger_for('admission')

SlotFuture = asyncio.Future[Code | None]
Clock = Callable[[], float]


class RequestedSlot(NamedTuple):
    """A grant, and the future to await before it holds a slot."""

    grant: SlotGrant
    # `None` if the slot was granted at once.
    waiting: SlotFuture | None


class Gate:
    """Admits requests to the slots of the backend server.

    Every slot that is granted, whether by `enter`, by `wait` or at once by
    `request_slot`, must be freed by exactly one `leave` or `release_unused`.
    Requests do so through `SlotLease`, which no cancellation can bypass.
    """

    def __init__(
        self,
        policy: AdmissionPolicy,
        clock: Clock = time.monotonic,
    ) -> None:
        """Start with every slot free."""
        self._clock = clock
        self.state = AdmissionState(policy)
        self.is_leaving = False
        self.pauses = 0
        self._idle_check: asyncio.Future[None] | None = None
        self._waiting: dict[int, SlotFuture] = {}
        self._has_waiting = asyncio.Event()

    async def enter(self, arrival: Arrival) -> Result[SlotGrant, Code]:
        """Wait for a slot; on `Err` the request must not run."""
        requested = self.request_slot(arrival)
        if isinstance(requested, Err):
            return requested
        return await self.wait(requested.ok_value)

    def request_slot(self, arrival: Arrival) -> Result[RequestedSlot, Code]:
        """Request a slot; unless it is granted at once, call `wait` for it."""
        if self.is_leaving:
            return Err(Code.LEAVING)
        offered = offer(self.state, arrival, self._clock())
        if isinstance(offered, Err):
            return offered
        placement = offered.ok_value
        grant = SlotGrant(placement.number, arrival)
        if placement.verdict is Verdict.STARTED:
            return Ok(RequestedSlot(grant, None))
        waiting: SlotFuture = asyncio.get_running_loop().create_future()
        self._waiting[grant.number] = waiting
        self._has_waiting.set()
        if placement.evicted is not None:
            self._refuse(placement.evicted)
        self.expire_and_start()
        return Ok(RequestedSlot(grant, waiting))

    async def wait(self, requested: RequestedSlot) -> Result[SlotGrant, Code]:
        """Wait for a slot that `request_slot` requested."""
        if requested.waiting is None:
            return Ok(requested.grant)
        return await self._await_slot(requested.grant, requested.waiting)

    def leave(
        self,
        grant: SlotGrant,
        service_time_s: float,
        is_typical: bool = True,
    ) -> None:
        """Free the slot and start the next waiting requests.

        The service time is charged to the rank and the caller. One that is
        not typical, such as that of a lost connection, is left out of the
        statistics.
        """
        free_slot = finish if is_typical else release
        free_slot(self.state, grant.number, service_time_s, self._clock())
        self.expire_and_start()

    def release_unused(self, grant: SlotGrant) -> None:
        """Free a slot that was not used; replaces `leave`.

        No service time is charged or recorded.
        """
        release_unused(self.state, grant.number, self._clock())
        self.expire_and_start()

    def give_back(self, requested: RequestedSlot) -> None:
        """Take a request out of the queue, or free its unused slot."""
        grant = requested.grant
        self._waiting.pop(grant.number, None)
        if grant.number in self.state.running:
            self.release_unused(grant)
        elif withdraw(self.state, grant.arrival.rank, grant.number):
            self.expire_and_start()

    async def wait_idle(self) -> None:
        """Wait until no request holds a slot or waits for one."""
        while self.state.in_flight_total or self.state.queued_total:
            self._idle_check = asyncio.get_running_loop().create_future()
            await self._idle_check

    def expire_and_start(self) -> None:
        """Refuse expired requests, then start waiting ones in free slots.

        Expiry always comes first, so that a request whose deadline passed
        during a pause of the event loop is not started.
        """
        now_s = self._clock()
        if self.state.queued_total:
            for drop in expire(self.state, now_s):
                self._refuse(drop)
            for grant in start_next(self.state, now_s):
                self._resolve(grant.number, None)
        if self._idle_check is not None and not self._idle_check.done():
            self._idle_check.set_result(None)

    def refuse_waiting(self, code: Code = Code.LEAVING) -> None:
        """Refuse all waiting requests, by default as the node is leaving."""
        for drop in expire(self.state, math.inf):
            self._resolve(drop.number, code)
        self.expire_and_start()

    async def expire_in_time(self) -> None:
        """Refuse expired requests in time, even if no slot becomes free."""
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self.expire_and_start()
            if not self._waiting:
                self._has_waiting.clear()

    def record_rate_limit(
        self, content: str, sent_at_s: float, server: str
    ) -> None:
        """Record the rate limit that an answer of the server names.

        `content` is that of its header, empty if it has none; `sent_at_s` is
        when its request was sent. A malformed limit changes nothing.
        """
        named_per_s = read_rate_limit(content)
        if content and named_per_s is None:
            _log.warning(
                'Rate limit of the backend server unreadable; ignored.',
                instance=server,
                content=content,
            )
            return
        rate_limit = self.state.rate_limit
        before_per_s = rate_limit.per_s
        if rate_limit.record_answer(named_per_s, sent_at_s, self._clock()):
            _log.info(
                'Backend server changed its rate limit.',
                instance=server,
                per_s=rate_limit.per_s,
                before_per_s=before_per_s,
            )

    def record_pause(self, pause_s: float) -> None:
        """Count and log a pause of the event loop beyond the bound."""
        bound_s = self.state.policy.tuning.pause_bound_ms / _MS_PER_S
        if pause_s > bound_s:
            self.pauses += 1
            _log.warning(
                'Event loop paused beyond the bound; counted as a node pause.',
                stood_s=round(pause_s, 3),
            )

    def _refuse(self, drop: Drop) -> None:
        self._resolve(drop.number, drop.code)

    def _resolve(self, number: int, code: Code | None) -> None:
        waiting = self._waiting.pop(number, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(code)

    async def _await_slot(
        self,
        grant: SlotGrant,
        waiting: SlotFuture,
    ) -> Result[SlotGrant, Code]:
        try:
            refusal = await waiting
        except asyncio.CancelledError:
            self.give_back(RequestedSlot(grant, waiting))
            raise
        if refusal is not None:
            return Err(refusal)
        if grant.arrival.deadline_s <= self._clock():
            # The event loop paused between the grant and this line.
            self.release_unused(grant)
            return Err(Code.DEADLINE_LAPSED)
        return Ok(grant)
