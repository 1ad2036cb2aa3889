"""Lets the tasks of requests wait for their slot."""

import asyncio
import time
from typing import Final

from result import Err, Ok, Result

from carobmoor.admission._decide import (
    expire,
    finish,
    offer,
    start_next,
    withdraw,
)
from carobmoor.admission._messages import AdmissionPolicy, Arrival, Verdict
from carobmoor.admission._state import AdmissionState
from carobmoor.outcomes import Code

_EXPIRY_INTERVAL_S: Final = 0.005


class Gate:
    """The one way to a slot of the backend server.

    Every `enter` that returns `Ok` must be followed by one `leave`.
    """

    def __init__(self, policy: AdmissionPolicy) -> None:
        """Open the gate with every slot free."""
        self.state = AdmissionState(policy)
        self.is_leaving = False
        self._left: asyncio.Future[None] | None = None
        self._waiting: dict[str, asyncio.Future[Code | None]] = {}

    async def enter(self, arrival: Arrival) -> Result[None, Code]:
        """Wait for a slot; `Err` means that the request does not run."""
        if self.is_leaving:
            return Err(Code.LEAVING)
        offered = offer(self.state, arrival, time.monotonic())
        if isinstance(offered, Err):
            return offered
        if offered.ok_value is Verdict.STARTED:
            return Ok(None)
        return await self._wait(arrival)

    def leave(self, rank: str, service_time_s: float) -> None:
        """Give the slot back and start whoever is next."""
        finish(self.state, rank, service_time_s)
        self.pump()

    async def wait_idle(self) -> None:
        """Wait until nobody holds a slot or waits for one."""
        while self.state.in_flight_total or self.state.queued_total:
            self._left = asyncio.get_running_loop().create_future()
            await self._left

    def pump(self) -> None:
        """Refuse the lapsed and start the waiting, as slots allow."""
        for drop in expire(self.state, time.monotonic()):
            self._settle(drop.arrival, drop.code)
        for arrival in start_next(self.state):
            self._settle(arrival, None)
        if self._left is not None and not self._left.done():
            self._left.set_result(None)

    async def watch(self) -> None:
        """Refuse the lapsed in time, also when no slot comes free."""
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            if self._waiting:
                self.pump()

    def _settle(self, arrival: Arrival, code: Code | None) -> None:
        waiting = self._waiting.pop(arrival.request_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(code)

    async def _wait(self, arrival: Arrival) -> Result[None, Code]:
        waiting: asyncio.Future[Code | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[arrival.request_id] = waiting
        try:
            refused = await waiting
        except asyncio.CancelledError:
            self._give_up(arrival, waiting)
            raise
        return Ok(None) if refused is None else Err(refused)

    def _give_up(
        self,
        arrival: Arrival,
        waiting: asyncio.Future[Code | None],
    ) -> None:
        started = waiting.done() and not waiting.cancelled()
        self._waiting.pop(arrival.request_id, None)
        if started and waiting.result() is None:
            self.leave(arrival.rank, self.state.service_time_s)
        else:
            withdraw(self.state, arrival)
