"""Runs requests on the node's own backend server."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Final, NamedTuple

from result import Err, Ok, Result

from carobmoor.admission import Arrival, Grant
from carobmoor.mesh._backend_call import judge_answer, send_to_backend
from carobmoor.mesh._order import Order, until_lost
from carobmoor.mesh._pace import Patience
from carobmoor.mesh._state import MeshNode, rank_name
from carobmoor.outcomes import Code, Failure, NotRun
from carobmoor.quarantine import Permit, Suspect
from carobmoor.routes import Kind
from carobmoor.telemetry import logger_for
from carobmoor.transport import (
    Answer,
    CallerLost,
    CallFailure,
    HeaderList,
    end_to_end,
    header_of,
    proves_not_run,
)

_MS_PER_S: Final = 1000
_USUAL_PERCENT: Final = 100
_FIRST_SERVER_ERROR: Final = 500
# Multiple of the expected time after which a silent server seems hung.
_SILENT_TIMES: Final = 3
_log = logger_for('owner')
# How long sockets are read before a request continues after a pause.
_SETTLE_S: Final = 0.02


class Turn(NamedTuple):
    """What a request holds and measures while it runs."""

    grant: Grant
    permit: Permit
    route: str
    waited_s: float
    started_s: float
    # Slowdown at the start, which decides how long the server takes.
    pace_percent: int
    # Requests in service at the start, including this one.
    running: int


class Due(NamedTuple):
    """Time limits of an answer, on the monotonic clock."""

    deadline_s: float
    # End of the route's target latency.
    target_at_s: float


class OwnAnswer:
    """An answer of the own backend server; holds its slot until its end."""

    def __init__(
        self,
        node: MeshNode,
        answer: Answer,
        turn: Turn,
    ) -> None:
        """Start with the slot held and the body unread."""
        self.status = answer.head.status
        self.headers: HeaderList = end_to_end(answer.head.headers)
        self._node = node
        self._answer = answer
        self._turn = turn

    async def chunks(self) -> AsyncIterator[bytes]:
        """Return the body, then release the slot."""
        is_whole = False
        try:
            async for chunk in self._answer.chunks():
                yield chunk
            is_whole = True
            await self._node.quarantine.answered(self._turn.permit)
        finally:
            self._end(is_whole and self.status < _FIRST_SERVER_ERROR)

    def _end(self, is_good: bool) -> None:
        now_s = time.monotonic()
        took_s = now_s - self._turn.started_s
        _log.info(
            'Request run.',
            request_id=self._turn.grant.arrival.request_id,
            status=self.status,
            whole=is_good,
            waited_ms=int(self._turn.waited_s * _MS_PER_S),
            took_ms=int(took_s * _MS_PER_S),
            pace_percent=self._turn.pace_percent,
        )
        if is_good:
            self._learn(took_s)
        self._node.gate.leave(self._turn.grant, took_s, is_good)
        self._node.quarantine.leave(self._turn.permit)
        self._node.backend.success.note(is_good, now_s)

    def _learn(self, took_s: float) -> None:
        turn = self._turn
        at_usual_pace_s = took_s * _USUAL_PERCENT / turn.pace_percent
        work = self._node.times.work
        slowness = at_usual_pace_s * _MS_PER_S / work.usual_ms(turn.route)
        work.note(turn.route, at_usual_pace_s * _MS_PER_S)
        self._node.note_run(turn.running, slowness)


async def run_here(
    node: MeshNode,
    order: Order,
) -> Result[OwnAnswer, Failure]:
    """Run a request on the node's own backend server, or refuse it.

    It is refused when this node doesn't own the service or is leaving, when
    its server is slow, when quarantine stops it, or when no slot comes free
    before the deadline.
    """
    await settle_after_pause(node)
    refusal = _refusal(node, order)
    if refusal is not None:
        return Err(refusal)
    if order.hop.may_bounce and await node.pace.is_slow():
        return Err(_not_run(node, Code.SLOW))
    now_s = time.monotonic()
    left_s = order.hop.left_ms / _MS_PER_S
    target_left_s = order.hop.target_left_ms / _MS_PER_S
    due = Due(now_s + left_s, now_s + target_left_s)
    permitted = await node.quarantine.enter(_suspect_of(node, order), left_s)
    if isinstance(permitted, Err):
        return permitted
    permit = permitted.ok_value
    answer: OwnAnswer | None = None
    try:
        ran = await _admit(node, order, permit, due)
        answer = ran.ok()
    finally:
        if answer is None:
            node.quarantine.leave(permit)
    return ran


async def settle_after_pause(node: MeshNode) -> None:
    """Let the sockets be read if this process has just paused.

    A caller may have cancelled its request during the pause, and the sign of
    that may still wait in a socket.
    """
    if node.stalls.is_settling(time.monotonic()):
        await asyncio.sleep(_SETTLE_S)


async def _admit(
    node: MeshNode,
    order: Order,
    permit: Permit,
    due: Due,
) -> Result[OwnAnswer, Failure]:
    arrived_s = time.monotonic()
    entered = await _enter_in_time(node, order, due)
    if isinstance(entered, Err):
        return entered
    grant = entered.ok_value
    refusal = _refusal(node, order) or node.quarantine.recheck(permit)
    if refusal is None and order.lost.done():
        refusal = _not_run(node, Code.CALLER_GONE)
    if refusal is not None:
        node.gate.give_back(grant)
        return Err(refusal)
    started_s = time.monotonic()
    turn = Turn(
        grant,
        permit,
        order.hop.route,
        started_s - arrived_s,
        started_s,
        node.backend.pace_percent,
        node.gate.state.in_flight_total,
    )
    return await _run(node, order, turn, due.deadline_s)


async def _enter_in_time(
    node: MeshNode,
    order: Order,
    due: Due,
) -> Result[Grant, Failure]:
    """Wait until the server is not slow and a slot is free at once."""
    work_s = node.times.work.usual_ms(order.hop.route) / _MS_PER_S
    patience = Patience(due.deadline_s - work_s, work_s)
    while True:
        try:
            await until_lost(order.lost, node.pace.wait_usual(patience))
        except CallerLost:
            return Err(_not_run(node, Code.CALLER_GONE))
        entered = await _enter(node, order, due)
        if isinstance(entered, Err):
            return entered
        if not await _has_slowed(node, entered.ok_value, patience):
            return entered


async def _has_slowed(
    node: MeshNode,
    grant: Grant,
    patience: Patience,
) -> bool:
    """Give the slot back and return `True` if the server is slow now."""
    is_kept = False
    try:
        is_kept = not await node.pace.wants_wait(patience)
    finally:
        if not is_kept:
            node.gate.give_back(grant)
    return not is_kept


def _suspect_of(node: MeshNode, order: Order) -> Suspect:
    return Suspect(
        order.hop.service,
        order.method,
        order.target,
        header_of(order.headers, node.names.caller_service),
        '',
        order.hop.body_digest.encode(),
        order.body.length_bytes,
    )


def _refusal(node: MeshNode, order: Order) -> NotRun | None:
    backend = node.backend
    last = backend.last
    hop = order.hop
    if last is None or last.service != hop.service:
        return _not_run(node, Code.NOT_OWNER)
    if not backend.is_ready or node.is_leaving:
        return _not_run(node, Code.LEAVING)
    return None


def _not_run(node: MeshNode, code: Code) -> NotRun:
    return NotRun(code, 'admission', str(node.settings.node_address))


async def _enter(
    node: MeshNode,
    order: Order,
    due: Due,
) -> Result[Grant, Failure]:
    arrival = Arrival(
        order.request_id.decode('latin-1'),
        rank_name(order.hop.priority),
        '',
        0,
        due.deadline_s,
        due.target_at_s,
    )
    asked = node.gate.ask(arrival)
    if isinstance(asked, Err):
        return Err(_not_run(node, asked.err_value))
    try:
        waited = await until_lost(order.lost, node.gate.wait(asked.ok_value))
    except CallerLost:
        return Err(_not_run(node, Code.CALLER_GONE))
    if isinstance(waited, Err):
        return Err(_not_run(node, waited.err_value))
    return Ok(waited.ok_value)


async def _run(
    node: MeshNode,
    order: Order,
    turn: Turn,
    deadline_s: float,
) -> Result[OwnAnswer, Failure]:
    node.quarantine.crashes.start(turn.permit)
    sending = send_to_backend(node, order, deadline_s - turn.started_s)
    sent: Result[Answer, CallFailure] | None = None
    answer: Answer | None = None
    try:
        if order.hop.kind is Kind.IDEMPOTENT:
            sent = await until_lost(order.lost, sending)
        else:
            sent = await sending
        judged = judge_answer(node, sent, deadline_s)
        answer = judged.ok()
    finally:
        if answer is None:
            now_s = time.monotonic()
            node.gate.leave(turn.grant, now_s - turn.started_s, False)
            if sent is None or now_s >= deadline_s:
                _note_silence(node, turn, now_s)
    if isinstance(sent, Err):
        await _note_lost(node, turn, sent.err_value, deadline_s)
    return judged.map(lambda good: OwnAnswer(node, good, turn))


def _note_silence(node: MeshNode, turn: Turn, now_s: float) -> None:
    """Record a failure of the server if a request waited too long.

    A wait of less than three times the expected time is not held against it.
    """
    took_s = now_s - turn.started_s
    usual_ms = node.times.work.usual_ms(turn.route)
    expected_s = usual_ms / _MS_PER_S * turn.pace_percent / _USUAL_PERCENT
    if took_s < _SILENT_TIMES * expected_s:
        return
    node.backend.success.note(False, now_s)
    _log.info(
        'Backend server did not answer; recorded as a failure.',
        request_id=turn.grant.arrival.request_id,
        took_ms=int(took_s * _MS_PER_S),
        expected_ms=int(expected_s * _MS_PER_S),
    )


async def _note_lost(
    node: MeshNode,
    turn: Turn,
    failure: CallFailure,
    deadline_s: float,
) -> None:
    """Report to quarantine that the backend server lost a connection.

    A request that provably did not run is only dropped from the watch. After
    the deadline nothing is reported.
    """
    if proves_not_run(failure):
        node.quarantine.crashes.end(turn.permit)
    elif time.monotonic() < deadline_s:
        await node.quarantine.crashes.lost(turn.permit)
