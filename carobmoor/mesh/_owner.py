"""Runs requests on the node's own backend server."""

import asyncio
import contextlib
import math
import time
from collections.abc import AsyncGenerator
from typing import Final, NamedTuple

from result import Err, Ok, Result

from carobmoor.admission import SlotLease
from carobmoor.clock import boot_time_s
from carobmoor.mesh._backend_call import check_answer, send_to_backend
from carobmoor.mesh._evacuate import is_evacuated
from carobmoor.mesh._follow_slowdown import refresh_cold_time
from carobmoor.mesh._owner_request import OwnerRequest, cancel_when_lost
from carobmoor.mesh._read_ahead import read_ahead
from carobmoor.mesh._server_reports import AskedServer
from carobmoor.mesh._slot_wait import (
    Deadlines,
    acquire_slot_when_fast,
    is_late_start,
    is_too_late,
    refusal_with,
)
from carobmoor.mesh._state import MeshNode
from carobmoor.outcomes import Code, Failure, NotRun
from carobmoor.quarantine import Permit, RequestIdentity
from carobmoor.routes import RouteKind
from carobmoor.telemetry import logger_for
from carobmoor.transport import (
    Answer,
    CallFailure,
    HeaderList,
    end_to_end_headers,
    get_header,
    proves_not_run,
)

_MS_PER_S: Final = 1000
_TYPICAL_PERCENT: Final = 100
_FIRST_SERVER_ERROR: Final = 500
# Multiple of the expected time after which a silent server seems hung.
_SILENT_MULTIPLE: Final = 3
# Of one answer, beyond what its reader has taken.
_MAX_READ_AHEAD_BYTES: Final = 1_048_576
_log = logger_for('owner')
# Before a start is delayed, the server is asked whether it is cold, unless it
# was asked within this time.
_COLD_FRESH_S: Final = 0.03
# How long sockets are read before a request continues after a pause.
_SETTLE_S: Final = 0.02


class ActiveRun(NamedTuple):
    """What a request holds and measures while it runs."""

    request_id: str
    lease: SlotLease
    permit: Permit
    route: str
    waited_s: float
    started_s: float
    # Slowdown at the start, which decides how long the server takes.
    slowdown_percent: int
    # Requests in service at the start, including this one.
    running: int
    # Whether its answer may be large.
    is_download: bool = False


class BackendAnswer:
    """An answer of the own backend server; owns its slot until its end."""

    def __init__(
        self,
        node: MeshNode,
        answer: Answer,
        active: ActiveRun,
    ) -> None:
        """Start with the slot held and the body unread."""
        self.status = answer.head.status
        self.headers: HeaderList = end_to_end_headers(answer.head.headers)
        self._node = node
        self._answer = answer
        self._active = active
        self._is_finished = False

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Return the body; the slot is released once the server sent it all.

        A large one is read ahead, so that a slow link or reader does not hold
        the slot.
        """
        if self._active.is_download:
            return read_ahead(self._read(), _MAX_READ_AHEAD_BYTES)
        return self._read()

    async def _read(self) -> AsyncGenerator[bytes, None]:
        is_whole = False
        try:
            async with contextlib.aclosing(self._answer.chunks()) as chunks:
                async for chunk in chunks:
                    yield chunk
            is_whole = True
            await self._node.quarantine.record_answer(self._active.permit)
        finally:
            self._finish(is_whole and self.status < _FIRST_SERVER_ERROR)

    def abandon(self, reason: str) -> None:
        """Release the slot and close the connection, unless it has ended."""
        if not self._is_finished:
            self._answer.abandon(reason)
            self._finish(False)

    def _finish(self, is_good: bool) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        now_s = time.monotonic()
        duration_s = now_s - self._active.started_s
        _log.info(
            'Request run.',
            request_id=self._active.request_id,
            status=self.status,
            whole=is_good,
            waited_ms=int(self._active.waited_s * _MS_PER_S),
            took_ms=int(duration_s * _MS_PER_S),
            pace_percent=self._active.slowdown_percent,
            limit_per_s=self._node.rate_limit.per_s,
            cold=self._node.cold_starts.is_limited(now_s),
        )
        if is_good:
            self._record_times(duration_s)
        self._active.lease.leave(duration_s, is_good)
        self._node.quarantine.release(self._active.permit)
        self._node.backend.success.record_outcome(is_good, now_s)

    def _record_times(self, duration_s: float) -> None:
        active = self._active
        normalized_s = duration_s * _TYPICAL_PERCENT / active.slowdown_percent
        service_times = self._node.times.service_times
        relative_time = (
            normalized_s * _MS_PER_S / service_times.typical_ms(active.route)
        )
        service_times.record(active.route, normalized_s * _MS_PER_S)
        self._node.record_run(active.running, relative_time)


async def run_on_backend(
    node: MeshNode,
    owner_request: OwnerRequest,
) -> Result[BackendAnswer, Failure]:
    """Run a request on the node's own backend server, or refuse it.

    It is refused when this node doesn't own the service, when the node or its
    server is leaving, when it may be declined and would not start at once on a
    server that is not slow,
    when quarantine stops it, when admission grants no slot in time, or when
    its caller is gone before it starts.
    """
    key_valid_until_s = _key_valid_until_s(owner_request)
    await wait_after_pause(node)
    if not node.rate_limit.is_known:
        # The node or its server has just started; the server may be in need
        # or leave.
        await node.slowdown_monitor.refresh()
    await _check_cold_time(node)
    refusal = _ownership_refusal(node, owner_request)
    if refusal is not None:
        return Err(refusal)
    if owner_request.hop.may_decline and await is_late_start(node):
        return Err(refusal_with(node, Code.SLOW))
    deadlines = _deadlines_of(owner_request, key_valid_until_s)
    permitted = await node.quarantine.enter(
        _identity_of(node, owner_request),
        owner_request.hop.remaining_ms / _MS_PER_S,
    )
    if isinstance(permitted, Err):
        return permitted
    permit = permitted.ok_value
    answer: BackendAnswer | None = None
    try:
        ran = await _admit_and_run(node, owner_request, permit, deadlines)
        answer = ran.ok()
    finally:
        if answer is None:
            node.quarantine.release(permit)
    return ran


async def _check_cold_time(node: MeshNode) -> None:
    """Ask a server that may start nothing, and may be warm, if it is cold."""
    now_s = time.monotonic()
    cold_starts = node.cold_starts
    if not cold_starts.is_cold(now_s) and not cold_starts.may_start(now_s):
        await refresh_cold_time(node, _COLD_FRESH_S)


async def wait_after_pause(node: MeshNode) -> None:
    """Let the sockets be read if this process has just paused.

    A caller may have cancelled its request during the pause, and the sign of
    that may still wait in a socket.
    """
    if node.pauses.is_settling(time.monotonic()):
        await asyncio.sleep(_SETTLE_S)


async def _admit_and_run(
    node: MeshNode,
    owner_request: OwnerRequest,
    permit: Permit,
    deadlines: Deadlines,
) -> Result[BackendAnswer, Failure]:
    arrived_s = time.monotonic()
    with SlotLease(node.gate) as lease:
        refusal = await acquire_slot_when_fast(
            node, owner_request, deadlines, lease
        ) or _refusal_at_start(node, owner_request, permit, deadlines)
        if refusal is not None:
            return Err(refusal)
        owner_request.on_start()
        started_s = time.monotonic()
        node.cold_starts.record_sent(lease.number, started_s)
        active = ActiveRun(
            owner_request.request_id.decode('latin-1'),
            lease,
            permit,
            owner_request.hop.route,
            started_s - arrived_s,
            started_s,
            node.backend.slowdown_percent,
            node.gate.state.in_flight_total,
            owner_request.hop.kind is RouteKind.DOWNLOAD,
        )
        return await _call_backend(
            node, owner_request, active, deadlines.deadline_s
        )


def _refusal_at_start(
    node: MeshNode,
    owner_request: OwnerRequest,
    permit: Permit,
    deadlines: Deadlines,
) -> NotRun | None:
    """Return why a request that has a slot now must not start after all."""
    refusal = _ownership_refusal(
        node, owner_request
    ) or node.quarantine.recheck(permit)
    if refusal is None and owner_request.lost.done():
        refusal = refusal_with(node, Code.CALLER_GONE)
    if refusal is None and is_too_late(node, owner_request, deadlines):
        refusal = refusal_with(node, Code.DEADLINE_UNREACHABLE)
    if refusal is None and _is_key_lapsed(deadlines):
        refusal = refusal_with(node, Code.NOT_PROVEN)
    return refusal


def _deadlines_of(
    owner_request: OwnerRequest, key_valid_until_s: float
) -> Deadlines:
    hop = owner_request.hop
    now_s = time.monotonic()
    return Deadlines(
        now_s + hop.remaining_ms / _MS_PER_S,
        now_s + hop.target_remaining_ms / _MS_PER_S,
        key_valid_until_s,
    )


def _key_valid_until_s(owner_request: OwnerRequest) -> float:
    valid_ms = owner_request.hop.key_valid_ms
    return (
        math.inf if valid_ms is None else boot_time_s() + valid_ms / _MS_PER_S
    )


def _is_key_lapsed(deadlines: Deadlines) -> bool:
    return (
        deadlines.key_valid_until_s < math.inf
        and boot_time_s() > deadlines.key_valid_until_s
    )


def _identity_of(
    node: MeshNode, owner_request: OwnerRequest
) -> RequestIdentity:
    return RequestIdentity(
        owner_request.hop.service,
        owner_request.method,
        owner_request.target,
        get_header(owner_request.headers, node.names.caller_service),
        '',
        lambda: owner_request.hop.body_digest,
    )


def _ownership_refusal(
    node: MeshNode, owner_request: OwnerRequest
) -> NotRun | None:
    backend = node.backend
    last = backend.last_announcement
    hop = owner_request.hop
    if last is None or last.service != hop.service:
        return refusal_with(node, Code.NOT_OWNER)
    if not backend.is_ready or node.is_leaving:
        return refusal_with(node, Code.LEAVING)
    if is_evacuated(node):
        return refusal_with(node, Code.EVACUATED)
    return None


async def _call_backend(
    node: MeshNode,
    owner_request: OwnerRequest,
    active: ActiveRun,
    deadline_s: float,
) -> Result[BackendAnswer, Failure]:
    node.quarantine.crash_detector.start(active.permit)
    asked = AskedServer(active.started_s, node.backend.instance_id)
    sending = send_to_backend(
        node, owner_request, deadline_s - active.started_s
    )
    sent: Result[Answer, CallFailure] | None = None
    answer: Answer | None = None
    try:
        if owner_request.hop.kind.may_repeat:
            sent = await cancel_when_lost(owner_request.lost, sending)
        else:
            sent = await sending
        checked = check_answer(node, sent, asked, deadline_s)
        answer = checked.ok()
    finally:
        if answer is None:
            now_s = time.monotonic()
            active.lease.leave(now_s - active.started_s, False)
            if sent is None or now_s >= deadline_s:
                _record_silence(node, active, now_s)
    if isinstance(sent, Err):
        await _report_lost_connection(node, active, sent.err_value, deadline_s)
    if isinstance(checked, Err):
        return checked
    owned = active._replace(lease=active.lease.hand_over())
    return Ok(BackendAnswer(node, checked.ok_value, owned))


def _record_silence(node: MeshNode, active: ActiveRun, now_s: float) -> None:
    """Record a failure of the server if a request waited too long.

    A wait of less than three times the expected time is not held against it.
    """
    duration_s = now_s - active.started_s
    typical_ms = node.times.service_times.typical_ms(active.route)
    expected_s = (
        typical_ms / _MS_PER_S * active.slowdown_percent / _TYPICAL_PERCENT
    )
    if duration_s < _SILENT_MULTIPLE * expected_s:
        return
    node.backend.success.record_outcome(False, now_s)
    _log.info(
        'Backend server did not answer; recorded as a failure.',
        request_id=active.request_id,
        took_ms=int(duration_s * _MS_PER_S),
        expected_ms=int(expected_s * _MS_PER_S),
    )


async def _report_lost_connection(
    node: MeshNode,
    active: ActiveRun,
    failure: CallFailure,
    deadline_s: float,
) -> None:
    """Report to quarantine that the backend server lost a connection.

    A request that provably did not run is only dropped from the watch. After
    the deadline nothing is reported.
    """
    if proves_not_run(failure):
        node.quarantine.crash_detector.end(active.permit)
    elif time.monotonic() < deadline_s:
        await node.quarantine.crash_detector.connection_lost(active.permit)
