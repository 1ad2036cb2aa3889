"""Tasks that wait for a slot, give up, and give back."""

import asyncio

from carobmoor.admission import Gate
from carobmoor.admission.tests.fixtures import arrival, policy
from carobmoor.outcomes import Code
from tests.fixtures import asynchronous


class Clock:
    """A clock that only the test moves."""

    def __init__(self):
        """Start at zero."""
        self.now_s = float(0)

    def __call__(self):
        """Tell the time."""
        return self.now_s


def soon(left_s=60.0):
    """Make an arrival with a deadline this far from the clock's start."""
    return arrival(deadline_s=left_s)


async def full_gate(slots=2, clock=None):
    """Open a gate and hold all its slots."""
    gate = Gate(policy(slots=slots), clock or Clock())
    grants = [(await gate.enter(soon())).unwrap() for _ in range(slots)]
    return gate, grants


@asynchronous
async def test_waits_until_a_slot_is_free():
    """A queued request starts when another leaves."""
    gate, grants = await full_gate()
    waiting = asyncio.create_task(gate.enter(soon()))
    await asyncio.sleep(0)
    assert not waiting.done()
    gate.leave(grants[0], 0.01)
    assert (await waiting).is_ok()
    assert gate.state.in_flight_total == 2


@asynchronous
async def test_caller_gone_frees_its_entry():
    """A cancelled wait leaves neither an entry nor a held slot."""
    gate, grants = await full_gate()
    waiting = asyncio.create_task(gate.enter(soon()))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert not gate.state.queued_total
    for grant in grants:
        gate.leave(grant, 0.01)
    await gate.wait_idle()


@asynchronous
async def test_caller_gone_just_after_its_start():
    """A slot given in the same moment as the cancellation comes back."""
    gate, grants = await full_gate()
    waiting = asyncio.create_task(gate.enter(soon()))
    await asyncio.sleep(0)
    gate.leave(grants[0], 0.01)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert gate.state.in_flight_total == 1


@asynchronous
async def test_same_id_twice_is_two_requests():
    """Two requests with one id wait and leave each for itself."""
    gate, grants = await full_gate()
    waiting = [asyncio.create_task(gate.enter(soon())) for _ in range(2)]
    await asyncio.sleep(0)
    for grant in grants:
        gate.leave(grant, 0.01)
    entered = await asyncio.gather(*waiting)
    numbers = {one.unwrap().number for one in entered}
    assert len(numbers) == 2
    assert gate.state.in_flight_total == 2


@asynchronous
async def test_nothing_lapsed_starts_after_a_pause():
    """A slot given before a pause isn't used after the deadline."""
    clock = Clock()
    gate, grants = await full_gate(clock=clock)
    waiting = asyncio.create_task(gate.enter(soon(left_s=1)))
    await asyncio.sleep(0)
    gate.leave(grants[0], 0.01)
    clock.now_s = 2
    assert (await waiting).unwrap_err() is Code.DEADLINE_LAPSED
    assert gate.state.in_flight_total == 1


@asynchronous
async def test_pause_is_counted():
    """Only a stop longer than the bound counts as a pause."""
    gate, _ = await full_gate()
    gate.note_pause(0.2)
    assert gate.pauses == 0
    gate.note_pause(0.3)
    assert gate.pauses == 1


@asynchronous
async def test_lost_request_teaches_nothing():
    """A connection that broke at once doesn't make the server look fast."""
    gate, grants = await full_gate()
    gate.leave(grants[0], 0.00001, is_typical=False)
    assert gate.state.service_time_s == 0
    gate.leave(grants[1], 0.01)
    assert gate.state.service_time_s > 0


@asynchronous
async def test_leaving_gate_refuses():
    """Nothing enters a gate that is leaving."""
    gate, _ = await full_gate()
    gate.is_leaving = True
    assert (await gate.enter(soon())).unwrap_err() is Code.LEAVING
