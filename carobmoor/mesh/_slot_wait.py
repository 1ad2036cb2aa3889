"""Slots of the own backend server, at moments when a start is worth it."""

import math
import time
from typing import Final, NamedTuple

from carobmoor.admission import Arrival, SlotLease
from carobmoor.mesh._owner_request import OwnerRequest, cancel_when_lost
from carobmoor.mesh._shares import caller_share
from carobmoor.mesh._slowdown import WaitLimits
from carobmoor.mesh._state import MeshNode, rank_name
from carobmoor.outcomes import Code, NotRun
from carobmoor.transport import CallerLost

_MS_PER_S: Final = 1000
_TYPICAL_PERCENT: Final = 100
# Share of the expected time that must remain for a start; some requests take
# less than is typical.
_MIN_TIME_SHARE: Final = 0.7


class Deadlines(NamedTuple):
    """Time limits of an answer, on the monotonic clock."""

    deadline_s: float
    # End of the route's target latency.
    target_at_s: float
    # Last moment of a start by its key, on the clock of proofs.
    key_valid_until_s: float = math.inf


def refusal_with(node: MeshNode, code: Code) -> NotRun:
    if code is Code.EVACUATED:
        node.metrics.cluster.evacuation_refusals.inc()
    return NotRun(code, 'admission', str(node.settings.node_address))


async def is_late_start(node: MeshNode) -> bool:
    """Return whether a request would wait here or start on a slow server."""
    admission = node.gate.state
    if admission.in_flight_total >= admission.policy.slots:
        return True
    if not admission.may_start(time.monotonic()):
        return True
    return await node.slowdown_monitor.is_slow()


def is_too_late(
    node: MeshNode, owner_request: OwnerRequest, deadlines: Deadlines
) -> bool:
    """Return whether a request that starts now would miss its deadline.

    It would hold a slot in vain, and its caller has time for another try.
    """
    typical_ms = node.times.service_times.typical_ms(owner_request.hop.route)
    percent = _TYPICAL_PERCENT
    if node.backend.is_slow:
        percent = node.backend.slowdown_percent
    expected_s = typical_ms / _MS_PER_S * percent / _TYPICAL_PERCENT
    remaining_s = deadlines.deadline_s - time.monotonic()
    return remaining_s <= expected_s * _MIN_TIME_SHARE


async def acquire_slot_when_fast(
    node: MeshNode,
    owner_request: OwnerRequest,
    deadlines: Deadlines,
    lease: SlotLease,
) -> NotRun | None:
    """Wait for a slot at a moment when the server is not slow.

    A slot alone is enough where waiting is not worth it or the time is short.
    Returns why there is none; otherwise the lease holds it.
    """
    typical_s = (
        node.times.service_times.typical_ms(owner_request.hop.route) / _MS_PER_S
    )
    wait_limits = WaitLimits(deadlines.deadline_s - typical_s, typical_s)
    while True:
        try:
            await cancel_when_lost(
                owner_request.lost,
                node.slowdown_monitor.wait_while_slow(wait_limits),
            )
        except CallerLost:
            return refusal_with(node, Code.CALLER_GONE)
        refusal = await _acquire_slot(node, owner_request, deadlines, lease)
        if refusal is not None:
            return refusal
        if not await node.slowdown_monitor.should_wait(wait_limits):
            return None
        lease.give_back()


def _expected_s(node: MeshNode, owner_request: OwnerRequest) -> float:
    """Return how long a request is expected to hold its slot."""
    typical_ms = node.times.service_times.typical_ms(owner_request.hop.route)
    baseline_ratio = node.backend.baseline_percent / _TYPICAL_PERCENT
    return typical_ms * baseline_ratio / _MS_PER_S


async def _acquire_slot(
    node: MeshNode,
    owner_request: OwnerRequest,
    deadlines: Deadlines,
    lease: SlotLease,
) -> NotRun | None:
    share = caller_share(node.table, owner_request)
    arrival = Arrival(
        owner_request.request_id.decode('latin-1'),
        rank_name(owner_request.hop.priority),
        share.caller,
        0,
        deadlines.deadline_s,
        deadlines.target_at_s,
        _expected_s(node, owner_request),
        share.weight,
    )
    code = lease.request(arrival)
    if code is None:
        try:
            code = await cancel_when_lost(owner_request.lost, lease.wait())
        except CallerLost:
            code = Code.CALLER_GONE
    return None if code is None else refusal_with(node, code)
