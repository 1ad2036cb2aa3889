"""Tests of tasks that wait for a slot, are cancelled or free it."""

import asyncio

from carobmoor.admission import Gate
from carobmoor.admission.tests.fixtures import arrival, policy
from carobmoor.outcomes import Code
from tests.fixtures import asynchronous


class Clock:
    """A clock that only the test advances."""

    def __init__(self):
        """Start at 0."""
        self.now_s = float(0)

    def __call__(self):
        """Return the time in seconds."""
        return self.now_s


def arrival_with_deadline_in(remaining_s=60.0):
    """Return an arrival whose deadline is this long after time 0."""
    return arrival(deadline_s=remaining_s)


async def full_gate(slots=2, clock=None):
    """Return a gate and the grants that hold all its slots."""
    gate = Gate(policy(slots=slots), clock or Clock())
    grants = [
        (await gate.enter(arrival_with_deadline_in())).unwrap()
        for _ in range(slots)
    ]
    return gate, grants


@asynchronous
async def test_queued_request_starts_when_slot_is_freed():
    """A queued request starts when another one frees its slot."""
    gate, grants = await full_gate()
    waiting = asyncio.create_task(gate.enter(arrival_with_deadline_in()))
    await asyncio.sleep(0)
    assert not waiting.done()
    gate.leave(grants[0], 0.01)
    assert (await waiting).is_ok()
    assert gate.state.in_flight_total == 2


@asynchronous
async def test_cancelled_wait_leaves_no_queue_entry():
    """A cancelled wait leaves neither a queue entry nor a held slot."""
    gate, grants = await full_gate()
    waiting = asyncio.create_task(gate.enter(arrival_with_deadline_in()))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert not gate.state.queued_total
    for grant in grants:
        gate.leave(grant, 0.01)
    await gate.wait_idle()


@asynchronous
async def test_slot_granted_before_cancel_is_freed():
    """A slot that is granted just before the cancellation is freed."""
    gate, grants = await full_gate()
    waiting = asyncio.create_task(gate.enter(arrival_with_deadline_in()))
    await asyncio.sleep(0)
    gate.leave(grants[0], 0.01)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert gate.state.in_flight_total == 1


@asynchronous
async def test_same_request_id_gets_two_grants():
    """Two requests with the same id wait and leave independently."""
    gate, grants = await full_gate()
    waiting = [
        asyncio.create_task(gate.enter(arrival_with_deadline_in()))
        for _ in range(2)
    ]
    await asyncio.sleep(0)
    for grant in grants:
        gate.leave(grant, 0.01)
    entered = await asyncio.gather(*waiting)
    numbers = {one.unwrap().number for one in entered}
    assert len(numbers) == 2
    assert gate.state.in_flight_total == 2


@asynchronous
async def test_grant_is_refused_if_deadline_passed():
    """A slot granted before a pause is not used after the deadline.

    The task resumes only after the pause, when its deadline has passed.
    """
    clock = Clock()
    gate, grants = await full_gate(clock=clock)
    waiting = asyncio.create_task(
        gate.enter(arrival_with_deadline_in(remaining_s=1))
    )
    await asyncio.sleep(0)
    gate.leave(grants[0], 0.01)
    clock.now_s = 2
    assert (await waiting).unwrap_err() is Code.DEADLINE_LAPSED
    assert gate.state.in_flight_total == 1


@asynchronous
async def test_only_pause_beyond_bound_is_counted():
    """Only a stop beyond the bound of 250 ms counts as a pause."""
    gate, _ = await full_gate()
    gate.record_pause(0.2)
    assert gate.pauses == 0
    gate.record_pause(0.3)
    assert gate.pauses == 1


@asynchronous
async def test_atypical_service_time_is_not_recorded():
    """A connection lost at once doesn't make the server look fast."""
    gate, grants = await full_gate()
    gate.leave(grants[0], 0.00001, is_typical=False)
    assert gate.state.service_time_s == 0
    gate.leave(grants[1], 0.01)
    assert gate.state.service_time_s > 0


@asynchronous
async def test_leaving_gate_refuses_arrivals():
    """A gate that is leaving refuses every arrival."""
    gate, _ = await full_gate()
    gate.is_leaving = True
    assert (
        await gate.enter(arrival_with_deadline_in())
    ).unwrap_err() is Code.LEAVING
